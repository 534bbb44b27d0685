package pools

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

const unreadJob = "00000000000000a1"

var unreadJobKey = workload.JobKey{Queue: workload.QueueKey("h", "/a/"), ID: unreadJob}

// newDutyWithUnreadJob returns a duty that owns pool p, and the store with a
// cancelled job of a queue that the duty has not read.
func newDutyWithUnreadJob(t *testing.T) (*Duty, *pool, *fakeStore, workload.Queue) {
	queue := workload.Queue{Name: "q", Host: "h", Prefix: "/a/", Pool: "p"}
	name := workload.QueueKey("h", "/a/")
	value, err := rows.EncodeWork(workload.Submission{ID: unreadJob, Pool: "p", Queue: queue, Steps: []workload.Step{{Count: 1}}})
	require.NoError(t, err)
	f := &fakeStore{rows: map[string][]store.Row{
		name + "-0": {
			{Key: store.KeyWork(workload.JobKey{Queue: name, ID: unreadJob}), Value: value, Version: 3},
			{Key: store.KeyWorkCancel(workload.JobKey{Queue: name, ID: unreadJob}), Version: 4},
		},
		workload.QueueKey("h", "/b/") + "-0": nil,
	}}
	d := newDuty()
	d.Table, d.Feed = f, f
	p := d.addPool("p")
	p.State, p.TakenVersion, p.Control.Token = holder.Held, 9, 2
	p.engine = engine.New(d.now(), engine.Config{Pool: "p", Token: 2}, nil)
	return d, p, f, queue
}

// The jobs of a queue that was configured after the pool's jobs had been read were
// never read, and their runs were stopped.
func TestQueueThatIsConfiguredLaterIsRead(t *testing.T) {
	d, p, f, queue := newDutyWithUnreadJob(t)
	p.queues[workload.QueueKey("h", "/b/")] = true
	d.workFollowed = true
	d.handleView(&board.View{Configuration: &workload.Configuration{
		Queues: []workload.Queue{queue, {Name: "r", Host: "h", Prefix: "/b/", Pool: "p"}},
		Pools:  []workload.PoolOptions{{Name: "p"}},
	}})
	p.events = nil
	d.runPool(context.Background(), d.now(), p)
	require.True(t, p.readingJobs)
	sent := p.jobsReadSent
	d.finishRead(p)
	require.Equal(t, []string{workload.QueueKey("h", "/a/") + "-0"}, f.readParts, "the other queue has been read")
	require.Equal(t, sent, p.jobsReadSent, "cancellations of other queues were not read")
	require.Len(t, p.events, 2)
	require.True(t, p.events[0].(engine.JobAdded).Recovered)
	require.Equal(t, engine.CancelRequested{Job: unreadJobKey}, p.events[1])
	require.Empty(t, p.unreadQueues)
}

// A job of a queue that is not in this process's configuration must be found when a
// worker reports a run of it.
func TestReportedJobIsFoundInAnyQueue(t *testing.T) {
	d, p, _, _ := newDutyWithUnreadJob(t)
	d.execute(context.Background(), p, engine.FindJobs{IDs: []string{unreadJob, "00000000000000b2"}})
	var r any
	select {
	case r = <-d.results.C():
	case <-time.After(5 * time.Second):
		t.Fatal("no result of the search")
	}
	d.handleResult(r)
	require.Len(t, p.events, 3)
	require.Equal(t, unreadJob, p.events[0].(engine.JobAdded).Submission.ID)
	require.True(t, p.events[0].(engine.JobAdded).Recovered)
	require.Equal(t, engine.CancelRequested{Job: unreadJobKey}, p.events[1])
	require.True(t, p.events[2].(engine.JobsSearched).OK)
}

// A job of a queue that had not been read arrived through a feed that was behind. It
// was added without its stored progress, so that its done tasks ran again.
func TestLateChangeDoesNotAddRecoveredJobWithoutProgress(t *testing.T) {
	d, p, f, _ := newDutyWithUnreadJob(t)
	name := workload.QueueKey("h", "/a/")
	changes := follow.Delta{Table: store.TableWork}
	for _, row := range f.rows[name+"-0"] {
		changes.Changes = append(changes.Changes, store.Change{Row: row})
	}
	d.handleDelta(changes)
	for _, e := range p.events {
		_, isJob := e.(engine.JobAdded)
		require.False(t, isJob)
	}
	require.Equal(t, []string{name}, p.unreadQueues)
	d.workFollowed = true
	p.events = nil
	d.runPool(context.Background(), d.now(), p)
	d.finishRead(p)
	require.Len(t, p.events, 2)
	require.True(t, p.events[0].(engine.JobAdded).Recovered)
	require.Equal(t, engine.CancelRequested{Job: unreadJobKey}, p.events[1])
}
