package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func ExampleHeld() {
	sent := time.Unix(0, 0)
	h := Acquired(Takeover(Record{Holder: "old", Token: 4}, "new", 8*time.Second), sent)
	fmt.Println(h.Token, h.Valid(sent.Add(6*time.Second)), h.Valid(sent.Add(7*time.Second)))
	// Output: 5 true false
}

func ExamplePreferred() {
	fmt.Println(Preferred("pool-a", []string{"c1", "c2", "c3"}) == Preferred("pool-a", []string{"c3", "c1", "c2"}))
	// Output: true
}

// The lease of a holder must have ended before another process may claim it, for
// all delays of requests and reads. The holder measures from before its request,
// the other process from when it saw the row, and their clocks have different
// origins.
func TestNoOverlapOnEqualClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		trueStart := time.Unix(0, 0)
		holderClock, observerClock := ms("holder", 1e6), ms("observer", 1e6)
		duration := ms("duration", 10_000) + time.Second
		r := Takeover(Record{}, "h", duration)
		held := Acquired(r, trueStart.Add(holderClock))
		written := trueStart.Add(ms("request", 5000))
		seen := written.Add(ms("reading", 5000))
		var w Watch
		w.Observe(1, seen.Add(observerClock))
		at := seen.Add(ms("later", 40_000))
		w.Observe(1, at.Add(observerClock))
		if (Claim{Self: "o", Preferred: "o"}).Due(r, w, at.Add(observerClock)) {
			require.False(t, held.Valid(at.Add(holderClock)))
		}
	})
}

// A change of the row must restart the delay of a claim, and a process that is
// not preferred must wait longer than the preferred one.
func TestClaimDelays(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	r := Record{Holder: "h", Duration: 10 * time.Second}
	var w Watch
	w.Observe(1, at(0))
	w.Observe(2, at(8))
	preferred, other := Claim{Self: "a", Preferred: "a"}, Claim{Self: "b", Preferred: "a"}
	require.False(t, preferred.Due(r, w, at(17)))
	require.True(t, preferred.Due(r, w, at(19)))
	require.False(t, other.Due(r, w, at(27)))
	require.True(t, other.Due(r, w, at(29)))
	r.Holder = ""
	require.True(t, preferred.Due(r, w, at(9)))
	require.False(t, other.Due(r, w, at(9)))
}

// The loss of a controller must move only its own leases, and the leases must be
// balanced over the controllers.
func TestPreferredIsStableAndBalanced(t *testing.T) {
	all := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
	count := map[string]int{}
	for i := range 600 {
		name := fmt.Sprintf("pool%d", i)
		p := Preferred(name, all)
		count[p]++
		if p != "c6" {
			require.Equal(t, p, Preferred(name, all[:5]))
		}
	}
	for _, c := range all {
		require.InDelta(t, 100, count[c], 40, c)
	}
	require.Empty(t, Preferred("p", nil))
}
