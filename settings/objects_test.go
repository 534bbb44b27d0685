package settings

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/structs"
)

var update = flag.Bool("update", false, "write golden files")

// requireGolden requires that got equals the file at path, or writes the file if
// -update is set.
func requireGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// Operators correct a file with the help of the error alone, so each message must
// name the place, the value and what was expected, and all problems must be
// reported at once.
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
			requireGolden(t, path+".golden", err.Error()+"\n")
		})
	}
}

// A formatted set must parse to the same set, or carobwharf config would print a
// set that differs from the published one.
func TestRoundTrip(t *testing.T) {
	data, err := os.ReadFile("testdata/good/small.ini")
	require.NoError(t, err)
	f, err := ParseObjects("small.ini", data)
	require.NoError(t, err)
	require.Equal(t, 23, f.Line(structs.Ref{Kind: structs.KindService, Name: "payout"}, "retention"))
	text, err := FormatObjects(&f.Set)
	require.NoError(t, err)
	requireGolden(t, "testdata/good/small.ini.golden", string(text))
	again, err := ParseObjects("again", text)
	require.NoError(t, err)
	require.Equal(t, f.Set, again.Set)
}

// A file that is too large must be refused before it is parsed, and the error of a
// malformed file must stay short.
func TestInputIsBounded(t *testing.T) {
	_, err := ParseObjects("big", make([]byte, MaxObjectBytes+1))
	require.ErrorContains(t, err, "at most 4194304 bytes")
	_, err = ParseObjects("junk", []byte(strings.Repeat("x\n", 5000)))
	require.ErrorContains(t, err, "and 4800 more")
	var many strings.Builder
	for i := range maxSections + 1 {
		fmt.Fprintf(&many, "[team t%d]\n", i)
	}
	_, err = ParseObjects("many", []byte(many.String()))
	require.ErrorContains(t, err, "many:20001: \"[team t20000]\": want at most 20000 sections")
	many.Reset()
	many.WriteString("[team t]\n")
	for i := range maxKeys + 1 {
		fmt.Fprintf(&many, "k%d = 1\n", i)
	}
	_, err = ParseObjects("keys", []byte(many.String()))
	require.ErrorContains(t, err, "want at most 64 keys in a section")
}

// targetSet returns a set of the target size: 32 pools, 500 teams, 2,000 services.
func targetSet() *structs.ObjectSet {
	s := &structs.ObjectSet{}
	for i := range 32 {
		name := fmt.Sprintf("pool-%05d", i)
		s.Pools = append(s.Pools, defaultPool(name))
		b, p := defaultBudget(name), defaultStopPlan(name)
		b.Pool, b.MaxUnavailable, p.Pool, p.Width, p.Every = name, 10, name, 5, 672*time.Hour
		s.Budgets, s.StopPlans = append(s.Budgets, b), append(s.StopPlans, p)
	}
	for i := range 500 {
		s.Teams = append(s.Teams, defaultTeam(fmt.Sprintf("team-%05d", i)))
	}
	for i := range 2000 {
		v := defaultService(fmt.Sprintf("service-%05d", i))
		v.Pool, v.Team, v.Timeout = s.Pools[i%32].Name, s.Teams[i%500].Name, time.Second
		v.Idempotent, v.Once = []string{"get", "list", "status"}, []string{"pay"}
		s.Services = append(s.Services, v)
	}
	return s
}

func BenchmarkTargetSize(b *testing.B) {
	set := targetSet()
	text, err := FormatObjects(set)
	require.NoError(b, err)
	b.Run("parse", func(b *testing.B) {
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			_, err := ParseObjects("b", text)
			require.NoError(b, err)
		}
	})
	b.Run("format", func(b *testing.B) {
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			_, err := FormatObjects(set)
			require.NoError(b, err)
		}
	})
}

// Measures the largest file that the limits accept: parsing it must not keep a
// controller busy for long.
func BenchmarkParseLargest(b *testing.B) {
	var text strings.Builder
	for i := range maxSections {
		fmt.Fprintf(&text, "[team t%d]\n", i)
		for k := 0; k < 20 && text.Len() < MaxObjectBytes-maxSections*18; k++ {
			fmt.Fprintf(&text, "k%d = 1234567890\n", k)
		}
	}
	require.LessOrEqual(b, text.Len(), MaxObjectBytes)
	for b.Loop() {
		_, err := ParseObjects("b", []byte(text.String()))
		require.Error(b, err)
	}
}

// Values must be stored in their fields, a key may contain comment characters, and
// absent keys must have their defaults.
func TestParseProcess(t *testing.T) {
	data, err := os.ReadFile("testdata/good/process.ini")
	require.NoError(t, err)
	p, err := ParseProcess("process.ini", data)
	require.NoError(t, err)
	require.Equal(t, "0123456789abcdef#;", p.Controller.OperatorKey)
	require.Equal(t, 16<<10, p.Gateway.MaxInlineAnswer)
	require.Equal(t, []string{"127.0.0.1:7000", "127.0.0.1:7100"}, p.Seeds)
	require.Equal(t, DefaultProcess().Membership.Interval, p.Membership.Interval)
}

// Each set that can be parsed must be formatted and parsed again without a
// difference.
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

// Accepted settings must not contain zero timeouts, intervals or sizes, which would
// stall or overload a process.
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
