package systemtest

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite golden files")

// session records a transcript of an operator's commands and a caller's requests.
type session struct {
	t   *testing.T
	d   *deployment
	out bytes.Buffer
}

// TestSession compares a whole session with its golden file: check, submission,
// conflict, diff, requests, a repeated request, refusals and a drain. It guards
// against unintended changes of what operators and callers see.
func TestSession(t *testing.T) {
	d := newDeployment(t, 1, 1)
	s := &session{t: t, d: d}
	s.runCommand("check", "../../demo/fleet.ini")
	s.runCommand("check", "testdata/dangling.ini")
	s.runCommand("submit", "--addr", "OPERATORS", "--base", "0", "--id", "session-0001", "testdata/dangling.ini")
	s.runCommand("submit", "--addr", "OPERATORS", "--base", "1", "--id", "session-0002", "testdata/changed.ini")
	s.waitGeneration(2)
	s.runCommand("submit", "--addr", "OPERATORS", "--base", "1", "--id", "session-0003", "testdata/conflict.ini")
	s.runCommand("diff", "--addr", "OPERATORS", "--since", "1")
	s.callGateway("check", "quote", "", "price of a van")
	s.callGateway("payout", "pay", "", "no key")
	s.callGateway("payout", "pay", "key-1", "pay 100")
	s.callGateway("payout", "pay", "key-1", "pay 100")
	s.callGateway("payout", "pay", "key-1", "pay 200")
	s.callGateway("nothing", "pay", "", "x")
	s.runCommand("drain", "--addr", "OPERATORS", "--reason", "fan failure", "vm-001")
	s.compareGolden("testdata/session.golden")
}

// runCommand executes the binary and records its arguments, output and exit code.
func (s *session) runCommand(args ...string) {
	actual := make([]string, len(args))
	for i, a := range args {
		actual[i] = a
		if a == "OPERATORS" {
			actual[i] = s.d.controllers[0].addrs["operators"]
		}
	}
	cmd := exec.Command(binary, actual...)
	cmd.Env = append(os.Environ(), "CAROBWHARF_OPERATOR_KEY="+operatorKey)
	text, _ := cmd.CombinedOutput() // the exit code is part of the transcript
	fmt.Fprintf(&s.out, "$ carobwharf %s\n%sexit %d\n\n", strings.Join(args, " "), text, cmd.ProcessState.ExitCode())
}

// callGateway sends a request to the gateway and records the answer.
func (s *session) callGateway(service, operation, key, body string) {
	path := "/v1/services/" + service + "/" + operation
	addr := s.d.balancer.addresses()[0]
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("X-Request-Id", "session-request")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	fmt.Fprintf(&s.out, "> POST %s key=%q body=%q\n< %d", path, key, body, resp.StatusCode)
	for _, h := range []string{"X-Outcome", "X-Reason", "X-Replayed"} {
		if v := resp.Header.Get(h); v != "" {
			fmt.Fprintf(&s.out, " %s=%s", h, v)
		}
	}
	fmt.Fprintf(&s.out, "\n%s\n\n", strings.TrimSpace(string(answer)))
}

func (s *session) waitGeneration(n int) {
	want := fmt.Sprintf(`"Generation":%d`, n)
	admin := s.d.balancer.admin()
	require.Eventually(s.t, func() bool {
		dump, err := admin.Admin(s.t.Context(), "/dump")
		return err == nil && strings.Contains(strings.ReplaceAll(string(dump), " ", ""), want)
	}, 30*time.Second, 50*time.Millisecond)
}

// nondeterministic lists the parts of the output that differ between runs.
var nondeterministic = []struct{ pattern, replacement string }{
	{`"vm":"vm-\d+"`, `"vm":"VM"`},
	{`[0-9a-f]{64}`, "HASH"},
	{`127\.0\.\d+\.\d+:\d+`, "ADDR"},
	{`vm-001 of pool \S+:`, "vm-001 of pool POOL:"},
}

func (s *session) compareGolden(golden string) {
	got := s.out.String()
	for _, v := range nondeterministic {
		got = regexp.MustCompile(v.pattern).ReplaceAllString(got, v.replacement)
	}
	if *update {
		require.NoError(s.t, os.WriteFile(golden, []byte(got), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(s.t, err)
	require.Equal(s.t, string(want), got)
}
