package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against smaller new jobs that take the capacity between two steps of a
// job, so that the work of its first step is lost to its caller.
func TestSecondStepIsNotDelayedBySmallerNewJobs(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	second := simpleStep(16)
	second.After = []int{0}
	r.step(testJob("begun", simpleStep(16), second))
	require.Len(t, r.starts, 16)
	r.step(testJob("smaller", simpleStep(8)))
	r.advance(time.Second)
	for _, s := range r.starts[:16] {
		r.workers["a"].endRun(s.Task, s.Attempt, EndDone)
	}
	r.advance(200 * time.Millisecond)
	require.Len(t, r.starts, 32)
	for _, s := range r.starts[16:] {
		require.Equal(t, "begun", s.Task.Job)
	}
}

// Guards against overdue jobs that wait without end because smaller ones keep
// becoming overdue.
func TestOverdueJobsAreServedInOrderOfArrival(t *testing.T) {
	r := newHarness(t, 1, nil)
	large := simpleStep(16)
	large.Estimate = 5 * time.Second
	r.step(testJob("large", large))
	r.advance(time.Second)
	for _, id := range []string{"j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8"} {
		r.step(testJob(id, simpleStep(1)))
	}
	r.advance(time.Minute)
	w := newWorker("a")
	w.startedAt = r.now
	r.workers["a"] = w
	r.step(r.registrations())
	r.advance(100 * time.Millisecond)
	require.Len(t, r.starts, 16)
	for _, s := range r.starts {
		require.Equal(t, "large", s.Task.Job)
	}
}
