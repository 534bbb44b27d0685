package fleet

import (
	"slices"
	"time"
)

// Forecast of peaks. The demand of pools rises and falls in turn, so a pool
// that has peaked twice tells when each of the others is likely to peak.
const (
	// riseAt and fallAt are the parts of a pool's base capacity beyond which a
	// peak begins, and below which it has ended.
	riseAt = 0.6
	fallAt = 0.3
	// shortestPeriod keeps the parts of one peak from being taken for two.
	shortestPeriod = 6 * time.Second
	// forecastLead is how much earlier than needed machines are ordered.
	forecastLead = 700 * time.Millisecond
	// forecastFor is how long after its time a peak is still expected.
	forecastFor = 1500 * time.Millisecond
	// forecastPart is the part of the last peak's machines that is brought
	// before the peak shows itself.
	forecastPart = 0.8
	// risesKept is how many peaks of a pool are remembered.
	risesKept = 3
)

// cycle is what is known of the peaks of a pool.
type cycle struct {
	risen bool
	rises []time.Time // beginnings of the last peaks
	top   int         // most machines wanted in the present peak
	last  int         // most machines wanted in the last peak
}

// observe takes the present load in, as a part of the pool's base capacity.
func (c *cycle) observe(now time.Time, part float64, want int) {
	switch {
	case !c.risen && part > riseAt:
		c.risen, c.top = true, 0
		if n := len(c.rises); n == 0 || now.Sub(c.rises[n-1]) >= shortestPeriod {
			c.rises = append(c.rises, now)
			c.rises = c.rises[max(0, len(c.rises)-risesKept):]
		}
	case c.risen && part < fallAt:
		c.risen, c.last = false, c.top
	}
	if c.risen {
		c.top = max(c.top, want)
	}
}

// period returns the time between the last two peaks, 0 if there were fewer.
func (c *cycle) period() time.Duration {
	n := len(c.rises)
	if n < 2 {
		return 0
	}
	return c.rises[n-1].Sub(c.rises[n-2])
}

// period returns the typical time between two peaks of a pool, 0 if no pool
// has had two.
func (m *Machine) period() time.Duration {
	var known []time.Duration
	for _, name := range m.names {
		if p := m.pools[name].cycle.period(); p > 0 {
			known = append(known, p)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// foreseen returns the machines that the pool is likely to want soon, 0 if no
// peak is due.
func (m *Machine) foreseen(p *pool, period time.Duration) int {
	n := len(p.cycle.rises)
	if period == 0 || n == 0 || p.cycle.risen {
		return 0
	}
	due := p.cycle.rises[n-1].Add(period)
	if m.now.Before(due.Add(-m.cfg.MoveTime-forecastLead)) || m.now.After(due.Add(forecastFor)) {
		return 0
	}
	return int(forecastPart * float64(p.cycle.last))
}
