package engine

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// complete marks a task as done like the report of its end.
func (r *harness) complete(t *task) {
	t.markDone()
	r.m.toClose = append(r.m.toClose, t.step.occ.job)
}

// All occurrences of a job that were due were created at once, without a bound: after
// an outage, or with a start in the past, a job of 10^5 occurrences used up the VM's
// memory, and its progress no longer fit a row.
func TestOpenOccurrencesAreBounded(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	e := testJob("j1", simpleStep(workload.MaxTasks/4))
	e.Submission.Repeat = workload.Schedule{Count: workload.MaxOccurrences}
	r.step(e)
	require.Equal(t, 4, len(r.m.jobs["j1"].openOccurrences))
	for _, o := range r.m.jobs["j1"].openOccurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				r.complete(t)
			}
		}
	}
	r.advance(200 * time.Millisecond)
	require.Equal(t, 4, len(r.m.jobs["j1"].openOccurrences), "the next ones follow")
	require.Equal(t, 8, r.m.jobs["j1"].nextOccurrence)
}

// An occurrence that does not end let all later ones open and end, and what is
// recorded of them grew without a bound.
func TestOccurrencesWaitForTheFirstOpenOne(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	e := testJob("j1", simpleStep(1))
	e.Submission.Repeat = workload.Schedule{Count: workload.MaxOccurrences}
	r.step(e)
	j := r.m.jobs["j1"]
	for range 3 * maxOpenSpan {
		for _, o := range j.openOccurrences {
			if o.number > 0 {
				r.complete(o.steps[0].tasks[0])
			}
		}
		r.m.closeFinished(r.now)
		r.m.openDueOccurrences(r.now)
	}
	require.Equal(t, maxOpenSpan, j.nextOccurrence)
}

// The progress of a job with many tasks exceeded what a row of the store holds (64
// KiB). The store refused each write of the pool's owner, the renewals of its lease
// among them, and the pool stood still with every owner.
func TestProgressOfLargestJobFitsARow(t *testing.T) {
	for name, prepare := range map[string]func(*task){
		"done":    func(t *task) { t.done = true },
		"failing": func(t *task) {},
		"long-running": func(t *task) {
			t.step.spec.LongRunning = true
			for n := range 100 {
				t.recordFailure(1010 + n)
			}
		},
	} {
		e := testJob("5c0e7a21d94b36f8", simpleStep(workload.MaxTasks/2), simpleStep(workload.MaxTasks/2))
		e.Submission.Repeat = workload.Schedule{Count: workload.MaxOccurrences}
		j := newJob(time.Unix(1000, 0), 0, e, testQueue)
		j.nextOccurrence, j.firstOpen = workload.MaxOccurrences-1, workload.MaxOccurrences-1
		for n := range maxOpenSpan {
			j.finishedOccurrences[workload.MaxOccurrences-1-n] = true
		}
		j.openNext(time.Unix(1000, 0))
		for _, s := range j.openOccurrences[len(j.openOccurrences)-1].steps {
			for _, t := range s.tasks {
				t.failures, t.countedFailures, t.lastAttempt, t.checkpoint = 3, []int{1001, 1002, 1003}, 1004, "00000bb87a21d94b"
				prepare(t)
			}
		}
		row, err := json.Marshal(j.progress())
		require.NoError(t, err)
		t.Logf("%s: %d bytes", name, len(row))
		require.LessOrEqual(t, len(row), 65536, name)
	}
}

// Progress of 80 large jobs in one transaction exceeded what the store accepts in one
// call (1 MB), and was refused for ever.
func TestBatchOfLargeJobsFitsATransaction(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	var events []Event
	for n := range 80 {
		events = append(events, testJob(workload.StepName("j", n, 0), simpleStep(workload.MaxTasks)))
	}
	r.m.Step(r.now, 0, events...)
	for _, j := range r.m.arrivalOrder {
		for _, t := range j.openOccurrences[0].steps[0].tasks {
			t.failures, t.countedFailures, t.lastAttempt, t.checkpoint = 3, []int{1001, 1002, 1003}, 1004, "00000bb87a21d94b"
		}
		j.dirty = true
	}
	stored := map[string]bool{}
	for range 80 {
		b := r.m.Collect(80, false)
		if len(b.Jobs) == 0 {
			break
		}
		size := 0
		for id, p := range b.Jobs {
			row, err := json.Marshal(p)
			require.NoError(t, err)
			size += len(row)
			stored[id] = true
		}
		require.LessOrEqual(t, size*4/3, 900_000, "as base64, beside the lease and load rows")
		r.m.Step(r.now, 0, Stored{Batch: b, OK: true})
	}
	require.Len(t, stored, 80)
}

// An occurrence that had ended before an earlier one was not part of the stored
// progress, and the next owner ran all of its tasks a second time.
func TestNewOwnerDoesNotRepeatAnEndedOccurrence(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	e := testJob("j1", simpleStep(1))
	e.Submission.Repeat = workload.Schedule{Count: 3}
	r.step(e)
	require.Len(t, r.starts, 3)
	r.workers["a"].endRun(workload.TaskID{Job: "j1", Occurrence: 1}, 1, EndDone)
	r.advance(time.Second)
	progress := r.m.jobs["j1"].progress()
	require.Equal(t, 0, progress.NextOccurrence)

	next := newHarness(t, 2, nil, newWorker("b"))
	e.Progress = &progress
	next.step(e)
	next.advance(time.Second)
	for _, s := range next.starts {
		require.NotEqual(t, 1, s.Task.Occurrence)
	}
	require.Len(t, next.starts, 2)
}

// A registration whose worker never answered set the size of the pool's machines, by
// which the fleet's owner divides the load: one of another writer with 9,000 cores made
// the pool give all of its machines away.
func TestSilentRegistrationDoesNotSetTheMachineSize(t *testing.T) {
	bogus := newWorker("b")
	bogus.silent, bogus.Capacity.MilliCores = true, 9_000_000
	r := newHarness(t, 1, nil, newWorker("a"), bogus)
	r.step(testJob("j1", simpleStep(1)))
	r.advance(time.Second)
	require.Equal(t, r.workers["a"].Capacity.MilliCores, r.m.Status(r.now).LargestMachine)
}
