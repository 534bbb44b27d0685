// Package transcript compares state machines with golden transcripts. A
// transcript has lines "> event" and, after each, the actions that the machine
// must answer with as lines "< action". Other lines are comments.
package transcript

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the actions into the transcripts")

// Check runs each file that matches the pattern against a machine of its own.
// start returns a function that gives the machine an event and returns the
// actions.
func Check(t *testing.T, pattern string, start func(t *testing.T) func(event string) []string) {
	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			got := replay(string(want), start(t))
			if *update {
				require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(want), got)
		})
	}
}

// replay returns the transcript with the machine's actions in place of the
// recorded ones.
func replay(recorded string, run func(event string) []string) string {
	var out strings.Builder
	for line := range strings.Lines(recorded) {
		if strings.HasPrefix(line, "<") {
			continue
		}
		out.WriteString(line)
		event, ok := strings.CutPrefix(line, "> ")
		if !ok {
			continue
		}
		for _, action := range run(event) {
			out.WriteString("< " + action + "\n")
		}
	}
	return out.String()
}
