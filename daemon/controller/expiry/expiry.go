// Package expiry implements the duty that deletes rows which are no longer
// needed: idempotency records (intent rows) after their expiry, and member rows
// of processes that no longer run. It deletes small batches at a bounded rate,
// and every deletion is conditional on the version that was read.
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
	Interval    time.Duration // interval between steps
	PageSize    int           // maximum number of intent rows read in one step
	BatchSize   int           // maximum number of rows of each kind deleted in one step
	ClockMargin time.Duration // how long intent rows are kept after their expiry, to allow for clock differences
	RowLifetime time.Duration // member rows unchanged for twice this time are deleted
	Timeout     time.Duration // timeout of one step
	Table       store.Table
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

// DefaultOptions returns the default rates: 25 deletions and 100 reads of
// intent rows per second, less than a tenth of what the platform sustains.
func DefaultOptions() Options {
	return Options{
		Interval: time.Second, PageSize: 100, BatchSize: 25, ClockMargin: time.Minute,
		RowLifetime: 30 * time.Second, Timeout: 5 * time.Second,
	}
}

// Duty is the expiry duty. It has no other work, so it makes blocking calls to
// the platform.
type Duty struct {
	opts          Options
	cursor        string                  // key after which the next step reads intent rows
	memberWatches map[string]*lease.Watch // by key of the member row
}

// New returns the duty; Run starts it.
func New(o Options) *Duty { return &Duty{opts: o, memberWatches: map[string]*lease.Watch{}} }

// Run deletes expired rows until ctx ends.
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
	n, err := d.deleteExpiredIntents(ctx, now)
	d.recordResult("intents", n, err)
	n, err = d.deleteDeadMembers(ctx, now)
	d.recordResult("members", n, err)
}

// recordResult counts the deleted rows of a kind and logs a failure.
func (d *Duty) recordResult(kind string, n int, err error) {
	d.opts.Metrics.Counter("expiry." + kind).Inc(int64(n))
	if err != nil {
		d.opts.Log.Debug("failed to delete expired rows", "kind", kind, "error", err)
	}
}

// deleteExpiredIntents reads the next page of intent rows and deletes those
// that have expired.
func (d *Duty) deleteExpiredIntents(ctx context.Context, now time.Time) (int, error) {
	page, err := d.opts.Table.Scan(ctx, store.PrefixIntent, d.cursor, d.opts.PageSize)
	if err != nil {
		return 0, fmt.Errorf("read intent rows: %w", err)
	}
	cutoff := now.Add(-d.opts.ClockMargin).UnixMilli()
	var expired []store.Row
	next := ""
	for i, r := range page {
		if e := expiryMillis(r); e > 0 && e < cutoff {
			expired = append(expired, r)
		}
		full := len(expired) == d.opts.BatchSize
		if full || (i == len(page)-1 && len(page) == d.opts.PageSize) {
			next = r.Key // the next step continues after this row; without it, from the start
		}
		if full {
			break
		}
	}
	d.cursor = next
	return d.deleteRows(ctx, expired)
}

// expiryMillis returns the expiry of a row in Unix milliseconds, or 0 if it has
// none.
func expiryMillis(r store.Row) int64 {
	var v struct{ Expires int64 }
	if json.Unmarshal(r.Value, &v) != nil {
		return 0
	}
	return v.Expires
}

// deleteDeadMembers deletes member rows that have not changed for twice their
// lifetime, measured with this process's own clock.
func (d *Duty) deleteDeadMembers(ctx context.Context, now time.Time) (int, error) {
	rows, err := store.ScanAll(ctx, d.opts.Table, store.PrefixMember)
	if err != nil {
		return 0, fmt.Errorf("read member rows: %w", err)
	}
	watches := make(map[string]*lease.Watch, len(rows))
	var dead []store.Row
	for _, r := range rows {
		w := d.memberWatches[r.Key]
		if w == nil {
			w = &lease.Watch{}
		}
		w.Observe(r.Version, now)
		watches[r.Key] = w
		if w.Unchanged(now) > 2*d.opts.RowLifetime && len(dead) < d.opts.BatchSize {
			dead = append(dead, r)
		}
	}
	d.memberWatches = watches
	return d.deleteRows(ctx, dead)
}

// deleteRows deletes the rows and returns their number. If some of them have
// changed since they were read, only the others are deleted.
func (d *Duty) deleteRows(ctx context.Context, rows []store.Row) (int, error) {
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
