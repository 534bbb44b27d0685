package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// policyQueue returns a queue whose steps need a ticket of the placement policy.
func policyQueue() workload.Queue {
	q := testQueue
	q.Name, q.Policy = "policed", &workload.PolicyTiming{}
	return q
}

// longRunningJob returns a job of one long-running task of the given size.
func longRunningJob(id string, queue workload.Queue, milliCores int) JobAdded {
	job := testJob(id, longRunningStep(1, 0))
	job.Submission.Queue = queue
	job.Submission.Steps[0].Size.MilliCores = milliCores
	return job
}

// Guards against long-running tasks that wait for a worker which they can't use, and keep
// all workers free of finite tasks meanwhile: accepted jobs never started beside idle
// workers (case 7 of the second review).
func TestStepThatNoWorkerCanTakeHoldsUpNoOther(t *testing.T) {
	for name, c := range map[string]struct {
		queue  workload.Queue
		change func(*workload.Step)
		policy func(worker string) bool // nil: it does not answer
	}{
		"the policy allows none of the workers": {queue: policyQueue(), policy: func(string) bool { return false }},
		"the policy does not answer":            {queue: policyQueue()},
		"no worker has the label":               {queue: testQueue, change: func(s *workload.Step) { s.Label = "other" }},
		"no worker is large enough":             {queue: testQueue, change: func(s *workload.Step) { s.Size.MilliCores = 17000 }},
	} {
		r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
		r.policy = c.policy
		for i := range 6 {
			job := longRunningJob(fmt.Sprintf("long%d", i), c.queue, 1000)
			if c.change != nil {
				c.change(&job.Submission.Steps[0])
			}
			r.step(job)
		}
		r.advance(time.Second)
		require.Empty(t, r.starts, name)
		r.step(testJob("j1", simpleStep(1)), testJob("j2", simpleStep(20)))
		r.advance(time.Second)
		require.Len(t, r.starts, 21, name)
		require.Zero(t, r.countDecisions("worker-reserved"), name)
	}
}

// Guards against workers that are kept free for steps whose tickets have expired, while
// the placement policy gives no others.
func TestSilentPolicyKeepsNoWorkerFree(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.policy = func(string) bool { return true }
	r.step(testJob("full", simpleStep(16)))
	require.Len(t, r.starts, 16)
	r.step(longRunningJob("long", policyQueue(), 12000))
	r.advance(time.Second)
	r.policy = nil
	r.advance(testTicketTime + 2*time.Second)
	for _, s := range r.starts {
		r.workers["a"].endRun(s.Task, s.Attempt, EndDone)
	}
	r.step(testJob("j1", simpleStep(1)))
	r.advance(time.Second)
	require.Len(t, r.starts, 17)
	require.Equal(t, "j1", r.starts[16].Task.Job)
}

// Guards against a long-running task that waits for a worker in quarantine, while finite
// tasks take the room of the other.
func TestWorkerInQuarantineIsNotKeptFree(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("full", simpleStep(32)))
	require.Len(t, r.starts, 32)
	r.m.workers["a"].quarantinedUntil = r.now.Add(time.Minute)
	for _, run := range append([]RunReport(nil), r.workers["a"].running...) {
		r.workers["a"].endRun(run.Task, run.Attempt, EndDone)
	}
	r.step(longRunningJob("long", testQueue, 8000))
	requireRoomIsMade(t, r, "b", simpleStep(2))
}

// requireRoomIsMade requires that a waiting long-running task is started although the
// finite tasks of small steps, which end one by one at the worker, wait for its room too.
func requireRoomIsMade(t *testing.T, r *harness, worker string, small workload.Step) {
	t.Helper()
	w := r.workers[worker]
	isLongRunning := func(s Start) bool { return s.Task.Job == "long" }
	for i := range 60 {
		r.step(testJob(fmt.Sprintf("small%d", i), small))
		for _, run := range w.running {
			if run.Task.Job != "long" {
				w.endRun(run.Task, run.Attempt, EndDone)
				break
			}
		}
		r.advance(100 * time.Millisecond)
		for _, s := range r.starts {
			if isLongRunning(s) {
				require.Equal(t, worker, s.Incarnation.ID)
				return
			}
		}
	}
	require.Fail(t, "finite tasks keep the long-running task out")
}

// Guards against small finite tasks that take all room as soon as it becomes free, so
// that a long-running task never starts.
func TestFiniteTasksMakeRoomForLongRunningTask(t *testing.T) {
	for name, queue := range map[string]workload.Queue{"without a policy": testQueue, "at the worker that the policy allows": policyQueue()} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
			r.policy = func(worker string) bool { return worker == "a" }
			r.step(testJob("full", simpleStep(32)))
			require.Len(t, r.starts, 32)
			r.step(longRunningJob("long", queue, 8000))
			requireRoomIsMade(t, r, "a", simpleStep(2))
			require.Equal(t, 1, r.countDecisions("worker-reserved"), "one line for the whole wait")
		})
	}
}

// Guards against gangs of finite tasks that take the room of a worker which is kept free
// for a long-running task.
func TestGangsMakeRoomForLongRunningTask(t *testing.T) {
	gang := simpleStep(1)
	gang.Gang = true
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("full", simpleStep(16)))
	require.Len(t, r.starts, 16)
	r.step(longRunningJob("long", testQueue, 8000))
	requireRoomIsMade(t, r, "a", gang)
}
