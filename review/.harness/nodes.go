package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a process of the system, started with the command of the deploy file.
type node struct {
	p            *platform
	name         string
	front, ready string
	settings     string
	log          string
	cmd          *exec.Cmd
}

// freePorts returns free ports of an address that only one node uses.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func newNode(p *platform, dir, name, ip string) (*node, error) {
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	n := &node{
		p: p, name: name, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(settingsTemplate, name, ip, ports[2], ports[2], n.front, n.ready, p.storeAddr, p.cloudAddr)
	return n, os.WriteFile(n.settings, []byte(text), 0o644)
}

// settingsTemplate has the bounds of sites/lah-jobs.toml.
const settingsTemplate = `node = %q
role = "node"
machine-class = "front"
serves = ["front"]
ip = %q
zone = "z-1"
region = "r-1"
port-range = [%d,%d]
seeds = []
bootstrap = true
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
control-mode = "call"
[zones]
z-1 = "r-1"
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
recovery-s = 12
hold-max-ms = 6000
kill-grace-ms = 900
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far-x = 2
checkpoint-s = 2
restore-ms = 250
notice-ms = 4500
move-s = 1.5
upkeep-s = 2
require-fence = false
lease-ms = 3000
thaw-slack-ms = 300
pace-ms = 100
harm-ms = 4000
[platform]
addr = %q
form = "table"
writes-per-s = 600
reads-per-s = 2000
tx-ms = 6.0
part-writes-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
[cloud]
addr = %q
per-s = 64.0
duties = []
duty-per-s = 64.0
`

func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/carobwharf", "node")
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CAROBWHARF_SETTINGS=" + n.settings}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.p.note("NODE", "%s started, process %d, clients at %s", n.name, n.cmd.Process.Pid, n.front)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	_ = n.cmd.Process.Signal(s)
	n.p.note("NODE", "%s: signal %s", n.name, s)
}

// kill ends the process, as the platform does when its machine loses power.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	_ = n.cmd.Wait()
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// holds reports whether the last line of the node's log on a lease says that it is held.
func (n *node) holds(lease string) bool {
	data, _ := os.ReadFile(n.log)
	held := false
	for line := range strings.SplitSeq(string(data), "\n") {
		var l struct {
			Message string `json:"@message"`
			Lease   string `json:"lease"`
		}
		if json.Unmarshal([]byte(line), &l) != nil || l.Lease != lease {
			continue
		}
		switch l.Message {
		case "lease is held":
			held = true
		case "lease has another holder", "lease is released":
			held = false
		}
	}
	return held
}

// answer is the result of a client's request; status 0 means that there was none.
type answer struct {
	status int
	body   string
	at     time.Time
}

// request sends a client's request on a connection of its own. leave is how long the
// client waits for the answer.
func (n *node) request(method, path, body string, leave time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewBufferString(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	c := http.Client{Timeout: leave, Transport: &http.Transport{DisableKeepAlives: true}}
	n.p.note("SEND", "to %s: %s %s %s", n.name, method, path, shorten(body))
	r, err := c.Do(req)
	if err != nil {
		n.p.note("ANSWER", "from %s: %s %s: none (%v)", n.name, method, path, err)
		return answer{at: time.Now()}
	}
	defer r.Body.Close()
	data, _ := io.ReadAll(r.Body)
	n.p.note("ANSWER", "from %s: %s %s: %d %s", n.name, method, path, r.StatusCode, strings.TrimSpace(string(data)))
	return answer{r.StatusCode, string(data), time.Now()}
}

func shorten(s string) string {
	if len(s) > 200 {
		return s[:200] + "..."
	}
	return s
}
