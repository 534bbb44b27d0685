package times

import (
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
