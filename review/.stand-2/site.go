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
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// site is a small deployment: the platform's store and machine service, workers, and
// the node processes under test.
type site struct {
	store   *store
	binary  string
	tempDir string
	begun   time.Time
	log     *os.File
	logMu   sync.Mutex

	mu          sync.Mutex
	machines    map[string]*machine
	standby     map[string]bool
	waves       map[int]wave
	orders      []machineOrder
	loseAnswer  func(machineOrder) bool
	mostDown    int
	workerCount int
	version     int

	runMu   sync.Mutex
	runs    []runEvent
	lengths map[string]taskSpec // by job

	allowedOn    string          // machine whose worker the policy allows
	hopeless     map[string]bool // jobs of which each run fails
	unguarded    bool            // workers don't check their capacity
	overCapacity atomic.Int64    // starts that brought a worker over its capacity
	onStop       func()          // called with the first order to stop a run

	onHold     func(w *worker, token uint64) // called with each hold; the worker is locked
	twice      atomic.Int64                  // starts of a task that runs at another worker
	aliveMu    sync.Mutex
	alive      map[string]map[string]bool // by task: workers at which it runs
	lostPacket func(machine string, data []byte) bool
	slowPacket func(data []byte) time.Duration // delay of a packet to a worker; nil: workers have no proxy
	tail       func(fillPace int) int          // tail in ms of a serving task beside tasks that fill
	fillStep   int                             // number of the step whose tasks fill

	storeAddr, fleetAddr, policyAddr string
	nodes                            []*node
}

type taskSpec struct {
	need   size
	length time.Duration
}

type runEvent struct {
	at      time.Time
	kind    string // start, done, stopped, lapsed
	task    string
	attempt int
	worker  string
	spec    string
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

func newSite(binary, recordPath string) *site {
	log, err := os.Create(recordPath)
	if err != nil {
		panic(err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		panic(err)
	}
	s := &site{
		store: newStore(), binary: binary, tempDir: dir, begun: time.Now(), log: log,
		machines: map[string]*machine{}, standby: map[string]bool{}, waves: map[int]wave{}, alive: map[string]map[string]bool{}, lengths: map[string]taskSpec{},
	}
	s.storeAddr = serve(s.store)
	s.fleetAddr = serve(machineService{s})
	s.policyAddr = serve(&policy{site: s})
	return s
}

// record writes a line to record.txt.
func (s *site) record(format string, args ...any) { s.logf(format, args...) }

func (s *site) logf(format string, args ...any) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(s.begun).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(s.log, line)
}

func (s *site) recordRun(e runEvent) {
	e.at = time.Now()
	s.runMu.Lock()
	s.runs = append(s.runs, e)
	s.runMu.Unlock()
	s.logf("worker %s: run %s attempt %d: %s", e.worker, e.task, e.attempt, e.kind)
}

func (s *site) runEvents() []runEvent {
	s.runMu.Lock()
	defer s.runMu.Unlock()
	return append([]runEvent(nil), s.runs...)
}

// checkTwice checks the first part of the rule TWICE when a run starts.
func (s *site) checkTwice(w *worker, task string, attempt int) {
	s.aliveMu.Lock()
	defer s.aliveMu.Unlock()
	for other := range s.alive[task] {
		s.logf("worker %s: %s attempt %d starts while the task runs at %s", w.id, task, attempt, other)
		s.twice.Add(1)
	}
	if s.alive[task] == nil {
		s.alive[task] = map[string]bool{}
	}
	s.alive[task][w.id] = true
}

// runEnded records that a task no longer runs at a worker.
func (s *site) runEnded(w *worker, task string) {
	s.aliveMu.Lock()
	defer s.aliveMu.Unlock()
	delete(s.alive[task], w.id)
}

// starts returns the number of runs that were started of the job's tasks.
func (s *site) starts(job string) int {
	n := 0
	for _, e := range s.runEvents() {
		if id, _, _, _ := jobOf(e.task); id == job && e.kind == "start" {
			n++
		}
	}
	return n
}

func (s *site) taskNeeds(task string) (size, time.Duration) {
	job, _, _, _ := jobOf(task)
	s.runMu.Lock()
	defer s.runMu.Unlock()
	t := s.lengths[job]
	return t.need, t.length
}

func (s *site) addMachine(id, pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &machine{id: id, pool: pool, state: "up", kept: map[int]bool{}}
	if !s.standby[pool] {
		v.worker = s.newWorker(id, pool)
	}
	s.machines[id] = v
}

// route is a queue in the configuration.
type route struct {
	name, host, prefix, service string
	advice                      bool // a placement policy decides which workers may run its steps
}

func (s *site) configure(services []string, routes ...route) {
	s.version += 3
	var list, pools []map[string]any
	for _, r := range routes {
		entry := map[string]any{
			"name": r.name, "host": r.host, "path-prefix": r.prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-latency-ms": 600,
			"priority": 0, "service": r.service, "max-attempts": 4, "stretch": 1.6,
		}
		if r.advice {
			entry["advice"] = map[string]any{"decide-ms": decideTime.Milliseconds(), "each-ms": eachTime.Milliseconds(), "valid-ms": ticketTime.Milliseconds()}
		}
		list = append(list, entry)
	}
	for _, p := range services {
		pools = append(pools, map[string]any{"name": p, "preconditions": !s.unguarded, "standby": s.standby[p]})
	}
	s.store.set("op", "config", map[string]any{
		"version": s.version, "routes": list, "services": pools,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144},
	})
	s.logf("operator: configuration %d with %d routes is acknowledged", s.version, len(routes))
}

func (s *site) requestWave(number, most int, within time.Duration, ids ...string) {
	s.mu.Lock()
	w := wave{machines: map[string]bool{}, most: most}
	for _, id := range ids {
		w.machines[id] = true
	}
	s.waves[number] = w
	s.mu.Unlock()
	s.store.set("op", fmt.Sprintf("wave/%d", number), map[string]any{"wave": number, "machines": ids, "duration-s": within.Seconds(), "max-count": most})
	s.logf("operator: wave %d of machines %v, at most %d at once", number, ids, most)
}

// node is a process under test.
type node struct {
	site       *site
	name       string
	front      string
	ready      string
	storeProxy *proxy
	fleetProxy *proxy
	settings   string
	cmd        *exec.Cmd
	exited     chan struct{}
}

// Ports of the nodes: below the range from which the system takes ports for connections.
// Each run has a range of its own as long as it listens on the range's first port.
const (
	firstPort   = 12000
	portsPerRun = 100
	portRanges  = 190
)

var (
	portRange  net.Listener
	portsTaken int
)

// freeAddr returns an address with a free port.
func freeAddr() (string, int) {
	for slot := os.Getpid(); portRange == nil; slot++ {
		portRange, _ = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+slot%portRanges*portsPerRun))
	}
	for {
		portsTaken++
		port := portRange.Addr().(*net.TCPAddr).Port + portsTaken%portsPerRun
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp4", addr); err == nil {
			_ = l.Close()
			return addr, port
		}
	}
}

// addNode writes the settings of a node and starts it with the command of the deploy
// file.
func (s *site) addNode(name string) *node {
	n := &node{site: s, name: name}
	n.front, _ = freeAddr()
	n.ready, _ = freeAddr()
	control, _ := freeAddr()
	_, port := freeAddr()
	n.storeProxy, n.fleetProxy = newProxy(s.storeAddr), newProxy(s.fleetAddr)
	text := fmt.Sprintf(`node = %q
role = "node"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "z-a"
region = "z"
port-range = [%d,%d]
seeds = []
bootstrap = true
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control-mode = "call"
advice = %q
[zones]
z-a = "z"
[listen]
front = %q
ready = %q
control = %q
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
`, name, port, port, s.policyAddr, n.front, n.ready, control, n.storeProxy.addr, n.fleetProxy.addr)
	n.settings = filepath.Join(s.tempDir, name+".toml")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	s.nodes = append(s.nodes, n)
	n.start()
	return n
}

// start starts the process: target/carobwharf node.
func (n *node) start() {
	out, err := os.OpenFile(filepath.Join(n.site.tempDir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer out.Close()
	n.cmd = exec.Command(n.site.binary, "node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CAROBWHARF_SETTINGS=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		panic(err)
	}
	n.site.logf("node %s is started", n.name)
	cmd, exited := n.cmd, make(chan struct{})
	n.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (n *node) signal(sig syscall.Signal) {
	n.site.logf("node %s gets signal %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// kill sends SIGKILL and waits for the end of the process.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// waitReady waits until the platform's readiness check succeeds.
func (n *node) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := call("GET", "http://"+n.ready+"/readiness", "", nil); status == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, n := range s.nodes {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", s.tempDir)
	} else {
		_ = os.RemoveAll(s.tempDir)
	}
	_ = s.log.Close()
}

// nodeLog returns the lines of a node's log that contain the text.
func (n *node) nodeLog(text string) []string {
	data, _ := os.ReadFile(filepath.Join(n.site.tempDir, n.name+".log"))
	var found []string
	for _, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call of a client. A status of 0 means that there was no answer.
func call(method, url, host string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, url, reader)
	if err != nil {
		panic(err)
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// step is a step of a job.
type step map[string]any

// submit hands a job in, again with the same ID after no response, a 429, 502, 503 or
// 504, and reports whether it was accepted.
func (s *site) submit(n *node, r route, id string, need size, length time.Duration, steps ...step) bool {
	s.runMu.Lock()
	s.lengths[id] = taskSpec{need, length}
	s.runMu.Unlock()
	for range 20 {
		status, text := call("POST", "http://"+n.front+r.prefix+id, r.host, map[string]any{"spec": "spec of " + id, "steps": steps})
		s.logf("client: POST %s%s at %s: %d %s", r.prefix, id, n.name, status, text)
		switch {
		case status >= 200 && status < 300:
			return true
		case status == 0 || status == 429 || status == 502 || status == 503 || status == 504:
			time.Sleep(300 * time.Millisecond)
		default:
			return false
		}
	}
	return false
}

func (s *site) state(n *node, r route, id string) (int, string) {
	status, text := call("GET", "http://"+n.front+r.prefix+id, r.host, nil)
	s.logf("client: GET %s%s at %s: %d %s", r.prefix, id, n.name, status, text)
	return status, text
}
