package buffer

import (
	"math"

	"github.com/carobwharf/carobwharf/structs"
)

// ServiceLoad returns the load of one service in slots: the mean number of slots
// that its requests would hold if all of them were served. By Little's law this
// is the number of requests in flight times the ratio of arrivals to served
// requests.
func ServiceLoad(d structs.ServiceDemand) float64 {
	if d.Served <= 0 {
		return float64(d.InFlight + d.Queued)
	}
	// Bounds the effect of an interval with a burst of arrivals.
	const maxScale = 10
	scale := float64(d.Arrived) / float64(d.Served)
	return float64(d.InFlight) * min(max(scale, 1), maxScale)
}

// Forecast predicts the load of one pool by double exponential smoothing, with a
// level and a trend that are updated in each interval. The zero value is a
// forecast without observations.
type Forecast struct {
	level         float64 // smoothed load in slots
	trend         float64 // smoothed change of the level in slots per interval
	meanError     float64 // smoothed absolute error of the prediction for the next interval
	previousUpper float64 // upper bound before the latest observation
	observed      bool
}

// Smoothing weights of a new observation. The level follows the load quickly in
// both directions: Config.ReturnAfter keeps VMs through short falls of the load,
// and a level that falls slowly would keep all VMs of a peak for minutes.
const (
	levelWeight = 0.5
	trendWeight = 0.3
	errorWeight = 0.1
)

// leadIntervals is the number of intervals until a VM that is needed now serves
// requests: the deficit has to last for Config.FillAfter, and a move takes a
// drain and the admission to the new pool.
const leadIntervals = 4

// Observe updates the forecast with the load of one interval, in slots.
func (f *Forecast) Observe(load float64) {
	if !f.observed {
		f.level, f.observed = load, true
		return
	}
	f.previousUpper = f.upperNow()
	predicted := f.level + f.trend
	residual := load - predicted
	f.meanError += errorWeight * (math.Abs(residual) - f.meanError)
	level := predicted + levelWeight*residual
	f.trend += trendWeight * (level - f.level - f.trend)
	f.level = level
}

// Upper returns an upper estimate of the load in slots at the time when a VM
// that is needed now serves requests: the level, its rise until then, and the
// mean absolute error. It ignores a falling trend and a single interval of low
// load, because removing VMs on a wrong prediction costs requests.
func (f *Forecast) Upper() float64 { return max(f.upperNow(), f.previousUpper) }

func (f *Forecast) upperNow() float64 { return f.level + leadIntervals*max(f.trend, 0) + f.meanError }

// Target returns the number of VMs that a pool needs for a load in slots, given
// the slots of a VM and the fraction of them that is to be in use (utilisation).
// The result lies between the pool's Min and Max; without a Max, the pool's
// Target is the upper bound.
func Target(p structs.Pool, load float64, slots int, utilisation float64) int {
	upper := p.Max
	if upper == 0 {
		upper = max(p.Target, p.Min)
	}
	if slots <= 0 || utilisation <= 0 {
		return min(max(p.Target, p.Min), upper)
	}
	needed := int(math.Ceil(load / (float64(slots) * utilisation)))
	return min(max(needed, p.Min), upper)
}
