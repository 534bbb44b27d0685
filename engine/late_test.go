package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve makes all runs ready to serve and lets the scheduler learn of it.
func (r *harness) serve() {
	for _, w := range r.workers {
		for i := range w.running {
			w.running[i].Percent = 100
		}
	}
	r.advance(time.Second)
}

// Workers to be released were emptied in the order of their IDs, so that one that was
// asked for first waited for the tasks of all others, and a wave was late by 4 s.
func TestWorkersAreEmptiedInTheOrderOfTheirRelease(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"), newWorker("c"), newWorker("d"))
	r.step(testJob("j1", longRunningStep(3, 1)))
	r.serve()
	for _, id := range []string{"a", "b", "c"} {
		require.Len(t, r.workers[id].running, 1)
	}
	r.m.workers["c"].runs[0].percent = 0
	r.step(ReleaseUpdated{Machines: map[string]bool{"m-b": true}, Version: 1})
	require.Empty(t, r.stops, "the budget of the step is used up")
	r.now = r.now.Add(time.Millisecond)
	r.step(ReleaseUpdated{Machines: map[string]bool{"m-a": true, "m-b": true}, Version: 2})
	r.serve()
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

// With half of the orders unanswered, a new owner asked each worker of the former one
// every 0.9 s, and did not start recovered tasks for many seconds.
func TestNewOwnerAsksFormerWorkersAgainAtOnce(t *testing.T) {
	a := newWorker("a")
	a.silent = true
	r := newHarness(t, 2, []EngagedWorker{{ID: "a", Born: 1}}, a)
	old := testJob("j1", simpleStep(1))
	old.Recovered = true
	r.step(old)
	r.advance(100 * time.Millisecond)
	require.GreaterOrEqual(t, len(r.holds), 3)
	timeouts := []time.Duration{firstHoldTimeout, 2 * firstHoldTimeout, holdTimeout}
	for i, want := range timeouts {
		require.Equal(t, want, r.holds[i].Timeout, "a slow worker must get the time that it needs")
	}
	a.silent = false
	r.advance(holdRetryInterval + 20*time.Millisecond)
	require.Len(t, r.starts, 1)
	r.advance(time.Second)
	require.Equal(t, holdTimeout, r.holds[len(r.holds)-1].Timeout)
}

// Starts at workers that leave orders unanswered held up the tasks of jobs for which
// other workers had room.
func TestWorkerThatLeavesOrdersUnansweredIsUsedLast(t *testing.T) {
	a, b := newWorker("a"), newWorker("b")
	r := newHarness(t, 1, nil, a, b)
	a.lostStarts = 1
	r.step(testJob("j1", simpleStep(1)))
	require.Equal(t, "a", r.starts[0].Incarnation.ID)
	r.now = r.now.Add(time.Millisecond)
	r.step(testJob("j2", simpleStep(20)))
	at := map[string]int{}
	for _, s := range r.starts[1:] {
		if s.Task.Job == "j2" {
			at[s.Incarnation.ID]++
		}
	}
	require.Equal(t, 16, at["b"])
	require.Equal(t, 4, at["a"], "a worker is used as long as no other has room")
	b.running = nil
	r.advance(unansweredPenaltyTime)
	started := len(r.starts)
	r.step(testJob("j3", simpleStep(1)))
	require.Equal(t, "a", r.starts[started].Incarnation.ID, "packed beside the tasks that it has")
}

// The long-running tasks of a step move one by one. When their machines were emptied only
// as the fleet's owner got to them, the last ones of a wave were late by up to 4 s
// (lah-jobs-large scale-1).
func TestLongRunningTasksLeaveMachinesDueLater(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"), newWorker("c"), newWorker("d"))
	for _, w := range r.workers {
		w.stalled = true // progress is set by the test only
	}
	r.step(testJob("j1", longRunningStep(2, 1)))
	r.serve()
	require.Len(t, r.starts, 2)
	r.step(ReleaseUpdated{Machines: map[string]bool{}, Upcoming: map[string]bool{"m-a": true, "m-b": true}, Version: 1})
	r.advance(100 * time.Millisecond)
	require.Len(t, r.stops, 1, "the second task stays until the first is ready to serve again")
	r.serve()
	r.serve()
	require.Empty(t, r.workers["a"].running)
	require.Empty(t, r.workers["b"].running)
	require.Len(t, r.stops, 2)

	r.step(ReleaseUpdated{Machines: map[string]bool{}, Upcoming: map[string]bool{"m-a": true, "m-b": true, "m-c": true, "m-d": true}, Version: 2})
	r.advance(time.Second)
	require.Len(t, r.stops, 2, "there is no machine on which a task could stay")
}
