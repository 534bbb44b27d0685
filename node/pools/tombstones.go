package pools

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/intake"
	"github.com/carobwharf/carobwharf/internal/guard"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// Removal of tombstones by a pool's owner.
const (
	// tombstoneRemovalInterval is the minimum time between two transactions.
	tombstoneRemovalInterval = 500 * time.Millisecond
	// maxTombstoneRemovals is the maximum number of tombstones in one transaction. The
	// platform allows 100 entries, of which each takes two.
	maxTombstoneRemovals = 40
	// tombstoneRemovalTimeout is the timeout of a transaction.
	tombstoneRemovalTimeout = 3 * time.Second
)

// tombstonesRemoved is the result of a transaction that removes tombstones.
type tombstonesRemoved struct {
	pool   string
	token  uint64
	stones []intake.Tombstone
	err    error
}

// recordTombstone records a change of a cancellation's row if that row is a tombstone for
// a queue of the pool.
func (d *Duty) recordTombstone(p *pool, c workChange) {
	if c.Removed {
		p.tombstones.Remove(c.Key)
		return
	}
	queue := c.cancelled.Queue
	if !p.queues[queue] && !slices.Contains(p.FormerControl.Queues, queue) {
		return
	}
	cancellation, err := rows.DecodeCancellation(c.Value)
	if err != nil {
		d.Log.Warn("can't decode cancellation", "row", c.Key, "error", err)
		return
	}
	if cancellation.Unsubmitted {
		p.tombstones.Add(d.now(), intake.Tombstone{Key: c.Key, Version: c.Version})
	}
}

// removeTombstones starts a transaction that removes tombstones at the end of their
// lifetime, if one is due. Its result is posted as tombstonesRemoved.
func (d *Duty) removeTombstones(ctx context.Context, now time.Time, p *pool) {
	if p.removing || now.Before(p.removeAt) {
		return
	}
	p.removeAt = now.Add(tombstoneRemovalInterval)
	expired := p.tombstones.Expired(now, maxTombstoneRemovals, store.WorkPart)
	if len(expired) == 0 {
		return
	}
	p.removing = true
	result := tombstonesRemoved{pool: p.Name, token: p.Control.Token, stones: expired}
	ops := make([]store.Op, len(expired))
	for i, s := range expired {
		ops[i] = store.Op{Kind: store.OpDelete, Key: s.Key, Expect: s.Version}
	}
	d.storePool.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, tombstoneRemovalTimeout)
		defer cancel()
		result.err = guard.Call(d.Log, "remove tombstones", errCallPanicked, func() error {
			_, err := d.Table.Commit(callCtx, ops)
			return err
		})
		d.postResult(ctx, result)
	})
}

func (d *Duty) handleTombstonesRemoved(result tombstonesRemoved) {
	p := d.pools[result.pool]
	p.removing = false
	if p.Control.Token != result.token {
		return
	}
	var conflict *store.ConflictError
	if result.err != nil && !errors.As(result.err, &conflict) {
		d.Log.Info("tombstones can't be removed", "pool", p.Name, "count", len(result.stones), "error", result.err)
		return
	}
	for _, s := range result.stones {
		// After a conflict the other tombstones are removed by the next transaction.
		if conflict == nil || slices.Contains(conflict.Keys, s.Key) {
			p.tombstones.Forget(s)
		}
	}
	if conflict == nil {
		d.Metrics.Counter("pools.tombstones_removed").Inc(int64(len(result.stones)))
	}
}
