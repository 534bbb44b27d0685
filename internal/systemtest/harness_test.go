// Package systemtest runs whole deployments of real processes on loopback,
// kills, stops and replaces them under load, and checks the recorded history.
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
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
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

// child is a process of the deployment.
type child struct {
	t          testing.TB
	name       string
	cmd        *exec.Cmd
	exitErr    chan error        // the exit error, once known; received and sent back
	addrs      map[string]string // from its start line
	outputTail chan []string     // last lines of its output; received and sent back, as with a lock
}

// maxTailLines is the number of output lines that a failure message shows.
const maxTailLines = 15

// recordLine adds a line to the output tail.
func (c *child) recordLine(line string) {
	lines := append(<-c.outputTail, line)
	c.outputTail <- lines[max(0, len(lines)-maxTailLines):]
}

// describeExit returns how the process exited, if it has, and its last output.
func (c *child) describeExit() string {
	status := "is running"
	if c.exited() {
		err := <-c.exitErr
		c.exitErr <- err
		status = fmt.Sprintf("exited: %v", err)
	}
	lines := <-c.outputTail
	c.outputTail <- lines
	return fmt.Sprintf("%s %s; last lines:\n%s", c.name, status, strings.Join(lines, "\n"))
}

// startProcess runs the binary and waits until parseReady returns the addresses
// from a line of its output.
func startProcess(t testing.TB, name string, parseReady func(line string) map[string]string, args ...string) *child {
	t.Helper()
	return startProcessObserved(t, name, parseReady, func(string) {}, args...)
}

// startProcessObserved is startProcess with a function that receives each line
// of the output.
func startProcessObserved(
	t testing.TB, name string, parseReady func(line string) map[string]string, observe func(line string), args ...string,
) *child {
	t.Helper()
	c := &child{t: t, name: name, cmd: exec.Command(binary, args...), exitErr: make(chan error, 1), outputTail: make(chan []string, 1)}
	c.outputTail <- nil
	// When the shell that started the test exits, the kernel sends SIGHUP to the
	// test's process group if one of its processes is stopped.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	outputReader, outputWriter := io.Pipe()
	c.cmd.Stdout, c.cmd.Stderr = outputWriter, outputWriter
	require.NoError(t, c.cmd.Start())
	readyAddrs := make(chan map[string]string, 1)
	go func() {
		lines := bufio.NewScanner(outputReader)
		for lines.Scan() {
			observe(lines.Text())
			c.recordLine(lines.Text())
			if addrs := parseReady(lines.Text()); addrs != nil {
				readyAddrs <- addrs
			} else if os.Getenv("SYSTEMTEST_VERBOSE") != "" {
				fmt.Println(name, lines.Text())
			}
		}
	}()
	go func() {
		c.exitErr <- c.cmd.Wait()
		outputWriter.Close()
	}()
	t.Cleanup(c.kill)
	select {
	case c.addrs = <-readyAddrs:
	case err := <-c.exitErr:
		c.exitErr <- err
		t.Fatalf("process exited before it was ready: %s", c.describeExit())
	}
	return c
}

func (c *child) signal(s syscall.Signal) {
	err := c.cmd.Process.Signal(s)
	if err != nil {
		require.NoError(c.t, err, c.describeExit())
	}
}

// exited reports whether the process has exited.
func (c *child) exited() bool {
	select {
	case err := <-c.exitErr:
		c.exitErr <- err
		return true
	default:
		return false
	}
}

// kill sends SIGKILL and waits for the exit.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	err := <-c.exitErr
	c.exitErr <- err
}

// terminate sends SIGTERM and waits for a clean exit.
func (c *child) terminate() {
	c.signal(syscall.SIGTERM)
	err := <-c.exitErr
	c.exitErr <- err
	require.NoError(c.t, err, "%s did not exit cleanly after SIGTERM", c.name)
}

func parseStandinReady(line string) map[string]string {
	if addr, ok := strings.CutPrefix(line, "listening on "); ok {
		return map[string]string{"listen": addr}
	}
	return nil
}

// parseDaemonReady returns the text fields of the JSON log line that reports the
// start, or nil for any other line.
func parseDaemonReady(line string) map[string]string {
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

// Guards against children in the test's own process group: when the shell that
// had started the test in the background exited, SIGHUP ended the stopped
// gateway of TestFrozenGatewayAndController (seed 12) in two runs.
func TestChildrenHaveProcessGroupsOfTheirOwn(t *testing.T) {
	c := startProcess(t, "platform", parseStandinReady, "standin", "platform", "--listen", "127.0.0.1:0")
	group, err := syscall.Getpgid(c.cmd.Process.Pid)
	require.NoError(t, err)
	require.Equal(t, c.cmd.Process.Pid, group)
	require.NotEqual(t, syscall.Getpgrp(), group)
}
