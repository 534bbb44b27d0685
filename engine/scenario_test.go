package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

func longRunningStep(count, disruptionBudget int) workload.Step {
	s := simpleStep(count)
	s.LongRunning, s.MaxPerWorker, s.DisruptionBudget = true, 1, disruptionBudget
	return s
}

// Guards against starting a step before the steps that it depends on are done.
func TestStepWaitsForDependencies(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	second := simpleStep(1)
	second.After = []int{0}
	r.step(testJob("j1", simpleStep(2), second))
	require.Len(t, r.starts, 2)
	r.workers["a"].endRun(r.starts[0].Task, 1, EndDone)
	r.advance(200 * time.Millisecond)
	require.Len(t, r.starts, 2)
	r.workers["a"].endRun(r.starts[1].Task, 1, EndDone)
	r.advance(200 * time.Millisecond)
	require.Len(t, r.starts, 3)
	require.Equal(t, 1, r.starts[2].Task.Step)
}

// Guards against exceeding a worker's capacity or a step's limit per worker.
func TestPlacementRespectsCapacityAndMaxPerWorker(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", simpleStep(40)))
	require.Len(t, r.starts, 32, "32 one-core tasks fit on two workers with 16 cores each")

	r = newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", longRunningStep(5, 1)))
	require.Len(t, r.starts, 2, "one run on each worker")
}

// Guards against acknowledging an end before it is stored, so that it is lost
// if the owner fails.
func TestEndIsAcknowledgedOnlyAfterItIsStored(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)))
	w := r.workers["a"]
	w.endRun(r.starts[0].Task, 1, EndDone)
	r.now = r.now.Add(time.Second)
	r.m.Step(r.now, 0, r.answerHold(Hold{Target: Target{Incarnation: w.Incarnation}}))
	b := r.m.Collect(10, true)
	require.Equal(t, workload.Completed, b.Jobs["j1"].State)
	acknowledgedEnds := func() int {
		r.now = r.now.Add(time.Second)
		for _, a := range r.m.Step(r.now, 0) {
			if h, ok := a.(Hold); ok {
				r.m.Step(r.now, 0, r.answerHold(h))
				return h.StoredEnds
			}
		}
		t.Fatal("the step emitted no hold")
		return 0
	}
	require.Equal(t, 0, acknowledgedEnds())
	r.m.Step(r.now, 0, Stored{Batch: b, OK: false})
	require.Equal(t, 0, acknowledgedEnds(), "the batch was not stored")
	b = r.m.Collect(10, true)
	require.Contains(t, b.Jobs, "j1", "the job is stored again")
	r.m.Step(r.now, 0, Stored{Batch: b, OK: true})
	require.Equal(t, 1, acknowledgedEnds())
}

// Guards against a new owner that starts tasks at once, while workers that it
// has not reached yet may still run them.
func TestNewOwnerWaitsForWorkersOfFormerOwner(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	b.silent = true
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}, {ID: "b", Born: 1}}, a, b)
	old := testJob("j1", simpleStep(1))
	old.Recovered = true
	r.step(old, testJob("j2", simpleStep(1)))
	require.Len(t, r.starts, 1, "only the job that the former owner can't know is started")
	require.Equal(t, "j2", r.starts[0].Task.Job)
	require.Greater(t, r.starts[0].Attempt, attemptsPerOwner, "attempt numbers increase from owner to owner")
	r.advance(testLease)
	require.Len(t, r.starts, 1)
	r.advance(time.Second)
	require.Len(t, r.starts, 2, "the longest lease of the former owner has expired")
}

// Guards against a new owner that starts tasks again that already run.
func TestNewOwnerAdoptsRuns(t *testing.T) {
	a := newWorker("a")
	task := workload.TaskID{Job: "j1", Index: 1}
	a.running = []RunReport{{Task: task, Attempt: 3}}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}})
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"] = a
	old := testJob("j1", simpleStep(2))
	old.Recovered = true
	r.step(old, r.registrations())
	r.advance(100 * time.Millisecond)
	require.Len(t, r.starts, 1)
	require.Equal(t, 0, r.starts[0].Task.Index)
}

// Guards against starting a task elsewhere although its unanswered start was
// carried out.
func TestUnansweredStartIsResolvedByWorkerReport(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	w := r.workers["a"]
	w.noStartAnswers = true
	r.step(testJob("j1", simpleStep(1)))
	r.advance(3 * time.Second)
	require.Len(t, r.starts, 1, "the worker reports the run")

	r = newHarness(t, 1, nil, newWorker("a"))
	r.workers["a"].startResult, r.workers["a"].ignoresStops = Unknown, true
	r.step(testJob("j1", simpleStep(1)))
	r.workers["a"].startResult = OK
	r.advance(startTimeout - 200*time.Millisecond)
	require.Len(t, r.starts, 1, "the start may still be carried out, and no stop has forbidden it")
	r.advance(500 * time.Millisecond)
	require.Len(t, r.starts, 2)
}

// Guards against an owner that goes on sending orders after a worker has seen
// the token of a later owner.
func TestFencedOwnerStartsNothing(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.workers["a"].startResult = Fenced
	r.step(testJob("j1", simpleStep(1)))
	require.True(t, r.superseded)
	r.advance(time.Second)
	require.Len(t, r.starts, 1)
}

// The cancellation of a job in one queue stopped the job with the same ID in another, also
// one that had been looked up because a worker reported it.
func TestCancellationOfAnotherQueueStopsNothing(t *testing.T) {
	other := workload.JobKey{Queue: workload.QueueKey("h", "/other/"), ID: "j1"}
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", longRunningStep(1, 0)), CancelRequested{Job: other})
	r.advance(time.Second)
	require.Empty(t, r.stops)
	require.Len(t, r.workers["a"].running, 1)

	r, a := newHarnessWithUnreadJob(t)
	r.step(CancelRequested{Job: other})
	job := testJob("j1", simpleStep(1))
	job.Recovered = true
	r.step(job, JobsSearched{IDs: r.search, OK: true})
	r.advance(time.Second)
	require.Empty(t, r.stops)
	require.Len(t, a.running, 1)
	require.Empty(t, r.m.cancelledToFind)
}

// Guards against a cancelled job that is started or continues to run.
func TestCancelledJobIsStopped(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", longRunningStep(1, 0)))
	require.Len(t, r.starts, 1)
	r.step(CancelRequested{Job: testKey("j1")})
	require.Len(t, r.stops, 1)
	r.advance(time.Second)
	require.Len(t, r.starts, 1)
	require.Empty(t, r.workers["a"].running)
}

// Guards against stopping more long-running tasks of machines to be released
// at once than the disruption budget of their step allows.
func TestReleaseRespectsDisruptionBudget(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	r := newHarness(t, 1, nil, a, b, newWorker("c"), newWorker("d"))
	r.step(testJob("j1", longRunningStep(3, 1)))
	require.Len(t, r.starts, 3)
	setServing := func() {
		for _, w := range r.workers {
			for i := range w.running {
				w.running[i].Percent = 100
			}
			w.stalled = true
		}
		r.advance(time.Second)
	}
	setServing()
	var releasedIDs []string
	for id, w := range r.workers {
		if len(w.running) > 0 && len(releasedIDs) < 2 {
			releasedIDs = append(releasedIDs, id)
		}
	}
	r.step(ReleaseUpdated{Machines: map[string]bool{"m-" + releasedIDs[0]: true, "m-" + releasedIDs[1]: true}, Version: 5})
	require.Len(t, r.stops, 1, "the second task stays until the first is ready to serve again")
	for _, w := range r.workers {
		w.stalled = false
	}
	require.Equal(t, uint64(5), r.m.Status(r.now).ReleaseVersion)
}

// Guards against starting tasks on a draining worker.
func TestDrainingWorkerGetsNoStart(t *testing.T) {
	a := newWorker("a")
	r := newHarness(t, 1, nil, a)
	a.Draining = true
	r.step(r.registrations(), testJob("j1", simpleStep(1)))
	r.advance(time.Second)
	require.Empty(t, r.starts)
}

// Guards against a stalled task that delays its job forever.
func TestTaskWithoutProgressIsStartedElsewhere(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	a.stalled = true
	r := newHarness(t, 1, nil, a)
	r.step(testJob("j1", simpleStep(1)))
	r.workers["b"] = b
	b.startedAt = r.now
	r.step(r.registrations())
	r.advance(4 * time.Second)
	require.NotEmpty(t, r.stops)
	require.Len(t, r.starts, 2)
	require.Equal(t, "b", r.starts[1].Incarnation.ID)
}

// Guards against a broken worker that uses up the attempts of every job.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", simpleStep(1)), testJob("j2", simpleStep(1)))
	bad := r.starts[0].Incarnation.ID
	for _, s := range r.starts {
		require.Equal(t, bad, s.Incarnation.ID, "both tasks are packed on one worker")
		r.workers[bad].endRun(s.Task, s.Attempt, EndFailed)
	}
	r.advance(time.Second)
	require.Len(t, r.starts, 4)
	for _, s := range r.starts[2:] {
		require.NotEqual(t, bad, s.Incarnation.ID)
	}
}

// The end of a run at a worker that had been idle was learned only with the next hold of an
// idle worker, up to 2 s later. Its job was late, and a worker that failed everything drew
// more work meanwhile.
func TestEndAtAWorkerThatWasIdleIsLearnedAtOnce(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.advance(2*idleHoldInterval + 100*time.Millisecond)
	r.step(testJob("j1", simpleStep(1)))
	require.Len(t, r.starts, 1)
	r.advance(100 * time.Millisecond)
	r.workers["a"].endRun(r.starts[0].Task, r.starts[0].Attempt, EndDone)
	r.advance(200 * time.Millisecond)
	require.Equal(t, 1, r.countDecisions("job-completed"))
}

// A start that a worker refused as unhealthy replaced the quarantine that was in force by a
// shorter one.
func TestUnhealthyAnswerDoesNotShortenAQuarantine(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.workers["a"].startResult = Unhealthy
	starts := startsIn(r.m.Step(r.now, 0, testJob("j1", simpleStep(1))))
	require.Len(t, starts, 1)
	w := r.m.workers["a"]
	w.quarantinedUntil = r.now.Add(maxQuarantine)
	r.m.Step(r.now, 0, r.answer(starts[0])...)
	r.advance(maxQuarantine - time.Second)
	require.Len(t, r.starts, 1)
	r.advance(2 * time.Second)
	require.Greater(t, len(r.starts), 1)
}

// Guards against starting only some members of a gang.
func TestGangStartsCompletelyOrNotAtAll(t *testing.T) {
	gang := simpleStep(20)
	gang.Gang = true
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", gang))
	require.Empty(t, r.starts)
	r.workers["b"] = newWorker("b")
	r.workers["b"].startedAt = r.now
	r.step(r.registrations())
	r.advance(200 * time.Millisecond)
	require.Len(t, r.starts, 20)
	for _, s := range r.starts {
		require.Equal(t, r.starts[0].Attempt, s.Attempt)
	}
}

// Guards against best-effort tasks that continue at full speed although they
// slow down the serving tasks at the same worker.
func TestBestEffortTasksAreThrottled(t *testing.T) {
	servingStep, bestEffortStep := longRunningStep(1, 0), longRunningStep(1, 0)
	servingStep.TailTarget, bestEffortStep.BestEffort = 100*time.Millisecond, true
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", servingStep, bestEffortStep))
	w := r.workers["a"]
	w.stalled = true
	for i := range w.running {
		w.running[i].Percent = 100
		if w.running[i].Task.Step == 0 {
			w.running[i].Load = 150
		}
	}
	r.advance(time.Second)
	require.NotEmpty(t, r.throttles)
	require.Equal(t, 1, r.throttles[0].Task.Step)
	require.Zero(t, r.throttles[0].Percent)
}

// Guards against starting an occurrence before it is due.
func TestScheduledJobStartsWhenDue(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	job := testJob("j1", simpleStep(1))
	job.Submission.Repeat = workload.Schedule{Count: 2, Start: r.now.Add(time.Second).UnixMilli(), Period: 1000}
	r.step(job)
	r.advance(900 * time.Millisecond)
	require.Empty(t, r.starts)
	r.advance(200 * time.Millisecond)
	require.Len(t, r.starts, 1)
	r.advance(time.Second)
	require.Len(t, r.starts, 2)
	require.Equal(t, 1, r.starts[1].Task.Occurrence)
}

// Guards against a pause that also stops holds or the processing of ends, which
// would end existing runs.
func TestPauseKeepsHoldsAndProcessesEnds(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)))
	r.m.Pause(true)
	r.step(testJob("j2", simpleStep(1)))
	holds := len(r.holds)
	r.workers["a"].endRun(r.starts[0].Task, 1, EndDone)
	r.advance(time.Second)
	require.Len(t, r.starts, 1)
	require.Greater(t, len(r.holds), holds)
	require.Equal(t, workload.Completed, r.m.jobs["j1"].state)
	r.m.Pause(false)
	r.advance(100 * time.Millisecond)
	require.Len(t, r.starts, 2)
}

// Guards against a new owner that exceeds a step's disruption budget by
// stopping a long-running task while a stop order of its predecessor is still
// in progress.
func TestNewOwnerMovesNothingWhileFormerStopsAreInProgress(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	a.running = []RunReport{{Task: workload.TaskID{Job: "j1"}, Attempt: 1, Percent: 100}}
	a.stalled = true
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}, {ID: "b", Born: 1}})
	a.startedAt, b.startedAt = r.now.Add(-time.Minute), r.now.Add(-time.Minute)
	r.workers["a"], r.workers["b"] = a, b
	old := testJob("j1", longRunningStep(1, 1))
	old.Recovered = true
	r.step(old, r.registrations(), ReleaseUpdated{Machines: map[string]bool{"m-a": true}, Version: 3})
	r.advance(800 * time.Millisecond)
	require.Empty(t, r.stops)
	r.advance(time.Second)
	require.Len(t, r.stops, 1)
}

// Guards against a long-running task that waits for unresponsive workers of the
// former owner although this owner has already adopted its run.
func TestAdoptedTaskDoesNotWaitForOtherWorkers(t *testing.T) {
	a := newWorker("a")
	task := workload.TaskID{Job: "j1"}
	a.running = []RunReport{{Task: task, Attempt: 1, Percent: 100}}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}, {ID: "gone", Born: 1}})
	a.startedAt = r.now.Add(-time.Minute)
	r.workers["a"] = a
	old := testJob("j1", longRunningStep(1, 0))
	old.Recovered = true
	r.step(old, r.registrations())
	a.endRun(task, 1, EndFailed)
	r.advance(200 * time.Millisecond)
	require.Len(t, r.starts, 1)
}

// Guards against using a worker after a write that does not name it: a
// successor would not wait for that worker.
func TestWorkerIsUsedOnlyAfterTheLoadRowNamesIt(t *testing.T) {
	a := newWorker("a")
	r := newHarness(t, 1, nil)
	r.workers["a"] = a
	r.m.Step(r.now, 0, r.registrations(), testJob("j1", simpleStep(1)))
	r.m.Step(r.now, 0, r.answerHold(Hold{Target: Target{Incarnation: a.Incarnation}}))
	require.True(t, r.m.LoadRowUrgent())
	r.m.Step(r.now, 0, Stored{Batch: r.m.Collect(10, false), OK: true})
	require.Empty(t, startsIn(r.m.Step(r.now, 0)))
	r.now = r.now.Add(time.Second)
	require.Len(t, r.m.Collect(10, true).Engaged, 1)
	actions := r.m.Step(r.now, 0, Stored{Batch: r.m.Collect(10, true), OK: true})
	require.NotEmpty(t, startsIn(actions))
}

// Guards against a released worker that stays in the load row, so that the next
// owner waits for it.
func TestReleasedWorkerIsRemovedFromLoadRow(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	require.Len(t, r.m.Collect(1, true).Engaged, 2)
	r.step(ReleaseUpdated{Machines: map[string]bool{"m-a": true}, Version: 3})
	require.Equal(t, []EngagedWorker{{ID: "b", Born: 1, Machine: "m-b"}}, r.m.Collect(1, true).Engaged)
	// Guards against a released worker whose last ends are never acknowledged, so
	// that its machine is never reported as released.
	r.workers["a"].lastEnd = 1
	r.workers["a"].ended = []EndReport{{Number: 1, Task: workload.TaskID{Job: "j0"}, Attempt: 1, Reason: EndDone}}
	r.advance(3 * time.Second)
	require.Empty(t, r.workers["a"].ended)
	require.True(t, r.m.Status(r.now).Machines[0].Released)
	r.step(ReleaseUpdated{Version: 4}, testJob("j1", simpleStep(30)))
	r.advance(100 * time.Millisecond)
	require.Len(t, r.starts, 30, "the worker is used again once the load row names it")
}

// Guards against ignoring a failure that is reported after a later one, so that
// a task is started beyond its maximum number of attempts.
func TestOutOfOrderFailureReportsAreCounted(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	task := workload.TaskID{Job: "j1"}
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}, {ID: "b", Born: 1}})
	a.startedAt, b.startedAt = r.now.Add(-time.Minute), r.now.Add(-time.Minute)
	r.workers["a"], r.workers["b"] = a, b
	a.lastEnd, a.ended = 1, []EndReport{{Number: 1, Task: task, Attempt: 3, Reason: EndFailed}}
	b.lastEnd, b.ended = 1, []EndReport{{Number: 1, Task: task, Attempt: 4, Reason: EndFailed}}
	a.silent = true
	old := testJob("j1", simpleStep(1))
	old.Submission.Queue.MaxAttempts, old.Recovered = 4, true
	old.Progress = &workload.Progress{State: workload.Running, Tasks: []workload.TaskProgress{{Failures: 2, CountedFailures: []int{1, 2}, LastAttempt: 2}}}
	queue := old.Submission.Queue
	r.step(QueuesUpdated{Queues: []workload.Queue{queue}}, old, r.registrations())
	r.advance(500 * time.Millisecond)
	a.silent = false
	r.advance(2 * time.Second)
	require.Empty(t, r.starts)
	require.Equal(t, workload.Failed, r.m.ended["j1"])
}

// Guards against a lost start that keeps its task waiting until the start's
// deadline has passed at the worker, and the worker idle for as long as its
// hold waits.
func TestLostStartIsResolvedByStop(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	w := r.workers["a"]
	w.lostStarts = 1
	r.step(testJob("j1", simpleStep(1)))
	require.Len(t, r.starts, 1)
	require.Empty(t, w.running)
	r.advance(200 * time.Millisecond)
	require.Len(t, r.stops, 1)
	require.Len(t, r.starts, 2, "the stop forbids the first run")
	require.Greater(t, r.starts[1].Attempt, r.starts[0].Attempt)
	require.Len(t, w.running, 1)
}

// Guards against stopping all starts at a worker, although it answers holds,
// because of one unanswered order. Two in a row suggest that it has failed.
func TestSingleUnansweredOrderIsTolerated(t *testing.T) {
	w := &worker{}
	w.recordUnanswered(time.Unix(1000, 0))
	require.False(t, w.suspect)
	w.recordUnanswered(time.Unix(1000, 0))
	require.True(t, w.suspect)
}

// Guards against starting a task elsewhere although its start reached the
// worker only after a restart and was carried out by the new incarnation (seed
// 3026 of the fault soak test).
func TestStartMayReachRestartedWorker(t *testing.T) {
	for name, arrives := range map[string]bool{"arrives": true, "is lost": false} {
		r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
		orders := startsIn(r.m.Step(r.now, 0, testJob("j1", simpleStep(1))))
		require.Len(t, orders, 1, name)
		s := orders[0]
		w := r.workers[s.Incarnation.ID]
		w.Born++ // restarts before the order arrives
		w.lastEnd, w.ended, w.startedAt = 0, nil, r.now.Add(-10*time.Millisecond)
		if arrives {
			w.running = []RunReport{{Task: s.Task, Attempt: s.Attempt}}
		}
		started := r.starts
		r.step(r.registrations())
		r.advance(time.Second)
		again := len(r.starts) - len(started)
		if arrives {
			require.Zero(t, again, name)
			require.Empty(t, r.stops, name)
			continue
		}
		require.Len(t, r.stops, 1, name)
		require.Equal(t, 1, again, name)
		require.Greater(t, r.starts[len(r.starts)-1].Attempt, s.Attempt, name)
	}
}
