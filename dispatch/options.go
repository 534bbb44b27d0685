// Package dispatch balances load: it chooses the endpoint that receives a
// request. It indexes the endpoints of each pool by load, adapts a concurrency
// limit for each endpoint to what it sustains, ejects endpoints that fail or
// are slow, and sends no new requests to endpoints that are leaving. It reads no
// clock: the time is an argument of each call. A Set is not safe for concurrent
// use.
package dispatch

import "time"

// Options configures a Set. The zero value of a field selects its default.
type Options struct {
	// MaxGrowth bounds the adaptive limit at this multiple of the gateway's share
	// of an endpoint's declared slots. Default 4, since the real capacity can be
	// far above the declared one.
	MaxGrowth float64
	// CeilingHold is how long the limit stays at or below the concurrency at
	// which an endpoint refused a request. Default 5 s, so that probing for more
	// capacity costs at most one refusal per endpoint in that time.
	CeilingHold time.Duration
	// LeaveHold is how long an endpoint receives no new requests after a sign
	// that it is leaving. Default 30 s.
	LeaveHold time.Duration
	// MaxEjectedFraction is the greatest fraction of a pool's endpoints that may
	// be ejected at the same time. Default 0.5, so that a failed rack of four in
	// a pool of ten can be ejected entirely.
	MaxEjectedFraction float64
	// EjectionTime is the time from an ejection to the first probe. It doubles
	// with each further ejection or failed probe, up to 16 times the value.
	// Default 5 s.
	EjectionTime time.Duration
	// ConsecutiveFailures is the number of failures in a row that ejects an
	// endpoint. Default 4.
	ConsecutiveFailures float64
	// SlowRatio is the latency relative to the mean of its services above which
	// an endpoint is ejected. Default 3.
	SlowRatio float64
	// ProbesToReturn is the number of successful probes in a row after which an
	// ejected endpoint returns. Default 2.
	ProbesToReturn int
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxGrowth, 4)
	setDefault(&o.CeilingHold, 5*time.Second)
	setDefault(&o.LeaveHold, 30*time.Second)
	setDefault(&o.MaxEjectedFraction, 0.5)
	setDefault(&o.EjectionTime, 5*time.Second)
	setDefault(&o.ConsecutiveFailures, 4)
	setDefault(&o.SlowRatio, 3)
	setDefault(&o.ProbesToReturn, 2)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
