// Package dispatch decides which endpoint receives a request. It keeps the
// endpoints of each pool indexed by load, follows the concurrency that each
// endpoint really sustains, ejects endpoints that fail or are slow, and gives
// no new work to endpoints that leave. It reads no clock: the time is an
// argument of each call. A Set is owned by one goroutine.
package dispatch

import "time"

// Options tunes a Set. The zero value of a field selects its default.
type Options struct {
	// Growth bounds the adaptive limit at this multiple of the gateway's share
	// of an endpoint's declared slots. Default 4: declared sizes are far off.
	Growth float64
	// CeilingHold is how long the limit stays below the concurrency at which
	// an endpoint refused work. Default 5 s, so that probing for more room
	// costs at most one refusal per endpoint in that time.
	CeilingHold time.Duration
	// LeaveHold is how long an endpoint that showed a sign of leaving gets no
	// new work. Default 30 s.
	LeaveHold time.Duration
	// EjectFraction is the greatest part of a pool that may be ejected at
	// once. Default 0.5: a rack of four in a pool of ten can fail as a whole.
	EjectFraction float64
	// EjectFor is the time of a first ejection; it doubles with each further
	// one, up to 16 times. Default 5 s.
	EjectFor time.Duration
	// FailuresInRow ejects an endpoint. Default 4.
	FailuresInRow float64
	// SlowRatio ejects an endpoint whose latency relative to the mean of its
	// services exceeds this value. Default 3.
	SlowRatio float64
	// ProbesToReturn is the number of successful probes after which an ejected
	// endpoint returns. Default 2.
	ProbesToReturn int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Growth, 4)
	setDefault(&o.CeilingHold, 5*time.Second)
	setDefault(&o.LeaveHold, 30*time.Second)
	setDefault(&o.EjectFraction, 0.5)
	setDefault(&o.EjectFor, 5*time.Second)
	setDefault(&o.FailuresInRow, 4)
	setDefault(&o.SlowRatio, 3)
	setDefault(&o.ProbesToReturn, 2)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
