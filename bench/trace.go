package bench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Size of a typical deployment today.
const (
	deploymentPools      = 5
	workersPerPool       = 10
	slotsPerWorker       = 8 // concurrent requests
	connectionsPerWorker = 64
)

// Demand of a pool at its peak and between peaks, relative to the mean.
const (
	peakFactor    = 5.0
	offPeakFactor = 1.0 / 20
)

// Demand is the demand of each pool over time, in slots that would be in use if no
// request had to wait.
type Demand struct {
	Step  time.Duration
	Pools [][]float64 // by pool, then by step
}

// DemandOptions configures NewDemand.
type DemandOptions struct {
	Pools  int
	Mean   float64       // mean demand of each pool, in slots
	Period time.Duration // time between the peaks of a pool
	Cycles int           // number of periods
	Step   time.Duration
	Jitter float64       // variation of peak starts and heights, as a fraction
	Ramp   time.Duration // time in which a peak rises or falls
}

// DefaultDemand returns the options for a demand with peaks of 100 slots in pools
// with 80 slots.
func DefaultDemand() DemandOptions {
	return DemandOptions{Pools: deploymentPools, Mean: 20, Period: time.Hour, Cycles: 12, Step: 5 * time.Second, Jitter: 0.2, Ramp: 2 * time.Minute}
}

// NewDemand generates demand with staggered peaks. Each pool has one peak per
// period, of 5 times the mean, and 1/20 of the mean in between. The peak is long
// enough that the average is the mean. Starts and heights vary by the jitter, and
// noise of 5% is added.
func NewDemand(o DemandOptions, seed uint64) *Demand {
	rng := rand.New(rand.NewPCG(seed, 0xdeed))
	steps := int(o.Period/o.Step) * o.Cycles
	d := &Demand{Step: o.Step, Pools: make([][]float64, o.Pools)}
	for p := range d.Pools {
		demand := make([]float64, steps)
		for i := range demand {
			demand[i] = o.Mean * offPeakFactor
		}
		for c := range o.Cycles {
			start := (float64(c) + float64(p)/float64(o.Pools)) * o.Period.Seconds()
			start += o.Jitter * (rng.Float64() - 0.5) * o.Period.Seconds() / float64(o.Pools)
			addPeak(demand, o, start, 1+o.Jitter*(rng.Float64()-0.5))
		}
		for i := range demand {
			demand[i] *= 1 + 0.05*rng.NormFloat64()
		}
		d.Pools[p] = demand
	}
	return d
}

func addPeak(demand []float64, o DemandOptions, start, height float64) {
	length := o.Period.Seconds() * (1 - offPeakFactor) / (peakFactor - offPeakFactor)
	ramp := o.Ramp.Seconds()
	for i := range demand {
		t := float64(i)*o.Step.Seconds() - start
		rampFactor := math.Min(1, math.Min(t/ramp, (length+ramp-t)/ramp))
		if rampFactor > 0 {
			demand[i] += o.Mean * (peakFactor*height - offPeakFactor) * rampFactor
		}
	}
}

// WorkersNeeded returns the number of workers that the demand of a pool needs at a
// step, for workers with the given slots.
func (d *Demand) WorkersNeeded(pool, step, slots int) int {
	return int(math.Ceil(math.Max(0, d.Pools[pool][step]) / float64(slots)))
}

func runTrace(_ context.Context, env *Env) (*Result, error) {
	o := DefaultDemand()
	d := NewDemand(o, env.Seed)
	t := &Table{Name: "trace", Title: fmt.Sprintf("Demand of %d pools of %d workers with %d slots and %d connections each, %d periods of %v",
		deploymentPools, workersPerPool, slotsPerWorker, connectionsPerWorker, o.Cycles, o.Period),
		Columns: []string{"pool", "mean slots", "peak slots", "least slots", "peak over mean", "share of time above the pool"}}
	p := &Plot{Name: "trace", Title: "Demand of five pools, first two periods", X: "minutes", Y: "slots"}
	series := &Table{Name: "trace_series", Title: "Demand in slots by time", Columns: []string{"seconds"}}
	for i := range d.Pools {
		series.Columns = append(series.Columns, fmt.Sprint("pool", i))
	}
	for i, demand := range d.Pools {
		sum, highest, lowest, above := 0.0, 0.0, math.Inf(1), 0
		l := Line{Name: fmt.Sprint("pool ", i)}
		for k, v := range demand {
			sum, highest, lowest = sum+v, math.Max(highest, v), math.Min(lowest, v)
			if v > workersPerPool*slotsPerWorker {
				above++
			}
			if at := time.Duration(k) * d.Step; at < 2*o.Period {
				l.XY = append(l.XY, [2]float64{at.Minutes(), v})
			}
		}
		mean := sum / float64(len(demand))
		t.Add(i, mean, highest, lowest, highest/mean, float64(above)/float64(len(demand)))
		p.Lines = append(p.Lines, l)
	}
	for k := range d.Pools[0] {
		row := []any{(time.Duration(k) * d.Step).Seconds()}
		for _, demand := range d.Pools {
			row = append(row, demand[k])
		}
		series.Add(row...)
	}
	return &Result{Tables: []*Table{t, series}, Plots: []*Plot{p}}, nil
}
