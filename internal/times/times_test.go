package times

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A swapped comparison would let duties sleep past their next deadline.
func TestEarlierAndLater(t *testing.T) {
	a, b := time.Unix(1, 0), time.Unix(2, 0)
	for _, pair := range [][2]time.Time{{a, b}, {b, a}} {
		require.Equal(t, a, Earlier(pair[0], pair[1]))
		require.Equal(t, b, Later(pair[0], pair[1]))
	}
}

// A number of milliseconds from outside that exceeds the range of a duration became
// negative on x86-64.
func TestDurationOutOfRangeIsBounded(t *testing.T) {
	require.Equal(t, 1500*time.Microsecond, Milliseconds(1.5))
	require.Equal(t, time.Duration(math.MaxInt64), Milliseconds(1e300))
	require.Equal(t, time.Duration(math.MaxInt64), Seconds(math.Inf(1)))
	require.Equal(t, time.Duration(math.MinInt64), Seconds(-1e300))
	require.Zero(t, Milliseconds(math.NaN()))
}
