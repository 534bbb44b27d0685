// Package pacing limits the rate of calls to a service that has a rate limit,
// where the limit is shared with other clients and not known exactly. The rate
// is adjusted by additive increase and multiplicative decrease, so that clients
// with the same settings converge to equal shares (D. Chiu and R. Jain,
// "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in
// Computer Networks", 1989).
package pacing

import "time"

// Options configures a Pacer. Rates are in calls per second.
type Options struct {
	Initial  float64 // rate at the start
	Min, Max float64 // bounds of the rate
	Burst    float64 // number of calls that may be made without a wait between them
	Increase float64 // increase of the rate per second of calls without a throttled one
	Decrease float64 // factor applied to the rate after a throttled call, below 1
	// Cooldown is the time after a decrease in which further throttled calls do
	// not decrease the rate again, because they may have been sent at the old
	// rate.
	Cooldown time.Duration
}

// Pacer is a token bucket with an adaptive rate. It must be used by one
// goroutine only.
type Pacer struct {
	opts         Options
	rate         float64
	tokens       float64
	lastRefill   time.Time
	lastDecrease time.Time
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

// Take records a call. Call it only after Ready has returned true.
func (p *Pacer) Take(now time.Time) {
	p.refill(now)
	p.tokens--
}

// NextAt returns the earliest time at which Ready returns true, provided that no
// other call is made before.
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

// Throttled records a call that the service refused because of its rate limit.
func (p *Pacer) Throttled(now time.Time) {
	if now.Sub(p.lastDecrease) < p.opts.Cooldown {
		return
	}
	p.refill(now)
	p.lastDecrease = now
	p.rate = max(p.opts.Min, p.rate*p.opts.Decrease)
	p.tokens = min(p.tokens, 0)
}

func (p *Pacer) refill(now time.Time) {
	if p.lastRefill.IsZero() || now.Before(p.lastRefill) {
		p.lastRefill = now
		return
	}
	p.tokens = min(p.opts.Burst, p.tokens+now.Sub(p.lastRefill).Seconds()*p.rate)
	p.lastRefill = now
}
