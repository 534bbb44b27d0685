package pools

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// Changes that arrived while the jobs of a pool were read again waited for the next read
// when this one failed, so that the tasks of a job went on long after its cancellation.
func TestChangesDontWaitForAnotherReadAfterAFailedOne(t *testing.T) {
	d, f := newDutyWithTwoPools(t)
	d.startReads()
	d.finishReads()
	require.Equal(t, 1, d.openJobs("a"))
	d.pools["a"].missedChanges = true
	f.readError = store.ErrUnavailable
	d.startReads()
	require.True(t, d.pools["a"].readingJobs)
	d.handleDelta(workDelta(cancellationRow(queueA, 12)))
	d.finishReads()
	require.True(t, d.pools["a"].missedChanges)
	require.Zero(t, d.openJobs("a"), "the cancelled job is open")
}

// While the jobs of one new queue were read, the changes of all other queues waited too.
func TestChangesOfOtherQueuesDontWaitForTheReadOfANewOne(t *testing.T) {
	d, _ := newDutyWithTwoPools(t)
	d.startReads()
	d.finishReads()
	require.Equal(t, 1, d.openJobs("a"))
	d.handleView(&board.View{Configuration: &workload.Configuration{
		Queues: []workload.Queue{queueA, queueB, {Name: "c", Host: "h", Prefix: "/c/", Pool: "a"}},
		Pools:  []workload.PoolOptions{{Name: "a"}, {Name: "b"}},
	}})
	d.startReads()
	require.True(t, d.pools["a"].readingJobs)
	d.handleDelta(workDelta(cancellationRow(queueA, 12)))
	require.Zero(t, d.openJobs("a"), "the cancelled job is open")
	d.finishReads()
}

// The cancellation of a job that arrived during a read waited for the end of the read, but
// the job did not, and was started.
func TestJobAndItsCancellationDontPartDuringARead(t *testing.T) {
	d, _ := newDutyWithTwoPools(t)
	p := d.pools["a"]
	d.startReads()
	d.finishReads()
	require.Equal(t, 1, d.openJobs("a"))
	p.missedChanges = true
	d.startReads()
	job := workload.JobKey{Queue: queueA.Key(), ID: "0000000000000002"}
	value, err := rows.EncodeWork(workload.Submission{ID: job.ID, Pool: "a", Queue: queueA, Steps: []workload.Step{{Count: 1}}})
	require.NoError(t, err)
	d.handleDelta(workDelta(
		store.Row{Key: store.KeyWork(job), Version: 11, Value: value},
		store.Row{Key: store.KeyWorkCancel(job), Version: 12, Value: []byte(`{}`)},
	))
	require.True(t, p.readingJobs)
	require.Len(t, p.events, 2)
	require.Equal(t, engine.CancelRequested{Job: job}, p.events[1])
	d.finishReads()
}

// After missed changes an owner read the queues of the configuration and of its
// predecessor. It did not learn of the cancellation of a job whose queue had been routed to
// the pool in a version that this process had skipped.
func TestOwnerReadsTheQueuesOfItsOpenJobsAgain(t *testing.T) {
	d, f := newDutyWithTwoPools(t)
	d.startReads()
	d.finishReads()
	skipped := workload.Queue{Name: "c", Host: "h", Prefix: "/c/", Pool: "a"}
	value, err := rows.EncodeWork(workload.Submission{ID: "0000000000000002", Pool: "a", Queue: skipped, Steps: []workload.Step{{Count: 1}}})
	require.NoError(t, err)
	job := workload.JobKey{Queue: skipped.Key(), ID: "0000000000000002"}
	row := store.Row{Key: store.KeyWork(job), Version: 11, Value: value}
	f.addRow(row)
	d.handleDelta(workDelta(row))
	require.Equal(t, 2, d.openJobs("a"))
	f.addRow(store.Row{Key: store.KeyWorkCancel(job), Version: 12, Value: []byte(`{}`)})
	d.pools["a"].missedChanges = true
	d.startReads()
	d.finishReads()
	require.Equal(t, 1, d.openJobs("a"), "the cancelled job is open")
}

// A job of another queue took over the stored progress of the job with the same ID: its
// tasks counted as done, and the tasks of the job that had run ran again.
func TestProgressIsThatOfTheJobOfItsQueue(t *testing.T) {
	other := workload.Queue{Name: "c", Host: "h", Prefix: "/c/", Pool: "a"}
	progress, err := rows.EncodeProgress(workload.Progress{Queue: queueA.Key(), State: workload.Running})
	require.NoError(t, err)
	for name, stored := range map[string][]store.Row{
		"own job first":   {submissionRow(t, queueA, 3), submissionRow(t, other, 4)},
		"other job first": {submissionRow(t, other, 4), submissionRow(t, queueA, 3)},
	} {
		d, _ := newDutyWithTwoPools(t)
		p := d.pools["a"]
		p.engine = engine.New(d.now(), engine.Config{Pool: "a", Token: 2}, nil)
		d.addJobEvents(p, jobsRead{workRows: stored, progressRows: []store.Row{{Key: store.KeyProgress("a", sharedID), Value: progress}}})
		require.Len(t, p.events, 1, name)
		require.Equal(t, queueA, p.events[0].(engine.JobAdded).Submission.Queue, name)
	}
}

// manySubmissions returns the rows of n large jobs of a queue.
func manySubmissions(t *testing.T, q workload.Queue, n int) []store.Row {
	list := make([]store.Row, n)
	for i := range list {
		s := workload.Submission{ID: fmt.Sprintf("%016x", 100+i), Pool: q.Pool, Queue: q, Spec: strings.Repeat("x", 4000), Steps: []workload.Step{{Count: 1}}}
		value, err := rows.EncodeWork(s)
		require.NoError(t, err)
		list[i] = store.Row{Key: store.KeyWork(s.Key()), Version: uint64(20 + i), Value: value}
	}
	return list
}

// waitingBytes returns the size of the rows that wait for the end of a read.
func (p *pool) waitingBytes() (n int) {
	for _, c := range p.earlyChanges {
		n += len(c.Key) + len(c.Value)
	}
	return n
}

// While a pool was claimed or its jobs were read, it kept each change of the work table, of
// all pools and without a bound. In a flood that is hundreds of megabytes on a VM that has
// 184.
func TestChangesThatWaitForAReadAreBounded(t *testing.T) {
	d, f := newDutyWithTwoPools(t)
	d.pools["a"].State = holder.Claiming
	d.handleDelta(workDelta(manySubmissions(t, queueA, 10)...))
	require.Zero(t, d.pools["a"].waitingBytes(), "a read that begins later finds them")
	d.pools["a"].State = holder.Held

	d.startReads()
	d.handleDelta(workDelta(manySubmissions(t, queueB, 10)...))
	require.Zero(t, d.pools["a"].waitingBytes(), "jobs of another pool")
	require.NotZero(t, d.pools["b"].waitingBytes())

	flood := manySubmissions(t, queueA, 2000)
	for _, row := range flood {
		f.addRow(row)
		d.handleDelta(workDelta(row))
		require.LessOrEqual(t, d.pools["a"].waitingBytes(), 4<<20)
	}
	d.finishReads()
	d.startReads()
	require.True(t, d.pools["a"].readingJobs, "what did not wait is read again")
	d.finishReads()
	p := d.pools["a"]
	jobs := 0
	for _, e := range p.events {
		if added, ok := e.(engine.JobAdded); ok && added.Submission.Spec != "" {
			jobs++
		}
	}
	require.GreaterOrEqual(t, jobs, len(flood))
	require.Zero(t, p.waitingBytes())
	require.False(t, p.missedChanges)
}

// Guards against a flood of jobs that makes an owner read its pool again and again: once
// there is an engine, new jobs don't wait for a read.
func TestFloodDuringARepeatedReadNeedsNoFurtherOne(t *testing.T) {
	d, _ := newDutyWithTwoPools(t)
	d.startReads()
	d.finishReads()
	p := d.pools["a"]
	p.missedChanges = true
	d.startReads()
	for _, row := range manySubmissions(t, queueA, 2000) {
		d.handleDelta(workDelta(row))
	}
	require.Zero(t, p.waitingBytes())
	d.finishReads()
	require.False(t, p.missedChanges)
}
