package logging

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// A log that nobody reads delayed decisions, or grew without bound.
func TestWriterDropsAndCountsWhatFindsNoRoom(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for range lineDepth + 3 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for err := w.Run(ctx); out.Len() < 5*lineDepth; err = w.Run(ctx) {
		require.NoError(t, err)
	}
	require.Contains(t, out.String(), `"count":3`)
	require.Equal(t, lineDepth, bytes.Count(out.Bytes(), []byte("line\n")))
}
