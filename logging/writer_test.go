package logging

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stalled reader of the log that blocks the goroutines that log or
// makes the queue of lines grow without bound.
func TestWriterDropsAndCountsLinesWhenFull(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for range maxQueuedLines + 3 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for err := w.Run(ctx); out.Len() < 5*maxQueuedLines; err = w.Run(ctx) {
		require.NoError(t, err)
	}
	require.Contains(t, out.String(), `"count":3`)
	require.Equal(t, maxQueuedLines, bytes.Count(out.Bytes(), []byte("line\n")))
}
