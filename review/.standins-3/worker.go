package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A worker: /run-start, /run-stop, /hold and /pace of PROTOCOL.md, and its entry
// in the store. How long a task runs and what it takes stand in its spec, as in
// "run-ms=200 cpu=500" or "lasts cpu=500"; "run-ms=200,900" gives a time to each step. If
// the last word is "fails", the task always fails. The worker rejects what does not fit
// (`preconditions` is true).

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6 * time.Second
	stopTime  = 100 * time.Millisecond // less than kill-grace-ms
)

type run struct {
	task       string
	attempt    int
	began      time.Time
	length     time.Duration
	lasting    bool
	cpu        int
	stopped    bool
	fails      bool
	checkpoint string
}

type worker struct {
	id, machine, service, addr string
	born                       int64
	started                    time.Time
	store                      *store
	rec                        *recorder
	server                     *http.Server
	capacityCPU, capacityMem   int

	mu      sync.Mutex
	alive   bool
	fence   uint64
	lease   int64 // ms on the worker's clock
	runs    []*run
	ended   [][]any
	lastEnd int
	highest map[string]int // by task: greatest attempt that was stopped or has ended
	changed chan struct{}
	seq     int
	onEnd   func(w *worker, task string, attempt int, how string)
}

func startWorker(st *store, rec *recorder, id, machine, service string) (*worker, error) {
	w := &worker{
		id: id, machine: machine, service: service, born: time.Now().UnixMilli(), started: time.Now(), store: st, rec: rec,
		alive: true, highest: map[string]int{}, changed: make(chan struct{}), capacityCPU: 16000, capacityMem: 32768,
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	w.beat()
	go w.live()
	return w, nil
}

// end takes the worker away: all that runs on it ends at once.
func (w *worker) end() {
	w.mu.Lock()
	w.alive = false
	for _, r := range w.runs {
		w.rec.log("worker %s is taken away with %s run %d", w.id, r.task, r.attempt)
	}
	w.runs = nil
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() + 1000 }

func (w *worker) beat() {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{
		"service": w.service, "addr": w.addr, "zone": "z-1", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int{"cpu": w.capacityCPU, "mem-mb": w.capacityMem, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clock-ms": w.clock(), "seq": w.seq, "born": w.born, "machine": w.machine, "remaining-ms": 0,
	}
	w.mu.Unlock()
	w.store.Put("servers", w.id, entry)
}

func (w *worker) live() {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	lastBeat := time.Now()
	for range tick.C {
		w.mu.Lock()
		if !w.alive {
			w.mu.Unlock()
			return
		}
		w.advance()
		w.mu.Unlock()
		if time.Since(lastBeat) >= heartbeat {
			lastBeat = time.Now()
			w.beat()
		}
	}
}

// advance ends the runs whose time has come. The caller holds the lock.
func (w *worker) advance() {
	now, clock := time.Now(), w.clock()
	var left []*run
	for _, r := range w.runs {
		switch {
		case clock > w.lease:
			w.record(r, "lapsed")
		case r.stopped:
			if now.Sub(r.began) >= r.length {
				w.record(r, "stopped")
				continue
			}
			left = append(left, r)
			continue
		case !r.lasting && now.Sub(r.began) >= r.length && r.fails:
			w.record(r, "failed")
		case !r.lasting && now.Sub(r.began) >= r.length:
			w.record(r, "done")
		default:
			left = append(left, r)
			continue
		}
	}
	w.runs = left
}

func (w *worker) record(r *run, how string) {
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.attempt, how, r.checkpoint})
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	if w.onEnd != nil {
		w.onEnd(w, r.task, r.attempt, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Fence      uint64 `json:"fence-token"`
	LastSeen   int    `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
	Checkpoint string `json:"checkpoint"`
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive {
		return
	}
	w.advance()
	if o.Fence < w.fence {
		answer(rw, http.StatusConflict, map[string]any{"clock-ms": w.clock(), "born": w.born, "reason": "fence"})
		return
	}
	w.fence = o.Fence
	reason := ""
	switch r.URL.Path {
	case "/run-start":
		reason = w.start(o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		for _, x := range w.runs {
			if x.task == o.Task && x.attempt == o.Attempt && !x.stopped {
				x.stopped, x.began, x.length = true, time.Now(), stopTime
			}
		}
	case "/pace":
		reason = "old"
		for _, x := range w.runs {
			if x.task == o.Task && x.attempt == o.Attempt {
				reason = ""
			}
		}
	case "/hold":
		w.extend(o.Deadline)
		kept := w.ended[:0]
		for _, e := range w.ended {
			if e[0].(int) > o.LastSeen {
				kept = append(kept, e)
			}
		}
		w.ended = kept
		w.wait(r, time.Duration(min(o.WaitMs, 2000))*time.Millisecond)
		if !w.alive {
			return
		}
		running := [][]any{}
		for _, x := range w.runs {
			percent := 100
			if !x.lasting {
				percent = int(min(99, 100*time.Since(x.began)/max(1, x.length)))
			}
			load := 100
			if x.lasting {
				load = 10
			}
			running = append(running, []any{x.task, x.attempt, x.checkpoint, percent, load})
		}
		ended := w.ended[:min(len(w.ended), 500)]
		answer(rw, http.StatusOK, map[string]any{"clock-ms": w.clock(), "born": w.born, "running": running, "ended": append([][]any{}, ended...)})
		return
	default:
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	status, reply := http.StatusOK, map[string]any{"clock-ms": w.clock(), "born": w.born}
	if reason != "" {
		status = http.StatusConflict
		reply["reason"] = reason
	}
	answer(rw, status, reply)
}

func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+holdMax.Milliseconds()))
}

// wait waits until an end is listed, at most d. The caller holds the lock.
func (w *worker) wait(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for d > 0 && len(w.ended) == 0 && w.alive {
		changed := w.changed
		w.mu.Unlock()
		stop := false
		select {
		case <-changed:
		case <-timer.C:
			stop = true
		case <-r.Context().Done():
			stop = true
		}
		w.mu.Lock()
		if stop {
			return
		}
	}
}

func (w *worker) start(o order) (reason string) {
	for _, r := range w.runs {
		if r.task == o.Task && r.attempt == o.Attempt {
			return ""
		}
	}
	if o.Deadline < w.clock() {
		return "late"
	}
	w.extend(o.Deadline)
	if o.Attempt <= w.highest[o.Task] {
		return "old"
	}
	length, lasting, cpu := parseSpec(o.Spec, stepOf(o.Task))
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.capacityCPU {
		return "room"
	}
	r := &run{task: o.Task, attempt: o.Attempt, began: time.Now(), length: length, lasting: lasting, cpu: cpu, checkpoint: o.Checkpoint, fails: strings.HasSuffix(o.Spec, " fails")}
	w.runs = append(w.runs, r)
	return ""
}

// parseSpec reads the first two words of a spec for a task of the given step.
func parseSpec(spec string, step int) (length time.Duration, lasting bool, cpu int) {
	length, cpu = 100*time.Millisecond, 100
	words := strings.Fields(spec)
	for _, word := range words[:min(2, len(words))] {
		name, value, _ := strings.Cut(word, "=")
		numbers := strings.Split(value, ",")
		n, err := strconv.Atoi(numbers[min(step, len(numbers)-1)])
		switch {
		case name == "lasts":
			lasting = true
		case name == "run-ms" && err == nil:
			length = time.Duration(n) * time.Millisecond
		case name == "cpu" && err == nil:
			cpu = n
		}
	}
	return length, lasting, cpu
}

// stepOf returns the step of a task, whose name has the form ID.K.STEP.INDEX.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0
	}
	n, _ := strconv.Atoi(parts[2])
	return n
}

func (w *worker) String() string { return fmt.Sprintf("%s on %s in %s", w.id, w.machine, w.service) }
