// Package retry limits retries: a budget bounds them to a fraction of the first
// attempts, and an exponential backoff with jitter spreads them over time.
package retry

import (
	"math/rand/v2"
	"time"
)

// MaxRatio is the maximum ratio of retries to first attempts. More retries can
// keep up an overload after its cause is gone.
const MaxRatio = 0.1

// maxTokens is the maximum number of unused retries that a Budget accumulates.
// It is large enough to retry the requests in flight on a lost rack at once.
const maxTokens = 100

// Budget counts first attempts and allows retries in proportion. The zero value
// allows no retries. At any time, the number of retries so far is at most the
// ratio times the number of first attempts so far.
type Budget struct {
	ratio  float64
	tokens float64
}

// NewBudget returns a Budget without tokens. A ratio outside of 0 to MaxRatio is
// set to the nearest bound.
func NewBudget(ratio float64) Budget {
	var b Budget
	b.SetRatio(ratio)
	return b
}

// SetRatio changes the ratio for subsequent first attempts.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = min(MaxRatio, max(0, ratio))
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(maxTokens, b.tokens+b.ratio)
}

// Take reports whether a retry is allowed now. If so, it counts the retry.
func (b *Budget) Take() bool {
	// Rounding errors can leave a sum of many ratios just below a whole token.
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Tokens returns the number of retries that are available.
func (b *Budget) Tokens() float64 { return b.tokens }

// Backoff is an exponential backoff with jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the wait before the nth retry, counted from 1. It is a random
// value between half and all of the backoff, which starts at Base and doubles
// with each retry up to Max.
func (b Backoff) Delay(n int, r *rand.Rand) time.Duration {
	backoff := b.Max
	if shift := min(max(n-1, 0), 20); b.Base<<shift < b.Max {
		backoff = b.Base << shift
	}
	return backoff/2 + time.Duration(r.Float64()*float64(backoff)/2)
}
