package intake

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/intake"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/board"
	platformstore "github.com/carobwharf/carobwharf/platform/store"
	"github.com/carobwharf/carobwharf/standin/users"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

const cancelledJob = "5c0e7a21d94b36f8"

// lateTable leaves submissions without an answer and keeps them, so that a test can
// have them executed late.
type lateTable struct {
	store.Table
	late chan []store.Op
}

func (l lateTable) Commit(ctx context.Context, ops []store.Op) ([]uint64, error) {
	if ops[0].Kind != store.OpInsert {
		return l.Table.Commit(ctx, ops)
	}
	select {
	case l.late <- ops:
	default: // a repetition
	}
	return nil, store.ErrUnknown
}

// startIntake runs a duty with a configuration that has one queue.
func startIntake(t *testing.T, table store.Table) *Duty {
	d := New(Options{Table: table, Log: hclog.NewNullLogger(), Metrics: metrics.New()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	view := &board.View{Configuration: &workload.Configuration{Version: 1, Queues: []workload.Queue{{Name: "q", Host: "h", Prefix: "/a/", Pool: "p"}}}}
	require.NoError(t, d.Views.Put(ctx, view))
	require.Eventually(t, func() bool { return d.Dump(ctx).(Report).Configuration == 1 }, 10*time.Second, time.Millisecond)
	return d
}

func send(t *testing.T, d *Duty, kind intake.Kind, job string) intake.Outcome {
	reply, err := d.Handle(context.Background(), intake.Request{
		Kind: kind, Host: "h", Path: "/a/" + job, Timeout: 10 * time.Second,
		Submission: workload.Submission{Spec: "s", Steps: []workload.Step{{Count: 1}}},
	})
	require.NoError(t, err)
	return reply.Outcome
}

func usersTable(t *testing.T) store.Table {
	p, err := users.Start(users.Options{})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	c := platformstore.New(platformstore.Options{Addr: p.StoreAddr, Timeout: time.Second, MaxConnections: 4})
	t.Cleanup(c.Close)
	return c
}

// A job was stored, and ran, after another VM had acknowledged its cancellation with "no
// such job", because the store executed its submission late (review/2 with a late write
// instead of a paused VM).
func TestLateSubmissionOfCancelledJobIsNotStored(t *testing.T) {
	table := usersTable(t)
	late := lateTable{Table: table, late: make(chan []store.Op, 1)}
	taker, other := startIntake(t, late), startIntake(t, table)
	require.Equal(t, intake.Indeterminate, send(t, taker, intake.Submit, cancelledJob))
	require.Equal(t, intake.NoJob, send(t, other, intake.Cancel, cancelledJob))

	_, err := table.Commit(context.Background(), <-late.late)
	var conflict *store.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, intake.NoJob, send(t, taker, intake.QueryState, cancelledJob))
	require.Equal(t, intake.CancelledID, send(t, other, intake.Submit, cancelledJob))
	require.Equal(t, intake.NoJob, send(t, other, intake.Cancel, cancelledJob), "a repetition")
}

// The repetition of an accepted submission must remain one accepted job after its
// cancellation, and a cancellation of a stored job must not become a tombstone.
func TestRepeatedSubmissionOfCancelledJobIsAccepted(t *testing.T) {
	d := startIntake(t, usersTable(t))
	require.Equal(t, intake.Accepted, send(t, d, intake.Submit, cancelledJob))
	require.Equal(t, intake.Accepted, send(t, d, intake.Cancel, cancelledJob))
	require.Equal(t, intake.Accepted, send(t, d, intake.Submit, cancelledJob))
	require.Equal(t, intake.Found, send(t, d, intake.QueryState, cancelledJob))
}

// After a suspension that outlasts the tombstones, a submission that was cancelled before
// it could be read from a socket of this process and stored. The process has to end, so
// that its connections do.
func TestLongSuspensionEndsTheProcess(t *testing.T) {
	d := New(Options{Log: hclog.NewNullLogger(), Metrics: metrics.New()})
	now := time.Unix(1000, 0)
	d.lastTurn = now
	require.NoError(t, d.checkPause(now.Add(intake.MaxPause)))
	require.ErrorIs(t, d.checkPause(now.Add(2*intake.MaxPause+time.Second)), ErrSuspended)
}

// A process that was paused between the decision on a submission and its sending stored
// the job after its caller's deadline. The caller has left by then and may have cancelled.
func TestSubmissionIsNotSentAfterItsDeadline(t *testing.T) {
	table := &fakeTable{}
	d := New(Options{Table: table, Log: hclog.NewNullLogger(), Metrics: metrics.New()})
	call := intake.Call{Number: 1, Op: intake.Insert, Job: workload.JobKey{ID: cancelledJob}, Deadline: steady.Now().Add(-time.Millisecond)}
	d.runCall(context.Background(), call)
	require.Equal(t, intake.Answer{Number: 1, Op: intake.Insert, Result: intake.Unavailable}, <-d.answers.C())
	require.Zero(t, table.commits)
	call.Deadline = steady.Now().Add(time.Minute)
	d.runCall(context.Background(), call)
	require.Equal(t, intake.Done, (<-d.answers.C()).Result)
	require.Equal(t, 1, table.commits)
}
