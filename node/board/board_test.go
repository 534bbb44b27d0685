package board

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

func newBoard(version *uint64) *Board {
	return New(Options{Log: hclog.NewNullLogger(), Operator: Operator{
		Configuration: func(string, []byte) (*workload.Configuration, bool, error) {
			return &workload.Configuration{Version: *version}, true, nil
		},
	}})
}

func leaseDelta(t *testing.T, version uint64) follow.Delta {
	value, err := rows.EncodeControl(rows.Control{Lease: rows.Lease{Holder: "a", Token: 1}})
	require.NoError(t, err)
	row := store.Row{Key: store.KeyControl("p"), Version: version, Value: value}
	return follow.Delta{Table: store.TableControl, Changes: []store.Change{{Row: row}}, Sent: steady.Now()}
}

// After an outage of the store all leases looked silent, and each pool changed
// its owner though the owner lived.
func TestLeasesAreObservedAnewAfterAnOutage(t *testing.T) {
	b := newBoard(nil)
	b.take(leaseDelta(t, 1))
	l := b.view.Leases["p"]
	l.Since = l.Since.Add(-time.Hour)
	b.view.Leases["p"] = l
	require.True(t, b.take(follow.Delta{Table: store.TableControl, Failing: true}))
	require.False(t, b.view.Failing.IsZero())
	b.take(follow.Delta{Table: store.TableControl, Sent: steady.Now()})
	require.True(t, b.view.Failing.IsZero())
	require.WithinDuration(t, steady.Now(), b.view.Leases["p"].Since, time.Minute)
}

// A reading that arrives late must not bring an earlier configuration back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	version := uint64(7)
	b := newBoard(&version)
	change := follow.Delta{Table: "op", Changes: []store.Change{{Row: store.Row{Key: "op//config"}}}}
	b.take(change)
	version = 5
	b.take(change)
	require.Equal(t, uint64(7), b.view.Configuration.Version)
}

// While the store's watches were deaf for a second, submissions and machines that
// joined were not noticed; the lease rows show it, since they change all the time.
func TestUntoldChangesAreNoticed(t *testing.T) {
	b := newBoard(nil)
	first := leaseDelta(t, 1)
	first.Reset = true
	b.take(first)
	require.Zero(t, b.view.Missed)
	b.take(leaseDelta(t, 2))
	same := leaseDelta(t, 2)
	same.Reset = true
	b.take(same)
	require.Zero(t, b.view.Missed)
	later := leaseDelta(t, 5)
	later.Reset = true
	b.take(later)
	require.Equal(t, 1, b.view.Missed)
}

// A lease row that is gone must not be taken for a held one.
func TestWholeReadingDropsRows(t *testing.T) {
	b := newBoard(nil)
	b.take(leaseDelta(t, 1))
	b.take(follow.Delta{Table: store.TableControl, Reset: true, Sent: steady.Now()})
	require.Empty(t, b.view.Leases)
}
