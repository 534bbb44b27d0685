package bench

import (
	"fmt"
	"math"
	"time"

	"github.com/carobwharf/carobwharf/buffer"
	"github.com/carobwharf/carobwharf/structs"
)

// plannerConfig is the configuration of the move planner in the experiments.
var plannerConfig = buffer.Config{FillAfter: 5 * time.Second, ReturnAfter: time.Minute, MoveInterval: 5 * time.Second, MaxMoves: 8}

// moveDuration is the time from the start of a move until the VM serves its new
// pool: drain, confirmation by the gateways and two writes to the platform.
const moveDuration = 20 * time.Second

// bufferFleet is the simulated fleet that a strategy sees: the pools with their VMs
// and the moves in progress. The last pool is the spare pool.
type bufferFleet struct {
	pools   []buffer.PoolState
	moving  []movingVM // in order of arrival
	workers int
}

type movingVM struct {
	vm      structs.VM
	to      int // index of the destination pool
	arrival time.Duration
}

func newBufferFleet(pools, workers int) *bufferFleet {
	f := &bufferFleet{workers: workers}
	for p := range pools {
		f.pools = append(f.pools, buffer.PoolState{Pool: structs.Pool{
			Name: fmt.Sprint("pool", p), Min: 1, Target: workers / pools, Max: 2 * workers / pools, Spread: structs.DomainRack}})
	}
	f.pools = append(f.pools, buffer.PoolState{Pool: structs.Pool{Name: "spare", Spare: true}})
	for i := range workers {
		s := &f.pools[i%pools]
		s.VMs = append(s.VMs, structs.VM{ID: fmt.Sprintf("vm%05d", i), Rack: fmt.Sprint("rack", i/4),
			DataCentre: fmt.Sprint("dc", i%3), Slots: slotsPerWorker, State: structs.VMLive})
		s.Size++
	}
	for i := range f.pools {
		f.pools[i].Target = f.pools[i].Pool.Target
	}
	return f
}

func (f *bufferFleet) poolIndex(name string) int {
	for i := range f.pools {
		if f.pools[i].Pool.Name == name {
			return i
		}
	}
	return -1
}

// startMove starts a move. The VM serves no pool until the move completes.
func (f *bufferFleet) startMove(m buffer.Move, now time.Duration) {
	from, to := &f.pools[f.poolIndex(m.From)], f.poolIndex(m.To)
	for i, vm := range from.VMs {
		if vm.ID == m.VM {
			from.VMs = append(from.VMs[:i:i], from.VMs[i+1:]...)
			from.Size--
			f.pools[to].Size++
			f.moving = append(f.moving, movingVM{vm, to, now + moveDuration})
			return
		}
	}
}

// completeMoves adds the VMs that have arrived by now to their new pools.
func (f *bufferFleet) completeMoves(now time.Duration) {
	for len(f.moving) > 0 && f.moving[0].arrival <= now {
		m := f.moving[0]
		f.moving = f.moving[1:]
		f.pools[m.to].VMs = append(f.pools[m.to].VMs, m.vm)
	}
}

// bufferStrategy decides moves from the demand of the previous step.
type bufferStrategy interface {
	moves(now time.Duration, f *bufferFleet, load []float64) []buffer.Move
}

// staticStrategy never moves a VM.
type staticStrategy struct{}

func (staticStrategy) moves(time.Duration, *bufferFleet, []float64) []buffer.Move { return nil }

// thresholdStrategy moves at most one VM of each pool per step: into the pool if
// more than 80% of its slots are in use, out of it below 50%.
type thresholdStrategy struct{}

func (thresholdStrategy) moves(_ time.Duration, f *bufferFleet, load []float64) []buffer.Move {
	spare := &f.pools[len(f.pools)-1]
	var out []buffer.Move
	free := spare.VMs
	for i := range load {
		p := &f.pools[i]
		utilisation := load[i] / float64(max(1, p.Size)*slotsPerWorker)
		switch {
		case utilisation > 0.8 && len(free) > 0:
			out = append(out, buffer.Move{VM: free[0].ID, From: spare.Pool.Name, To: p.Pool.Name})
			free = free[1:]
		case utilisation < 0.5 && p.Size > 1 && len(p.VMs) > 0:
			out = append(out, buffer.Move{VM: p.VMs[0].ID, From: p.Pool.Name, To: spare.Pool.Name})
		}
	}
	return out
}

// plannerStrategy uses package buffer: forecast, target and planner. With
// useObservedLoad the target follows the observed load instead of the forecast,
// which shows what the forecast costs and saves.
type plannerStrategy struct {
	useObservedLoad bool
	utilisation     float64
	forecasts       []buffer.Forecast
	planner         *buffer.Planner
}

func newPlannerStrategy(pools int, utilisation float64, cfg buffer.Config) *plannerStrategy {
	return &plannerStrategy{utilisation: utilisation, forecasts: make([]buffer.Forecast, pools), planner: buffer.NewPlanner(cfg)}
}

func (p *plannerStrategy) moves(now time.Duration, f *bufferFleet, load []float64) []buffer.Move {
	for i := range load {
		p.forecasts[i].Observe(load[i])
		expected := p.forecasts[i].Upper()
		if p.useObservedLoad {
			expected = load[i]
		}
		f.pools[i].Target = buffer.Target(f.pools[i].Pool, expected, slotsPerWorker, p.utilisation)
	}
	return p.planner.Plan(epoch.Add(now), f.pools)
}

// bufferScore is the cost of a strategy over a trace.
type bufferScore struct {
	bufferHours float64 // VM hours held by pools beyond what their demand needs
	moves       int
	lostShare   float64 // demand that exceeds the slots of the serving VMs, as a share of all demand
	peakVMs     int     // maximum number of VMs outside the spare pool
}

// scoreStrategy simulates the strategy over the demand and returns its cost.
func scoreStrategy(d *Demand, workers int, s bufferStrategy) bufferScore {
	f := newBufferFleet(len(d.Pools), workers)
	var out bufferScore
	demand, lost := 0.0, 0.0
	load := make([]float64, len(d.Pools))
	for step := range d.Pools[0] {
		now := time.Duration(step) * d.Step
		f.completeMoves(now)
		if step > 0 {
			for i := range load {
				load[i] = math.Max(0, d.Pools[i][step-1])
			}
			for _, m := range s.moves(now, f, load) {
				f.startMove(m, now)
				out.moves++
			}
		}
		held := 0
		for i := range d.Pools {
			p := &f.pools[i]
			held += p.Size
			slotsWanted := math.Max(0, d.Pools[i][step])
			demand += slotsWanted
			lost += math.Max(0, slotsWanted-float64(len(p.VMs)*slotsPerWorker))
			out.bufferHours += float64(max(0, p.Size-d.WorkersNeeded(i, step, slotsPerWorker))) * d.Step.Hours()
		}
		out.peakVMs = max(out.peakVMs, held)
	}
	out.lostShare = lost / demand
	return out
}

// offlineBound returns a lower bound for the cost of a plan that knows the whole
// trace and loses no demand. For each pool and n, the n-th VM is needed in some
// intervals. In a gap of at most keep between two of them it is kept, which costs
// the hours of the gap. In a longer gap it is given up and fetched again, which
// costs one move and moveDuration. A move out of a pool is not counted, because it
// can be the move into another one. The bound ignores the size of the fleet.
func offlineBound(d *Demand, workers int, keep time.Duration) bufferScore {
	var out bufferScore
	vmsPerPool := workers / len(d.Pools)
	for p, demand := range d.Pools {
		for n := 1; n <= 4*vmsPerPool; n++ {
			lastNeeded, held := -1, n <= vmsPerPool // lastNeeded is the last step at which the VM was needed
			for step := range demand {
				if d.WorkersNeeded(p, step, slotsPerWorker) < n {
					continue
				}
				gap := time.Duration(step-lastNeeded-1) * d.Step
				switch {
				case held && gap <= keep:
					out.bufferHours += gap.Hours()
				default:
					out.moves++
					out.bufferHours += moveDuration.Hours()
				}
				lastNeeded, held = step, true
			}
		}
	}
	for step := range d.Pools[0] {
		needed := 0
		for p := range d.Pools {
			needed += d.WorkersNeeded(p, step, slotsPerWorker)
		}
		out.peakVMs = max(out.peakVMs, needed)
	}
	return out
}
