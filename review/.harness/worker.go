package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Capacity of a worker.
const (
	workerCPU   = 16000
	workerMemMB = 32768
)

// stopTime is how long a worker takes to stop a run, within kill-grace-ms.
const stopTime = 100 * time.Millisecond

// worker is one life of a machine. It runs what it is told to, as long as it holds a
// lease.
type worker struct {
	p       *platform
	id      string
	machine string
	service string
	addr    string
	born    int64
	began   time.Time
	server  *http.Server

	mu       sync.Mutex
	token    uint64
	leaseEnd int64
	runs     []*run
	ended    [][]any
	lastEnd  int
	highest  map[string]int // by task: highest attempt that was stopped or has ended here
	changed  chan struct{}
	dead     bool
}

type run struct {
	task       string
	attempt    int
	checkpoint string
	length     time.Duration
	cpu, mem   int
	began      time.Time
	stopAt     time.Time
}

// taskInfo is what the stand-ins know of a job: how long its tasks take.
type taskInfo struct {
	length   time.Duration
	cpu, mem int
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

func (w *worker) registration(state string, seq int) []byte {
	return []byte(fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"z-1","version":"v1","slots":8,"state":%q,"cold-left-ms":0,`+
		`"capacity":{"cpu":%d,"mem-mb":%d,"gpu":0},"labels":["a","r1-1"],"machine":%q,"born":%d,"clock-ms":%d,"seq":%d}`,
		w.service, w.addr, state, workerCPU, workerMemMB, w.machine, w.born, w.clock(), seq))
}

// live registers the worker again and again and ends its runs in time.
func (w *worker) live() {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	next, seq := time.Now(), 0
	for range tick.C {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, r := range slices.Clone(w.runs) {
			switch {
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				w.end(r, "stopped")
			case w.clock() > w.leaseEnd:
				w.end(r, "lapsed")
			case r.stopAt.IsZero() && now.Sub(r.began) >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
		if !now.Before(next) {
			seq++
			w.p.store.set("servers", w.id, w.registration("ready", seq))
			next = now.Add(1500 * time.Millisecond)
		}
	}
}

// kill ends the worker and everything that runs on it.
func (w *worker) kill() {
	w.mu.Lock()
	w.dead = true
	for _, r := range w.runs {
		w.p.ended(w, r, "killed")
	}
	w.runs = nil
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	_ = w.server.Close()
	w.p.store.drop("servers", w.id)
}

func (w *worker) end(r *run, how string) {
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.attempt, how, r.checkpoint})
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.p.ended(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Token      uint64 `json:"fence-token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int    `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	if r.Header.Get("Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	reason := w.execute(r.URL.Path, o)
	if reason != "" {
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "born": w.born, "reason": reason})
		return
	}
	answer := map[string]any{"born": w.born}
	if r.URL.Path == "/hold" {
		until := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
		for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0 && !w.dead; {
			changed := w.changed
			w.mu.Unlock()
			select {
			case <-changed:
			case <-until:
				waiting = false
			case <-r.Context().Done():
				return
			}
			w.mu.Lock()
		}
		answer["running"], answer["ended"] = w.listRuns(), w.ended[:min(500, len(w.ended))]
	}
	answer["clock-ms"] = w.clock()
	data, _ := json.Marshal(answer)
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = rw.Write(data)
}

func (w *worker) listRuns() [][]any {
	list := [][]any{}
	for _, r := range w.runs {
		percent := min(99, int(100*time.Since(r.began)/max(1, r.length)))
		list = append(list, []any{r.task, r.attempt, r.checkpoint, percent, r.cpu})
	}
	return list
}

func (w *worker) execute(path string, o order) (reason string) {
	if o.Token < w.token {
		return "fence"
	}
	w.token = o.Token
	switch path {
	case "/run-start":
		return w.start(o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		for _, r := range w.runs {
			if r.task == o.Task && r.attempt <= o.Attempt && r.stopAt.IsZero() {
				r.stopAt = time.Now().Add(stopTime)
				w.p.note("STOP", "worker %s task %s attempt %d ordered with token %d", w.id, o.Task, o.Attempt, o.Token)
			}
		}
	case "/hold":
		w.extend(o.Deadline)
		w.ended = slices.DeleteFunc(w.ended, func(e []any) bool { return e[0].(int) <= o.LastSeen })
		if w.ended == nil {
			w.ended = [][]any{}
		}
	}
	return ""
}

func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+holdMaxMs))
}

func (w *worker) start(o order) (reason string) {
	if o.Deadline < w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	for _, r := range w.runs {
		if r.task == o.Task && r.attempt == o.Attempt {
			return ""
		}
	}
	if o.Attempt <= w.highest[o.Task] {
		return "old"
	}
	info := w.p.taskInfo(strings.SplitN(o.Task, ".", 2)[0])
	cpu, mem := info.cpu, info.mem
	for _, r := range w.runs {
		cpu, mem = cpu+r.cpu, mem+r.mem
	}
	if cpu > workerCPU || mem > workerMemMB {
		return "room"
	}
	r := &run{task: o.Task, attempt: o.Attempt, checkpoint: o.Checkpoint, length: info.length, cpu: info.cpu, mem: info.mem, began: time.Now()}
	w.runs = append(w.runs, r)
	w.p.started(w, r, o)
	return ""
}
