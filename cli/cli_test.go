package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/daemon/controller"
	"github.com/carobwharf/carobwharf/internal/fakestore"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/settings"
)

const lintangFleetFile = "../examples/lintang/fleet.ini"

// run executes a command line and returns the standard output, the error output
// and the exit code.
func run(t *testing.T, args ...string) (string, string, int) {
	t.Helper()
	var out, errOut bytes.Buffer
	root := NewRoot()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&errOut)
	err := root.ExecuteContext(t.Context())
	if err != nil {
		errOut.WriteString(err.Error())
	}
	return out.String(), errOut.String(), ExitCode(err)
}

// startController runs a controller on free ports. It returns the flags for calls
// to it, and its admin address.
func startController(t *testing.T, p *fakestore.Platform) (flags []string, admin string) {
	s := settings.DefaultProcess()
	s.ID, s.DataCentre = "controller-1", "dc-a"
	s.View.ConfigPoll = 5 * time.Millisecond
	s.Controller.OperatorKey = "0123456789abcdef"
	c, err := controller.New(controller.Options{
		Settings: s, Platform: p, Log: hclog.NewNullLogger(), Metrics: metrics.New(), Version: ReadBuildInfo()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	t.Setenv(operatorKeyEnv, s.Controller.OperatorKey)
	return []string{"--addr", c.OperatorAddr(), "--timeout", "10s"}, c.AdminAddr()
}

// The check must accept the example sets, report each problem with its place, and
// tell an invalid set from an invalid command line by the exit code.
func TestCheck(t *testing.T) {
	for _, path := range []string{lintangFleetFile, "../examples/sencau/fleet.ini"} {
		out, _, code := run(t, "check", path)
		require.Equal(t, ExitOK, code, out)
	}
	bad := filepath.Join(t.TempDir(), "bad.ini")
	require.NoError(t, os.WriteFile(bad, []byte("[pool a]\nmin = 5\ntarget = 3\n"), 0o600))
	out, _, code := run(t, "check", bad)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, "bad.ini:2: [pool a] min: 5 is above target 3\n")
	out, _, _ = run(t, "check", "--json", bad)
	var findings []finding
	require.NoError(t, json.Unmarshal([]byte(out), &findings))
	require.Len(t, findings, 2)
	_, _, code = run(t, "check", "/nonexistent")
	require.Equal(t, ExitUsage, code)
	_, _, code = run(t, "check", "--nonsense")
	require.Equal(t, ExitUsage, code)
}

// A submission whose answer is lost must be published exactly once. A submission
// that conflicts with another operator's change must be refused with ExitConflict.
func TestOperatorSession(t *testing.T) {
	p := fakestore.New(t.Context())
	flags, admin := startController(t, p)
	runRemote := func(args ...string) (string, string, int) { return run(t, append(args, flags...)...) }

	p.LoseAnswers.Store(1)
	out, errOut, code := runRemote("submit", "--base", "0", lintangFleetFile)
	require.Equal(t, ExitOK, code, errOut)
	require.Equal(t, "generation 1\n", out)
	require.Eventually(t, func() bool {
		out, _, _ = runRemote("status")
		return strings.Contains(out, "generation   1")
	}, 10*time.Second, time.Millisecond)

	text, err := os.ReadFile(lintangFleetFile)
	require.NoError(t, err)
	edit := func(name, from, to string) string {
		path := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(path, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600))
		return path
	}
	firstEdit, conflictingEdit := edit("a.ini", "slots  = 200", "slots  = 250"), edit("b.ini", "slots  = 200", "slots  = 300")
	out, _, _ = runRemote("diff", firstEdit)
	require.Equal(t, "~ [team dealers]\n", out)
	_, errOut, code = runRemote("submit", "--base", "1", "--json", firstEdit)
	require.Equal(t, ExitOK, code, errOut)
	_, errOut, code = runRemote("submit", "--base", "1", conflictingEdit)
	require.Equal(t, ExitConflict, code)
	require.Contains(t, errOut, "team dealers")
	require.Eventually(t, func() bool {
		out, _, _ = runRemote("diff", "--since", "1")
		return out == "~ [team dealers]\n"
	}, 10*time.Second, time.Millisecond)

	out, _, code = runRemote("config")
	require.Equal(t, ExitOK, code)
	require.True(t, strings.HasPrefix(out, "# generation 2\n[pool acquired]\n"), out)

	_, errOut, code = runRemote("submit", "--base", "2", edit("c.ini", "pool        = audit", "pool        = gone"))
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errOut, `c.ini:108: [service audit-bundle] pool: pool "gone" does not exist`)
	_, errOut, code = runRemote("drain", "vm-1")
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errOut, "drains no VMs")
	out, errOut, code = run(t, "dump", "--addr", admin)
	require.Equal(t, ExitOK, code, errOut)
	require.Contains(t, out, `"Name": "publisher"`)
}

// A failed call must say whether something was published, and a wrong key or
// missing flags must end with ExitUsage.
func TestRemoteErrors(t *testing.T) {
	p := fakestore.New(t.Context())
	flags, _ := startController(t, p)
	p.Down.Store(true)
	_, errOut, code := run(t, append([]string{"submit", "--base", "0", lintangFleetFile}, flags...)...)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, errOut, "nothing was published")
	t.Setenv(operatorKeyEnv, "wrong")
	_, errOut, code = run(t, append([]string{"status"}, flags...)...)
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errOut, "operators' key")
	_, _, code = run(t, "status")
	require.Equal(t, ExitUsage, code)
	_, _, code = run(t, append([]string{"submit", lintangFleetFile}, flags...)...)
	require.Equal(t, ExitUsage, code)
}

// The settings of the example deployments must load, and a daemon must not start
// with a file that is not a settings file.
func TestDaemonsLoadSettings(t *testing.T) {
	for _, role := range []string{"gateway", "controller"} {
		for _, deployment := range []string{"lintang", "sencau"} {
			_, err := settings.ReadProcess("../examples/" + deployment + "/" + role + "-1.ini")
			require.NoError(t, err)
		}
		_, errOut, code := run(t, role, "--settings", lintangFleetFile)
		require.Equal(t, ExitUsage, code)
		require.Contains(t, errOut, "one of the sections")
	}
}
