package fleet

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/fleet"
	"github.com/carobwharf/carobwharf/store"
)

// conflictTable is a store.Table in which every row exists.
type conflictTable struct{ store.Table }

func (conflictTable) Commit(_ context.Context, ops []store.Op) ([]uint64, error) {
	return nil, &store.ConflictError{Keys: []string{ops[0].Key}}
}

// The status "running" of a wave whose row exists, because an earlier write without an
// answer or one of the former owner stored it, must count as stored.
func TestStatusThatIsStoredAlreadyIsNotWrittenAgain(t *testing.T) {
	d := New(Options{Table: conflictTable{}, Log: hclog.NewNullLogger(), WaveStatus: func(int, bool) store.Op { return store.Op{Key: "wave"} }})
	d.execute(context.Background(), fleet.StoreWaveStatus{Wave: 1})
	require.Equal(t, fleet.WaveStatusStored{Wave: 1, OK: true}, <-d.results.C())
	d.execute(context.Background(), fleet.StoreWaveStatus{Wave: 1, Done: true})
	require.Equal(t, fleet.WaveStatusStored{Wave: 1, Done: true}, <-d.results.C())
}
