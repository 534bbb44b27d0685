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

func newTestDuty(version *uint64) *Duty {
	return New(Options{Log: hclog.NewNullLogger(), Operator: OperatorDecoder{
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

// Guards against counting an outage of the store as missing renewals: all leases
// seemed to have expired after it, and each pool moved from a live owner to
// another.
func TestLeaseObservationRestartsAfterOutage(t *testing.T) {
	d := newTestDuty(nil)
	d.handleDelta(leaseDelta(t, 1))
	l := d.view.Leases["p"]
	l.Since = l.Since.Add(-time.Hour)
	d.view.Leases["p"] = l
	require.True(t, d.handleDelta(follow.Delta{Table: store.TableControl, Failed: true}))
	require.False(t, d.view.FailingSince.IsZero())
	d.handleDelta(follow.Delta{Table: store.TableControl, Sent: steady.Now()})
	require.True(t, d.view.FailingSince.IsZero())
	require.WithinDuration(t, steady.Now(), d.view.Leases["p"].Since, time.Minute)
}

// A delta that arrives late must not replace the configuration by an earlier one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	version := uint64(7)
	d := newTestDuty(&version)
	change := follow.Delta{Table: "op", Changes: []store.Change{{Row: store.Row{Key: "op//config"}}}}
	d.handleDelta(change)
	version = 5
	d.handleDelta(change)
	require.Equal(t, uint64(7), d.view.Configuration.Version)
}

// Guards against changes that the store's feed omits without an error: for a second
// new submissions and machines went unnoticed. Lease rows reveal it, since they
// change all the time.
func TestMissedChangesAreCounted(t *testing.T) {
	d := newTestDuty(nil)
	first := leaseDelta(t, 1)
	first.Reset = true
	d.handleDelta(first)
	require.Zero(t, d.view.MissedChanges)
	d.handleDelta(leaseDelta(t, 2))
	same := leaseDelta(t, 2)
	same.Reset = true
	d.handleDelta(same)
	require.Zero(t, d.view.MissedChanges)
	later := leaseDelta(t, 5)
	later.Reset = true
	d.handleDelta(later)
	require.Equal(t, 1, d.view.MissedChanges)
}

// A lease whose row is missing in a full read must not count as held.
func TestFullReadRemovesMissingRows(t *testing.T) {
	d := newTestDuty(nil)
	d.handleDelta(leaseDelta(t, 1))
	d.handleDelta(follow.Delta{Table: store.TableControl, Reset: true, Sent: steady.Now()})
	require.Empty(t, d.view.Leases)
}

// While a part of the store was away, and with it the lease rows, requests were refused
// that the rest of the store could have taken.
func TestStoreFailsOnlyIfAllReadsFail(t *testing.T) {
	d := New(Options{Log: hclog.NewNullLogger()})
	d.handleDelta(follow.Delta{Table: store.TableControl, Failed: true})
	require.True(t, d.view.StoreFailingSince().IsZero())
	d.handleDelta(follow.Delta{Table: "op", Failed: true})
	since := d.view.StoreFailingSince()
	require.False(t, since.IsZero())
	d.handleDelta(follow.Delta{Table: "op", Failed: true})
	require.Equal(t, since, d.view.StoreFailingSince())
	d.handleDelta(follow.Delta{Table: "op"})
	require.True(t, d.view.StoreFailingSince().IsZero())
}
