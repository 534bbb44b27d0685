package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// endFirstTask ends the run of the job's first task at its worker.
func (r *harness) endFirstTask(job string) {
	for _, s := range r.starts {
		if s.Task == (workload.TaskID{Job: job}) {
			r.workers[s.Incarnation.ID].endRun(s.Task, s.Attempt, EndDone)
		}
	}
}

// Guards against an owner with more changed jobs than a transaction holds that
// acknowledges no end at all, so that the workers repeat ever longer lists.
func TestEndsAreAcknowledgedWhileABacklogIsStored(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	var jobs []Event
	for i := range 6 {
		jobs = append(jobs, testJob(fmt.Sprintf("j%d", i), simpleStep(2)))
	}
	r.step(jobs...)
	for i := range 6 {
		r.endFirstTask(fmt.Sprintf("j%d", i))
	}
	r.now = r.now.Add(time.Second)
	var answers []Event
	for _, id := range []string{"a", "b"} {
		answers = append(answers, r.answerHold(Hold{Target: Target{Incarnation: r.workers[id].Incarnation}}))
	}
	r.m.Step(r.now, 0, answers...)
	for stored := 1; stored <= 6; stored++ {
		b := r.m.Collect(1, false)
		require.Len(t, b.Jobs, 1, "batch %d", stored)
		r.m.Step(r.now, 0, Stored{Batch: b, OK: true})
		acknowledged := 0
		for _, w := range r.m.sortedWorkers {
			acknowledged += w.lastEndStored
		}
		require.Equal(t, stored, acknowledged, "ends of the stored jobs")
	}
}

// Guards against an end that is acknowledged although its job's changes are
// still waiting behind others.
func TestEndOfAJobLeftOutOfABatchIsNotAcknowledged(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j0", simpleStep(2)), testJob("j1", simpleStep(2)))
	w := r.workers["a"]
	r.endFirstTask("j1")
	r.endFirstTask("j0")
	r.now = r.now.Add(time.Second)
	r.m.Step(r.now, 0, r.answerHold(Hold{Target: Target{Incarnation: w.Incarnation}}))
	b := r.m.Collect(1, false)
	require.Contains(t, b.Jobs, "j0")
	r.m.Step(r.now, 0, Stored{Batch: b, OK: true})
	require.Zero(t, r.m.workers["a"].lastEndStored, "the first end belongs to j1")
	r.m.Step(r.now, 0, Stored{Batch: r.m.Collect(1, false), OK: true})
	require.Equal(t, 2, r.m.workers["a"].lastEndStored)
}

// Guards against callers that wait for the end of a job behind changes that
// nobody waits for.
func TestEndedJobsAreStoredFirst(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j0", simpleStep(2)), testJob("j1", simpleStep(1)))
	w := r.workers["a"]
	r.endFirstTask("j0")
	r.endFirstTask("j1")
	r.now = r.now.Add(time.Second)
	r.m.Step(r.now, 0, r.answerHold(Hold{Target: Target{Incarnation: w.Incarnation}}))
	b := r.m.Collect(1, false)
	require.Equal(t, workload.Completed, b.Jobs["j1"].State)
}
