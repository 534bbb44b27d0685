package settings

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/structs"
)

var update = flag.Bool("update", false, "write golden files")

func golden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// Operators correct a file from the error alone, so each message must name
// the place, the value and what was expected, and all must come at once.
func TestErrorTexts(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.ini")
	require.NoError(t, err)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			if strings.HasPrefix(filepath.Base(path), "process") {
				_, err = ParseProcess(filepath.Base(path), data)
			} else {
				_, err = ParseObjects(filepath.Base(path), data)
			}
			require.Error(t, err)
			golden(t, path+".golden", err.Error()+"\n")
		})
	}
}

func TestRoundTrip(t *testing.T) {
	data, err := os.ReadFile("testdata/good/small.ini")
	require.NoError(t, err)
	f, err := ParseObjects("small.ini", data)
	require.NoError(t, err)
	require.Equal(t, 23, f.Line(structs.Ref{Kind: structs.KindService, Name: "payout"}, "retention"))
	text, err := FormatObjects(&f.Set)
	require.NoError(t, err)
	golden(t, "testdata/good/small.ini.golden", string(text))
	again, err := ParseObjects("again", text)
	require.NoError(t, err)
	require.Equal(t, f.Set, again.Set)
}

// A huge or hostile file must be refused before it is parsed, and its error
// must stay short.
func TestInputIsBounded(t *testing.T) {
	_, err := ParseObjects("big", make([]byte, MaxObjectBytes+1))
	require.ErrorContains(t, err, "at most 8388608 bytes")
	_, err = ParseObjects("junk", []byte(strings.Repeat("x\n", 5000)))
	require.ErrorContains(t, err, "and 4800 more")
}

func TestProcess(t *testing.T) {
	data, err := os.ReadFile("testdata/good/process.ini")
	require.NoError(t, err)
	p, err := ParseProcess("process.ini", data)
	require.NoError(t, err)
	require.Equal(t, "0123456789abcdef#;", p.Controller.OperatorKey)
	require.Equal(t, 16<<10, p.Gateway.InlineAnswer)
	require.Equal(t, []string{"127.0.0.1:7000", "127.0.0.1:7100"}, p.Seeds)
	require.Equal(t, DefaultProcess().Membership.Interval, p.Membership.Interval)
}

// A set that parses must be written and read back without a difference.
func FuzzParseObjects(f *testing.F) {
	for _, pattern := range []string{"testdata/good/small.ini", "testdata/bad/*.ini", "../examples/*/fleet.ini"} {
		paths, _ := filepath.Glob(pattern)
		for _, path := range paths {
			data, err := os.ReadFile(path)
			require.NoError(f, err)
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := ParseObjects("fuzz", data)
		if err != nil {
			return
		}
		text, err := FormatObjects(&parsed.Set)
		require.NoError(t, err)
		again, err := ParseObjects("again", text)
		require.NoError(t, err)
		require.Equal(t, parsed.Set, again.Set)
	})
}

// Accepted settings must not contain values that stall or overload a process.
func FuzzParseProcess(f *testing.F) {
	for _, pattern := range []string{"testdata/good/process.ini", "testdata/bad/process-*.ini", "../examples/*/*-1.ini"} {
		paths, _ := filepath.Glob(pattern)
		for _, path := range paths {
			data, err := os.ReadFile(path)
			require.NoError(f, err)
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := ParseProcess("fuzz", data)
		if err != nil {
			return
		}
		require.NotEmpty(t, p.ID)
		require.Positive(t, p.Platform.Timeout)
		require.Positive(t, p.View.ConfigPoll)
		require.Positive(t, p.Gateway.EventRing)
	})
}
