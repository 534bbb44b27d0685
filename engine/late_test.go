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

// The fleet's owner can't tell whether a pool needs machines to be in time if work
// that is late already looks like any other.
func TestStatusReportsLateWorkApart(t *testing.T) {
	a := newWorker("a")
	a.stalled = true
	r := newHarness(t, 1, nil, a)
	r.step(testJob("j1", simpleStep(20)))
	s := r.m.Status(r.now)
	require.Equal(t, 4000, s.Shortfall)
	require.Zero(t, s.LateShortfall)
	require.Zero(t, s.LateUsed)
	r.now = r.now.Add(2500 * time.Millisecond) // the objective is 2.2 s
	r.m.needsPlacement = true
	r.step()
	s = r.m.Status(r.now)
	require.Equal(t, 4000, s.Shortfall)
	require.Equal(t, 4000, s.LateShortfall)
	require.Equal(t, 16000, s.LateUsed)
}
