package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// A new owner waited for the time that stops of its predecessor take, and then moved a task
// off a machine by what it had learned before that. A worker that had not answered since had
// ended another task of the step for its predecessor, so that more were away than the step
// allows.
func TestNewOwnerMovesNothingOnReportsFromBeforeFormerStops(t *testing.T) {
	former := []EngagedWorker{{ID: "a", Born: 1}, {ID: "b", Born: 1}, {ID: "c", Born: 1}}
	a, b, c := newWorker("a"), newWorker("b"), newWorker("c")
	r := newHarness(t, 2, former)
	for i, w := range []*fakeWorker{a, b} {
		w.running = []RunReport{{Task: workload.TaskID{Job: "j1", Index: i}, Attempt: 1, Percent: 100}}
	}
	for _, w := range []*fakeWorker{a, b, c} {
		w.startedAt, w.stalled = r.now.Add(-time.Minute), true
		r.workers[w.ID] = w
	}
	old := testJob("j1", longRunningStep(2, 1))
	old.Recovered = true
	r.step(old, r.registrations(), ReleaseUpdated{Machines: map[string]bool{"m-b": true}, Version: 3})
	r.advance(200 * time.Millisecond)
	a.endRun(workload.TaskID{Job: "j1"}, 1, EndStopped) // ordered by the former owner
	// The next hold of the worker is carried out, but its answer is lost.
	unanswered := 0
	for range 60 {
		r.now = r.now.Add(20 * time.Millisecond)
		var answers []Event
		for _, action := range r.m.Step(r.now, r.now.UnixMilli()) {
			if h, ok := action.(Hold); ok && h.Incarnation.ID == "a" {
				unanswered++
				continue
			}
			answers = append(answers, r.answer(action)...)
		}
		r.m.Step(r.now, r.now.UnixMilli(), answers...)
		batch := r.m.Collect(100, true)
		r.m.Step(r.now, r.now.UnixMilli(), Stored{Batch: batch, OK: true})
	}
	require.Equal(t, 1, unanswered)
	require.Empty(t, r.stops, "the task at worker a is away")
	r.m.Step(r.now, r.now.UnixMilli(), HoldAnswered{Worker: a.Incarnation, Sent: r.now, Result: Unknown})
	r.advance(500 * time.Millisecond)
	require.Len(t, r.starts, 1)
	running := r.workers[r.starts[0].Incarnation.ID].running
	running[len(running)-1].Percent = 100
	r.advance(2 * time.Second)
	require.NotEmpty(t, r.stops, "the other task serves again")
}
