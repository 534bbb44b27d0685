package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// scheduledJob returns a job of one task whose occurrences are due at start and
// then each period.
func scheduledJob(id string, count int, start time.Time, period time.Duration) JobAdded {
	job := testJob(id, simpleStep(1))
	job.Submission.Repeat = workload.Schedule{Count: count, Start: start.UnixMilli(), Period: period.Milliseconds()}
	return job
}

// takeOver returns a harness whose scheduler succeeds that of r. The workers and
// the time stay as they are.
func (r *harness) takeOver(token uint64, former []EngagedWorker, events ...Event) *harness {
	next := &harness{t: r.t, now: r.now, workers: r.workers}
	next.m = New(r.now, testConfig(token), former)
	next.step(append(events, r.registrations())...)
	return next
}

// An occurrence that ended before an earlier one was not stored, and the next owner
// ran it again.
func TestOccurrenceThatEndedBeforeAnEarlierOneIsNotRepeated(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	job := scheduledJob("j1", 2, r.now, 100*time.Millisecond)
	r.step(job)
	r.advance(300 * time.Millisecond)
	require.Len(t, r.starts, 2)
	r.workers["a"].endRun(workload.TaskID{Job: "j1", Occurrence: 1}, 1, EndDone)
	r.step()
	r.advance(time.Second)
	require.Empty(t, r.workers["a"].ended, "the end is acknowledged")
	progress := r.m.jobs["j1"].progress()

	job.Progress, job.Recovered = &progress, true
	next := r.takeOver(2, []EngagedWorker{{ID: "a", Born: 1, Machine: "m-a"}}, job)
	next.advance(time.Second)
	require.Empty(t, next.starts)
	next.workers["a"].endRun(workload.TaskID{Job: "j1"}, 1, EndDone)
	next.advance(time.Second)
	require.Equal(t, workload.Completed, next.m.ended["j1"])
}

// An owner whose clock was behind the former owner's stopped the runs of an
// occurrence that was not due by its clock, acknowledged its ends, and ran it again
// later.
func TestOccurrenceThatTheFormerOwnerStartedEarlierIsAdopted(t *testing.T) {
	a := newWorker("a")
	first, second := workload.TaskID{Job: "j1"}, workload.TaskID{Job: "j1", Index: 1}
	a.running = []RunReport{{Task: first, Attempt: 1}}
	a.lastEnd, a.ended = 1, []EndReport{{Number: 1, Task: second, Attempt: 1, Reason: EndDone}}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}})
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"] = a
	job := scheduledJob("j1", 1, r.now.Add(2*time.Second), time.Second)
	job.Submission.Steps[0].Count, job.Recovered = 3, true
	r.step(job, r.registrations())
	r.advance(time.Second)
	require.Empty(t, r.stops)
	require.Empty(t, r.starts, "the third task is not due")
	require.Len(t, a.running, 1)
	r.advance(1500 * time.Millisecond)
	require.Len(t, r.starts, 1)
	require.Equal(t, 2, r.starts[0].Task.Index)
}

// An owner whose clock was behind stored its progress without the tasks of an
// occurrence that was not due by its clock, and its successor ran them again.
func TestProgressOfOccurrenceThatIsNotDueIsKept(t *testing.T) {
	r := newHarness(t, 2, nil, newWorker("a"))
	job := scheduledJob("j1", 2, r.now, 5*time.Second)
	job.Progress = &workload.Progress{State: workload.Running, Tasks: []workload.TaskProgress{{Occurrence: 1, Done: true}}}
	job.Submission.Steps[0].Count, job.Recovered = 2, true
	r.step(job)
	require.Contains(t, r.m.jobs["j1"].progress().Tasks, workload.TaskProgress{Occurrence: 1, Done: true})
}

// A worker lists at most 500 ends at a time. A run whose end was on the next page
// was taken as vanished, and its task was started again.
func TestRunWhoseEndIsNotListedYetIsNotRepeated(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(2)))
	require.Len(t, r.starts, 2)
	w := r.workers["a"]
	w.pageSize = 1
	for _, s := range r.starts {
		w.endRun(s.Task, s.Attempt, EndDone)
	}
	r.advance(time.Second)
	require.Len(t, r.starts, 2)
	require.Equal(t, workload.Completed, r.m.ended["j1"])
}

// A new owner started a task whose end was on the next page of a worker's ends.
func TestNewOwnerWaitsForAllEndsOfAWorker(t *testing.T) {
	a := newWorker("a")
	a.pageSize, a.lastEnd = 1, 2
	for i := range 2 {
		a.ended = append(a.ended, EndReport{Number: i + 1, Task: workload.TaskID{Job: "j1", Index: i}, Attempt: 1, Reason: EndDone})
	}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}})
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"], r.workers["b"] = a, newWorker("b")
	r.workers["b"].startedAt = r.now
	job := testJob("j1", simpleStep(2))
	job.Recovered = true
	r.step(job, r.registrations())
	r.advance(2 * time.Second)
	require.Empty(t, r.starts)
	require.Equal(t, workload.Completed, r.m.ended["j1"])
}

// Guards against an owner without a valid lease that starts the tasks of a worker
// which it can't reach, while its successor extends that worker's lease.
func TestOwnerWithoutLeaseDoesNotRestartTasksOfSilentWorker(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)))
	r.workers["a"].silent = true
	r.workers["b"] = newWorker("b")
	r.workers["b"].startedAt = r.now
	r.step(r.registrations())
	r.m.SetLeaseValid(false)
	r.advance(2 * testLease)
	require.Len(t, r.starts, 1)
	r.m.SetLeaseValid(true)
	r.advance(time.Second)
	require.Len(t, r.starts, 2, "no successor has taken the lease")
}

// An idle worker restarted unnoticed and carried out a start. The next hold
// repeated the acknowledgement of ends of the former incarnation, so that the end
// of the run was forgotten and the task started again.
func TestAcknowledgementIsNotRepeatedToRestartedWorker(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	w := r.workers["a"]
	r.step(testJob("j1", simpleStep(1)))
	w.endRun(r.starts[0].Task, 1, EndDone)
	r.advance(time.Second)
	require.Equal(t, 1, r.m.workers["a"].lastEndStored)
	require.Empty(t, w.ended)

	w.Born++
	w.lastEnd, w.startedAt = 0, r.now
	r.step(testJob("j2", simpleStep(1)))
	require.Len(t, r.starts, 2)
	w.endRun(r.starts[1].Task, 1, EndDone)
	r.advance(3 * time.Second)
	r.step(r.registrations())
	r.advance(time.Second)
	require.Len(t, r.starts, 2)
	require.Equal(t, workload.Completed, r.m.ended["j2"])
}

// The same happened if the worker restarted before it received the
// acknowledgement, which each further hold repeated.
func TestSilentWorkerGetsNoAcknowledgement(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	w := r.workers["a"]
	r.step(testJob("j1", simpleStep(1)))
	w.endRun(r.starts[0].Task, 1, EndDone)
	holds := len(r.holds)
	for len(r.holds) == holds {
		r.advance(20 * time.Millisecond)
	}
	w.silent = true
	r.advance(time.Second)
	holds = len(r.holds)
	require.Equal(t, 1, r.m.workers["a"].lastEndStored)
	r.advance(time.Second)
	require.Greater(t, len(r.holds), holds)
	for _, h := range r.holds[holds:] {
		require.Zero(t, h.StoredEnds)
	}
	w.silent = false
	r.advance(time.Second)
	require.Empty(t, w.ended)
}

// A worker answered the first hold of a new owner and then no more. Its lease never
// ended in the new owner's records, so the task of the adopted run waited for ever.
func TestAdoptedRunOfSilentWorkerExpires(t *testing.T) {
	a := newWorker("a")
	a.running = []RunReport{{Task: workload.TaskID{Job: "j1"}, Attempt: 1}}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1, Machine: "m-a"}}, newWorker("b"))
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"] = a
	job := testJob("j1", simpleStep(1))
	job.Recovered = true
	r.m.Step(r.now, 0, job, r.registrations(), r.answerHold(Hold{Target: Target{Incarnation: a.Incarnation}}))
	require.Len(t, r.m.workers["a"].runs, 1)
	a.silent = true
	r.m.Step(r.now, 0, HoldAnswered{Worker: a.Incarnation, Sent: r.now, Result: Unknown})
	r.advance(testLease)
	require.Empty(t, r.starts, "the former owner's lease may last")
	r.advance(time.Second)
	require.Len(t, r.starts, 1)
	require.Equal(t, "b", r.starts[0].Incarnation.ID)
}

// A worker that had restarted and might run a start of before was left out of the
// load row until it answered, so that a successor did not wait for it.
func TestRestartedWorkerWithPossibleRunsStaysInLoadRow(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	w := r.workers["a"]
	r.m.Step(r.now, 0, testJob("j1", simpleStep(1)))
	w.Born++
	r.m.Step(r.now, 0, r.registrations())
	require.Len(t, r.m.workers["a"].runs, 1)
	require.Equal(t, []EngagedWorker{{ID: "a", Born: 2, Machine: "m-a"}}, r.m.Collect(1, true).Engaged)
}

// A draining worker was left out of the load row while the end of its last run was
// not stored, so that a successor did not wait for it and started the task again.
func TestWorkerWithUnstoredEndsStaysInLoadRow(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	w := r.workers["a"]
	r.step(testJob("j1", simpleStep(1)))
	w.endRun(r.starts[0].Task, 1, EndDone)
	w.Draining = true
	r.now = r.now.Add(time.Second)
	r.m.Step(r.now, 0, r.registrations(), r.answerHold(Hold{Target: Target{Incarnation: w.Incarnation}}))
	require.Empty(t, r.m.workers["a"].runs)
	b := r.m.Collect(0, true) // has no room for the job
	require.Equal(t, []EngagedWorker{{ID: "a", Born: 1, Machine: "m-a"}}, b.Engaged)
	r.m.Step(r.now, 0, Stored{Batch: b, OK: true})
	r.m.Step(r.now, 0, Stored{Batch: r.m.Collect(1, true), OK: true})
	require.Empty(t, r.m.Collect(1, true).Engaged)
}

// An owner that had been suspended past the end of its lease started tasks at once
// at workers that had restarted meanwhile and had forgotten its successor's token
// (seed 1592 of the simulation of owners).
func TestOwnerWithoutLeaseStartsNothingOnOldReports(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step()
	r.now = r.now.Add(1900 * time.Millisecond)
	r.m.SetLeaseValid(false)
	for _, a := range r.m.Step(r.now, 0, testJob("j1", simpleStep(1))) {
		_, isStart := a.(Start)
		require.False(t, isStart)
	}
	r.step(r.answerHold(Hold{Target: Target{Incarnation: r.workers["a"].Incarnation}}))
	r.advance(20 * time.Millisecond)
	require.Len(t, r.starts, 1)
	r.advance(4 * time.Second)
	r.step(testJob("j2", simpleStep(1)))
	r.advance(20 * time.Millisecond)
	require.Len(t, r.starts, 2, "reports are recent during the overrun")
}

// A new owner whose configuration was behind did not read the jobs of a new queue.
// It stopped their runs, acknowledged their ends, and ran the tasks again later.
func TestRunsAndEndsOfUnreadJobAreKeptUntilItIsFound(t *testing.T) {
	a := newWorker("a")
	task := func(i int) workload.TaskID { return workload.TaskID{Job: "j1", Index: i} }
	a.running = []RunReport{{Task: task(0), Attempt: 1}}
	a.lastEnd, a.ended = 1, []EndReport{{Number: 1, Task: task(1), Attempt: 1, Reason: EndDone}}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}})
	r.holdsSearches = true
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"] = a
	r.step(r.registrations())
	r.advance(time.Second)
	require.Equal(t, []string{"j1"}, r.search)
	require.Empty(t, r.stops)
	require.Len(t, a.ended, 1, "the end is not acknowledged")
	job := testJob("j1", simpleStep(2))
	job.Recovered = true
	r.step(job, JobsSearched{IDs: r.search, OK: true})
	r.advance(time.Second)
	require.Empty(t, r.starts)
	require.Empty(t, r.stops)
	require.Empty(t, a.ended)
	a.endRun(task(0), 1, EndDone)
	r.advance(time.Second)
	require.Equal(t, workload.Completed, r.m.ended["j1"])
}

// A run of a job that the owner had not read ended on a later page of its worker's ends.
// The next report listed neither the run nor its end, and the task was started again once
// the job had been found (seed 115423 of TestOwnersRunEachTaskOnce).
func TestRunOfUnreadJobIsKeptUntilAllEndsAreListed(t *testing.T) {
	a := newWorker("a")
	a.pageSize = 2
	for i := range 3 {
		a.running = append(a.running, RunReport{Task: workload.TaskID{Job: "j1", Index: i}, Attempt: 1})
	}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}})
	r.holdsSearches = true
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"] = a
	r.step(r.registrations())
	require.Equal(t, []string{"j1"}, r.search)
	for i := range 3 {
		a.endRun(workload.TaskID{Job: "j1", Index: i}, 1, EndDone)
	}
	r.advance(time.Second)
	job := testJob("j1", simpleStep(3))
	job.Recovered = true
	r.step(job, JobsSearched{IDs: r.search, OK: true})
	r.advance(time.Second)
	require.Empty(t, r.starts)
	require.Equal(t, workload.Completed, r.m.ended["j1"])
}

// Guards against runs of a job that does not exist, which would go on for ever, and
// against a search that is not repeated after it failed.
func TestRunsOfAbsentJobAreStopped(t *testing.T) {
	a := newWorker("a")
	a.running = []RunReport{{Task: workload.TaskID{Job: "j9"}, Attempt: 1}}
	r := newHarness(t, 1, nil)
	r.holdsSearches = true
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"] = a
	r.step(r.registrations())
	r.advance(100 * time.Millisecond)
	ids := r.search
	r.search = nil
	r.step(JobsSearched{IDs: ids})
	r.advance(time.Second)
	require.Equal(t, ids, r.search)
	require.Empty(t, r.stops)
	r.step(JobsSearched{IDs: ids, OK: true})
	r.advance(time.Second)
	require.NotEmpty(t, r.stops)
	require.Empty(t, a.running)
}

// Recovered jobs waited up to 11 s for a worker of the former owner whose machine had
// been moved, so that it could neither answer nor run anything.
func TestNewOwnerDoesNotWaitForWorkerOfRestartedMachine(t *testing.T) {
	r := newHarness(t, 2, []EngagedWorker{{ID: "gone", Born: 5, Machine: "m-gone"}}, newWorker("a"))
	job := testJob("j1", simpleStep(1))
	job.Recovered = true
	r.step(job)
	r.advance(time.Second)
	require.Empty(t, r.starts, "the worker may still run the task")
	r.step(MachinesRestarted{Newest: map[string]workload.Incarnation{"m-gone": {ID: "gone", Born: 5}, "m-a": {ID: "a", Born: 7}}})
	require.Empty(t, r.starts, "the worker is the newest on its machine")
	r.step(MachinesRestarted{Newest: map[string]workload.Incarnation{"m-gone": {ID: "later", Born: 6}}})
	r.advance(100 * time.Millisecond)
	require.Len(t, r.starts, 1)
}

// A new owner took a worker that had restarted under its ID as proof that nothing of
// the former owner ran there, and started a task again that a late start had begun.
func TestNewOwnerWaitsForWorkerThatRestartedUnderItsID(t *testing.T) {
	b := newWorker("b")
	b.Born = 6
	b.running = []RunReport{{Task: workload.TaskID{Job: "j1"}, Attempt: 1}}
	b.silent = true
	r := newHarness(t, 2, []EngagedWorker{{ID: "b", Born: 5, Machine: "m-b"}}, newWorker("a"), b)
	job := testJob("j1", simpleStep(1))
	job.Recovered = true
	r.step(job, MachinesRestarted{Newest: map[string]workload.Incarnation{"m-b": b.Incarnation}})
	r.advance(time.Second)
	require.Empty(t, r.starts, "the task runs at b")
	b.silent = false
	r.advance(time.Second)
	require.Empty(t, r.starts)
	require.Len(t, r.m.workers["b"].runs, 1)
}

// A worker whose machine had been moved returned to the load row while its
// registration outlived it, and the next owner waited for it.
func TestMovedWorkerDoesNotReturnToTheLoadRow(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	engaged := func() (ids []string) {
		for _, e := range r.m.Collect(10, true).Engaged {
			ids = append(ids, e.ID)
		}
		return ids
	}
	require.Equal(t, []string{"a", "b"}, engaged())
	r.step(ReleaseUpdated{Machines: map[string]bool{"m-a": true}, Version: 1})
	require.Equal(t, []string{"b"}, engaged())
	r.workers["a"].silent = true
	r.step(ReleaseUpdated{Version: 2})
	r.advance(time.Second)
	require.Equal(t, []string{"b"}, engaged())
	r.workers["a"].silent = false // the release was withdrawn without a move
	r.advance(time.Second)
	require.Equal(t, []string{"a", "b"}, engaged())
}

// newHarnessWithUnreadJob returns a harness of a new owner that looks up the job j1,
// of which worker a reports a run. The search has no result yet.
func newHarnessWithUnreadJob(t *testing.T, others ...*fakeWorker) (*harness, *fakeWorker) {
	a := newWorker("a")
	a.running = []RunReport{{Task: workload.TaskID{Job: "j1"}, Attempt: 1}}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}}, others...)
	r.holdsSearches = true
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"] = a
	r.step(r.registrations())
	r.advance(100 * time.Millisecond)
	return r, a
}

// A cancellation that arrived while its job was being looked up was dropped, and the
// job went on after it had been found.
func TestCancellationOfJobThatIsLookedUpIsKept(t *testing.T) {
	r, a := newHarnessWithUnreadJob(t)
	require.Equal(t, []string{"j1"}, r.search)
	r.step(CancelRequested{Job: testKey("j1")})
	job := testJob("j1", simpleStep(2))
	job.Recovered = true
	r.step(job, JobsSearched{IDs: r.search, OK: true})
	r.advance(time.Second)
	require.Empty(t, r.starts)
	require.Empty(t, a.running)
	require.Equal(t, workload.Cancelled, r.m.ended["j1"])
}

// The lease of a worker that had restarted was taken to end with that of its former
// life, so that a start that its new life had carried out was repeated elsewhere.
func TestStartMayLastForALeaseAfterARestart(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.m.Step(r.now, 0, testJob("j1", simpleStep(1)))
	a := r.workers["a"].Incarnation
	r.now = r.now.Add(time.Second)
	r.m.Step(r.now, 0, HoldAnswered{Worker: a, Sent: r.now, Result: OK, Report: HoldReport{Clock: 1, Born: 2}})
	r.workers["b"] = newWorker("b")
	r.workers["b"].startedAt = r.now.Add(-time.Minute)
	r.step(r.registrations()) // the new life of a is not registered yet
	r.advance(testLease)
	require.Empty(t, r.starts, "the run may last for a lease from its start")
	r.advance(testLease + time.Second)
	require.Len(t, r.starts, 1)
}

// A job that was found after a worker had reported a run of it counted as due since
// 1970, so that its remaining tasks came after those of all other jobs.
func TestJobThatIsLookedUpKeepsItsObjective(t *testing.T) {
	r, a := newHarnessWithUnreadJob(t)
	job := testJob("j1", simpleStep(1))
	job.Recovered, job.Submission.Accepted = true, r.now.Add(-time.Second).UnixMilli()
	r.step(job, JobsSearched{IDs: r.search, OK: true})
	require.Len(t, a.running, 1)
	require.Equal(t, r.now.Add(-time.Second), r.m.jobs["j1"].openOccurrences[0].due)
}

// Guards against a run of an unknown job that is adopted when the job is found,
// although its worker has gone meanwhile, so that its task never runs again.
func TestRunOfUnreadJobEndsWithItsWorker(t *testing.T) {
	r, a := newHarnessWithUnreadJob(t, newWorker("b"))
	require.Equal(t, []EngagedWorker{{ID: "a", Born: 1, Machine: "m-a"}, {ID: "b", Born: 1, Machine: "m-b"}}, r.m.Collect(1, true).Engaged)
	a.silent = true
	r.advance(testLease + time.Second)
	job := testJob("j1", simpleStep(1))
	job.Recovered = true
	r.step(job, JobsSearched{IDs: r.search, OK: true})
	r.advance(100 * time.Millisecond)
	require.Len(t, r.starts, 1)
	require.Equal(t, "b", r.starts[0].Incarnation.ID)
}

// Without the line, a log does not tell for which workers a new owner waited.
func TestEndOfTakeoverIsLogged(t *testing.T) {
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1, Machine: "m-a"}, {ID: "gone", Born: 5, Machine: "m-gone"}}, newWorker("a"))
	logged := func() (why []string) {
		for _, d := range r.decisions {
			if d.What == "takeover-complete" {
				why = append(why, d.Why)
			}
		}
		return why
	}
	r.advance(time.Second)
	require.Empty(t, logged())
	r.advance(2 * testLease)
	require.Equal(t, []string{"after 6220 ms, 1 workers of the former owner did not answer, among them gone"}, logged())
}
