package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// checkIndexes compares what the scheduler keeps to avoid a walk over all jobs
// and runs with the result of such a walk.
func (r *harness) checkIndexes() {
	if r.t == nil {
		return // a benchmark
	}
	for _, w := range r.m.workers {
		n := 0
		for _, run := range w.runs {
			if run.task.step.spec.BestEffort {
				n++
			}
		}
		require.Equal(r.t, n, w.bestEffortRuns, "best-effort runs of %s", w.ID)
	}
	var ended []*job
	require.Len(r.t, r.m.arrivalOrder, len(r.m.jobs))
	for _, j := range r.m.arrivalOrder {
		require.Same(r.t, j, r.m.jobs[j.submission.ID])
		if j.state.Ended() {
			ended = append(ended, j)
			continue
		}
		if j.nextOccurrence < j.occurrenceCount() {
			require.Contains(r.t, r.m.unopened, j)
		}
		for _, o := range j.openOccurrences {
			require.Positive(r.t, o.openSteps, "occurrence %d of %s is done but open", o.number, j.submission.ID)
			for _, s := range o.steps {
				idle := 0
				for _, t := range s.tasks {
					if !t.done && len(t.runs) == 0 {
						idle++
					}
				}
				require.Equal(r.t, idle, s.idleTasks, "idle tasks of step %d of %s", s.index, j.submission.ID)
			}
		}
	}
	require.ElementsMatch(r.t, ended, r.m.endedJobs)
}

// A job that a new owner reads from the store with all tasks done, but not as
// ended, never completed: no end of a run followed that could complete it.
func TestRecoveredJobWithAllTasksDoneCompletes(t *testing.T) {
	r := newHarness(t, 2, nil, newWorker("a"))
	e := testJob("0000000000000001", simpleStep(1))
	e.Recovered = true
	e.Progress = &workload.Progress{State: workload.Running, Tasks: []workload.TaskProgress{{Done: true, LastAttempt: 1}}}
	r.step(e)
	r.advance(100 * time.Millisecond)
	require.Equal(t, workload.Completed, r.m.ended[e.Submission.ID])
	require.Empty(t, r.starts)
}

// Jobs that had ended stayed in memory when nothing was placed after their end
// was stored.
func TestEndedJobIsDroppedOnceStored(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("0000000000000001", simpleStep(2)))
	for _, s := range r.starts {
		r.workers["a"].endRun(s.Task, s.Attempt, EndDone)
	}
	r.advance(time.Second)
	require.Empty(t, r.m.jobs)
	require.Empty(t, r.m.arrivalOrder)
	require.Empty(t, r.m.endedJobs)
}

// A placement pass ran for each answered hold and start, although none of them
// had changed what can be placed.
func TestAnswersWithoutChangeRequestNoPlacement(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("0000000000000001", simpleStep(2)))
	require.Len(t, r.starts, 2)
	require.False(t, r.m.needsPlacement)
	w := r.workers["a"]
	hold := func() { r.m.handleEvent(r.now, r.answerHold(Hold{Target: r.starts[0].Target})) }
	hold()
	require.False(t, r.m.needsPlacement, "a hold that lists the same runs")
	w.endRun(r.starts[0].Task, r.starts[0].Attempt, EndDone)
	hold()
	require.True(t, r.m.needsPlacement, "a hold that lists an end")
}

// A step whose dependency was completed by the end of a run that this owner does
// not know would wait until something else requests a placement pass.
func TestUnknownRunThatCompletesAStepRequestsPlacement(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	second := simpleStep(1)
	second.After = []int{0}
	r.step(testJob("0000000000000001", simpleStep(1), second))
	w, first := r.workers["a"], r.starts[0]
	w.running, w.lastEnd = nil, w.lastEnd+1
	w.ended = append(w.ended, EndReport{Number: w.lastEnd, Task: first.Task, Attempt: first.Attempt + 7, Reason: EndDone})
	r.advance(time.Second)
	require.Contains(t, startedTasks(r), workload.TaskID{Job: first.Task.Job, Step: 1})
}

func startedTasks(r *harness) []workload.TaskID {
	var list []workload.TaskID
	for _, s := range r.starts {
		list = append(list, s.Task)
	}
	return list
}

// The capacity that waiting tasks lack is what the fleet's owner moves machines
// by. It must not count tasks that may not start yet.
func TestShortfallCountsTasksThatMayStart(t *testing.T) {
	w := newWorker("a")
	w.Capacity.MilliCores = 2 * simpleStep(1).Size.MilliCores
	r := newHarness(t, 1, nil, w)
	r.step(testJob("0000000000000001", simpleStep(5)))
	require.Len(t, r.starts, 2)
	require.Equal(t, 3*simpleStep(1).Size.MilliCores, r.m.shortfall)

	w = newWorker("a")
	w.startResult = Invalid
	r = newHarness(t, 1, nil, w)
	r.step(testJob("0000000000000002", simpleStep(3)))
	started := len(r.starts)
	require.Positive(t, started)
	require.Zero(t, r.m.shortfall, "all tasks wait for their next attempt")
	r.advance(900 * time.Millisecond)
	require.Len(t, r.starts, started)
	r.advance(300 * time.Millisecond)
	require.Greater(t, len(r.starts), started)
}

// Guards against a step with a limit per worker that is passed over, like those that
// fit nowhere, although there is room again.
func TestLimitedStepStartsOnceThereIsRoom(t *testing.T) {
	w := newWorker("a")
	w.Capacity.MilliCores = simpleStep(1).Size.MilliCores
	r := newHarness(t, 1, nil, w)
	limited := simpleStep(2)
	limited.MaxPerWorker = 1
	r.step(testJob("0000000000000001", simpleStep(2)), testJob("0000000000000002", limited))
	require.Len(t, r.starts, 1)
	require.Equal(t, 3*simpleStep(1).Size.MilliCores, r.m.shortfall)
	for range 3 {
		s := r.starts[len(r.starts)-1]
		w.endRun(s.Task, s.Attempt, EndDone)
		r.advance(500 * time.Millisecond)
	}
	require.Len(t, r.starts, 4, "the limited step must start once there is room")
}

// A best-effort task that is not long-running waited for CPU that it does not need,
// since steps of its declared size had found no room.
func TestFiniteBestEffortStepNeedsNoFreeCPU(t *testing.T) {
	w := newWorker("a")
	w.Capacity.MilliCores = simpleStep(1).Size.MilliCores
	r := newHarness(t, 1, nil, w)
	r.step(testJob("0000000000000001", simpleStep(2)))
	require.Len(t, r.starts, 1)
	filling := simpleStep(1)
	filling.BestEffort = true
	filling.Estimate = 10 * time.Second // more work than the first job, so that it comes later
	e := testJob("0000000000000002", filling)
	r.step(e)
	r.advance(100 * time.Millisecond)
	require.Contains(t, startedTasks(r), workload.TaskID{Job: e.Submission.ID})
}
