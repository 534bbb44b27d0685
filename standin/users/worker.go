package users

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// worker is the state of one worker, which runs tasks while it has a lease.
type worker struct {
	id, addr, machine   string
	born                int64 // start of the worker, ms since the epoch
	fenceToken          uint64
	leaseEnd            int64 // ms on the platform's clock
	runs                []*run
	endedRuns           [][]any // unacknowledged ends, as listed in the answer to /hold
	lastEnd             int     // number of the newest end
	doneRuns            int
	lastEndBeforeExpiry int             // value of lastEnd when a lease last expired; Acknowledged is not recorded for ends up to it
	waitingHolds        []chan struct{} // closed when a run ends
	lastEndedAttempt    map[string]int  // by task: highest attempt that was stopped or has ended
}

type run struct {
	task      string
	attempt   int
	startTime time.Time
	fails     bool
	lasting   bool // runs until it fails or is stopped
}

// LastingSpec is the spec of jobs whose runs last until they fail or are stopped,
// as those of long-running steps do.
const LastingSpec = "lasting"

func (p *Platform) addWorker(n int) error {
	w := &worker{id: "i-" + strconv.Itoa(n), machine: "m-" + strconv.Itoa(n), born: time.Now().UnixMilli(), lastEndedAttempt: map[string]int{}}
	var err error
	if w.addr, err = p.serve(func(ctx *fasthttp.RequestCtx) { p.handleWorker(ctx, w) }); err != nil {
		return err
	}
	if p.opt.ProxyFor != nil {
		if w.addr, err = p.opt.ProxyFor(w.addr); err != nil {
			return err
		}
	}
	p.do(func() { p.workers[w.id] = w })
	return nil
}

// finishRuns ends the runs whose task time is over or whose worker's lease has
// expired.
func (p *Platform) finishRuns() {
	now, clock := time.Now(), p.clock()
	for _, w := range p.workers {
		for _, r := range slices.Clone(w.runs) {
			switch {
			case clock > w.leaseEnd:
				p.endRun(w, r, "lapsed")
			case now.Sub(r.startTime) >= p.opt.TaskTime && r.fails:
				p.endRun(w, r, "failed")
			case now.Sub(r.startTime) >= p.opt.TaskTime && !r.lasting:
				w.doneRuns++
				p.endRun(w, r, "done")
			}
		}
		if w.leaseEnd > 0 && clock > w.leaseEnd {
			w.lastEndBeforeExpiry = w.lastEnd
		}
	}
}

func (p *Platform) endRun(w *worker, r *run, outcome string) {
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.lastEnd++
	w.endedRuns = append(w.endedRuns, []any{w.lastEnd, r.task, r.attempt, outcome, ""})
	w.lastEndedAttempt[r.task] = max(w.lastEndedAttempt[r.task], r.attempt)
	p.recordEvent(Ended, w, r, outcome)
	w.answerHolds()
}

// answerHolds makes the waiting hold calls return.
func (w *worker) answerHolds() {
	for _, c := range w.waitingHolds {
		close(c)
	}
	w.waitingHolds = nil
}

// command is the body of a call to /run-start, /run-stop or /hold.
type command struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline-ms"`
	FenceToken uint64 `json:"fence-token"`
	LastSeen   int    `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
}

func (p *Platform) handleWorker(ctx *fasthttp.RequestCtx, w *worker) {
	var cmd command
	if err := json.Unmarshal(ctx.PostBody(), &cmd); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if string(ctx.Request.Header.Peek("Target-Instance")) != w.id {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	var reason string
	var born int64
	var wait chan struct{}
	path, delayed, delay := string(ctx.Path()), false, time.Duration(0)
	p.do(func() { delayed, delay = path != "/hold" && p.chance(p.faults.DelayedCommands), p.faults.CommandDelay })
	if delayed {
		time.AfterFunc(delay, func() { p.do(func() { p.execute(w, path, cmd) }) })
		closeWithoutAnswer(ctx)
		return
	}
	p.do(func() {
		born = w.born
		if reason = p.execute(w, path, cmd); reason == "" && path == "/hold" && cmd.WaitMS > 0 && len(w.endedRuns) == 0 {
			wait = make(chan struct{})
			w.waitingHolds = append(w.waitingHolds, wait)
		}
	})
	if wait != nil {
		select {
		case <-wait:
		case <-time.After(time.Duration(cmd.WaitMS) * time.Millisecond):
		case <-p.stopped:
		}
	}
	p.answerWorker(ctx, w, born, reason)
}

// execute executes a command, or returns the reason for which it is refused.
func (p *Platform) execute(w *worker, path string, cmd command) (reason string) {
	if cmd.FenceToken < w.fenceToken {
		return "fence"
	}
	w.fenceToken = cmd.FenceToken
	w.leaseEnd = max(w.leaseEnd, cmd.DeadlineMS)
	switch path {
	case "/run-start":
		return p.startRun(w, cmd)
	case "/run-stop":
		w.lastEndedAttempt[cmd.Task] = max(w.lastEndedAttempt[cmd.Task], cmd.Attempt)
		for _, r := range slices.Clone(w.runs) {
			if r.task == cmd.Task && r.attempt == cmd.Attempt {
				p.endRun(w, r, "stopped")
			}
		}
	case "/hold":
		w.endedRuns = slices.DeleteFunc(w.endedRuns, func(e []any) bool {
			seen := e[0].(int) <= cmd.LastSeen
			if seen && e[0].(int) > w.lastEndBeforeExpiry {
				p.recordEvent(Acknowledged, w, &run{task: e[1].(string), attempt: e[2].(int)}, e[3].(string))
			}
			return seen
		})
	}
	return ""
}

// startRun starts a run, or returns the reason for which it is refused.
func (p *Platform) startRun(w *worker, cmd command) (reason string) {
	if cmd.DeadlineMS < p.clock() {
		return "late"
	}
	if cmd.Attempt <= w.lastEndedAttempt[cmd.Task] {
		return "old"
	}
	for _, other := range p.workers {
		for _, r := range other.runs {
			if r.task != cmd.Task {
				continue
			}
			if other == w && r.attempt == cmd.Attempt {
				return ""
			}
			p.overlapping = append(p.overlapping, cmd.Task)
		}
	}
	r := &run{
		task: cmd.Task, attempt: cmd.Attempt, startTime: time.Now(), fails: p.chance(p.faults.FailRuns), lasting: cmd.Spec == LastingSpec,
	}
	w.runs = append(w.runs, r)
	p.recordEvent(Started, w, r, "")
	return ""
}

// answerWorker answers a command that the instance started at born executed. The
// answer to /hold describes the instance that is up when it is written.
func (p *Platform) answerWorker(ctx *fasthttp.RequestCtx, w *worker, born int64, reason string) {
	if reason != "" {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		reply(ctx, map[string]any{"clock-ms": p.clock(), "reason": reason})
		return
	}
	answer := map[string]any{"clock-ms": p.clock(), "born": born}
	if string(ctx.Path()) == "/hold" {
		p.do(func() {
			running := [][]any{}
			for _, r := range w.runs {
				percent := int(100 * time.Since(r.startTime) / p.opt.TaskTime)
				running = append(running, []any{r.task, r.attempt, "", min(99, percent), 0})
			}
			answer["born"], answer["running"], answer["ended"] = w.born, running, slices.Clone(w.endedRuns)
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
