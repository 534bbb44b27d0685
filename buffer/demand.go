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

// Forecast follows the load of one pool. The zero value knows nothing.
type Forecast struct {
	level  float64 // smoothed load in slots
	spread float64 // smoothed absolute error of the forecast
	seen   bool
}

// Weights of a new observation. The level follows a rise at once in part and a
// fall slowly, since a missing VM costs requests and a spare one does not.
const (
	riseWeight   = 0.5
	fallWeight   = 0.05
	spreadWeight = 0.1
)

// Observe takes in the load of one interval, in slots.
func (f *Forecast) Observe(load float64) {
	if !f.seen {
		f.level, f.seen = load, true
		return
	}
	miss := load - f.level
	f.spread += spreadWeight * (math.Abs(miss) - f.spread)
	if miss > 0 {
		f.level += riseWeight * miss
	} else {
		f.level += fallWeight * miss
	}
}

// Upper returns a load that is seldom exceeded: the level plus twice its mean
// absolute error.
func (f *Forecast) Upper() float64 { return f.level + 2*f.spread }

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
