package jobs

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// pausableTable simulates a paused process: while it is paused, commits and
// scans block, and they take effect when the pause ends.
type pausableTable struct {
	store.Table
	paused atomic.Pointer[chan struct{}]
}

func (s *pausableTable) Commit(ctx context.Context, ops []store.Op) ([]uint64, error) {
	if c := s.paused.Load(); c != nil {
		<-*c
		ctx = context.WithoutCancel(ctx)
	}
	return s.Table.Commit(ctx, ops)
}

func (s *pausableTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if c := s.paused.Load(); c != nil {
		<-*c
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

// fakeLeaseTable makes a node believe that it holds the lease: each scan
// returns the lease with the node as holder and a new version.
type fakeLeaseTable struct {
	store.Table
	id      string
	token   uint64
	version atomic.Uint64
}

func (a *fakeLeaseTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if prefix != store.PrefixLease {
		return a.Table.Scan(ctx, prefix, after, limit)
	}
	value, err := rows.EncodeLease(rows.Lease{Holder: a.id, Token: a.token, Duration: 5 * time.Second})
	return []store.Row{{Key: store.KeyLease("p"), Version: a.version.Add(1), Value: value}}, err
}

// requireOneCompletion checks that each job is done under the token of a run
// that its worker completed, and that no other run of the job was completed.
func (cluster *testCluster) requireOneCompletion(ids []string) {
	done := map[string]map[uint64]bool{}
	for _, run := range cluster.server.Runs() {
		if run.State == store.RunDone {
			if done[run.Task] == nil {
				done[run.Task] = map[uint64]bool{}
			}
			done[run.Task][run.Token] = true
		}
	}
	for _, id := range ids {
		j := cluster.readJob(id)
		require.Equal(cluster.t, structs.JobDone, j.State, id)
		require.True(cluster.t, done[id][j.Token], "job %s is done under token %d, but the completed runs have tokens %v", id, j.Token, done[id])
		require.Len(cluster.t, done[id], 1, "runs of job %s that were completed", id)
	}
}

func submitMany(t *testing.T, n *node, count int, run time.Duration) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("j%02d", i))
		n.submit(t, jobSpec(ids[i], structs.ClassStandard, 1+i%6, run))
	}
	return ids
}

// Two processes that both believe they hold the pool's lease must neither
// complete a job twice nor lose one.
func TestOverlappingHolders(t *testing.T) {
	cluster := newTestCluster(t, 4, platform.Faults{RunSigma: 1})
	a := cluster.node("c1", &fakeLeaseTable{Table: cluster.table, id: "c1", token: 1}, 2*time.Second)
	b := cluster.node("c2", &fakeLeaseTable{Table: cluster.table, id: "c2", token: 2}, 2*time.Second)
	ids := submitMany(t, a, 40, 300*time.Millisecond)
	for _, id := range ids {
		cluster.waitForState(id, structs.JobDone)
	}
	conflicts := a.opts.Metrics.Counter("jobs.write.conflict").Count() + b.opts.Metrics.Counter("jobs.write.conflict").Count()
	require.Greater(t, conflicts, int64(10), "too few write conflicts: the holders did not compete for the jobs")
	cluster.requireOneCompletion(ids)
}

// A holder that is paused until its lease has expired and then resumes with
// outdated writes must not change what its successor has written.
func TestPausedHolder(t *testing.T) {
	cluster := newTestCluster(t, 4, platform.Faults{})
	pausable := &pausableTable{Table: cluster.table}
	release := cluster.holdLease("c1", 1)
	a := cluster.node("c1", pausable, 2*time.Second)
	ids := submitMany(t, a, 20, 500*time.Millisecond)
	cluster.waitForState(ids[0], structs.JobRunning)
	resume := make(chan struct{})
	pausable.paused.Store(&resume)
	release()
	cluster.holdLease("c2", 2)
	cluster.node("c2", cluster.table, 2*time.Second)
	for _, id := range ids {
		cluster.waitForState(id, structs.JobDone)
	}
	pausable.paused.Store(nil)
	close(resume)
	late := jobSpec("late", structs.ClassStandard, 1, 50*time.Millisecond)
	a.submit(t, late)
	cluster.waitForState("late", structs.JobDone)
	cluster.requireOneCompletion(append(ids, "late"))
}

// Calls to the table and to workers whose responses are lost, with and without
// taking effect, must neither lose a job nor complete one twice.
func TestLostAnswers(t *testing.T) {
	cluster := newTestCluster(t, 4, platform.Faults{LoseAnswer: 0.2, RefuseWrite: 0.1})
	cluster.holdLease("c1", 1)
	n := cluster.node("c1", cluster.table, 2*time.Second)
	ids := submitMany(t, n, 30, 200*time.Millisecond)
	for _, id := range ids {
		cluster.waitForState(id, structs.JobDone)
	}
	cluster.server.SetFaults(platform.Faults{})
	cluster.requireOneCompletion(ids)
}

// Cancelling many jobs at once must end running and waiting jobs and free the
// workers for the next job.
func TestMassCancellation(t *testing.T) {
	cluster := newTestCluster(t, 2, platform.Faults{})
	cluster.holdLease("c1", 1)
	n := cluster.node("c1", cluster.table, 5*time.Second)
	ids := submitMany(t, n, 40, time.Hour)
	cluster.waitForState(ids[0], structs.JobRunning)
	for _, id := range ids {
		require.Eventually(t, func() bool {
			_, err := n.CancelJob(context.Background(), id)
			return err == nil
		}, time.Minute, 10*time.Millisecond)
	}
	for _, id := range ids {
		cluster.waitForState(id, structs.JobCancelled)
	}
	n.submit(t, jobSpec("next", structs.ClassStandard, 16, 50*time.Millisecond))
	cluster.waitForState("next", structs.JobDone)
}

// A worker on which every task fails must be quarantined, and the jobs that
// failed there must succeed on other workers.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	cluster := newTestCluster(t, 5, platform.Faults{FailWorkers: []string{"w00"}})
	cluster.holdLease("c1", 1)
	n := cluster.node("c1", cluster.table, 5*time.Second)
	ids := submitMany(t, n, 60, 400*time.Millisecond)
	failures := 0
	for _, id := range ids {
		failures += cluster.waitForState(id, structs.JobDone).Failures
	}
	require.NotZero(t, failures)
	require.Eventually(t, func() bool {
		s := n.Dump(context.Background()).(*Status)
		return len(s.Pools) == 1 && s.Pools[0].Quarantined == 1
	}, time.Minute, 10*time.Millisecond)
}

// Before a VM is rebooted, its tasks must be checkpointed, stopped and resumed
// on another VM. The pool keeper must not be told that the VM is free while it
// can still get tasks.
func TestTasksMoveOffDrainingVM(t *testing.T) {
	cluster := newTestCluster(t, 2, platform.Faults{})
	cluster.holdLease("c1", 1)
	n := cluster.node("c1", cluster.table, 5*time.Second)
	n.submit(t, jobSpec("long", structs.ClassStandard, 10, time.Hour))
	vm := cluster.waitForState("long", structs.JobRunning).Worker
	require.Equal(t, -1, n.TasksOnLeavingVM(vm))
	for i := range cluster.owners {
		if cluster.owners[i].VM == vm {
			cluster.owners[i].State = structs.OwnerDraining
		}
	}
	cluster.publishFleet(n)
	require.Eventually(t, func() bool { return n.TasksOnLeavingVM(vm) == 0 }, time.Minute, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		j := cluster.job("long")
		return j.State == structs.JobRunning && j.Worker != vm && j.Progress > 0
	}, time.Minute, 10*time.Millisecond, "the job must resume on another VM from its checkpoint")
}

// A repeated submission must not create a second job, and a submission of a
// different job with a used ID must be rejected.
func TestSubmissionIsIdempotent(t *testing.T) {
	cluster := newTestCluster(t, 1, platform.Faults{})
	n := cluster.node("c1", cluster.table, time.Second)
	s := jobSpec("a", structs.ClassBatch, 1, time.Hour)
	n.submit(t, s)
	again, err := n.SubmitJob(context.Background(), s)
	require.NoError(t, err)
	require.True(t, again.Repeated)
	s.MilliCores++
	_, err = n.SubmitJob(context.Background(), s)
	var e *operator.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, operator.CodeConflict, e.Code)
	list, err := n.Jobs(context.Background(), operator.JobsRequest{Team: "t"})
	require.NoError(t, err)
	require.Len(t, list.Jobs, 1)
}
