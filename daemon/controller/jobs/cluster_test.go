package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
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

// testCluster is a platform stand-in with VMs and the jobs duties that use it.
type testCluster struct {
	t               testing.TB
	server          *platform.Server
	table           *peerplatform.Client
	workerClient    *worker.Client
	vms             []structs.VM
	owners          []structs.Owner
	workersOverride store.Workers         // replaces workerClient in new nodes if set
	configure       func(*machine.Config) // adjusts the configuration of new nodes if set
	nodes           []*node
}

func newTestCluster(t testing.TB, vms int, faults platform.Faults) *testCluster {
	cluster := &testCluster{t: t}
	for i := range vms {
		id := fmt.Sprintf("w%02d", i)
		cluster.vms = append(cluster.vms, structs.VM{ID: id, State: structs.VMLive, Cores: 16, MemoryMB: 32000})
		cluster.owners = append(cluster.owners, structs.Owner{VM: id, Pool: "p", State: structs.OwnerActive})
	}
	cfg := platform.DefaultConfig()
	cfg.VMs, cfg.Faults = cluster.vms, faults
	cluster.server = platform.New(cfg)
	require.NoError(t, cluster.server.Start())
	cluster.table = peerplatform.New(peerplatform.Options{Addr: cluster.server.Addr(), Timeout: 2 * time.Second})
	cluster.workerClient = worker.New(worker.Options{Addr: cluster.server.Addr(), Timeout: 2 * time.Second})
	t.Cleanup(func() {
		cluster.table.Close()
		cluster.workerClient.Close()
		require.NoError(t, cluster.server.Stop(context.Background()))
	})
	return cluster
}

// node is one running jobs duty, as in one controller process.
type node struct {
	*Duty
	fleet *ring.Ring[*structs.FleetView]
	stop  context.CancelFunc
}

// node starts a duty that uses the given table.
func (cluster *testCluster) node(id string, table store.Table, lease time.Duration) *node {
	n := &node{fleet: ring.New[*structs.FleetView]("fleet", 1, ring.KeepNewest)}
	configs := ring.New[*structs.Config]("configs", 1, ring.KeepNewest)
	cfg := machine.Config{ID: id, TaskLease: lease, ScanInterval: 100 * time.Millisecond,
		UsageInterval: 100 * time.Millisecond, RetryDelay: 50 * time.Millisecond, MaxStarts: 64, MaxAttempts: 3}
	if cluster.configure != nil {
		cluster.configure(&cfg)
	}
	workers := store.Workers(cluster.workerClient)
	if cluster.workersOverride != nil {
		workers = cluster.workersOverride
	}
	d, err := New(Options{
		Machine: cfg, Timeout: 2 * time.Second, MaxConcurrentCalls: 16, Table: table, Workers: workers, Fleet: n.fleet, Configs: configs,
		Log: hclog.NewNullLogger(), Metrics: metrics.New(),
	})
	require.NoError(cluster.t, err)
	n.Duty = d
	cluster.nodes = append(cluster.nodes, n)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	n.stop = cancel
	cluster.t.Cleanup(func() { cancel(); require.NoError(cluster.t, <-ended) })
	require.NoError(cluster.t, configs.Put(ctx, &structs.Config{Generation: 1, Set: structs.ObjectSet{
		Pools: []structs.Pool{{Name: "p"}}, Teams: []structs.Team{{Name: "t"}, {Name: "few", Jobs: 2}},
	}}))
	cluster.publishFleet(n)
	return n
}

// publishFleet sends the node the present VMs and owners.
func (cluster *testCluster) publishFleet(n *node) {
	view := &structs.FleetView{VMs: cluster.vms, Owners: append([]structs.Owner(nil), cluster.owners...), ReadAt: time.Now()}
	require.NoError(cluster.t, n.fleet.Put(context.Background(), view))
}

// holdLease renews the lease of the pool for a process, as its pool keeper
// does, until the returned function is called.
func (cluster *testCluster) holdLease(id string, token uint64) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(200 * time.Millisecond)
		defer tick.Stop()
		for ctx.Err() == nil {
			value, _ := rows.EncodeLease(rows.Lease{Holder: id, Token: token, Duration: 5 * time.Second})
			_, _ = cluster.table.Commit(ctx, []store.Op{{Kind: store.OpPut, Key: store.KeyLease("p"), Value: value}})
			select {
			case <-tick.C:
			case <-ctx.Done():
			}
		}
	}()
	stop := func() { cancel(); <-ended }
	cluster.t.Cleanup(stop)
	return stop
}

func jobSpec(id string, class structs.Class, cores int, run time.Duration) structs.JobSpec {
	return structs.JobSpec{ID: id, Team: "t", Kind: "k", Class: class, Pool: "p",
		MilliCores: 1000 * cores, MemoryMB: 1000 * cores, RunTime: run, Checkpoints: true}
}

// submit repeats a submission until it succeeds.
func (n *node) submit(t testing.TB, s structs.JobSpec) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := n.SubmitJob(context.Background(), s)
		return err == nil
	}, time.Minute, 10*time.Millisecond)
}

// stateUnread is the state of a job whose row could not be read.
const stateUnread structs.JobState = "unread"

// readJob returns a job as in its row. It repeats a read that fails.
func (cluster *testCluster) readJob(id string) (j structs.Job) {
	cluster.t.Helper()
	require.Eventually(cluster.t, func() bool { j = cluster.job(id); return j.State != stateUnread }, time.Minute, 20*time.Millisecond,
		"job %s could not be read", id)
	return j
}

func (cluster *testCluster) job(id string) structs.Job {
	row, err := cluster.table.Get(context.Background(), store.KeyJob(id))
	if errors.Is(err, store.ErrNotFound) {
		return structs.Job{}
	}
	if err != nil {
		return structs.Job{State: stateUnread}
	}
	j, err := rows.DecodeJob(row.Value, row.Version)
	require.NoError(cluster.t, err)
	return j
}

func (cluster *testCluster) waitForState(id string, state structs.JobState) structs.Job {
	cluster.t.Helper()
	var j structs.Job
	inState := func() bool { j = cluster.job(id); return j.State == state }
	if !assert.Eventually(cluster.t, inState, time.Minute, 20*time.Millisecond, "job %s: want %s", id, state) {
		cluster.logJob(id)
		cluster.t.FailNow()
	}
	return j
}

// logJob logs the row of a job, its runs at the workers, and the state of all
// nodes, so that the failure of a test that depends on timing can be traced.
func (cluster *testCluster) logJob(id string) {
	cluster.t.Logf("row: %+v", cluster.job(id))
	for _, run := range cluster.server.Runs() {
		if run.Task == id {
			cluster.t.Logf("run: %+v", run)
		}
	}
	for _, n := range cluster.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		state, err := json.Marshal(n.Dump(ctx))
		cancel()
		cluster.t.Logf("node: %s (%v)", state, err)
		var values strings.Builder
		if err := n.opts.Metrics.WriteJSON(&values); err != nil {
			cluster.t.Logf("metrics: %v", err)
		}
		cluster.t.Logf("metrics: %s", values.String())
	}
}
