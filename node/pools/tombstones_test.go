package pools

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/intake"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// removalTable records transactions and answers them with err.
type removalTable struct {
	store.Table
	ops []store.Op
	err error
}

func (r *removalTable) Commit(_ context.Context, ops []store.Op) ([]uint64, error) {
	r.ops = ops
	return make([]uint64, len(ops)), r.err
}

func tombstoneRow(t *testing.T, queue, id string, version uint64) store.Change {
	value, err := rows.EncodeCancellation(rows.Cancellation{Unsubmitted: true})
	require.NoError(t, err)
	return store.Change{Row: store.Row{Key: store.KeyWorkCancel(workload.JobKey{Queue: queue, ID: id}), Version: version, Value: value}}
}

// Tombstones that nobody removes fill the store. The owner of the queue's pool removes
// them at the end of their lifetime and not earlier, only the version that it has read,
// and no cancellation of a stored job.
func TestOwnerRemovesTombstonesAtTheEndOfTheirLifetime(t *testing.T) {
	d, table := newDuty(), &removalTable{}
	d.Table = table
	p := d.addPool("p")
	queue := workload.QueueKey("h", "/a/")
	p.queues[queue] = true
	stone := tombstoneRow(t, queue, "id", 7)
	d.addWorkEvent(p, stone, nil)
	d.addWorkEvent(p, tombstoneRow(t, workload.QueueKey("h", "/other/"), "id", 8), nil)
	d.addWorkEvent(p, store.Change{Row: store.Row{Key: store.KeyWorkCancel(workload.JobKey{Queue: queue, ID: "job"}), Version: 9, Value: []byte("{}")}}, nil)
	require.Equal(t, 1, p.tombstones.Len())

	now := d.now()
	d.removeTombstones(context.Background(), now.Add(intake.TombstoneLifetime-time.Second), p)
	require.False(t, p.removing)
	now = now.Add(intake.TombstoneLifetime)
	remove := func(err error) {
		table.err = err
		now = now.Add(tombstoneRemovalInterval)
		d.removeTombstones(context.Background(), now, p)
		require.True(t, p.removing)
		d.handleResult(<-d.results.C())
	}
	remove(store.ErrUnknown)
	require.Equal(t, []store.Op{{Kind: store.OpDelete, Key: stone.Key, Expect: 7}}, table.ops)
	require.Equal(t, 1, p.tombstones.Len(), "repeated after an unknown outcome")
	remove(&store.ConflictError{Keys: []string{stone.Key}})
	require.Zero(t, p.tombstones.Len(), "written again or removed by another owner")

	d.addWorkEvent(p, tombstoneRow(t, queue, "id", 10), nil)
	remove(nil)
	require.Zero(t, p.tombstones.Len())
	require.Equal(t, int64(1), d.Metrics.Counter("pools.tombstones_removed").Count())
}
