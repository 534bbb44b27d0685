// Package transcript tests state machines against golden transcripts. A
// transcript contains events as lines "> event", each followed by the actions
// that the machine must return as lines "< action". Other lines are comments.
package transcript

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the transcripts with the actions returned by the state machines")

// Check replays each file that matches the pattern on a new state machine. start
// creates a machine and returns a function that passes it an event and returns
// the resulting actions.
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

// replay runs the recorded events and returns the transcript with the resulting
// actions in place of the recorded ones.
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
