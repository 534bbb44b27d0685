// Package follow is the duty that follows one table of the platform: it reads
// the table once, then its changes, and starts over when the history is gone.
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

// Delta is what one reading brought.
type Delta struct {
	Table   string
	Reset   bool // Changes are all rows of the table; others are gone. See Options.Bare
	Changes []store.Change
	Sent    time.Time // steady time before the reading was sent
	Failing bool      // the reading failed; nothing else is set
}

// Options configures New.
type Options struct {
	Feed  store.Feed
	Table string
	Parts []string // nil: all parts
	// Bare readings of the whole table bring no rows: a Reset only says that
	// changes were missed, and the receiver reads what concerns it.
	Bare bool
	Wait time.Duration // the platform holds a reading without changes this long
	Gap  time.Duration // between readings, so that changes share one
	Out  []*ring.Ring[Delta]
	// Quiet is how long there may be no change before the whole table is read
	// again; 0: for ever. It is for tables that change all the time: the platform
	// may stop to tell changes for a second before it forgets its history.
	Quiet time.Duration
	// Wanted turns the following on and off; nil: always on. Each true starts it
	// anew with a reading of the whole table.
	Wanted *ring.Ring[bool]
	Log    hclog.Logger
}

// Retry times after a failed reading.
const (
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// snapshotTimeout bounds the reading of a whole table.
	snapshotTimeout = 4 * time.Second
)

// Follower follows one table.
type Follower struct {
	Options
	after   uint64
	known   bool      // after is valid
	heard   time.Time // of the last change
	failing bool
	retry   time.Duration
}

// New returns a follower.
func New(o Options) *Follower { return &Follower{Options: o} }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	on := f.Wanted == nil
	for ctx.Err() == nil {
		if f.Wanted != nil {
			select {
			case on = <-f.Wanted.C():
				f.known = false // off and on again may come as one
			default:
			}
		}
		if !on {
			select {
			case on = <-f.Wanted.C():
				f.known = false
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

// read makes one reading and returns the pause before the next.
func (f *Follower) read(ctx context.Context) time.Duration {
	d := Delta{Table: f.Table, Sent: steady.Now()}
	var err error
	if f.known {
		d.Changes, f.after, err = f.changes(ctx)
	} else {
		d.Reset = true
		d.Changes, f.after, err = f.snapshot(ctx)
	}
	if err != nil {
		return f.failed(ctx, err)
	}
	if f.failing {
		f.Log.Info("table can be read again", "table", f.Table)
	}
	f.known, f.failing, f.retry = true, false, 0
	now := steady.Now()
	if d.Reset || len(d.Changes) > 0 {
		f.heard = now
	}
	f.put(ctx, d)
	if f.Quiet > 0 && now.Sub(f.heard) >= f.Quiet {
		f.known = false
		return 0
	}
	return f.Gap
}

func (f *Follower) changes(ctx context.Context) ([]store.Change, uint64, error) {
	list, after, err := f.Feed.Changes(ctx, f.Table, f.after, f.Wait)
	if err != nil {
		return nil, f.after, err
	}
	return list, after, nil
}

func (f *Follower) snapshot(ctx context.Context) ([]store.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if f.Bare {
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

func (f *Follower) failed(ctx context.Context, err error) time.Duration {
	if errors.Is(err, store.ErrHistoryGone) {
		f.Log.Info("history is gone, reading the whole table", "table", f.Table, "after", f.after)
		f.known = false
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	if !f.failing {
		f.Log.Warn("table can't be read", "table", f.Table, "error", err)
	}
	f.failing = true
	f.put(ctx, Delta{Table: f.Table, Failing: true})
	f.retry = min(retryMost, max(retryFirst, 2*f.retry))
	return f.retry/2 + rand.N(f.retry/2)
}

func (f *Follower) put(ctx context.Context, d Delta) {
	for _, out := range f.Out {
		if err := out.Put(ctx, d); err != nil && ctx.Err() == nil {
			f.Log.Error("a reading was dropped, reading the whole table again", "table", f.Table, "error", err)
			f.known = false
		}
	}
}
