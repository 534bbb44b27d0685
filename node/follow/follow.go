// Package follow is the duty that follows one table of the platform's store. It
// reads the whole table once and then its changes, and reads the whole table again
// when the history of changes is no longer available.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
)

// Delta is the result of one read.
type Delta struct {
	Table   string
	Reset   bool // Changes are all rows of the table, and others are gone; see Options.NoSnapshot
	Changes []store.Change
	Sent    time.Time // steady time before the read was sent
	Failed  bool      // the read failed; of the other fields, only Table is set
}

// Options configures New.
type Options struct {
	Feed  store.Feed
	Table string
	Parts []string // parts of the table that a full read covers; nil: all
	// NoSnapshot omits the rows from a Delta with Reset. Such a Delta only says that
	// changes may have been missed, and the receiver reads the rows that it needs.
	NoSnapshot   bool
	PollWait     time.Duration // how long the platform delays the reply to a read without changes
	PollInterval time.Duration // pause between two reads, so that one read returns several changes
	Out          []*ring.Ring[Delta]
	// RereadAfter is the time without changes after which the whole table is read again;
	// 0: never. It is for tables that change all the time, because the platform may
	// omit changes for a second before it reports that the history of changes is no
	// longer available.
	RereadAfter time.Duration
	// Enabled turns the follower on and off; nil: always on. With each true, the
	// whole table is read again.
	Enabled *ring.Ring[bool]
	Log     hclog.Logger
}

// Retry delays and timeouts.
const (
	// The delay after failed reads doubles from minRetryDelay to maxRetryDelay.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// snapshotTimeout is the timeout of a read of the whole table.
	snapshotTimeout = 4 * time.Second
	// probeTimeout is the timeout of every second read after one failed. A store that is
	// not slow answers a read that need not wait within some 10 ms, so its return is not
	// missed while a long read waits for an answer that was lost.
	probeTimeout = 150 * time.Millisecond
)

// Follower follows one table.
type Follower struct {
	Options
	after      uint64    // version after which changes are read
	synced     bool      // after is valid
	lastChange time.Time // when the last change was received
	failing    bool      // the last read failed
	probed     bool      // the last read was a probe
	retryDelay time.Duration
}

// New returns a follower.
func New(o Options) *Follower { return &Follower{Options: o} }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	on := f.Enabled == nil
	for ctx.Err() == nil {
		if f.Enabled != nil {
			select {
			case on = <-f.Enabled.C():
				f.synced = false // false and true in quick succession may arrive as one true
			default:
			}
		}
		if !on {
			select {
			case on = <-f.Enabled.C():
				f.synced = false
			case <-ctx.Done():
			}
			continue
		}
		f.pause(ctx, f.read(ctx))
	}
	return ctx.Err()
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// read executes one read and returns the pause before the next.
func (f *Follower) read(ctx context.Context) time.Duration {
	d := Delta{Table: f.Table, Sent: steady.Now()}
	var err error
	if f.synced {
		d.Changes, f.after, err = f.changes(ctx)
	} else {
		d.Reset = true
		d.Changes, f.after, err = f.snapshot(ctx)
	}
	if err != nil {
		return f.handleError(ctx, err)
	}
	if f.failing {
		f.Log.Info("table can be read again", "table", f.Table)
	}
	f.synced, f.failing, f.retryDelay = true, false, 0
	now := steady.Now()
	if d.Reset || len(d.Changes) > 0 {
		f.lastChange = now
	}
	f.publish(ctx, d)
	if f.RereadAfter > 0 && now.Sub(f.lastChange) >= f.RereadAfter {
		f.synced = false
		return 0
	}
	return f.PollInterval
}

func (f *Follower) changes(ctx context.Context) ([]store.Change, uint64, error) {
	wait := f.PollWait
	f.probed = f.failing && !f.probed
	if f.probed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		wait = 0
	}
	list, after, err := f.Feed.Changes(ctx, f.Table, f.after, wait)
	if err != nil {
		return nil, f.after, err
	}
	return list, after, nil
}

func (f *Follower) snapshot(ctx context.Context) ([]store.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if f.NoSnapshot {
		after, err := f.Feed.Position(ctx, f.Table)
		return nil, after, err
	}
	rows, after, err := f.Feed.Snapshot(ctx, f.Table, f.Parts...)
	if err != nil {
		return nil, 0, err
	}
	list := make([]store.Change, len(rows))
	for i, r := range rows {
		list[i] = store.Change{Row: r}
	}
	return list, after, nil
}

func (f *Follower) handleError(ctx context.Context, err error) time.Duration {
	if errors.Is(err, store.ErrHistoryGone) {
		f.Log.Info("reading the whole table: the history of changes is not available", "table", f.Table, "after", f.after)
		f.synced = false
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	if !f.failing {
		f.Log.Warn("table can't be read", "table", f.Table, "error", err)
	}
	f.failing = true
	f.publish(ctx, Delta{Table: f.Table, Failed: true})
	f.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*f.retryDelay))
	return f.retryDelay/2 + rand.N(f.retryDelay/2)
}

func (f *Follower) publish(ctx context.Context, d Delta) {
	for _, out := range f.Out {
		if err := out.Put(ctx, d); err != nil && ctx.Err() == nil {
			f.Log.Error("reading the whole table again: changes were not delivered to a duty", "table", f.Table, "error", err)
			f.synced = false
		}
	}
}
