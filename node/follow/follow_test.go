package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
)

// emptyFeed has no changes. It counts the reads of the whole table.
type emptyFeed struct {
	snapshots atomic.Int64
}

func (f *emptyFeed) Snapshot(context.Context, string, ...string) ([]store.Row, uint64, error) {
	f.snapshots.Add(1)
	return []store.Row{{Key: "t//a"}}, 5, nil
}

func (f *emptyFeed) Parts(context.Context, string) ([]string, error) { return nil, nil }

func (f *emptyFeed) Position(context.Context, string) (uint64, error) { return 5, nil }

func (f *emptyFeed) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Change, uint64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Millisecond):
	}
	return nil, after, nil
}

func startFollower(t *testing.T, o Options) *ring.Ring[Delta] {
	out := ring.New[Delta]("out", 1, ring.Wait)
	o.Table, o.Out, o.Log = "t", []*ring.Ring[Delta]{out}, hclog.NewNullLogger()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = New(o).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return out
}

func receivesReset(out *ring.Ring[Delta]) func() bool {
	return func() bool { return (<-out.C()).Reset }
}

// Guards against a follower that is turned off and on during one read and does not
// read the whole table again: the owner of a pool that was released and reclaimed
// in that time waited forever for a Delta with Reset.
func TestOffAndOnRereadsTable(t *testing.T) {
	enabled := ring.New[bool]("wanted", 1, ring.KeepNewest)
	out := startFollower(t, Options{Feed: &emptyFeed{}, Enabled: enabled})
	put := func(on bool) { require.NoError(t, enabled.Put(context.Background(), on)) }
	put(true)
	require.Eventually(t, receivesReset(out), 5*time.Second, time.Millisecond)
	put(false)
	put(true)
	require.Eventually(t, receivesReset(out), 5*time.Second, time.Millisecond)
}

// A receiver that reads the rows itself must not be sent the whole table.
func TestNoSnapshotResetHasNoRows(t *testing.T) {
	f := &emptyFeed{}
	out := startFollower(t, Options{Feed: f, NoSnapshot: true})
	d := <-out.C()
	require.True(t, d.Reset)
	require.Empty(t, d.Changes)
	require.Zero(t, f.snapshots.Load())
}

// With RereadAfter set, a table without changes must be read again in full.
func TestUnchangedTableIsReread(t *testing.T) {
	f := &emptyFeed{}
	out := startFollower(t, Options{Feed: f, RereadAfter: 5 * time.Millisecond})
	require.Eventually(t, func() bool { <-out.C(); return f.snapshots.Load() >= 3 }, 5*time.Second, time.Millisecond)
}

// silentFeed answers no read.
type silentFeed struct{ emptyFeed }

func (f *silentFeed) Changes(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]store.Change, uint64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait + 100*time.Millisecond):
	}
	return nil, 0, store.ErrUnavailable
}

// After an outage of the store, followers noticed its return up to a second later, since
// a read that had been sent during the outage waited for its answer.
func TestFailingFollowerProbes(t *testing.T) {
	const wait = 10 * time.Second
	f := &silentFeed{}
	follower := New(Options{Feed: f, Table: "t", PollWait: wait, Log: hclog.NewNullLogger()})
	follower.synced, follower.failing = true, true
	began := time.Now()
	_, _, err := follower.changes(context.Background())
	require.Error(t, err)
	require.Less(t, time.Since(began), wait/2, "the read after a failed one is short")
	ctx, cancel := context.WithTimeout(context.Background(), 2*probeTimeout)
	defer cancel()
	began = time.Now()
	_, _, err = follower.changes(ctx)
	require.Error(t, err)
	require.GreaterOrEqual(t, time.Since(began), 2*probeTimeout, "the next one waits as usual, for a store that is slow")
}
