// Command standins3 runs the cases of the third review: it starts carobwharf's node
// processes, plays the platform, its workers and the clients, and judges what they see.
//
//	standins3 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and
// 2 if the case couldn't run. With TROUBLE=0 in the environment the disruption is left
// out.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process of the system.
type node struct {
	name, front, ready, settings string
	rec                          *recorder
	dir                          string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // not to be started again
}

// deployment is a small deployment of the system.
type deployment struct {
	rec     *recorder
	store   *store
	cloud   *cloud
	nodes   []*node
	trouble bool
	dir     string
	servers []*http.Server
}

// freePort returns a port that is free at a loopback address. Each node has an address of
// its own, so that no connection takes the port before the node listens there.
func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

const settingsText = `node = "%[1]s"
role = "node"
machine-class = "front"
serves = ["front"]
ip = "%[7]s"
zone = "z-1"
region = "r"
port-range = [%[2]d,%[2]d]
seeds = []
bootstrap = true
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
control-mode = "call"

[zones]
z-1 = "r"

[listen]
front = "%[3]s"
ready = "%[4]s"

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
addr = "%[5]s"
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
addr = "%[6]s"
per-s = 64.0
duties = []
duty-per-s = 64.0
`

func newDeployment(rec *recorder, nodes int) (*deployment, error) {
	d := &deployment{rec: rec, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	d.cloud = newCloud(d.store, rec)
	var err error
	if d.dir, err = os.MkdirTemp("", "standins3-"); err != nil {
		return nil, err
	}
	cloudAddr, err := d.serve(d.cloud)
	if err != nil {
		return nil, err
	}
	network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	for i := range nodes {
		ip := fmt.Sprintf("%s.%d", network, i+1)
		name := fmt.Sprintf("front-%d", i+1)
		storeAddr, err := d.serve(d.store.handler())
		if err != nil {
			return nil, err
		}
		n := &node{
			name: name, rec: rec, dir: d.dir, front: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip)),
			settings: filepath.Join(d.dir, name+".toml"),
		}
		text := fmt.Sprintf(settingsText, name, freePort(ip), n.front, n.ready, storeAddr, cloudAddr, ip)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, n)
	}
	return d, nil
}

// route and service are entries of the configuration.
type route struct {
	Name, Host, Prefix, Service string
	Priority                    int
}

func (d *deployment) configure(routes []route, services ...string) {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.Prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 2500,
			"priority": r.Priority, "service": r.Service, "max-attempts": 4, "stretch": 1.6,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{
			"name": s, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "preconditions": true, "standby": d.cloud.standby[s],
		})
	}
	d.store.Put("op", "config", map[string]any{
		"version": 7, "routes": rs, "services": ss,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// start starts all nodes and waits until they are ready.
func (d *deployment) start() error {
	for _, n := range d.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after 15 s", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.rec.log("%d nodes are ready", len(d.nodes))
	return nil
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/carobwharf", "node")
	cmd.Env = append(os.Environ(), "CAROBWHARF_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	n.rec.log("%s is started, process %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		again := n.cmd == cmd && !n.stopped
		n.mu.Unlock()
		n.rec.log("%s has ended: %v", n.name, err)
		if !again {
			return
		}
		// The platform starts a process that ends again after a short delay.
		time.Sleep(time.Second)
		n.mu.Lock()
		again = !n.stopped
		n.mu.Unlock()
		if again {
			if err := n.start(); err != nil {
				n.rec.log("%s does not start: %v", n.name, err)
			}
		}
	}()
	return nil
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		n.mu.Lock()
		n.stopped = true
		cmd := n.cmd
		n.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
		}
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}

// client is a client of one node.
var httpClient = &http.Client{
	Timeout:   3 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
}

// call sends a request as a client with a deadline of 3 s. Without an answer, the
// status is 0.
func call(n *node, method, host, path string, body []byte) (status int, reply string) {
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	r, err := httpClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, ""
	}
	return r.StatusCode, string(data)
}

// submit hands a job in until it is accepted, at the nodes in turn.
func (d *deployment) submit(first int, host, path string, body []byte, until time.Time) (accepted bool, tries int) {
	for tries = 1; ; tries++ {
		status, _ := call(d.nodes[(first+tries)%len(d.nodes)], "POST", host, path, body)
		if status >= 200 && status < 300 {
			return true, tries
		}
		if time.Now().After(until) {
			return false, tries
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(*recorder) (int, error){"ids": idsCase, "hopeless": hopelessCase, "limit": limitCase}
	play := cases[os.Args[1]]
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "can't run the case:", err)
		os.Exit(2)
	}
	rec := &recorder{file: file, began: time.Now()}
	code, err := play(rec)
	if err != nil {
		rec.log("the case couldn't run: %v", err)
		code = 2
	}
	rec.log("exit %d", code)
	_ = file.Close()
	os.Exit(code)
}
