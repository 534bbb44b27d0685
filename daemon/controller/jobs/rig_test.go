package jobs

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
	"github.com/carobwharf/carobwharf/metrics"
	peerplatform "github.com/carobwharf/carobwharf/peer/platform"
	"github.com/carobwharf/carobwharf/peer/worker"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// rig is a platform stand-in with some VMs and duties on it.
type rig struct {
	t      testing.TB
	server *platform.Server
	table  *peerplatform.Client
	work   *worker.Client
	vms    []structs.VM
	owners []structs.Owner
	wrap   store.Workers         // used by new nodes if set
	tune   func(*machine.Config) // changes the configuration of new nodes
}

func newRig(t testing.TB, vms int, faults platform.Faults) *rig {
	r := &rig{t: t}
	for i := range vms {
		id := fmt.Sprintf("w%02d", i)
		r.vms = append(r.vms, structs.VM{ID: id, State: structs.VMLive, Cores: 16, MemoryMB: 32000})
		r.owners = append(r.owners, structs.Owner{VM: id, Pool: "p", State: structs.OwnerActive})
	}
	cfg := platform.DefaultConfig()
	cfg.VMs, cfg.Faults = r.vms, faults
	r.server = platform.New(cfg)
	require.NoError(t, r.server.Start())
	r.table = peerplatform.New(peerplatform.Options{Addr: r.server.Addr(), Timeout: 2 * time.Second})
	r.work = worker.New(worker.Options{Addr: r.server.Addr(), Timeout: 2 * time.Second})
	t.Cleanup(func() {
		r.table.Close()
		r.work.Close()
		require.NoError(t, r.server.Stop(context.Background()))
	})
	return r
}

// node is one duty with a table and workers of its own, which may be wrapped.
type node struct {
	*Duty
	fleet *ring.Ring[*structs.FleetView]
	stop  context.CancelFunc
}

func (r *rig) node(id string, table store.Table, lease time.Duration) *node {
	n := &node{fleet: ring.New[*structs.FleetView]("fleet", 1, ring.KeepNewest)}
	configs := ring.New[*structs.Config]("configs", 1, ring.KeepNewest)
	cfg := machine.Config{ID: id, Lease: lease, ScanEvery: 100 * time.Millisecond,
		Usage: 100 * time.Millisecond, Retry: 50 * time.Millisecond, Starts: 64, Attempts: 3}
	if r.tune != nil {
		r.tune(&cfg)
	}
	workers := store.Workers(r.work)
	if r.wrap != nil {
		workers = r.wrap
	}
	d, err := New(Options{
		Machine: cfg, Timeout: 2 * time.Second, Calls: 16, Table: table, Workers: workers, Fleet: n.fleet, Configs: configs,
		Log: hclog.NewNullLogger(), Metrics: metrics.New(),
	})
	require.NoError(r.t, err)
	n.Duty = d
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	n.stop = cancel
	r.t.Cleanup(func() { cancel(); require.NoError(r.t, <-ended) })
	require.NoError(r.t, configs.Put(ctx, &structs.Config{Generation: 1, Set: structs.ObjectSet{
		Pools: []structs.Pool{{Name: "p"}}, Teams: []structs.Team{{Name: "t"}, {Name: "few", Jobs: 2}},
	}}))
	r.show(n)
	return n
}

func (r *rig) show(n *node) {
	view := &structs.FleetView{VMs: r.vms, Owners: append([]structs.Owner(nil), r.owners...), ReadAt: time.Now()}
	require.NoError(r.t, n.fleet.Put(context.Background(), view))
}

// hold writes the lease of the pool, as the pool keeper does, until the
// returned function is called.
func (r *rig) hold(id string, token uint64) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for ctx.Err() == nil {
			value, _ := rows.EncodeLease(rows.Lease{Holder: id, Token: token, Duration: 5 * time.Second})
			_, _ = r.table.Commit(ctx, []store.Op{{Kind: store.OpPut, Key: store.KeyLease("p"), Value: value}})
			select {
			case <-tick.C:
			case <-ctx.Done():
			}
		}
	}()
	stop := func() { cancel(); <-ended }
	r.t.Cleanup(stop)
	return stop
}

func spec(id string, class structs.Class, cores int, run time.Duration) structs.JobSpec {
	return structs.JobSpec{ID: id, Team: "t", Kind: "k", Class: class, Pool: "p",
		MilliCores: 1000 * cores, MemoryMB: 1000 * cores, RunTime: run, Checkpoints: true}
}

// submit repeats a submission until its result is known.
func (n *node) submit(t testing.TB, s structs.JobSpec) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := n.SubmitJob(context.Background(), s)
		return err == nil
	}, time.Minute, 10*time.Millisecond)
}

func (r *rig) job(id string) structs.Job {
	row, err := r.table.Get(context.Background(), store.KeyJob(id))
	if errors.Is(err, store.ErrNotFound) {
		return structs.Job{}
	}
	if err != nil {
		return structs.Job{State: "unread"}
	}
	j, err := rows.DecodeJob(row.Value, row.Version)
	require.NoError(r.t, err)
	return j
}

func (r *rig) wait(id string, state structs.JobState) structs.Job {
	r.t.Helper()
	var j structs.Job
	require.Eventually(r.t, func() bool { j = r.job(id); return j.State == state }, time.Minute, 20*time.Millisecond,
		"job %s: want %s", id, state)
	return j
}
