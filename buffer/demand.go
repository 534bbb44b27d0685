package buffer

import (
	"math"

	"github.com/carobwharf/carobwharf/structs"
)

// Load returns the load of one service in slots: the mean number of slots that
// its requests would hold if all of them were served. By Little's law this is
// the number in flight, scaled by the fraction of arrivals that was served.
func Load(d structs.ServiceDemand) float64 {
	if d.Served <= 0 {
		return float64(d.InFlight + d.Queued)
	}
	// A burst in one interval must not make the load unbounded.
	const maxScale = 10
	scale := float64(d.Arrived) / float64(d.Served)
	return float64(d.InFlight) * min(max(scale, 1), maxScale)
}

// Forecast follows the load of one pool by double exponential smoothing: a
// level and a trend for each interval. The zero value knows nothing.
type Forecast struct {
	level    float64 // smoothed load in slots
	trend    float64 // smoothed change of the level in slots per interval
	spread   float64 // smoothed absolute error of the forecast for the next interval
	previous float64 // Upper before the last observation
	seen     bool
}

// Weights of a new observation. The level follows the load quickly in both
// directions: the planner's hold times keep VMs through short falls, and a slow
// fall would keep every VM of a peak for minutes.
const (
	levelWeight  = 0.5
	trendWeight  = 0.3
	spreadWeight = 0.1
)

// lead is the number of intervals after which a VM that is asked for now
// serves: a deficit has to last, and a move takes a drain and an admission.
const lead = 4

// Observe takes in the load of one interval, in slots.
func (f *Forecast) Observe(load float64) {
	if !f.seen {
		f.level, f.seen = load, true
		return
	}
	f.previous = f.upper()
	expected := f.level + f.trend
	miss := load - expected
	f.spread += spreadWeight * (math.Abs(miss) - f.spread)
	level := expected + levelWeight*miss
	f.trend += trendWeight * (level - f.level - f.trend)
	f.level = level
}

// Upper returns a load that is seldom exceeded when a VM asked for now begins
// to serve: the level, its rise until then, and the mean absolute error. A
// falling trend is not used, and a single quiet interval does not lower it:
// both would cost requests where they are wrong.
func (f *Forecast) Upper() float64 { return max(f.upper(), f.previous) }

func (f *Forecast) upper() float64 { return f.level + lead*max(f.trend, 0) + f.spread }

// Target returns the number of VMs that a pool needs for a load in slots when
// each VM has slots and is to be busy to the fraction utilisation, between the
// pool's Min and Max. Without a Max the pool's Target is the upper bound.
func Target(p structs.Pool, load float64, slots int, utilisation float64) int {
	upper := p.Max
	if upper == 0 {
		upper = max(p.Target, p.Min)
	}
	if slots <= 0 || utilisation <= 0 {
		return min(max(p.Target, p.Min), upper)
	}
	need := int(math.Ceil(load / (float64(slots) * utilisation)))
	return min(max(need, p.Min), upper)
}
