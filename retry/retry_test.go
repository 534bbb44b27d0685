package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func ExampleBudget() {
	b := NewBudget(0.1)
	for range 10 {
		b.RecordFirstAttempt()
	}
	fmt.Println(b.Take(), b.Take())
	// Output: true false
}

// Guards against retries beyond the ratio, which overload a pool that is already
// failing.
func TestRetriesStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(-1, 1).Draw(t, "ratio")
		b := NewBudget(ratio)
		firstAttempts, retries := 0, 0
		for _, isFirst := range rapid.SliceOfN(rapid.Bool(), 0, 3000).Draw(t, "sequence") {
			if isFirst {
				b.RecordFirstAttempt()
				firstAttempts++
			} else if b.Take() {
				retries++
			}
			allowed := min(MaxRatio, max(0, ratio)) * float64(firstAttempts)
			require.LessOrEqual(t, float64(retries), allowed+1e-6)
		}
	})
}

// Guards against retries that arrive at the same time because their delays don't
// grow or have no jitter, and overload a service that has just recovered.
func TestBackoffGrowsWithJitter(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Max: time.Second}
	r := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for n := range 40 {
		d := b.Delay(n, r)
		full := min(time.Second, 10*time.Millisecond<<max(0, min(n-1, 20)))
		require.GreaterOrEqual(t, d, full/2)
		require.LessOrEqual(t, d, full)
		seen[d] = true
	}
	require.Greater(t, len(seen), 30)
}
