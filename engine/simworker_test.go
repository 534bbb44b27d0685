package engine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// simEvent is a call at a simulated time.
type simEvent struct {
	at  time.Duration
	seq int
	fn  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simWorld is a pool with its workers, its store and the processes that own it in
// turn. All of it runs on one goroutine in simulated time.
type simWorld struct {
	rng     *rand.Rand
	now     time.Duration
	queue   simQueue
	seq     int
	workers []*simWorker
	procs   []*simProcess
	store   simStore
	jobs    map[string]*simJob
	jobIDs  []string
	faults  simFaults
	trace   func(format string, args ...any)

	runs       map[workload.TaskID][]*simRun // runs at workers that are up
	doneEnds   map[workload.TaskID][]*simEnd
	repeats    []simRepeat // starts after a run that ended done
	violations []string

	onStart func(workload.TaskID) // called when a run begins; may be nil
	onFence func(w *simWorker)    // called when a worker sees the token of a later owner; may be nil
}

// workerWithMostRuns returns the first of the workers that have the most runs.
func (s *simWorld) workerWithMostRuns() *simWorker {
	return slices.MaxFunc(s.workers, func(a, b *simWorker) int { return len(a.running) - len(b.running) })
}

// simFaults are the chances of faults of single calls.
type simFaults struct {
	lost       float64 // a call is not delivered, with unknown result
	answerLost float64 // a call is executed and its answer lost
	late       float64 // a call is executed seconds after its caller gave up
	page       int     // number of ends in one answer to a hold
	noFailures bool    // runs do not fail by themselves
}

type simJob struct {
	submission workload.Submission
	version    uint64
	cancelled  bool
}

type simRun struct {
	task     workload.TaskID
	attempt  int
	worker   *simWorker
	born     int64
	stopping bool
	over     bool
}

type simEnd struct {
	EndReport
	worker *simWorker
	born   int64
	acked  bool
	lapsed bool // the worker's lease expired before the end was acknowledged
}

type simRepeat struct {
	end   *simEnd
	start string
}

func (s *simWorld) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, fn: fn})
}

func (s *simWorld) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

func (s *simWorld) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

func (s *simWorld) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)))
}

func (s *simWorld) violate(format string, args ...any) {
	text := fmt.Sprintf("%s: ", s.now) + fmt.Sprintf(format, args...)
	s.trace("VIOLATION %s", text)
	s.violations = append(s.violations, text)
}

// simWorker follows the protocol of workers: fencing, deadlines on its own clock,
// rising attempts, a lease for all that runs, and ends that are repeated until they
// are acknowledged. A restart loses all of it.
type simWorker struct {
	world     *simWorld
	worker    workload.Worker
	up        bool
	lives     int // number of starts
	bornAt    time.Duration
	clockRate float64
	fence     uint64
	running   []*simRun
	ended     []*simEnd
	lastEnd   int
	highest   map[workload.TaskID]int // attempt that was stopped or has ended
	deadline  int64
	leaseSeq  int
	waiting   func()        // answers the hold that waits for an end
	cut       map[int]bool  // processes that can't reach it
	registers time.Duration // time between its start and its registration
}

const simMaxLease = 3 * time.Second

func (w *simWorker) clock() int64 {
	return 1 + int64(float64((w.world.now-w.bornAt).Milliseconds())*w.clockRate)
}

func (w *simWorker) restart(down time.Duration) {
	s := w.world
	s.trace("worker %s goes down", w.worker.ID)
	w.up = false
	for _, r := range w.running {
		r.over = true
		s.runs[r.task] = slices.DeleteFunc(s.runs[r.task], func(o *simRun) bool { return o == r })
		s.after(100*time.Millisecond, func() { s.breakGang(r) })
	}
	w.running, w.ended, w.lastEnd, w.highest, w.fence, w.deadline, w.waiting = nil, nil, 0, map[workload.TaskID]int{}, 0, 0, nil
	w.leaseSeq++
	w.lives++
	life := w.lives
	s.after(900*time.Millisecond, func() {
		if w.lives == life && !w.up {
			delete(s.store.registered, w.worker.ID)
			s.feed()
		}
	})
	s.after(down, func() {
		if w.lives != life {
			return
		}
		w.up, w.bornAt = true, s.now
		born := s.now.Milliseconds() + 1
		w.worker.Born = born
		s.trace("worker %s is up, born %d", w.worker.ID, born)
		registered := w.worker
		s.after(w.registers, func() {
			if w.up && w.lives == life {
				s.register(registered)
			}
		})
	})
}

// accept checks an order's fencing token and extends the lease.
func (w *simWorker) accept(token uint64) bool {
	if token < w.fence {
		return false
	}
	if token > w.fence && w.fence > 0 && w.world.onFence != nil {
		w.world.onFence(w)
	}
	w.fence = token
	return true
}

func (w *simWorker) extend(deadline int64) {
	deadline = min(deadline, w.clock()+simMaxLease.Milliseconds())
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	w.leaseSeq++
	seq := w.leaseSeq
	left := time.Duration(float64(deadline-w.clock()+1)/w.clockRate) * time.Millisecond
	w.world.after(left, func() {
		if w.leaseSeq != seq {
			return
		}
		for len(w.running) > 0 {
			w.end(w.running[0], EndLeaseExpired)
		}
		for _, e := range w.ended {
			e.lapsed = true
		}
	})
}

func (w *simWorker) start(a Start) Result {
	s := w.world
	if !w.accept(a.Token) {
		return Fenced
	}
	if w.clock() > a.Deadline {
		return Late
	}
	for _, r := range w.running {
		if r.task == a.Task && r.attempt == a.Attempt {
			return OK
		}
	}
	w.extend(a.Deadline)
	if a.Attempt <= w.highest[a.Task] {
		return OldRun
	}
	if len(w.running) >= 16 {
		return NoRoom
	}
	r := &simRun{task: a.Task, attempt: a.Attempt, worker: w, born: w.worker.Born}
	s.trace("worker %s begins %s run %d token %d", w.worker.ID, a.Task, a.Attempt, a.Token)
	for _, other := range s.runs[a.Task] {
		s.violate("%s: run %d at %s begins while run %d runs at %s", a.Task, a.Attempt, w.worker.ID, other.attempt, other.worker.worker.ID)
	}
	for _, e := range s.doneEnds[a.Task] {
		s.repeats = append(s.repeats, simRepeat{end: e, start: fmt.Sprintf("%s: %s run %d at %s begins after run %d ended done at %s", s.now, a.Task, a.Attempt, w.worker.ID, e.Attempt, e.worker.worker.ID)})
	}
	w.running = append(w.running, r)
	s.runs[a.Task] = append(s.runs[a.Task], r)
	if s.onStart != nil {
		s.onStart(a.Task)
	}
	s.begin(r)
	return OK
}

// begin schedules the end of a run, or of a gang that is now complete.
func (s *simWorld) begin(r *simRun) {
	spec := &s.jobs[r.task.Job].submission.Steps[r.task.Step]
	finish := func(how EndReason) func() {
		return func() {
			if !r.over && !r.stopping {
				r.worker.end(r, how)
			}
		}
	}
	d := time.Duration(float64(spec.Estimate) * (0.3 + 1.4*s.rng.Float64()))
	switch {
	case !s.faults.noFailures && s.chance(0.05):
		s.after(d/2, finish(EndFailed))
	case spec.LongRunning:
	case spec.Gang:
		members := s.gang(r)
		if len(members) < spec.Count {
			s.after(700*time.Millisecond, func() {
				if len(s.gang(r)) < spec.Count {
					finish(EndGangIncomplete)()
				}
			})
			return
		}
		s.after(d, func() {
			if len(s.gang(r)) < spec.Count || slices.ContainsFunc(members, func(o *simRun) bool { return o.over || o.stopping }) {
				return
			}
			for _, o := range members {
				o.worker.end(o, EndDone)
			}
		})
	default:
		s.after(d, finish(EndDone))
	}
}

// gang returns the runs of a gang with the same attempt.
func (s *simWorld) gang(r *simRun) []*simRun {
	var list []*simRun
	for i := range s.jobs[r.task.Job].submission.Steps[r.task.Step].Count {
		id := r.task
		id.Index = i
		for _, o := range s.runs[id] {
			if o.attempt == r.attempt {
				list = append(list, o)
			}
		}
	}
	return list
}

// breakGang ends the other members of a gang of which one has ended.
func (s *simWorld) breakGang(r *simRun) {
	if !s.jobs[r.task.Job].submission.Steps[r.task.Step].Gang {
		return
	}
	for _, o := range s.gang(r) {
		if !o.stopping {
			o.worker.end(o, EndGangBroken)
		}
	}
}

func (w *simWorker) end(r *simRun, how EndReason) {
	s := w.world
	s.trace("worker %s ends %s run %d %s", w.worker.ID, r.task, r.attempt, how)
	r.over = true
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.running = slices.DeleteFunc(w.running, func(o *simRun) bool { return o == r })
	s.runs[r.task] = slices.DeleteFunc(s.runs[r.task], func(o *simRun) bool { return o == r })
	w.lastEnd++
	e := &simEnd{EndReport: EndReport{Number: w.lastEnd, Task: r.task, Attempt: r.attempt, Reason: how}, worker: w, born: r.born}
	w.ended = append(w.ended, e)
	if how == EndDone {
		s.doneEnds[r.task] = append(s.doneEnds[r.task], e)
	} else {
		s.breakGang(r)
	}
	if w.waiting != nil {
		answer := w.waiting
		w.waiting = nil
		answer()
	}
}

func (w *simWorker) stop(a Stop) Result {
	if !w.accept(a.Token) {
		return Fenced
	}
	w.highest[a.Task] = max(w.highest[a.Task], a.Attempt)
	for _, r := range w.running {
		if r.task == a.Task && r.attempt == a.Attempt && !r.stopping {
			r.stopping = true
			w.world.after(w.world.between(time.Millisecond, 300*time.Millisecond), func() {
				if !r.over {
					w.end(r, EndStopped)
				}
			})
		}
	}
	return OK
}

// hold passes its report to answer, at once or when a run ends.
func (w *simWorker) hold(a Hold, answer func(Result, HoldReport)) {
	s := w.world
	if !w.accept(a.Token) {
		answer(Fenced, HoldReport{})
		return
	}
	if a.Deadline > 0 {
		w.extend(a.Deadline)
	}
	for len(w.ended) > 0 && w.ended[0].Number <= a.StoredEnds {
		w.ended[0].acked = true
		w.ended = w.ended[1:]
	}
	reply := func() { answer(OK, w.report()) }
	if a.Wait == 0 || len(w.ended) > 0 {
		reply()
		return
	}
	if w.waiting != nil {
		w.waiting()
	}
	answered := false
	w.waiting = func() {
		if !answered {
			answered = true
			reply()
		}
	}
	mine, born := w.waiting, w.worker.Born
	s.after(a.Wait, func() {
		if w.up && w.worker.Born == born {
			mine()
		}
	})
}

func (w *simWorker) report() HoldReport {
	report := HoldReport{Clock: w.clock(), Born: w.worker.Born}
	for _, r := range w.running {
		spec := &w.world.jobs[r.task.Job].submission.Steps[r.task.Step]
		percent := 1 + int(w.clock()/20%90)
		if spec.LongRunning {
			percent = 100
		}
		report.Running = append(report.Running, RunReport{Task: r.task, Attempt: r.attempt, Percent: percent})
	}
	for _, e := range w.ended {
		report.Ended = append(report.Ended, e.EndReport)
		if len(report.Ended) == w.world.faults.page {
			report.MoreEnds = true
			break
		}
	}
	return report
}
