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

// countingOutput counts the writes that it receives.
type countingOutput struct {
	bytes.Buffer
	writes, largest int
	cutLines        int // writes that do not end with a line
}

func (c *countingOutput) Write(p []byte) (int, error) {
	c.writes++
	c.largest = max(c.largest, len(p))
	if !bytes.HasSuffix(p, []byte("\n")) {
		c.cutLines++
	}
	return c.Buffer.Write(p)
}

// A burst of lines cost one system call for each line. With writes larger than a
// pipe keeps whole, the lines of several processes were mixed with one another.
func TestWriterCombinesQueuedLines(t *testing.T) {
	var out countingOutput
	w := NewWriter(&out)
	line := append(bytes.Repeat([]byte("x"), 99), '\n')
	for range 1000 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.NoError(t, w.flush())
	require.Equal(t, bytes.Repeat(line, 1000), out.Bytes())
	require.Equal(t, 25, out.writes)
	require.LessOrEqual(t, out.largest, 4096)
	require.Zero(t, out.cutLines)
}
