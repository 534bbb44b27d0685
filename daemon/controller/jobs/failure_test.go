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

// slowTable freezes a node's calls to the table, as a pause of its process
// does: they take effect when the freeze ends.
type slowTable struct {
	store.Table
	frozen atomic.Pointer[chan struct{}]
}

func (s *slowTable) Commit(ctx context.Context, ops []store.Op) ([]uint64, error) {
	if c := s.frozen.Load(); c != nil {
		<-*c
		ctx = context.WithoutCancel(ctx)
	}
	return s.Table.Commit(ctx, ops)
}

func (s *slowTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if c := s.frozen.Load(); c != nil {
		<-*c
	}
	return s.Table.Scan(ctx, prefix, after, limit)
}

// alwaysHeld shows a node the lease as its own with a growing version, so that
// it overlaps with the real holder.
type alwaysHeld struct {
	store.Table
	id      string
	token   uint64
	version atomic.Uint64
}

func (a *alwaysHeld) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if prefix != store.PrefixLease {
		return a.Table.Scan(ctx, prefix, after, limit)
	}
	value, err := rows.EncodeLease(rows.Lease{Holder: a.id, Token: a.token, Duration: 5 * time.Second})
	return []store.Row{{Key: store.KeyLease("p"), Version: a.version.Add(1), Value: value}}, err
}

// requireOneCompletion checks that no run with another token than that of the
// row counted: the row is done under the token of a run that was done.
func (r *rig) requireOneCompletion(ids []string) {
	done := map[string]map[uint64]bool{}
	for _, run := range r.server.Runs() {
		if run.State == store.RunDone {
			if done[run.Task] == nil {
				done[run.Task] = map[uint64]bool{}
			}
			done[run.Task][run.Token] = true
		}
	}
	for _, id := range ids {
		j := r.job(id)
		require.Equal(r.t, structs.JobDone, j.State, id)
		require.True(r.t, done[id][j.Token], "%s is done under token %d, done runs: %v", id, j.Token, done[id])
		require.Len(r.t, done[id], 1, "%s was completed twice", id)
	}
}

func submitMany(t *testing.T, n *node, count int, run time.Duration) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("j%02d", i))
		n.submit(t, spec(ids[i], structs.ClassStandard, 1+i%6, run))
	}
	return ids
}

// Two processes that both believe to hold the pool must not complete a job
// twice or lose one.
func TestOverlappingHolders(t *testing.T) {
	r := newRig(t, 4, platform.Faults{RunSigma: 1})
	a := r.node("c1", &alwaysHeld{Table: r.table, id: "c1", token: 1}, 2*time.Second)
	b := r.node("c2", &alwaysHeld{Table: r.table, id: "c2", token: 2}, 2*time.Second)
	ids := submitMany(t, a, 40, 300*time.Millisecond)
	for _, id := range ids {
		r.wait(id, structs.JobDone)
	}
	conflicts := a.opts.Metrics.Counter("jobs.write.conflict").Count() + b.opts.Metrics.Counter("jobs.write.conflict").Count()
	require.Greater(t, conflicts, int64(10), "too few conflicts to show anything")
	r.requireOneCompletion(ids)
}

// A holder that is paused beyond its lease and resumes with writes that it
// had decided before must not change what its successor did.
func TestFrozenHolder(t *testing.T) {
	r := newRig(t, 4, platform.Faults{})
	slow := &slowTable{Table: r.table}
	release := r.hold("c1", 1)
	a := r.node("c1", slow, 2*time.Second)
	ids := submitMany(t, a, 20, 500*time.Millisecond)
	r.wait(ids[0], structs.JobRunning)
	thaw := make(chan struct{})
	slow.frozen.Store(&thaw)
	release()
	r.hold("c2", 2)
	r.node("c2", r.table, 2*time.Second)
	for _, id := range ids {
		r.wait(id, structs.JobDone)
	}
	slow.frozen.Store(nil)
	close(thaw)
	late := spec("late", structs.ClassStandard, 1, 50*time.Millisecond)
	a.submit(t, late)
	r.wait("late", structs.JobDone)
	r.requireOneCompletion(append(ids, "late"))
}

// Lost answers of the table and of the workers, with and without effect, must
// neither lose a job nor run one twice to its end.
func TestLostAnswers(t *testing.T) {
	r := newRig(t, 4, platform.Faults{LoseAnswer: 0.2, RefuseWrite: 0.1})
	r.hold("c1", 1)
	n := r.node("c1", r.table, 2*time.Second)
	ids := submitMany(t, n, 30, 200*time.Millisecond)
	for _, id := range ids {
		r.wait(id, structs.JobDone)
	}
	r.server.SetFaults(platform.Faults{})
	r.requireOneCompletion(ids)
}

// A wave of cancellations must end running and waiting jobs alike and leave
// the workers free for the next job.
func TestWaveOfCancellations(t *testing.T) {
	r := newRig(t, 2, platform.Faults{})
	r.hold("c1", 1)
	n := r.node("c1", r.table, 5*time.Second)
	ids := submitMany(t, n, 40, time.Hour)
	r.wait(ids[0], structs.JobRunning)
	for _, id := range ids {
		require.Eventually(t, func() bool {
			_, err := n.CancelJob(context.Background(), id)
			return err == nil
		}, time.Minute, 10*time.Millisecond)
	}
	for _, id := range ids {
		r.wait(id, structs.JobCancelled)
	}
	n.submit(t, spec("next", structs.ClassStandard, 16, 50*time.Millisecond))
	r.wait("next", structs.JobDone)
}

// A worker that fails everything must be quarantined: jobs that it failed end
// in success elsewhere.
func TestWorkerThatFailsEverything(t *testing.T) {
	r := newRig(t, 5, platform.Faults{FailWorkers: []string{"w00"}})
	r.hold("c1", 1)
	n := r.node("c1", r.table, 5*time.Second)
	ids := submitMany(t, n, 60, 400*time.Millisecond)
	failures := 0
	for _, id := range ids {
		failures += r.wait(id, structs.JobDone).Failures
	}
	require.NotZero(t, failures)
	require.Eventually(t, func() bool {
		s := n.Dump(context.Background()).(*Status)
		return len(s.Pools) == 1 && s.Pools[0].Quarantined == 1
	}, time.Minute, 10*time.Millisecond)
}

// Before a reboot, the tasks of a VM must be saved and stopped, and its keeper
// must not be told that it is free while it can still get tasks.
func TestLeavingVM(t *testing.T) {
	r := newRig(t, 2, platform.Faults{})
	r.hold("c1", 1)
	n := r.node("c1", r.table, 5*time.Second)
	n.submit(t, spec("long", structs.ClassStandard, 10, time.Hour))
	vm := r.wait("long", structs.JobRunning).Worker
	require.Equal(t, -1, n.Busy(vm))
	for i := range r.owners {
		if r.owners[i].VM == vm {
			r.owners[i].State = structs.OwnerDraining
		}
	}
	r.show(n)
	require.Eventually(t, func() bool { return n.Busy(vm) == 0 }, time.Minute, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		j := r.job("long")
		return j.State == structs.JobRunning && j.Worker != vm && j.Progress > 0
	}, time.Minute, 10*time.Millisecond, "the job must go on elsewhere with the work that was saved")
}

// A repeated submission must not make a second job, and an id cannot be used
// for another one.
func TestSubmissionIsIdempotent(t *testing.T) {
	r := newRig(t, 1, platform.Faults{})
	n := r.node("c1", r.table, time.Second)
	s := spec("a", structs.ClassBatch, 1, time.Hour)
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
