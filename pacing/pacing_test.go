package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testOptions() Options {
	return Options{Initial: 40, Min: 2, Max: 300, Burst: 4, Increase: 5, Decrease: 0.8, Cooldown: 200 * time.Millisecond}
}

func ExamplePacer() {
	p := New(Options{Initial: 10, Min: 1, Max: 10, Burst: 1})
	now := time.Unix(0, 0)
	fmt.Println(p.Ready(now))
	p.Take(now)
	fmt.Println(p.Ready(now), p.Ready(p.NextAt(now)))
	// Output:
	// true
	// false true
}

// Guards against a Pacer that allows more calls than its burst and maximum rate,
// and so exceeds the limit of the service.
func TestCallsStayWithinBurstAndMaximum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p, now, calls := New(testOptions()), time.Unix(0, 0), 0
		start := now
		for range rapid.IntRange(1, 500).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			if p.Ready(now) {
				p.Take(now)
				calls++
				if rapid.Bool().Draw(rt, "throttled") {
					p.Throttled(now)
				} else {
					p.Succeeded()
				}
			}
			o := testOptions()
			require.GreaterOrEqual(rt, p.Rate(), o.Min)
			require.LessOrEqual(rt, p.Rate(), o.Max)
			require.LessOrEqual(rt, float64(calls), o.Burst+now.Sub(start).Seconds()*o.Max+1)
		}
	})
}

// Guards against lasting unequal shares of a limit between clients that start
// with different rates: the writes of one gateway would wait while those of
// another would not.
func TestSharesConverge(t *testing.T) {
	const limit = 200.0
	pacers := []*Pacer{New(testOptions()), New(testOptions()), New(testOptions())}
	pacers[0].rate, pacers[1].rate = 150, 5
	now, tokens, completed := time.Unix(0, 0), 0.0, make([]float64, len(pacers))
	for step := range 120_000 {
		now = now.Add(time.Millisecond)
		tokens = min(limit/10, tokens+limit/1000)
		for i, p := range pacers {
			if !p.Ready(now) {
				continue
			}
			p.Take(now)
			if tokens < 1 {
				p.Throttled(now)
				continue
			}
			tokens--
			p.Succeeded()
			if step > 60_000 {
				completed[i]++
			}
		}
	}
	total := completed[0] + completed[1] + completed[2]
	require.Greater(t, total/60, 0.9*limit)
	for i := range completed {
		require.InDelta(t, total/3, completed[i], 0.2*total/3)
	}
}
