package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Workers to be released were emptied in the order of their IDs, so that one that was
// asked for first waited for the tasks of all others, and a wave was late by 4 s.
func TestWorkersAreEmptiedInTheOrderOfTheirRelease(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"), newWorker("c"), newWorker("d"))
	r.step(testJob("j1", longRunningStep(3, 1)))
	serve := func() {
		for _, w := range r.workers {
			for i := range w.running {
				w.running[i].Percent = 100
			}
		}
		r.advance(time.Second)
	}
	serve()
	for _, id := range []string{"a", "b", "c"} {
		require.Len(t, r.workers[id].running, 1)
	}
	r.m.workers["c"].runs[0].percent = 0
	r.step(ReleaseUpdated{Machines: map[string]bool{"m-b": true}, Version: 1})
	require.Empty(t, r.stops, "the budget of the step is used up")
	r.now = r.now.Add(time.Millisecond)
	r.step(ReleaseUpdated{Machines: map[string]bool{"m-a": true, "m-b": true}, Version: 2})
	serve()
	require.NotEmpty(t, r.stops)
	require.Equal(t, "b", r.stops[0].Incarnation.ID)
}
