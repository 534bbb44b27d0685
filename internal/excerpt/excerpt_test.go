package excerpt

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// A text that was cut inside a character is not valid UTF-8, which JSON can't carry.
func TestLongTextIsCut(t *testing.T) {
	require.Equal(t, "short", Of("short"))
	cut := Of(strings.Repeat("x", maxBytes-1) + "é" + strings.Repeat("y", 1000))
	require.Less(t, len(cut), maxBytes+10)
	require.True(t, utf8.ValidString(cut))
}
