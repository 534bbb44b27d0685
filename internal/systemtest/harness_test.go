// Package systemtest runs whole deployments of real processes on loopback,
// kills, freezes and replaces them under load, and checks the history.
package systemtest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "carobwharf-systemtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "carobwharf")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/carobwharf").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// child is a running process of the deployment.
type child struct {
	t     testing.TB
	name  string
	cmd   *exec.Cmd
	ended chan error
	addrs map[string]string // from its start line
	tail  chan []string     // last lines of its output; taken and put back
}

// tailLines is how many lines of the output are kept to explain an end.
const tailLines = 15

// keep adds a line to the tail.
func (c *child) keep(line string) {
	lines := append(<-c.tail, line)
	c.tail <- lines[max(0, len(lines)-tailLines):]
}

// explain says how the process ended, if it has, and what it wrote last.
func (c *child) explain() string {
	how := "is running"
	if c.gone() {
		err := <-c.ended
		c.ended <- err
		how = fmt.Sprintf("ended: %v", err)
	}
	lines := <-c.tail
	c.tail <- lines
	return fmt.Sprintf("%s %s; last lines:\n%s", c.name, how, strings.Join(lines, "\n"))
}

// start runs the binary and waits until ready reads the addresses from a line
// of its output.
func start(t testing.TB, name string, ready func(line string) map[string]string, args ...string) *child {
	t.Helper()
	return startObserved(t, name, ready, func(string) {}, args...)
}

// startObserved is start with a function that sees each line of the output.
func startObserved(
	t testing.TB, name string, ready func(line string) map[string]string, observe func(line string), args ...string,
) *child {
	t.Helper()
	c := &child{t: t, name: name, cmd: exec.Command(binary, args...), ended: make(chan error, 1), tail: make(chan []string, 1)}
	c.tail <- nil
	// The kernel sends SIGHUP to a process group that has lost the shell which
	// started it while one of its processes is stopped.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, in := io.Pipe()
	c.cmd.Stdout, c.cmd.Stderr = in, in
	require.NoError(t, c.cmd.Start())
	found := make(chan map[string]string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			observe(lines.Text())
			c.keep(lines.Text())
			if addrs := ready(lines.Text()); addrs != nil {
				found <- addrs
			} else if os.Getenv("SYSTEMTEST_VERBOSE") != "" {
				fmt.Println(name, lines.Text())
			}
		}
	}()
	go func() {
		c.ended <- c.cmd.Wait()
		in.Close()
	}()
	t.Cleanup(c.kill)
	select {
	case c.addrs = <-found:
	case err := <-c.ended:
		c.ended <- err
		t.Fatalf("not ready: %s", c.explain())
	}
	return c
}

func (c *child) signal(s syscall.Signal) {
	err := c.cmd.Process.Signal(s)
	if err != nil {
		require.NoError(c.t, err, c.explain())
	}
}

// gone reports whether the process has ended.
func (c *child) gone() bool {
	select {
	case err := <-c.ended:
		c.ended <- err
		return true
	default:
		return false
	}
}

// kill ends the process without a chance to clean up.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	err := <-c.ended
	c.ended <- err
}

// terminate asks for a graceful stop and waits for it.
func (c *child) terminate() {
	c.signal(syscall.SIGTERM)
	err := <-c.ended
	c.ended <- err
	require.NoError(c.t, err, "%s did not stop cleanly", c.name)
}

func standinReady(line string) map[string]string {
	if addr, ok := strings.CutPrefix(line, "listening on "); ok {
		return map[string]string{"listen": addr}
	}
	return nil
}

// daemonReady reads the start line of the JSON log.
func daemonReady(line string) map[string]string {
	var fields map[string]any
	if json.Unmarshal([]byte(line), &fields) != nil || !strings.HasSuffix(fmt.Sprint(fields["@message"]), " started") {
		return nil
	}
	addrs := map[string]string{}
	for k, v := range fields {
		if s, ok := v.(string); ok {
			addrs[k] = s
		}
	}
	return addrs
}

// A frozen gateway was ended by SIGHUP when the shell that had started the test
// in the background ended (seed 12, twice).
func TestChildrenHaveProcessGroupsOfTheirOwn(t *testing.T) {
	c := start(t, "platform", standinReady, "standin", "platform", "--listen", "127.0.0.1:0")
	group, err := syscall.Getpgid(c.cmd.Process.Pid)
	require.NoError(t, err)
	require.Equal(t, c.cmd.Process.Pid, group)
	require.NotEqual(t, syscall.Getpgrp(), group)
}
