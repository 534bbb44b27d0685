package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// harness drives a Scheduler against fake workers.
type harness struct {
	t          *testing.T
	m          *Scheduler
	now        time.Time
	workers    map[string]*fakeWorker
	starts     []Start
	stops      []Stop
	throttles  []Throttle
	holds      []Hold
	decisions  []Decision
	superseded bool
	search     []string // jobs of the last search

	holdsSearches bool                     // the test itself answers searches
	policy        func(worker string) bool // whether the placement policy allows a worker; nil: it does not answer
}

// fakeWorker carries out and answers all orders unless its fields say
// otherwise.
type fakeWorker struct {
	workload.Worker
	silent         bool      // calls are neither carried out nor answered
	lostStarts     int       // number of next starts that are lost before they arrive
	noStartAnswers bool      // starts are carried out but not answered
	ignoresStops   bool      // stops are neither carried out nor answered
	startResult    Result    // unless OK, starts are refused with it
	startedAt      time.Time // when the worker's clock was 0
	running        []RunReport
	ended          []EndReport
	lastEnd        int  // number of the last end
	stalled        bool // its runs make no progress
	pageSize       int  // number of ends listed at a time; 0: all
}

var testQueue = workload.Queue{Name: "q", Pool: "p", MaxAttempts: 4, Stretch: 1.6, Target: 600 * time.Millisecond}

const testLease = 6 * time.Second

// testTicketTime is how long a ticket of the placement policy is valid.
const testTicketTime = 3 * time.Second

func testConfig(token uint64) Config {
	return Config{
		Pool: "p", Token: token, Lease: testLease, FormerLease: testLease,
		KillGrace: 900 * time.Millisecond,
	}
}

func newHarness(t *testing.T, token uint64, former []EngagedWorker, workers ...*fakeWorker) *harness {
	r := &harness{t: t, now: time.Unix(1000, 0), workers: map[string]*fakeWorker{}}
	r.m = New(r.now, testConfig(token), former)
	for _, w := range workers {
		w.startedAt = r.now.Add(-time.Minute)
		r.workers[w.ID] = w
	}
	r.step(QueuesUpdated{Queues: []workload.Queue{testQueue}}, r.registrations())
	return r
}

// newLargeHarness returns a harness, without checks, of a pool with n workers, w000 and so
// on, that has no former owner.
func newLargeHarness(n int) *harness {
	r := &harness{now: time.Unix(1000, 0), workers: map[string]*fakeWorker{}}
	r.m = New(r.now, testConfig(1), nil)
	var update WorkersUpdated
	for i := range n {
		w := newWorker(fmt.Sprintf("w%03d", i))
		w.startedAt = r.now.Add(-time.Minute)
		r.workers[w.ID] = w
		update.Workers = append(update.Workers, w.Worker)
	}
	r.step(QueuesUpdated{Queues: []workload.Queue{testQueue}}, update)
	return r
}

func newWorker(id string) *fakeWorker {
	return &fakeWorker{
		Worker: workload.Worker{
			Incarnation: workload.Incarnation{ID: id, Born: 1}, Machine: "m-" + id, Pool: "p", Addr: id,
			Capacity: placement.Size{MilliCores: 16000, MemoryMB: 32768}, Labels: []string{"a", "r1"},
		},
	}
}

func (r *harness) registrations() WorkersUpdated {
	var e WorkersUpdated
	for _, id := range []string{"a", "b", "c", "d"} {
		if w, ok := r.workers[id]; ok {
			e.Workers = append(e.Workers, w.Worker)
		}
	}
	return e
}

// step passes events to the scheduler, answers its orders at once, and stores
// what it collects.
func (r *harness) step(events ...Event) {
	for round := 0; round < 20; round++ {
		actions := r.m.Step(r.now, r.now.UnixMilli(), events...)
		events = nil
		for _, a := range actions {
			events = append(events, r.answer(a)...)
		}
		r.checkIndexes()
		writeNow := r.m.LoadRowUrgent()
		b := r.m.Collect(100, true)
		if len(b.Jobs) > 0 || writeNow || round == 0 {
			events = append(events, Stored{Batch: b, OK: true})
		}
		if len(events) == 0 {
			return
		}
	}
}

func (r *harness) answer(a Action) []Event {
	switch a := a.(type) {
	case Start:
		r.starts = append(r.starts, a)
		w := r.workers[a.Incarnation.ID]
		if w.silent {
			return []Event{StartAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: Unknown}}
		}
		if w.lostStarts > 0 {
			w.lostStarts--
			return []Event{StartAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: Unknown}}
		}
		if w.startResult != OK {
			return []Event{StartAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: w.startResult}}
		}
		w.running = append(w.running, RunReport{Task: a.Task, Attempt: a.Attempt})
		if w.noStartAnswers {
			return []Event{StartAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: Unknown}}
		}
		return []Event{StartAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt}}
	case Stop:
		r.stops = append(r.stops, a)
		w := r.workers[a.Incarnation.ID]
		if w.silent || w.ignoresStops {
			return []Event{StopAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: Unknown}}
		}
		if slices.ContainsFunc(w.running, func(r RunReport) bool { return r.Task == a.Task && r.Attempt == a.Attempt }) {
			w.endRun(a.Task, a.Attempt, EndStopped)
		}
		return []Event{StopAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt}}
	case Throttle:
		r.throttles = append(r.throttles, a)
		return []Event{ThrottleAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Percent: a.Percent}}
	case Hold:
		r.holds = append(r.holds, a)
		return []Event{r.answerHold(a)}
	case FindJobs:
		r.search = a.IDs
		if r.holdsSearches {
			return nil
		}
		return []Event{JobsSearched{IDs: a.IDs, OK: true}}
	case Advise:
		if r.policy == nil {
			return []Event{AdviceAnswered{Job: a.Job, Occurrence: a.Occurrence, Step: a.Step, Asked: a.Workers}}
		}
		e := AdviceAnswered{Job: a.Job, Occurrence: a.Occurrence, Step: a.Step, Asked: a.Workers, OK: true, Valid: testTicketTime, Tickets: map[string]string{}}
		for _, w := range a.Workers {
			if r.policy(w) {
				e.Tickets[w] = "ticket"
			}
		}
		return []Event{e}
	case Decision:
		r.decisions = append(r.decisions, a)
	case Superseded:
		r.superseded = true
	}
	return nil
}

func (r *harness) answerHold(h Hold) Event {
	w := r.workers[h.Incarnation.ID]
	if w == nil || w.silent {
		return HoldAnswered{Worker: h.Incarnation, Sent: r.now, Result: NotDelivered}
	}
	for i := range w.running {
		if !w.stalled {
			w.running[i].Percent++
		}
	}
	var kept []EndReport
	for _, e := range w.ended {
		if e.Number > h.StoredEnds {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	more := w.pageSize > 0 && len(kept) >= w.pageSize
	if more {
		kept = kept[:w.pageSize]
	}
	return HoldAnswered{Worker: h.Incarnation, Sent: r.now, Report: HoldReport{
		Clock: r.now.Sub(w.startedAt).Milliseconds(), Born: w.Born,
		Running: append([]RunReport(nil), w.running...), Ended: append([]EndReport(nil), kept...), MoreEnds: more,
	}}
}

// endRun ends a run at the worker.
func (w *fakeWorker) endRun(t workload.TaskID, attempt int, how EndReason) {
	for i, run := range w.running {
		if run.Task == t && run.Attempt == attempt {
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.lastEnd++
			w.ended = append(w.ended, EndReport{Number: w.lastEnd, Task: t, Attempt: attempt, Reason: how})
			return
		}
	}
}

// countDecisions returns the number of decisions of one kind so far.
func (r *harness) countDecisions(what string) (n int) {
	for _, d := range r.decisions {
		if d.What == what {
			n++
		}
	}
	return n
}

// startsIn returns the starts among actions.
func startsIn(actions []Action) (starts []Start) {
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			starts = append(starts, s)
		}
	}
	return starts
}

// advance advances the time in steps of 20 ms.
func (r *harness) advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(20 * time.Millisecond)
		r.step()
	}
}

func testJob(id string, steps ...workload.Step) JobAdded {
	return JobAdded{Submission: workload.Submission{ID: id, Queue: testQueue, Pool: "p", Spec: "x", Steps: steps}}
}

// testKey returns the identity of the job that testJob returns for the ID.
func testKey(id string) workload.JobKey {
	return workload.JobKey{Queue: testQueue.Key(), ID: id}
}

func simpleStep(count int) workload.Step {
	return workload.Step{Count: count, Size: placement.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}
}

// Guards against an unresponsive worker that keeps its lease because each
// repeated hold extends it in our records, so that its tasks are never started
// again.
func TestTasksOfUnresponsiveWorkerRestartAfterLease(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)))
	require.Len(t, r.starts, 1)
	r.workers["a"].silent = true
	r.workers["b"] = newWorker("b")
	r.workers["b"].startedAt = r.now
	r.step(r.registrations())
	r.advance(testLease - 200*time.Millisecond)
	require.Len(t, r.starts, 1, "the first run may still be running")
	r.advance(2 * time.Second)
	require.Len(t, r.starts, 2)
	require.Equal(t, "b", r.starts[1].Incarnation.ID)
	require.Greater(t, r.starts[1].Attempt, r.starts[0].Attempt)
}

// Guards against failing a job at its first failed run because the owner does
// not know its queue.
func TestJobOfUnknownQueueUsesLimitsOfItsSubmission(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	job := testJob("j1", simpleStep(1))
	job.Submission.Queue.Name = "newer"
	r.step(job)
	for n := 1; n < testQueue.MaxAttempts; n++ {
		last := r.starts[len(r.starts)-1]
		r.workers[last.Incarnation.ID].endRun(last.Task, last.Attempt, EndFailed)
		r.advance(4 * time.Second)
		require.Len(t, r.starts, n+1)
	}
}

// Guards against counting a failure twice when a new owner receives an end that
// its predecessor stored but did not acknowledge.
func TestRepeatedFailureReportCountsOnce(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	job := testJob("j1", simpleStep(1))
	r.step(job)
	w := r.workers["a"]
	w.endRun(r.starts[0].Task, r.starts[0].Attempt, EndFailed)
	reported := append([]EndReport(nil), w.ended...)
	r.m.Step(r.now, 0, HoldAnswered{Worker: w.Incarnation, Sent: r.now, Report: HoldReport{Clock: 61000, Born: 1, Ended: reported}})
	progress := r.m.Collect(10, true).Jobs["j1"]

	next := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}}, newWorker("a"))
	next.workers["a"].ended, next.workers["a"].lastEnd = reported, 1
	job.Progress, job.Recovered = &progress, true
	next.step(job)
	next.advance(200 * time.Millisecond)
	require.Equal(t, 1, next.m.task(reported[0].Task).failures)
}
