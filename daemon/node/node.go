// Package node assembles the process that runs on the users' platform. It accepts
// jobs, owns pools, and can own the fleet: it then moves machines between pools
// and starts their upkeep.
package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/fleet"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/logging"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/board"
	nodefleet "github.com/carobwharf/carobwharf/node/fleet"
	"github.com/carobwharf/carobwharf/node/follow"
	nodeintake "github.com/carobwharf/carobwharf/node/intake"
	"github.com/carobwharf/carobwharf/node/pools"
	"github.com/carobwharf/carobwharf/platform/caller"
	platformfleet "github.com/carobwharf/carobwharf/platform/fleet"
	"github.com/carobwharf/carobwharf/platform/operator"
	"github.com/carobwharf/carobwharf/platform/policy"
	platformstore "github.com/carobwharf/carobwharf/platform/store"
	"github.com/carobwharf/carobwharf/platform/worker"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// Limits of calls to the platform and to workers.
const (
	storeTimeout        = time.Second // of one call; the store typically replies in about 10 ms
	maxStoreConnections = 48
	workerTimeout       = 600 * time.Millisecond // of one call to a worker
	fleetTimeout        = time.Second            // of one call to the machine service
)

// Poll timing of the followers of the store's tables.
const (
	// defaultPollWait is how long the store may delay the reply to a read without
	// changes. A dead connection is detected after this time plus the adapter's
	// margin.
	defaultPollWait = 800 * time.Millisecond
	// busyTablePollWait replaces defaultPollWait for tables that change constantly
	// under peak load, so that a read that receives nothing ends sooner.
	busyTablePollWait = 400 * time.Millisecond
	// leaseRereadAfter is the time without changes after which the lease rows are
	// read in full. The rows are renewed three times a second.
	leaseRereadAfter = 600 * time.Millisecond
	// leasePollInterval lets one read return the renewals of several leases.
	leasePollInterval = 120 * time.Millisecond
	// operatorPollInterval lets one read return several configuration changes in
	// quick succession.
	operatorPollInterval = 50 * time.Millisecond
	// workPollInterval lets one read return submissions that arrive together.
	workPollInterval = 15 * time.Millisecond
	// registrationPollInterval lets one read return the heartbeats of several
	// workers.
	registrationPollInterval = 100 * time.Millisecond
)

// Timing of the shutdown.
const (
	// leaveDuration is how long a leaving process continues to serve, because the
	// load balancer needs two checks, one second apart, to stop sending callers.
	leaveDuration = 2500 * time.Millisecond
	// dutyStopTimeout is the timeout for stopping the duties.
	dutyStopTimeout = 1500 * time.Millisecond
)

// Node is the process on one VM.
type Node struct {
	settings   settings.Node
	log        hclog.Logger
	supervisor *duty.Supervisor
	poolsDuty  *pools.Duty
	fleetDuty  *nodefleet.Duty // nil without a fleet service
	callers    *caller.Server
	store      *platformstore.Client
	ready      atomic.Bool // has a configuration and reaches the store
	stopping   atomic.Bool
}

// Options configures New.
type Options struct {
	Settings  settings.Node
	Log       hclog.Logger
	LogWriter *logging.Writer // the writer behind Log; nil if Log has another output
	Metrics   *metrics.Registry
	Version   any // shown at the admin address
}

// New creates the process and opens its listeners.
func New(o Options) (*Node, error) {
	n := &Node{settings: o.Settings, log: o.Log, supervisor: duty.NewSupervisor()}
	logger := func(name string) hclog.Logger { return logging.For(o.Log, name) }
	n.store = platformstore.New(platformstore.Options{
		Addr: o.Settings.Store, Timeout: storeTimeout, MaxConnections: maxStoreConnections,
	})
	followerEnabled := map[string]*ring.Ring[bool]{
		store.TableWork: ring.New[bool]("follow-work", 1, ring.KeepNewest),
		worker.Table:    ring.New[bool]("follow-workers", 1, ring.KeepNewest),
	}
	var placementPolicy pools.Policy
	if o.Settings.Policy != "" {
		placementPolicy = policy.New(o.Settings.Policy, pools.AdviceTimeout)
	}
	intake := nodeintake.New(nodeintake.Options{Table: n.store, Log: logger("intake"), Metrics: o.Metrics})
	n.poolsDuty = pools.New(pools.Options{
		Self: o.Settings.ID, Bounds: o.Settings.Bounds, CPUShare: o.Settings.CPUShare,
		Table: n.store, Feed: n.store, Policy: placementPolicy,
		Dial:   func(id, addr string) pools.Worker { return worker.New(id, addr, workerTimeout) },
		Decode: worker.Decode, FollowersEnabled: followerEnabled, Log: logger("pools"), Metrics: o.Metrics,
	})
	loadFollowerEnabled := ring.New[bool]("follow-loads", 1, ring.KeepNewest)
	viewRings := []*ring.Ring[*board.View]{intake.Views, n.poolsDuty.Views}
	if o.Settings.Fleet != "" {
		n.fleetDuty = nodefleet.New(nodefleet.Options{
			Self: o.Settings.ID, Bounds: o.Settings.Bounds, CPUShare: o.Settings.CPUShare, Table: n.store,
			Service:         platformfleet.New(o.Settings.Fleet, o.Settings.ID, fleetTimeout),
			FollowerEnabled: loadFollowerEnabled, ClassifyRefusal: classifyFleetRefusal, WaveStatus: waveStatusOp, Log: logger("fleet"), Metrics: o.Metrics,
		})
		viewRings = append(viewRings, n.fleetDuty.Views)
	}
	readinessViews := ring.New[*board.View]("readiness-views", 1, ring.KeepNewest)
	viewRings = append(viewRings, readinessViews)
	viewBoard := board.New(board.Options{
		Operator: board.OperatorDecoder{Configuration: decodeConfiguration, Wave: decodeWave},
		Out:      viewRings,
		Log:      logger("board"),
	})
	var err error
	if n.callers, err = caller.Listen(o.Settings.CallerListen, intake, logger("callers")); err != nil {
		return nil, err
	}
	readyServer, err := caller.ListenReady(o.Settings.ReadyListen, func() bool { return n.ready.Load() && !n.stopping.Load() })
	if err != nil {
		return nil, err
	}
	addFollower := func(f follow.Options) {
		f.Feed, f.Log = n.store, logger("follow")
		n.supervisor.Add(duty.Duty{Name: "follow-" + f.Table, Run: follow.New(f).Run})
	}
	unpartitioned := []string{""}
	if o.LogWriter != nil {
		n.supervisor.Add(duty.Duty{Name: "log", Run: o.LogWriter.Run})
	}
	n.supervisor.Add(duty.Duty{Name: "readiness-state", Run: func(ctx context.Context) error { return n.watchReadiness(ctx, readinessViews) }})
	n.supervisor.Add(duty.Duty{Name: "ready", Run: readyServer.Run})
	if err := n.addAdmin(o); err != nil {
		return nil, err
	}
	n.supervisor.Add(duty.Duty{Name: "intake", Run: intake.Run, Dump: intake.Dump})
	n.supervisor.Add(duty.Duty{Name: "callers", Run: n.callers.Run})
	n.supervisor.Add(duty.Duty{Name: "pools", Run: n.poolsDuty.Run, Dump: n.poolsDuty.Dump})
	if n.fleetDuty != nil {
		n.supervisor.Add(duty.Duty{Name: "fleet", Run: n.fleetDuty.Run, Dump: n.fleetDuty.Dump})
	}
	n.supervisor.Add(duty.Duty{Name: "board", Run: viewBoard.Run})
	toBoard, toPools := []*ring.Ring[follow.Delta]{viewBoard.In}, []*ring.Ring[follow.Delta]{n.poolsDuty.Deltas}
	addFollower(follow.Options{Table: operator.Table, PollWait: defaultPollWait, PollInterval: operatorPollInterval, Parts: unpartitioned, Out: toBoard})
	addFollower(follow.Options{Table: store.TableControl, PollWait: busyTablePollWait, RereadAfter: leaseRereadAfter, PollInterval: leasePollInterval, Out: toBoard})
	addFollower(follow.Options{Table: worker.Table, PollWait: busyTablePollWait, PollInterval: registrationPollInterval, Parts: unpartitioned, Enabled: followerEnabled[worker.Table], Out: toPools})
	addFollower(follow.Options{Table: store.TableWork, PollWait: busyTablePollWait, PollInterval: workPollInterval, NoSnapshot: true, Enabled: followerEnabled[store.TableWork], Out: toPools})
	if n.fleetDuty != nil {
		addFollower(follow.Options{Table: store.TableLoad, PollWait: busyTablePollWait, RereadAfter: leaseRereadAfter, PollInterval: leasePollInterval, Enabled: loadFollowerEnabled, Out: []*ring.Ring[follow.Delta]{n.fleetDuty.Loads}})
	}
	return n, nil
}

func decodeConfiguration(key string, value []byte) (*workload.Configuration, bool, error) {
	if key != operator.KeyConfiguration {
		return nil, false, nil
	}
	c, err := operator.DecodeConfiguration(value)
	return c, err == nil, err
}

func decodeWave(key string, value []byte) (workload.Wave, bool, error) {
	if len(key) <= len(operator.PrefixWave) || key[:len(operator.PrefixWave)] != operator.PrefixWave {
		return workload.Wave{}, false, nil
	}
	w, err := operator.DecodeWave(key, value)
	return w, err == nil, err
}

func classifyFleetRefusal(err error) (fleet.Result, bool) {
	switch {
	case errors.Is(err, platformfleet.ErrBusy):
		return fleet.Busy, true
	case errors.Is(err, platformfleet.ErrRefused):
		return fleet.Refused, true
	case errors.Is(err, platformfleet.ErrFenced):
		return fleet.Fenced, true
	}
	return 0, false
}

// waveStatusOp returns the write of a wave's status. The store may execute a write
// seconds late, so the status "running" replaces no other.
func waveStatusOp(wave int, done bool) store.Op {
	kind := store.OpInsert
	if done {
		kind = store.OpPut
	}
	return store.Op{Kind: kind, Key: operator.KeyWaveStatus(wave), Value: operator.EncodeWaveStatus(done)}
}

// unreadyAfter is how long the store may be unreachable before the process reports
// that it is not ready, so that callers go to other VMs.
const unreadyAfter = 400 * time.Millisecond

// watchReadiness updates the result of the readiness checks. The process is ready
// if it has a configuration and reaches the store.
func (n *Node) watchReadiness(ctx context.Context, views *ring.Ring[*board.View]) error {
	timer := time.NewTimer(unreadyAfter)
	defer timer.Stop()
	view := &board.View{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case view = <-views.C():
		case <-timer.C:
		}
		timer.Reset(unreadyAfter)
		storeReachable := view.FailingSince.IsZero() || steady.Now().Sub(view.FailingSince) < unreadyAfter
		ready := view.Configuration != nil && storeReachable
		if n.ready.Swap(ready) != ready {
			n.log.Info("readiness changed", "ready", ready, "reaches_store", storeReachable)
		}
	}
}

// Run serves until ctx ends or a duty fails. If ctx ends, it shuts down
// gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("started", "node", n.settings.ID, "callers", n.settings.CallerListen, "store", n.settings.Store)
	n.supervisor.Start(ctx)
	var failure error
	select {
	case <-ctx.Done():
		n.leave()
	case failure = <-n.supervisor.Failed():
		n.log.Error("duty failed", "error", failure)
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), dutyStopTimeout)
	defer cancel()
	err := n.supervisor.Stop(stopCtx)
	n.store.Close()
	n.log.Info("stopped", "node", n.settings.ID, "error", errors.Join(failure, err))
	if failure != nil {
		return fmt.Errorf("run node: %w", failure)
	}
	return err
}

// leave releases the leases and continues to serve until callers have moved to
// other VMs.
func (n *Node) leave() {
	n.log.Info("leaving", "node", n.settings.ID)
	n.stopping.Store(true)
	n.callers.DisableKeepAlives()
	end := time.NewTimer(min(leaveDuration, n.settings.StopWithin/2))
	defer end.Stop()
	n.releaseLeases("pools", n.poolsDuty.Release)
	if n.fleetDuty != nil {
		n.releaseLeases("fleet", n.fleetDuty.Release)
	}
	<-end.C
}

// releaseLeases requests that a duty release its leases.
func (n *Node) releaseLeases(dutyName string, requests *ring.Ring[struct{}]) {
	if err := requests.Put(context.Background(), struct{}{}); err != nil {
		n.log.Warn("failed to request the release of leases", "duty", dutyName, "error", err)
	}
}
