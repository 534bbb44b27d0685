package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

func lastingStep(count, miss int) workload.Step {
	s := simpleStep(count)
	s.Lasting, s.MaxPerWorker, s.MayMiss = true, 1, miss
	return s
}

// A step started before the steps that it comes after were done.
func TestStepWaitsForTheStepsBefore(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"))
	second := simpleStep(1)
	second.After = []int{0}
	r.step(testJob("j1", simpleStep(2), second))
	require.Len(t, r.starts, 2)
	r.workers["a"].end(r.starts[0].Task, 1, EndDone)
	r.pass(200 * time.Millisecond)
	require.Len(t, r.starts, 2)
	r.workers["a"].end(r.starts[1].Task, 1, EndDone)
	r.pass(200 * time.Millisecond)
	require.Len(t, r.starts, 3)
	require.Equal(t, 1, r.starts[2].Task.Step)
}

// Runs went beyond a worker's capacity, or beyond a step's bound on one worker.
func TestPlacementKeepsCapacityAndSpread(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", simpleStep(40)))
	require.Len(t, r.starts, 32, "two workers of 16 cores")

	r = newRig(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", lastingStep(5, 1)))
	require.Len(t, r.starts, 2, "one on each worker")
}

// An end was acknowledged to its worker before it was stored, and was lost
// with the owner.
func TestEndIsAcknowledgedOnlyAfterItIsStored(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)))
	w := r.workers["a"]
	w.end(r.starts[0].Task, 1, EndDone)
	r.now = r.now.Add(time.Second)
	r.m.Step(r.now, 0, r.hold(Hold{Target: Target{Life: w.Life}}))
	b := r.m.Collect(10, true)
	require.Equal(t, workload.Completed, b.Jobs["j1"].State)
	seen := func() int {
		r.now = r.now.Add(time.Second)
		for _, a := range r.m.Step(r.now, 0) {
			if h, ok := a.(Hold); ok {
				r.m.Step(r.now, 0, r.hold(h))
				return h.Seen
			}
		}
		t.Fatal("no hold")
		return 0
	}
	require.Equal(t, 0, seen())
	r.m.Step(r.now, 0, Stored{Batch: b, OK: false})
	require.Equal(t, 0, seen(), "the batch was not stored")
	b = r.m.Collect(10, true)
	require.Contains(t, b.Jobs, "j1", "the job is stored again")
	r.m.Step(r.now, 0, Stored{Batch: b, OK: true})
	require.Equal(t, 1, seen())
}

// A new owner that started tasks at once ran them a second time beside a
// worker that it had not reached yet.
func TestNewOwnerWaitsForWorkersOfTheFormer(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	b.silent = true
	r := newRig(t, 2, []Engaged{{ID: "a", Born: 1}, {ID: "b", Born: 1}}, a, b)
	old := testJob("j1", simpleStep(1))
	old.Recovered = true
	r.step(old, testJob("j2", simpleStep(1)))
	require.Len(t, r.starts, 1, "only the job that the former owner can't know")
	require.Equal(t, "j2", r.starts[0].Task.Job)
	require.Greater(t, r.starts[0].Attempt, runsPerTerm, "numbers of runs rise across owners")
	r.pass(testLease)
	require.Len(t, r.starts, 1)
	r.pass(time.Second)
	require.Len(t, r.starts, 2, "the longest lease of the former owner has lapsed")
}

// A new owner takes over what runs and starts only the rest.
func TestNewOwnerAdoptsRuns(t *testing.T) {
	a := newWorker("a")
	task := workload.TaskID{Job: "j1", Index: 1}
	a.running = []RunReport{{Task: task, Attempt: 3}}
	r := newRig(t, 2, []Engaged{{ID: "a", Born: 1}})
	a.born = r.now.Add(-time.Minute)
	r.workers["a"] = a
	old := testJob("j1", simpleStep(2))
	old.Recovered = true
	r.step(old, r.listed())
	r.pass(100 * time.Millisecond)
	require.Len(t, r.starts, 1)
	require.Equal(t, 0, r.starts[0].Task.Index)
}

// A start without an answer that ran after all was started again elsewhere.
func TestStartWithoutAnswerIsSettledByTheWorker(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"))
	w := r.workers["a"]
	w.deaf = true
	r.step(testJob("j1", simpleStep(1)))
	r.pass(3 * time.Second)
	require.Len(t, r.starts, 1, "the worker lists the run")

	r = newRig(t, 1, nil, newWorker("a"))
	r.workers["a"].refuse, r.workers["a"].noStops = Unknown, true
	r.step(testJob("j1", simpleStep(1)))
	r.workers["a"].refuse = OK
	r.pass(startWithin - 200*time.Millisecond)
	require.Len(t, r.starts, 1, "the order may still be carried out, and no stop forbids it")
	r.pass(500 * time.Millisecond)
	require.Len(t, r.starts, 2)
}

// A worker that follows a later owner must end this one's orders.
func TestFencedOwnerGivesUp(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"))
	r.workers["a"].refuse = Fenced
	r.step(testJob("j1", simpleStep(1)))
	require.True(t, r.deposed)
	r.pass(time.Second)
	require.Len(t, r.starts, 1)
}

// A cancelled job was started, or went on.
func TestCancelledJobIsStopped(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", lastingStep(1, 0)))
	require.Len(t, r.starts, 1)
	r.step(CancelSeen{Job: "j1"})
	require.Len(t, r.stops, 1)
	r.pass(time.Second)
	require.Len(t, r.starts, 1)
	require.Empty(t, r.workers["a"].running)
}

// Lasting tasks of a machine that is to be released left all at once, beyond
// what their step may miss.
func TestReleaseKeepsTheBudgetOfAStep(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	r := newRig(t, 1, nil, a, b, newWorker("c"), newWorker("d"))
	r.step(testJob("j1", lastingStep(3, 1)))
	require.Len(t, r.starts, 3)
	atWork := func() {
		for _, w := range r.workers {
			for i := range w.running {
				w.running[i].Percent = 100
			}
			w.still = true
		}
		r.pass(time.Second)
	}
	atWork()
	var two []string
	for id, w := range r.workers {
		if len(w.running) > 0 && len(two) < 2 {
			two = append(two, id)
		}
	}
	r.step(ReleaseSeen{Machines: map[string]bool{"m-" + two[0]: true, "m-" + two[1]: true}, Version: 5})
	require.Len(t, r.stops, 1, "the second task stays until the first is at work again")
	for _, w := range r.workers {
		w.still = false
	}
	require.Equal(t, uint64(5), r.m.Status(r.now).Release)
}

// A draining worker got new tasks.
func TestDrainingWorkerGetsNoStart(t *testing.T) {
	a := newWorker("a")
	r := newRig(t, 1, nil, a)
	a.Draining = true
	r.step(r.listed(), testJob("j1", simpleStep(1)))
	r.pass(time.Second)
	require.Empty(t, r.starts)
}

// A task that stood still kept its job waiting for ever.
func TestTaskWithoutProgressIsStartedElsewhere(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	a.still = true
	r := newRig(t, 1, nil, a)
	r.step(testJob("j1", simpleStep(1)))
	r.workers["b"] = b
	b.born = r.now
	r.step(r.listed())
	r.pass(4 * time.Second)
	require.NotEmpty(t, r.stops)
	require.Len(t, r.starts, 2)
	require.Equal(t, "b", r.starts[1].Life.ID)
}

// A worker that fails what it starts used up the attempts of every job.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", simpleStep(1)), testJob("j2", simpleStep(1)))
	bad := r.starts[0].Life.ID
	for _, s := range r.starts {
		require.Equal(t, bad, s.Life.ID, "packed on one worker")
		r.workers[bad].end(s.Task, s.Attempt, EndFailed)
	}
	r.pass(time.Second)
	require.Len(t, r.starts, 4)
	for _, s := range r.starts[2:] {
		require.NotEqual(t, bad, s.Life.ID)
	}
}

// A member of a gang started without the others.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	gang := simpleStep(20)
	gang.Gang = true
	r := newRig(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", gang))
	require.Empty(t, r.starts)
	r.workers["b"] = newWorker("b")
	r.workers["b"].born = r.now
	r.step(r.listed())
	r.pass(200 * time.Millisecond)
	require.Len(t, r.starts, 20)
	for _, s := range r.starts {
		require.Equal(t, r.starts[0].Attempt, s.Attempt)
	}
}

// Fill tasks that hurt the tasks that serve beside them worked on.
func TestFillTasksArePacedDown(t *testing.T) {
	serve, fill := lastingStep(1, 0), lastingStep(1, 0)
	serve.TailTarget, fill.Fills = 100*time.Millisecond, true
	r := newRig(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", serve, fill))
	w := r.workers["a"]
	w.still = true
	for i := range w.running {
		w.running[i].Percent = 100
		if w.running[i].Task.Step == 0 {
			w.running[i].Load = 150
		}
	}
	r.pass(time.Second)
	require.NotEmpty(t, r.paces)
	require.Equal(t, 1, r.paces[0].Task.Step)
	require.Zero(t, r.paces[0].Percent)
}

// An occurrence started before its time.
func TestScheduledJobStartsWhenDue(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"))
	job := testJob("j1", simpleStep(1))
	job.Submission.Repeat = workload.Schedule{Count: 2, Start: r.now.Add(time.Second).UnixMilli(), Period: 1000}
	r.step(job)
	r.pass(900 * time.Millisecond)
	require.Empty(t, r.starts)
	r.pass(200 * time.Millisecond)
	require.Len(t, r.starts, 1)
	r.pass(time.Second)
	require.Len(t, r.starts, 2)
	require.Equal(t, 1, r.starts[1].Task.Occurrence)
}

// A machine that may not start anything still has to keep what runs.
func TestPausedMachineHoldsAndTakesEnds(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)))
	r.m.Pause(true)
	r.step(testJob("j2", simpleStep(1)))
	holds := len(r.holds)
	r.workers["a"].end(r.starts[0].Task, 1, EndDone)
	r.pass(time.Second)
	require.Len(t, r.starts, 1)
	require.Greater(t, len(r.holds), holds)
	require.Equal(t, workload.Completed, r.m.jobs["j1"].state)
	r.m.Pause(false)
	r.pass(100 * time.Millisecond)
	require.Len(t, r.starts, 2)
}

// A new owner stopped a lasting task while a stop of its predecessor was still
// under way, beyond what the step may miss.
func TestNewOwnerMovesNothingBeforeTheFormersStopsHaveEnded(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	a.running = []RunReport{{Task: workload.TaskID{Job: "j1"}, Attempt: 1, Percent: 100}}
	a.still = true
	r := newRig(t, 2, []Engaged{{ID: "a", Born: 1}, {ID: "b", Born: 1}})
	a.born, b.born = r.now.Add(-time.Minute), r.now.Add(-time.Minute)
	r.workers["a"], r.workers["b"] = a, b
	old := testJob("j1", lastingStep(1, 1))
	old.Recovered = true
	r.step(old, r.listed(), ReleaseSeen{Machines: map[string]bool{"m-a": true}, Version: 3})
	r.pass(800 * time.Millisecond)
	require.Empty(t, r.stops)
	r.pass(time.Second)
	require.Len(t, r.stops, 1)
}

// A lasting task that this owner had seen running waited for workers of the
// former owner that did not answer.
func TestTaskSeenRunningNeedNotWaitForOtherWorkers(t *testing.T) {
	a := newWorker("a")
	task := workload.TaskID{Job: "j1"}
	a.running = []RunReport{{Task: task, Attempt: 1, Percent: 100}}
	r := newRig(t, 2, []Engaged{{ID: "a", Born: 1}, {ID: "gone", Born: 1}})
	a.born = r.now.Add(-time.Minute)
	r.workers["a"] = a
	old := testJob("j1", lastingStep(1, 0))
	old.Recovered = true
	r.step(old, r.listed())
	a.end(task, 1, EndFailed)
	r.pass(200 * time.Millisecond)
	require.Len(t, r.starts, 1)
}

// A worker was used after a write that did not name it, so a successor would not
// have waited for it.
func TestWorkerIsUsedOnlyAfterTheLoadRowNamesIt(t *testing.T) {
	a := newWorker("a")
	r := newRig(t, 1, nil)
	r.workers["a"] = a
	r.m.Step(r.now, 0, r.listed(), testJob("j1", simpleStep(1)))
	r.m.Step(r.now, 0, r.hold(Hold{Target: Target{Life: a.Life}}))
	require.True(t, r.m.HasNews())
	starts := func() (n int) {
		for _, action := range r.m.Step(r.now, 0) {
			if _, ok := action.(Start); ok {
				n++
			}
		}
		return n
	}
	r.m.Step(r.now, 0, Stored{Batch: r.m.Collect(10, false), OK: true})
	require.Zero(t, starts())
	r.now = r.now.Add(time.Second)
	require.Len(t, r.m.Collect(10, true).Engaged, 1)
	actions := r.m.Step(r.now, 0, Stored{Batch: r.m.Collect(10, true), OK: true})
	require.Condition(t, func() bool {
		for _, action := range actions {
			if _, ok := action.(Start); ok {
				return true
			}
		}
		return false
	})
}

// A worker that was released stayed in the load row, and the next owner waited
// for it.
func TestReleasedWorkerLeavesTheLoadRow(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"), newWorker("b"))
	require.Len(t, r.m.Collect(1, true).Engaged, 2)
	r.step(ReleaseSeen{Machines: map[string]bool{"m-a": true}, Version: 3})
	require.Equal(t, []Engaged{{ID: "b", Born: 1}}, r.m.Collect(1, true).Engaged)
	// Its last ends were never acknowledged, and its machine never released.
	r.workers["a"].ends = 1
	r.workers["a"].ended = []EndReport{{Number: 1, Task: workload.TaskID{Job: "j0"}, Attempt: 1, How: EndDone}}
	r.pass(3 * time.Second)
	require.Empty(t, r.workers["a"].ended)
	require.True(t, r.m.Status(r.now).Machines[0].Released)
	r.step(ReleaseSeen{Version: 4}, testJob("j1", simpleStep(30)))
	r.pass(100 * time.Millisecond)
	require.Len(t, r.starts, 30, "it is used again after the row names it")
}

// A failure that was heard after a later one was not counted, and a task was
// started again after its last attempt.
func TestFailuresHeardOutOfOrderAreAllCounted(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	task := workload.TaskID{Job: "j1"}
	r := newRig(t, 2, []Engaged{{ID: "a", Born: 1}, {ID: "b", Born: 1}})
	a.born, b.born = r.now.Add(-time.Minute), r.now.Add(-time.Minute)
	r.workers["a"], r.workers["b"] = a, b
	a.ends, a.ended = 1, []EndReport{{Number: 1, Task: task, Attempt: 3, How: EndFailed}}
	b.ends, b.ended = 1, []EndReport{{Number: 1, Task: task, Attempt: 4, How: EndFailed}}
	a.silent = true
	old := testJob("j1", simpleStep(1))
	old.Submission.Queue.MaxAttempts, old.Recovered = 4, true
	old.Progress = &workload.Progress{State: workload.Running, Tasks: []workload.TaskMark{{Failed: 2, Counted: []int{1, 2}, Run: 2}}}
	queue := old.Submission.Queue
	r.step(QueuesSeen{Queues: []workload.Queue{queue}}, old, r.listed())
	r.pass(500 * time.Millisecond)
	a.silent = false
	r.pass(2 * time.Second)
	require.Empty(t, r.starts)
	require.Equal(t, workload.Failed, r.m.ended["j1"])
}

// A start whose order was lost kept its task waiting until the deadline of the
// start had passed at the worker, and the worker without work for as long as its
// hold waited.
func TestLostStartIsSettledByAStop(t *testing.T) {
	r := newRig(t, 1, nil, newWorker("a"))
	w := r.workers["a"]
	w.lost = 1
	r.step(testJob("j1", simpleStep(1)))
	require.Len(t, r.starts, 1)
	require.Empty(t, w.running)
	r.pass(200 * time.Millisecond)
	require.Len(t, r.stops, 1)
	require.Len(t, r.starts, 2, "the stop forbids the first run")
	require.Greater(t, r.starts[1].Attempt, r.starts[0].Attempt)
	require.Len(t, w.running, 1)
}

// One order without an answer stopped all work at a worker that answered its
// holds; two show that it may be gone.
func TestOneLostOrderIsNoSilence(t *testing.T) {
	w := &worker{}
	w.unanswered()
	require.False(t, w.suspect)
	w.unanswered()
	require.True(t, w.suspect)
}

// A start that was under way while its worker started again was carried out by
// the new life, and the task was started elsewhere beside it (seed 3026 of the
// fault soak).
func TestStartsMayReachTheNextLifeOfAWorker(t *testing.T) {
	for name, arrives := range map[string]bool{"arrives": true, "is lost": false} {
		r := newRig(t, 1, nil, newWorker("a"), newWorker("b"))
		actions := r.m.Step(r.now, 0, testJob("j1", simpleStep(1)))
		var s Start
		for _, a := range actions {
			if start, ok := a.(Start); ok {
				s = start
			}
		}
		w := r.workers[s.Life.ID]
		w.Born++ // starts again before the order arrives
		w.ends, w.ended, w.born = 0, nil, r.now.Add(-10*time.Millisecond)
		if arrives {
			w.running = []RunReport{{Task: s.Task, Attempt: s.Attempt}}
		}
		started := r.starts
		r.step(r.listed())
		r.pass(time.Second)
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
