// Package expiry is the duty that deletes rows that are no longer needed:
// idempotency records after their retention and rows of processes that are
// gone. It deletes small batches at a bounded rate, and every deletion is
// conditional on the version that was read.
package expiry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/store"
)

// Options configures the duty.
type Options struct {
	Interval    time.Duration // between steps; one step reads one page and deletes one batch
	Page        int           // rows read in one step
	Batch       int           // rows deleted in one step
	Margin      time.Duration // records are kept this long after their expiry, for clocks that differ
	RowLifetime time.Duration // a member row unchanged for this long is dead
	Timeout     time.Duration // of one step
	Table       store.Table
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

// DefaultOptions returns the rates: 25 deletions and 100 reads per second,
// less than a tenth of what the platform sustains.
func DefaultOptions() Options {
	return Options{
		Interval: time.Second, Page: 100, Batch: 25, Margin: time.Minute,
		RowLifetime: 30 * time.Second, Timeout: 5 * time.Second,
	}
}

// Duty is the expiry duty. Its only task is this work, so it blocks on the
// platform.
type Duty struct {
	opts    Options
	after   string                  // last intent row of the page read last
	members map[string]*lease.Watch // by key of the member row
}

// New returns the duty; Run starts it.
func New(o Options) *Duty { return &Duty{opts: o, members: map[string]*lease.Watch{}} }

// Run deletes until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	tick := time.NewTicker(d.opts.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.step(ctx, time.Now())
		}
	}
}

func (d *Duty) step(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
	defer cancel()
	n, err := d.intents(ctx, now)
	d.note("intents", n, err)
	n, err = d.deadMembers(ctx, now)
	d.note("members", n, err)
}

func (d *Duty) note(kind string, n int, err error) {
	d.opts.Metrics.Counter("expiry." + kind).Inc(int64(n))
	if err != nil {
		d.opts.Log.Debug("rows not expired", "kind", kind, "error", err)
	}
}

// intents reads the next page of idempotency records and deletes those that
// have expired.
func (d *Duty) intents(ctx context.Context, now time.Time) (int, error) {
	page, err := d.opts.Table.Scan(ctx, store.PrefixIntent, d.after, d.opts.Page)
	if err != nil {
		return 0, fmt.Errorf("read intents: %w", err)
	}
	limit := now.Add(-d.opts.Margin).UnixMilli()
	var expired []store.Row
	next := ""
	for i, r := range page {
		if e := expiryOf(r); e > 0 && e < limit {
			expired = append(expired, r)
		}
		full := len(expired) == d.opts.Batch
		if full || (i == len(page)-1 && len(page) == d.opts.Page) {
			next = r.Key // the next step goes on here; otherwise it starts again
		}
		if full {
			break
		}
	}
	d.after = next
	return d.remove(ctx, expired)
}

// expiryOf returns the time in Unix milliseconds after which the row is not
// needed, or 0 if it says none.
func expiryOf(r store.Row) int64 {
	var v struct{ Expires int64 }
	if json.Unmarshal(r.Value, &v) != nil {
		return 0
	}
	return v.Expires
}

// deadMembers deletes member rows that have not changed for their lifetime by
// this process's own clock.
func (d *Duty) deadMembers(ctx context.Context, now time.Time) (int, error) {
	rows, err := store.ScanAll(ctx, d.opts.Table, store.PrefixMember)
	if err != nil {
		return 0, fmt.Errorf("read members: %w", err)
	}
	seen := make(map[string]*lease.Watch, len(rows))
	var dead []store.Row
	for _, r := range rows {
		w := d.members[r.Key]
		if w == nil {
			w = &lease.Watch{}
		}
		w.Observe(r.Version, now)
		seen[r.Key] = w
		if w.Unchanged(now) > 2*d.opts.RowLifetime && len(dead) < d.opts.Batch {
			dead = append(dead, r)
		}
	}
	d.members = seen
	return d.remove(ctx, dead)
}

// remove deletes the rows. If one of them has changed meanwhile, the others
// are deleted without it.
func (d *Duty) remove(ctx context.Context, rows []store.Row) (int, error) {
	var ops []store.Op
	for _, r := range rows {
		ops = append(ops, store.Op{Kind: store.OpDelete, Key: r.Key, Expect: r.Version})
	}
	if len(ops) == 0 {
		return 0, nil
	}
	_, err := d.opts.Table.Commit(ctx, ops)
	conflict := new(store.ConflictError)
	if errors.As(err, &conflict) {
		changed := map[string]bool{}
		for _, k := range conflict.Keys {
			changed[k] = true
		}
		var rest []store.Op
		for _, op := range ops {
			if !changed[op.Key] {
				rest = append(rest, op)
			}
		}
		if ops = rest; len(ops) == 0 {
			return 0, nil
		}
		_, err = d.opts.Table.Commit(ctx, ops)
	}
	if err != nil {
		return 0, fmt.Errorf("delete %d rows: %w", len(ops), err)
	}
	return len(ops), nil
}
