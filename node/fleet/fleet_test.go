package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/fleet"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/holder"
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

// storedTable is a store.Table in which each write succeeds.
type storedTable struct{ store.Table }

func (storedTable) Commit(_ context.Context, ops []store.Op) ([]uint64, error) {
	return make([]uint64, len(ops)), nil
}

// movedMachines is a Service that counts moves.
type movedMachines struct {
	Service
	moves int
}

func (m *movedMachines) Move(context.Context, uint64, string, string) error {
	m.moves++
	return nil
}

// A process that is paused between the decision on an order and its sending must not
// send it after the end of its lease: where tokens are not checked, nothing else keeps
// the order from ending the runs on a machine that a successor has given to a pool.
func TestOrderIsNotSentAfterLease(t *testing.T) {
	service := &movedMachines{}
	d := New(Options{Self: "n1", Service: service, Log: hclog.NewNullLogger(), Metrics: metrics.New()})
	move := func() fleet.OrderResult {
		d.execute(context.Background(), fleet.MoveMachine{Machine: "m1", Pool: "p"})
		return (<-d.results.C()).(fleet.OrderResult)
	}
	claim := func(requested time.Time) {
		view := &board.View{LeasesReadAt: requested}
		w := d.holder.Claim(requested, view)
		require.Equal(t, holder.Acquired, d.holder.HandleResult(requested, holder.Commit(context.Background(), storedTable{}, w)))
	}
	claim(steady.Now().Add(-time.Minute))
	require.Equal(t, fleet.Unreached, move().Result)
	require.Zero(t, service.moves)

	d.holder.Drop(steady.Now())
	require.Equal(t, fleet.Unreached, move().Result, "the lease is not held")

	d.holder = holder.New(store.ControlFleet, "n1", 1, hclog.NewNullLogger())
	claim(steady.Now())
	require.Equal(t, fleet.Done, move().Result)
	require.Equal(t, 1, service.moves)
}

// The starts of peaks are stored by the time of day, which may jump. A start in the
// future must not make a forecast.
func TestPeaksSurviveAChangeOfTheHolder(t *testing.T) {
	wall := time.UnixMilli(1_700_000_000_000)
	records := map[string]fleet.PeakRecord{"p": {Ages: []time.Duration{20 * time.Second, 4 * time.Second}, InPeak: true, Size: 30, BaseSize: 12}}
	stored := encodePeaks(wall, records)
	later := decodePeaks(wall.Add(2*time.Second), stored)["p"]
	require.Equal(t, fleet.PeakRecord{Ages: []time.Duration{22 * time.Second, 6 * time.Second}, InPeak: true, Size: 30, BaseSize: 12}, later)
	require.Len(t, decodePeaks(wall.Add(-10*time.Second), stored)["p"].Ages, 1)
}

// Orders of an earlier process of this VM can't come late, those of this process can.
func TestOnlyAnEarlierProcessOfThisVMHasEnded(t *testing.T) {
	d := New(Options{Self: "n1", Log: hclog.NewNullLogger(), Metrics: metrics.New()})
	d.holder.FormerControl.Holder = "n2"
	require.False(t, d.formerHolder().ProcessEnded)
	d.holder.FormerControl.Holder = "n1"
	require.True(t, d.formerHolder().ProcessEnded)
	d.heldBefore = true
	require.False(t, d.formerHolder().ProcessEnded)
}
