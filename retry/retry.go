// Package retry bounds retries: a budget keeps them to a fraction of first
// tries, and a jittered backoff spreads them.
package retry

import (
	"math/rand/v2"
	"time"
)

// MaxRatio is the greatest fraction of first tries that may be retried.
// Retries beyond it turn an overload into a lasting one.
const MaxRatio = 0.1

// burst is the greatest number of retries that can be saved up. It lets the
// requests in flight on a lost rack be retried at once.
const burst = 100

// Budget counts first tries and allows retries in proportion. The zero value
// allows none. Over any period from the start, retries are at most the ratio
// times the first tries.
type Budget struct {
	ratio  float64
	tokens float64
}

// NewBudget returns an empty budget. Ratios outside 0 to MaxRatio are set to
// the nearest bound.
func NewBudget(ratio float64) Budget {
	var b Budget
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio for later first tries.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = min(MaxRatio, max(0, ratio))
}

// First records a first try.
func (b *Budget) First() {
	b.tokens = min(burst, b.tokens+b.ratio)
}

// Take reports whether a retry is allowed now, and counts it.
func (b *Budget) Take() bool {
	// The sum of many small ratios may end just below a whole token.
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Tokens returns the number of retries saved up.
func (b *Budget) Tokens() float64 { return b.tokens }

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the wait before retry number n (from 1): a random part of the
// doubled base, at least half of it.
func (b Backoff) Delay(n int, r *rand.Rand) time.Duration {
	d := b.Max
	if shift := min(max(n-1, 0), 20); b.Base<<shift < b.Max {
		d = b.Base << shift
	}
	return d/2 + time.Duration(r.Float64()*float64(d)/2)
}
