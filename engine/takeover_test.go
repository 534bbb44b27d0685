package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// scheduledJob returns a job of one task whose occurrences are due at start and
// then each period.
func scheduledJob(id string, count int, start time.Time, period time.Duration) JobAdded {
	job := testJob(id, simpleStep(1))
	job.Submission.Repeat = workload.Schedule{Count: count, Start: start.UnixMilli(), Period: period.Milliseconds()}
	return job
}

// takeOver returns a harness whose scheduler succeeds that of r. The workers and
// the time stay as they are.
func (r *harness) takeOver(token uint64, former []EngagedWorker, events ...Event) *harness {
	next := &harness{t: r.t, now: r.now, workers: r.workers}
	next.m = New(r.now, testConfig(token), former)
	next.step(append(events, r.registrations())...)
	return next
}

// An occurrence that ended before an earlier one was not stored, and the next owner
// ran it again.
func TestOccurrenceThatEndedBeforeAnEarlierOneIsNotRepeated(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	job := scheduledJob("j1", 2, r.now, 100*time.Millisecond)
	r.step(job)
	r.advance(300 * time.Millisecond)
	require.Len(t, r.starts, 2)
	r.workers["a"].endRun(workload.TaskID{Job: "j1", Occurrence: 1}, 1, EndDone)
	r.step()
	r.advance(time.Second)
	require.Empty(t, r.workers["a"].ended, "the end is acknowledged")
	progress := r.m.jobs["j1"].progress()

	job.Progress, job.Recovered = &progress, true
	next := r.takeOver(2, []EngagedWorker{{ID: "a", Born: 1}}, job)
	next.advance(time.Second)
	require.Empty(t, next.starts)
	next.workers["a"].endRun(workload.TaskID{Job: "j1"}, 1, EndDone)
	next.advance(time.Second)
	require.Equal(t, workload.Completed, next.m.ended["j1"])
}
