package cli

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/standin/endpoint"
	"github.com/carobwharf/carobwharf/structs"
)

// A misspelt key must be refused. Otherwise an experiment would run without the
// configured behaviour.
func TestParseService(t *testing.T) {
	base := endpoint.Service{Mean: time.Second, Legacy: structs.LegacyNone}
	cases := []struct {
		text string
		want endpoint.Service
		err  string
	}{
		{"a=mean:20ms,sigma:0.5,answer:10,legacy:chunked", endpoint.Service{Mean: 20 * time.Millisecond, Sigma: 0.5, FillerBytes: 10, Legacy: structs.LegacyChunked}, ""},
		{"a", base, ""},
		{"a=means:20ms", base, "service a: means: unknown key"},
		{"a=mean:20", base, "service a: mean: time: missing unit"},
		{"a=legacy:old", base, "want none, close, chunked or status200"},
		{"=mean:20ms", base, "want NAME=KEY:VALUE"},
	}
	for _, tc := range cases {
		name, got, err := parseService(tc.text, base)
		if tc.err != "" {
			require.ErrorContains(t, err, tc.err, tc.text)
			continue
		}
		require.NoError(t, err, tc.text)
		require.Equal(t, "a", name)
		require.Equal(t, tc.want, got, tc.text)
	}
}

// Endpoints that do not listen on loopback would be reachable from other machines.
func TestFleetStaysOnLoopback(t *testing.T) {
	_, err := endpoint.Fleet(1, "10.0.0.1", 80, []string{"dc1"}, 8, 64)
	require.ErrorContains(t, err, "loopback")
	vms, err := endpoint.Fleet(300, "127.0.1.1", 80, []string{"dc1", "dc2"}, 8, 64)
	require.NoError(t, err)
	require.Equal(t, "127.0.2.44:80", vms[299].Addr)
	require.Equal(t, "dc2-r38", vms[299].Rack)
}

// outputWriter sends each write of a command as a string.
type outputWriter chan string

func (w outputWriter) Write(p []byte) (int, error) { w <- string(p); return len(p), nil }

// A stand-in that does not stop on a signal would keep running after the script
// that started it. The test cancels the context in place of a signal.
func TestStandinsStartAndStop(t *testing.T) {
	for _, args := range [][]string{
		{"standin", "platform", "--listen", "127.0.0.1:0"},
		{"standin", "endpoint", "--count", "3", "--port", "0"},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		out, done := make(outputWriter, 10), make(chan error, 1)
		root := NewRoot()
		root.SetArgs(args)
		root.SetOut(out)
		go func() { done <- root.ExecuteContext(ctx) }()
		require.Contains(t, <-out, "listening on 127.0.0.1:")
		cancel()
		require.NoError(t, <-done)
	}
}
