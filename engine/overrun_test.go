package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// takeoverDay is a day on which the first owner is cut off from the store while its
// successor reaches only the worker that runs the tasks of a job of one step.
type takeoverDay struct {
	*simWorld
	full   *simWorker    // worker that runs the tasks
	reason EndReason     // how a run ends after the successor's first hold
	delay  time.Duration // from that hold to the end
	ended  bool          // the run has ended
	begun  int           // starts since then
}

// newTakeoverDay returns a day with a finite job of four tasks that last for a minute,
// which change may turn into another.
func newTakeoverDay(seed uint64, change func(*workload.Submission), reason EndReason) *takeoverDay {
	d := &takeoverDay{simWorld: newSimWorld(seed, nil), reason: reason}
	d.delay = d.between(0, 100*time.Millisecond)
	d.faults.noFailures = true
	d.procs[0].claim()
	job := testJob("j", simpleStep(4)).Submission
	job.Queue.MaxAttempts, job.Accepted = 1000, simStart.UnixMilli()
	job.Steps[0].Estimate = time.Minute
	change(&job)
	d.onStart = func(workload.TaskID) { d.begun++ }
	d.after(2*time.Second, func() { d.submit("j", job) })
	d.after(5*time.Second, d.cutOwnerOff)
	return d
}

func (d *takeoverDay) cutOwnerOff() {
	d.full = d.workerWithMostRuns()
	d.procs[0].cut = true
	// It starts the tasks of ended runs at a worker that the successor doesn't reach.
	d.procs[0].owner.m.workers[d.full.worker.ID].quarantinedUntil = simStart.Add(simEndOfDay)
	for _, p := range d.procs[1:] {
		p.claim()
		for _, w := range d.workers {
			w.cut[p.id] = w != d.full
		}
	}
	d.onFence = func(w *simWorker) {
		if w == d.full && !d.ended {
			d.ended = true
			d.after(d.delay, d.endRun)
		}
	}
}

func (d *takeoverDay) endRun() {
	if len(d.full.running) > 0 {
		d.begun = 0
		d.full.end(d.full.running[0], d.reason)
	}
}

// Guards against two owners that start the same task: the former one's hold still waits
// at a worker when the new one's first hold arrives there, so both are told of an end
// (case 6 of the second review).
func TestEndThatTwoOwnersAreToldOfRestartsItsTaskOnce(t *testing.T) {
	kinds := map[string]func(*workload.Submission){
		"finite":       func(*workload.Submission) {},
		"long-running": func(j *workload.Submission) { j.Steps[0].LongRunning = true },
		"gang":         func(j *workload.Submission) { j.Steps[0].Gang = true },
		"checkpoints":  func(j *workload.Submission) { j.Steps[0].Checkpoints = true },
		"scheduled": func(j *workload.Submission) {
			j.Repeat = workload.Schedule{Count: 1, Start: simStart.UnixMilli(), Period: 1000}
		},
	}
	for name, change := range kinds {
		for _, reason := range []EndReason{EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete} {
			t.Run(fmt.Sprintf("%s %s", name, reason), func(t *testing.T) {
				for seed := range uint64(20) {
					d := newTakeoverDay(seed, change, reason)
					d.runUntil(14 * time.Second)
					require.True(t, d.ended, "seed %d: the pool has a new owner", seed)
					require.Empty(t, d.violations, "seed %d", seed)
					require.NotZero(t, d.begun, "seed %d: the new owner starts the task again", seed)
				}
			})
		}
	}
}

// Guards against two owners that start a task which has never run, because both learn that
// it may start: the step before it is done, or its occurrence is due.
func TestTaskThatTwoOwnersFindReadyIsStartedOnce(t *testing.T) {
	for ready, change := range map[workload.TaskID]func(*workload.Submission){
		{Job: "j", Step: 1}: func(j *workload.Submission) {
			next := j.Steps[0]
			next.After = []int{0}
			j.Steps[0].Count = 1
			j.Steps = append(j.Steps, next)
		},
		{Job: "j", Occurrence: 1}: func(j *workload.Submission) {
			j.Repeat = workload.Schedule{Count: 2, Start: simStart.UnixMilli(), Period: 6000}
		},
	} {
		for seed := range uint64(20) {
			d := newTakeoverDay(seed, change, EndDone)
			d.runUntil(14 * time.Second)
			require.Empty(t, d.violations, "task %s, seed %d", ready, seed)
			require.Len(t, d.runs[ready], 1, "task %s, seed %d", ready, seed)
		}
	}
}

// Guards against an outage of the store, shorter than the overrun, that stops running
// tasks or holds up those of runs that end. Calls to workers take up to 16 ms here: an end
// is reported, confirmed and followed by a start.
func TestOutageOfStoreHoldsUpNoTask(t *testing.T) {
	const down, firstEnd, ends, outage = 5 * time.Second, 1200 * time.Millisecond, 15, 2800 * time.Millisecond
	var sum, longest time.Duration
	restarts := 0
	for seed := range uint64(20) {
		s := newSimWorld(seed, nil)
		s.faults.noFailures, s.faults.page = true, 500
		s.procs[0].claim()
		finite, longRunning := testJob("finite", simpleStep(8)).Submission, testJob("long", longRunningStep(4, 0)).Submission
		finite.Queue.MaxAttempts, finite.Steps[0].Estimate = 1000, time.Minute
		s.after(2*time.Second, func() { s.submit("finite", finite); s.submit("long", longRunning) })
		ended := map[workload.TaskID]time.Duration{}
		s.onStart = func(id workload.TaskID) {
			if at, ok := ended[id]; ok {
				delete(ended, id)
				sum += s.now - at
				longest = max(longest, s.now-at)
				restarts++
			}
		}
		s.after(down, func() { s.store.down = true })
		s.after(down+outage, func() { s.store.down = false })
		for i := range ends {
			s.after(down+firstEnd+time.Duration(i)*100*time.Millisecond, func() {
				w := s.workerWithMostRuns()
				if len(w.running) == 0 {
					return
				}
				r := w.running[s.rng.IntN(len(w.running))]
				ended[r.task] = s.now
				w.end(r, EndStopped) // failures would put the workers in quarantine
			})
		}
		s.runUntil(down + outage + time.Second)
		require.Empty(t, s.violations, "seed %d", seed)
		require.Empty(t, ended, "seed %d: each task has been started again", seed)
	}
	require.NotZero(t, restarts)
	t.Logf("%d tasks were started again after %s on average, %s at most", restarts, sum/time.Duration(restarts), longest)
	// A hold that is due, its answer, a hold that confirms the end and its answer, a start.
	const usual = holdGap + 5*holdGapPerBusyWorker + 5*8*time.Millisecond
	require.Less(t, sum/time.Duration(restarts), usual)
	require.Less(t, longest, overrunFreshness+usual, "a worker must have answered recently")
}

// Guards against an outage of the store that holds up the tasks of failed runs: an owner
// without a valid lease starts them as soon as their worker has answered once more.
func TestOwnerWithoutLeaseRestartsTaskAfterConfirmation(t *testing.T) {
	for name, step := range map[string]workload.Step{"finite": simpleStep(1), "long-running": longRunningStep(1, 0)} {
		r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
		r.step(testJob("j1", step))
		require.Len(t, r.starts, 1, name)
		r.m.SetLeaseValid(false)
		r.advance(time.Second)
		a := r.workers[r.starts[0].Incarnation.ID]
		a.endRun(r.starts[0].Task, 1, EndFailed)
		report := r.answerHold(Hold{Target: Target{Incarnation: a.Incarnation}})
		actions := r.m.Step(r.now, 0, report)
		require.Empty(t, startsIn(actions), "%s: the report alone does not suffice", name)
		i := slices.IndexFunc(actions, func(action Action) bool { h, ok := action.(Hold); return ok && h.Incarnation == a.Incarnation })
		require.GreaterOrEqual(t, i, 0, "%s: the worker is asked at once", name)
		require.Zero(t, actions[i].(Hold).Wait, name)
		r.step(r.answerHold(actions[i].(Hold)))
		r.advance(20 * time.Millisecond)
		require.Len(t, r.starts, 2, name)
	}
}

// newHarnessWithUnconfirmedEnd returns a harness whose lease has ended, and a worker that
// has reported a run as over. change is applied to the worker before it gets the hold that
// would confirm this.
func newHarnessWithUnconfirmedEnd(t *testing.T, change func(r *harness, w *fakeWorker)) *harness {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", simpleStep(1)))
	r.m.SetLeaseValid(false)
	a := r.workers[r.starts[0].Incarnation.ID]
	a.endRun(r.starts[0].Task, 1, EndFailed)
	actions := r.m.Step(r.now, 0, r.answerHold(Hold{Target: Target{Incarnation: a.Incarnation}}))
	change(r, a)
	var answers []Event
	for _, action := range actions {
		answers = append(answers, r.answer(action)...)
	}
	r.step(answers...)
	return r
}

// Guards against a task that stays idle: its worker fell silent after it had reported the
// end of a run, and then the lease was renewed.
func TestOwnerRestartsUnconfirmedTaskOnceItsLeaseIsValid(t *testing.T) {
	r := newHarnessWithUnconfirmedEnd(t, func(_ *harness, w *fakeWorker) { w.silent = true })
	r.advance(3 * time.Second)
	require.Len(t, r.starts, 1)
	r.m.SetLeaseValid(true)
	r.advance(100 * time.Millisecond)
	require.Len(t, r.starts, 2)
}

// Guards against an owner without a valid lease that takes a restarted worker, which has
// forgotten the token of a successor, for one that no successor has reached.
func TestRestartedWorkerConfirmsNoEnd(t *testing.T) {
	r := newHarnessWithUnconfirmedEnd(t, func(r *harness, w *fakeWorker) {
		w.Born++
		w.lastEnd, w.ended, w.startedAt = 0, nil, r.now
	})
	r.advance(3 * time.Second)
	require.Len(t, r.starts, 1)
	r.step(r.registrations())
	r.advance(3 * time.Second)
	require.Len(t, r.starts, 1)
}
