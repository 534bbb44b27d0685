package users

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// worker runs tasks under a lease, as the platform's workers do.
type worker struct {
	id, addr, machine string
	born              int64
	token             uint64
	lease             int64 // ms on its clock
	runs              []*run
	ended             [][]any
	ends              int
	done              int
	lapsed            int             // ends up to this number were listed before a lease lapsed
	waiting           []chan struct{} // holds that wait for an end
	stopped           map[string]int  // by task: greatest number of a run that was stopped or ended
}

type run struct {
	task    string
	attempt int
	began   time.Time
	fails   bool
}

func (p *Platform) addWorker(n int) error {
	w := &worker{id: "i-" + strconv.Itoa(n), machine: "m-" + strconv.Itoa(n), born: time.Now().UnixMilli(), stopped: map[string]int{}}
	var err error
	if w.addr, err = p.serve(func(ctx *fasthttp.RequestCtx) { p.handleWorker(ctx, w) }); err != nil {
		return err
	}
	if p.opt.Through != nil {
		if w.addr, err = p.opt.Through(w.addr); err != nil {
			return err
		}
	}
	p.do(func() { p.workers[w.id] = w })
	return nil
}

// finishRuns ends runs whose time is up, and those whose lease has lapsed.
func (p *Platform) finishRuns() {
	now, clock := time.Now(), p.clock()
	for _, w := range p.workers {
		for _, r := range slices.Clone(w.runs) {
			switch {
			case clock > w.lease:
				p.end(w, r, "lapsed")
			case now.Sub(r.began) >= p.opt.TaskTime && r.fails:
				p.end(w, r, "failed")
			case now.Sub(r.began) >= p.opt.TaskTime:
				w.done++
				p.end(w, r, "done")
			}
		}
		if w.lease > 0 && clock > w.lease {
			w.lapsed = w.ends
		}
	}
}

func (p *Platform) end(w *worker, r *run, how string) {
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.ends++
	w.ended = append(w.ended, []any{w.ends, r.task, r.attempt, how, ""})
	w.stopped[r.task] = max(w.stopped[r.task], r.attempt)
	p.note(Ended, w, r, how)
	w.wake()
}

// wake answers the holds that wait.
func (w *worker) wake() {
	for _, c := range w.waiting {
		close(c)
	}
	w.waiting = nil
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fence-token"`
	Seen     int    `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (p *Platform) handleWorker(ctx *fasthttp.RequestCtx, w *worker) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if string(ctx.Request.Header.Peek("Target-Instance")) != w.id {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	var reason string
	var wait chan struct{}
	path, late, by := string(ctx.Path()), false, time.Duration(0)
	p.do(func() { late, by = path != "/hold" && p.chance(p.faults.LateOrders), p.faults.LateBy })
	if late {
		time.AfterFunc(by, func() { p.do(func() { p.carryOut(w, path, o) }) })
		breakOff(ctx)
		return
	}
	p.do(func() {
		if reason = p.carryOut(w, path, o); reason == "" && path == "/hold" && o.Wait > 0 && len(w.ended) == 0 {
			wait = make(chan struct{})
			w.waiting = append(w.waiting, wait)
		}
	})
	if wait != nil {
		select {
		case <-wait:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		case <-p.ended:
		}
	}
	p.answerWorker(ctx, w, reason)
}

// carryOut carries an order out, or says why it does not.
func (p *Platform) carryOut(w *worker, path string, o order) (reason string) {
	if o.Token < w.token {
		return "fence"
	}
	w.token = o.Token
	w.lease = max(w.lease, o.Deadline)
	switch path {
	case "/run-start":
		return p.startRun(w, o)
	case "/run-stop":
		w.stopped[o.Task] = max(w.stopped[o.Task], o.Attempt)
		for _, r := range slices.Clone(w.runs) {
			if r.task == o.Task && r.attempt == o.Attempt {
				p.end(w, r, "stopped")
			}
		}
	case "/hold":
		w.ended = slices.DeleteFunc(w.ended, func(e []any) bool {
			seen := e[0].(int) <= o.Seen
			if seen && e[0].(int) > w.lapsed {
				p.note(Acknowledged, w, &run{task: e[1].(string), attempt: e[2].(int)}, e[3].(string))
			}
			return seen
		})
	}
	return ""
}

// startRun begins a run, or says why it does not.
func (p *Platform) startRun(w *worker, o order) (reason string) {
	if o.Deadline < p.clock() {
		return "late"
	}
	if o.Attempt <= w.stopped[o.Task] {
		return "old"
	}
	for _, other := range p.workers {
		for _, r := range other.runs {
			if r.task != o.Task {
				continue
			}
			if other == w && r.attempt == o.Attempt {
				return ""
			}
			p.twice = append(p.twice, o.Task)
		}
	}
	r := &run{task: o.Task, attempt: o.Attempt, began: time.Now(), fails: p.chance(p.faults.FailRuns)}
	w.runs = append(w.runs, r)
	p.note(Started, w, r, "")
	return ""
}

func (p *Platform) answerWorker(ctx *fasthttp.RequestCtx, w *worker, reason string) {
	if reason != "" {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		reply(ctx, map[string]any{"clock-ms": p.clock(), "reason": reason})
		return
	}
	answer := map[string]any{"clock-ms": p.clock(), "born": w.born}
	if string(ctx.Path()) == "/hold" {
		p.do(func() {
			running := [][]any{}
			for _, r := range w.runs {
				percent := int(100 * time.Since(r.began) / p.opt.TaskTime)
				running = append(running, []any{r.task, r.attempt, "", min(99, percent), 0})
			}
			answer["running"], answer["ended"] = running, slices.Clone(w.ended)
		})
	}
	reply(ctx, answer)
}

func (p *Platform) handleFleet(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/machines" {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		reply(ctx, map[string]any{"reason": "busy"})
		return
	}
	machines := []map[string]any{}
	p.do(func() {
		for _, w := range p.workers {
			machines = append(machines, map[string]any{
				"machine": w.machine, "pool": Pool, "state": "up", "zone": "z", "id": w.id,
			})
		}
	})
	reply(ctx, map[string]any{"machines": machines, "next-token": nil})
}
