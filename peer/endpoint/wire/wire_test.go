package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A name with a slash or another special character must reach the endpoint
// unchanged; otherwise the request runs as another service or operation.
func FuzzPath(f *testing.F) {
	f.Add("payout", "pay")
	f.Add("a b", "ü?x=1#f%2f")
	f.Add("..", "//")
	f.Fuzz(func(t *testing.T, service, operation string) {
		s, o, ok := ParsePath(string(AppendPath(nil, service, operation)))
		require.Equal(t, service != "" && operation != "", ok)
		if ok {
			require.Equal(t, service, s)
			require.Equal(t, operation, o)
		}
		ParsePath(service) // must not panic on any target
	})
}

// An X-Error value must never be read as success; the caller would get a
// failure as a result.
func TestParseError(t *testing.T) {
	for value, want := range map[string]int{FormatError(503, "leaving"): 503, "429": 429, "": 500, "no money": 500, "200 ok": 500, "9999 x": 500} {
		require.Equal(t, want, ParseError(value), value)
	}
}
