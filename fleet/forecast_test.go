package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Machines that were ordered only when a peak showed itself came 2 s late.
func TestPeakIsForeseenFromTheTurnsOfAllPools(t *testing.T) {
	m := New(start, config(), nil, false)
	first, second := &pool{name: "a"}, &pool{name: "b"}
	m.pools["a"], m.pools["b"], m.names = first, second, []string{"a", "b"}
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	peak := func(p *pool, from float64, want int) {
		p.cycle.observe(at(from), 0.9, want)
		p.cycle.observe(at(from+4), 0.1, 1)
	}
	peak(first, 0, 15)
	peak(second, 4, 10)
	m.now = at(17)
	require.Zero(t, m.foreseen(second, m.period()), "no pool has peaked twice")
	peak(first, 16, 15)
	require.Equal(t, 16*time.Second, m.period())
	for s, want := range map[float64]int{17: 0, 18: 8, 20: 8, 21: 8, 22: 0} {
		m.now = at(s)
		require.Equal(t, want, m.foreseen(second, m.period()), "at %v s", s)
	}
	second.cycle.observe(at(20), 0.9, 12)
	m.now = at(20)
	require.Zero(t, m.foreseen(second, m.period()), "the peak has begun")
}

// A load that wavers within one peak was taken for several.
func TestOnePeakIsCountedOnce(t *testing.T) {
	var c cycle
	for i, part := range []float64{0.7, 0.5, 0.7, 0.2, 0.7, 0.2} {
		c.observe(start.Add(time.Duration(i)*time.Second), part, 5)
	}
	require.Len(t, c.rises, 1)
	require.Zero(t, c.period())
}
