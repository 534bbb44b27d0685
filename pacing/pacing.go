// Package pacing limits the rate of calls to a service whose own limit is
// shared with other clients and not known exactly. The rate follows additive
// increase and multiplicative decrease, so that clients with the same settings
// converge to equal shares (D. Chiu and R. Jain, "Analysis of the Increase and
// Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989).
package pacing

import "time"

// Options configures a Pacer. Rates are in calls per second.
type Options struct {
	Initial  float64
	Min, Max float64
	Burst    float64 // calls that may follow one another without a wait
	Increase float64 // rate gained per second of calls without a throttled one
	Decrease float64 // factor of the rate after a throttled call, below 1
	// Settle is the time after a decrease in which further throttled calls do
	// not decrease the rate again: they were sent at the old rate.
	Settle time.Duration
}

// Pacer is a token bucket with an adaptive rate. It is owned by one goroutine.
type Pacer struct {
	opts      Options
	rate      float64
	tokens    float64
	last      time.Time
	decreased time.Time
}

// New returns a Pacer with a full bucket.
func New(o Options) *Pacer {
	return &Pacer{opts: o, rate: o.Initial, tokens: o.Burst}
}

// Rate returns the current rate in calls per second.
func (p *Pacer) Rate() float64 { return p.rate }

// Ready reports whether a call may be made now.
func (p *Pacer) Ready(now time.Time) bool {
	p.refill(now)
	return p.tokens >= 1
}

// Take records a call. It is made only after Ready.
func (p *Pacer) Take(now time.Time) {
	p.refill(now)
	p.tokens--
}

// NextAt returns the earliest time at which Ready is true without further
// calls.
func (p *Pacer) NextAt(now time.Time) time.Time {
	p.refill(now)
	if p.tokens >= 1 {
		return now
	}
	// Rounded up, so that a timer never fires before the token is complete.
	wait := time.Duration((1-p.tokens)/p.rate*float64(time.Second)) + time.Microsecond
	return now.Add(wait)
}

// Succeeded records a call that was not throttled.
func (p *Pacer) Succeeded() {
	p.rate = min(p.opts.Max, p.rate+p.opts.Increase/p.rate)
}

// Throttled records a call that the service refused because of its limit.
func (p *Pacer) Throttled(now time.Time) {
	if now.Sub(p.decreased) < p.opts.Settle {
		return
	}
	p.refill(now)
	p.decreased = now
	p.rate = max(p.opts.Min, p.rate*p.opts.Decrease)
	p.tokens = min(p.tokens, 0)
}

func (p *Pacer) refill(now time.Time) {
	if p.last.IsZero() || now.Before(p.last) {
		p.last = now
		return
	}
	p.tokens = min(p.opts.Burst, p.tokens+now.Sub(p.last).Seconds()*p.rate)
	p.last = now
}
