package guard

import (
	"bytes"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// A panic must become the failed result, and the log has to show where it came from.
func TestPanicBecomesFailedResult(t *testing.T) {
	var log bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &log})
	require.Equal(t, 1, Call(logger, "read", 7, func() int { return 1 }))
	require.Empty(t, log.String())
	require.Equal(t, 7, Call(logger, "read", 7, func() int { panic("odd row") }))
	require.Contains(t, log.String(), "odd row")
	require.Contains(t, log.String(), "TestPanicBecomesFailedResult")
}
