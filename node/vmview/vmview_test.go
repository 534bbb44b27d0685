package vmview

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/internal/storetest"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

func newDuty(f *storetest.Fake) (*Duty, *ring.Ring[*structs.FleetView]) {
	out := ring.New[*structs.FleetView]("fleet", 1, ring.KeepNewest)
	return New(Options{
		PollInterval: time.Millisecond, Timeout: time.Second, Table: f, VMs: f,
		Subscribers: []*ring.Ring[*structs.FleetView]{out},
		Log:         hclog.NewNullLogger(), Metrics: metrics.New(),
	}), out
}

// An outage of the platform must not empty the view, because gateways continue
// to send idempotent work to the VMs that they know. A row that cannot be decoded
// must not hide the others.
func TestOutageAndUndecodableRowKeepView(t *testing.T) {
	ctx := context.Background()
	f := storetest.New(1)
	f.AddVM(structs.VM{ID: "b"})
	f.AddVM(structs.VM{ID: "a"})
	_, err := f.Commit(ctx, []store.Op{
		{Kind: store.OpInsert, Key: store.KeyVM("a"), Value: []byte(`{"VM":"a","Pool":"p","State":"active","Epoch":3}`)},
		{Kind: store.OpInsert, Key: store.KeyVM("b"), Value: []byte(`{`)},
	})
	require.NoError(t, err)
	d, out := newDuty(f)
	d.poll(ctx)
	view := <-out.C()
	require.Equal(t, []structs.VM{{ID: "a"}, {ID: "b"}}, view.VMs)
	require.Equal(t, []structs.Owner{{VM: "a", Pool: "p", State: structs.OwnerActive, Epoch: 3, Version: 1}}, view.Owners)

	f.SetFaults(storetest.Faults{Outage: true})
	d.poll(ctx)
	require.Zero(t, out.Stats().Depth, "a view was published during an outage")
	require.Same(t, view, d.Dump(ctx))

	f.SetFaults(storetest.Faults{})
	d.poll(ctx)
	require.Equal(t, uint64(2), (<-out.C()).Version)
}

// A gateway must not learn of a VM before its own member row is written.
// Otherwise a drain of that VM would not wait for the gateway.
func TestFirstReadWaitsForRegistration(t *testing.T) {
	d, out := newDuty(storetest.New(1))
	registered := make(chan struct{})
	d.opts.StartAfter = registered
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	time.Sleep(20 * time.Millisecond) // 20 polls
	require.Zero(t, out.Stats().Accepted)
	close(registered)
	<-out.C()
	cancel()
	require.NoError(t, <-done)
}
