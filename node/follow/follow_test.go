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

// feed has no changes and counts whole readings.
type feed struct {
	snapshots atomic.Int64
}

func (f *feed) Snapshot(context.Context, string, ...string) ([]store.Row, uint64, error) {
	f.snapshots.Add(1)
	return []store.Row{{Key: "t//a"}}, 5, nil
}

func (f *feed) Parts(context.Context, string) ([]string, error) { return nil, nil }

func (f *feed) Position(context.Context, string) (uint64, error) { return 5, nil }

func (f *feed) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Change, uint64, error) {
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

func reset(out *ring.Ring[Delta]) func() bool {
	return func() bool { return (<-out.C()).Reset }
}

// A pool that was given up and taken again within one reading waited for ever
// for the beginning of the table's changes.
func TestTurningOffAndOnAtOnceStartsAnew(t *testing.T) {
	wanted := ring.New[bool]("wanted", 1, ring.KeepNewest)
	out := startFollower(t, Options{Feed: &feed{}, Wanted: wanted})
	put := func(on bool) { require.NoError(t, wanted.Put(context.Background(), on)) }
	put(true)
	require.Eventually(t, reset(out), 5*time.Second, time.Millisecond)
	put(false)
	put(true)
	require.Eventually(t, reset(out), 5*time.Second, time.Millisecond)
}

// A reader that reads only its own part must not be sent the whole table.
func TestBareReadingsBringNoRows(t *testing.T) {
	f := &feed{}
	out := startFollower(t, Options{Feed: f, Bare: true})
	d := <-out.C()
	require.True(t, d.Reset)
	require.Empty(t, d.Changes)
	require.Zero(t, f.snapshots.Load())
}

// A table that changes all the time and shows no change is read in full.
func TestQuietTableIsReadAgain(t *testing.T) {
	f := &feed{}
	out := startFollower(t, Options{Feed: f, Quiet: 5 * time.Millisecond})
	require.Eventually(t, func() bool { <-out.C(); return f.snapshots.Load() >= 3 }, 5*time.Second, time.Millisecond)
}
