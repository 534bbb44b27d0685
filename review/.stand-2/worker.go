package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the settings of the nodes.
const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 6 * time.Second
	stopTime     = 700 * time.Millisecond // of a stop; kill-grace-ms is 900
	workerCPU    = 16000
	workerMemory = 32768
	workerTick   = 10 * time.Millisecond
)

// size is a capacity or a request for it.
type size struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem-mb"`
	GPU   int `json:"gpu"`
}

// worker is one life of a machine.
type worker struct {
	site    *site
	id      string
	machine string
	service string
	addr    string // as registered
	born    time.Time
	server  *http.Server

	mu       sync.Mutex
	dead     bool
	seq      int
	fence    uint64
	leaseEnd int64 // on the worker's clock
	runs     []*run
	ended    [][]any
	lastEnd  int
	refuseTo map[string]int // by task: runs up to this number are refused
	changed  chan struct{}  // closed and replaced with each end
}

type run struct {
	task       string
	attempt    int
	checkpoint string
	need       size
	began      time.Time
	length     time.Duration // 0: lasts
	stopAt     time.Time
	pace       int  // percent
	failing    bool // fails now
}

func (s *site) newWorker(machine, service string) *worker {
	s.workerCount++
	w := &worker{
		site: s, id: fmt.Sprintf("i-%08x", 0x5a00+s.workerCount), machine: machine, service: service, born: time.Now(),
		refuseTo: map[string]int{}, changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.addr = l.Addr().String()
	if s.slowPacket != nil || s.lostPacket != nil {
		p := newProxy(w.addr)
		p.delay = s.slowPacket
		if s.lostPacket != nil {
			p.lost = func(data []byte) bool { return s.lostPacket(machine, data) }
		}
		w.addr = p.addr
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	return w
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// beat registers the worker in the store and ends its runs in time, until it dies.
func (w *worker) beat() {
	next := time.Now()
	for {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		w.endRuns()
		due := !time.Now().Before(next)
		if due {
			next = time.Now().Add(heartbeat)
			w.seq++
		}
		seq := w.seq
		w.mu.Unlock()
		if due {
			w.site.store.set("servers", w.id, map[string]any{
				"service": w.service, "addr": w.addr, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": seq,
				"born": w.born.UnixMilli(), "machine": w.machine, "labels": []string{"a", "r1-1"}, "capacity": size{workerCPU, workerMemory, 0},
			})
		}
		time.Sleep(workerTick)
	}
}

// die ends the worker and everything that runs on it.
func (w *worker) die() {
	w.mu.Lock()
	w.dead = true
	for _, r := range w.runs {
		w.site.runEnded(w, r.task)
		w.site.record("worker %s of machine %s ends while it runs %s attempt %d", w.id, w.machine, r.task, r.attempt)
	}
	w.runs = nil
	w.mu.Unlock()
	_ = w.server.Close()
	w.site.store.remove("servers", w.id)
}

func (w *worker) endRuns() {
	now, clock := time.Now(), w.clock()
	var left []*run
	var over []*run
	var how []string
	for _, r := range w.runs {
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			over, how = append(over, r), append(how, "stopped")
		case clock > w.leaseEnd:
			over, how = append(over, r), append(how, "lapsed")
		case r.failing:
			over, how = append(over, r), append(how, "failed")
		case r.length > 0 && now.Sub(r.began) >= r.length:
			end := "done"
			if job, _, _, _ := jobOf(r.task); w.site.hopeless[job] {
				end = "failed"
			}
			over, how = append(over, r), append(how, end)
		default:
			left = append(left, r)
		}
	}
	w.runs = left
	for i, r := range over {
		w.lastEnd++
		w.ended = append(w.ended, []any{w.lastEnd, r.task, r.attempt, how[i], ""})
		w.refuseTo[r.task] = max(w.refuseTo[r.task], r.attempt)
		w.site.runEnded(w, r.task)
		w.site.recordRun(runEvent{kind: how[i], task: r.task, attempt: r.attempt, worker: w.id})
	}
	if len(over) > 0 {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

type order struct {
	Task       string  `json:"task"`
	Attempt    int     `json:"attempt"`
	Spec       string  `json:"spec"`
	Deadline   int64   `json:"deadline-ms"`
	Fence      uint64  `json:"fence-token"`
	Checkpoint string  `json:"checkpoint"`
	LastSeen   int     `json:"last-seen"`
	WaitMs     int64   `json:"wait-ms"`
	Percent    float64 `json:"percent"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = o.Fence
	w.endRuns()
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, o)
	case "/run-stop":
		w.stop(rw, o)
	case "/hold":
		w.hold(rw, r, o)
	case "/pace":
		w.pace(rw, o)
	default:
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
	}
}

// answer unlocks the worker and answers a call.
func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock-ms"], body["born"] = w.clock(), w.born.UnixMilli()
	w.mu.Unlock()
	reply(rw, status, body)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
}

func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	for _, r := range w.runs {
		if r.task == o.Task && r.attempt == o.Attempt {
			w.answer(rw, http.StatusOK, map[string]any{})
			return
		}
	}
	if o.Deadline < w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(o.Deadline)
	if o.Attempt <= w.refuseTo[o.Task] {
		w.refuse(rw, "old")
		return
	}
	need, length := w.site.taskNeeds(o.Task)
	used := need
	for _, r := range w.runs {
		used.CPU += r.need.CPU
		used.MemMB += r.need.MemMB
	}
	over := used.CPU > workerCPU || used.MemMB > workerMemory
	if over && !w.site.unguarded {
		w.refuse(rw, "room")
		return
	}
	if over {
		w.site.logf("worker %s: the start of %s brings it to %d of %d thousandths of a core", w.id, o.Task, used.CPU, workerCPU)
		w.site.overCapacity.Add(1)
	}
	w.runs = append(w.runs, &run{task: o.Task, attempt: o.Attempt, checkpoint: o.Checkpoint, need: need, began: time.Now(), length: length, pace: 100})
	w.site.checkTwice(w, o.Task, o.Attempt)
	w.site.recordRun(runEvent{kind: "start", task: o.Task, attempt: o.Attempt, worker: w.id, spec: o.Spec})
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	w.refuseTo[o.Task] = max(w.refuseTo[o.Task], o.Attempt)
	for _, r := range w.runs {
		if r.task == o.Task && r.attempt == o.Attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
			w.site.logf("worker %s: order to stop %s attempt %d", w.id, r.task, r.attempt)
			if w.site.onStop != nil {
				w.site.onStop()
			}
		}
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

// pace carries out an order on the pace of a run.
func (w *worker) pace(rw http.ResponseWriter, o order) {
	for _, r := range w.runs {
		if r.task == o.Task && r.attempt == o.Attempt {
			r.pace = int(o.Percent)
			w.site.logf("worker %s: run %s attempt %d works at %d percent", w.id, r.task, r.attempt, r.pace)
		}
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

// load returns the fifth entry of a run's row: the tail of a task that serves, in ms,
// or the cpu in use.
func (w *worker) load(r *run) int {
	if w.site.tail == nil {
		return r.need.CPU
	}
	_, _, step, _ := jobOf(r.task)
	if step == w.site.fillStep {
		return r.need.CPU * r.pace / 100
	}
	return w.site.tail(w.fillPace())
}

// fillPace returns the sum of the paces of the tasks that fill.
func (w *worker) fillPace() int {
	sum := 0
	for _, r := range w.runs {
		if _, _, step, _ := jobOf(r.task); step == w.site.fillStep {
			sum += r.pace
		}
	}
	return sum
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if w.site.onHold != nil {
		w.site.onHold(w, o.Fence)
	}
	w.extend(o.Deadline)
	var left [][]any
	for _, e := range w.ended {
		if e[0].(int) > o.LastSeen {
			left = append(left, e)
		}
	}
	w.ended = left
	end := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0 && !w.dead; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := 100
		if r.length > 0 {
			percent = min(99, int(100*time.Since(r.began)/r.length))
		}
		running = append(running, []any{r.task, r.attempt, r.checkpoint, percent, w.load(r)})
	}
	ended = append(ended, w.ended[:min(len(w.ended), 500)]...)
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// jobOf returns the job, and the numbers of the occurrence, the step and the task of
// a task's name.
func jobOf(task string) (job string, occurrence, step, index int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return task, 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], occurrence, step, index
}

// failOne makes one run of the worker fail after the given time.
func (w *worker) failOne(after time.Duration) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.runs) > 0 {
			w.runs[0].failing = true
			w.endRuns()
		}
	})
}
