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
