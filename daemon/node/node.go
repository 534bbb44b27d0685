// Package node wires the process that runs on the users' platform: it accepts
// jobs, owns pools and takes part in the care of the fleet.
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

// Calls to the platform.
const (
	storeTimeout     = time.Second // of one call; the store answers in some 10 ms
	storeConnections = 48
	orderTimeout     = 600 * time.Millisecond // of an order to a worker
	fleetTimeout     = time.Second
)

// Following of the store's tables.
const (
	// feedWait is how long a reading without changes may take. A connection
	// that went silent costs this and the slack of the adapter.
	feedWait = 800 * time.Millisecond
	// quickWait replaces it for tables that change all the time at a peak, so that
	// a reading that hears nothing ends soon.
	quickWait = 400 * time.Millisecond
	// quiet is how long the lease rows, which are renewed three times a second, may
	// show no change before they are read in full.
	quiet = 600 * time.Millisecond
	// leaseGap lets renewals of several leases share one reading.
	leaseGap = 120 * time.Millisecond
	// operatorGap lets changes of the configuration in quick succession share one.
	operatorGap = 50 * time.Millisecond
	// workGap lets submissions that come together share one reading.
	workGap = 15 * time.Millisecond
	// registrationGap lets heartbeats of workers share one reading.
	registrationGap = 100 * time.Millisecond
)

// Stopping.
const (
	// leaveTime is how long a leaving process serves: the balancer notices it
	// after two checks, one second apart.
	leaveTime = 2500 * time.Millisecond
	// stopTime bounds the end of the duties.
	stopTime = 1500 * time.Millisecond
)

// Node is one process.
type Node struct {
	set      settings.Node
	log      hclog.Logger
	sup      *duty.Supervisor
	pools    *pools.Duty
	fleet    *nodefleet.Duty // nil without a fleet service
	callers  *caller.Server
	store    *platformstore.Client
	ready    atomic.Bool // has a configuration
	stopping atomic.Bool
}

// Options is what the command gives to the process.
type Options struct {
	Settings settings.Node
	Log      hclog.Logger
	Lines    *logging.Writer // that Log writes to; nil if it writes elsewhere
	Metrics  *metrics.Registry
	Version  any // shown at the admin address
}

// New wires the process and opens its addresses.
func New(o Options) (*Node, error) {
	n := &Node{set: o.Settings, log: o.Log, sup: duty.NewSupervisor()}
	part := func(name string) hclog.Logger { return logging.For(o.Log, name) }
	n.store = platformstore.New(platformstore.Options{
		Addr: o.Settings.Store, Timeout: storeTimeout, MaxConnections: storeConnections,
	})
	wanted := map[string]*ring.Ring[bool]{
		store.TableWork: ring.New[bool]("follow-work", 1, ring.KeepNewest),
		worker.Table:    ring.New[bool]("follow-workers", 1, ring.KeepNewest),
	}
	var advice pools.Policy
	if o.Settings.Policy != "" {
		advice = policy.New(o.Settings.Policy, pools.AdviceTimeout)
	}
	in := nodeintake.New(nodeintake.Options{Table: n.store, Log: part("intake"), Metrics: o.Metrics})
	n.pools = pools.New(pools.Options{
		Self: o.Settings.ID, Bounds: o.Settings.Bounds, CPUShare: o.Settings.Processor,
		Table: n.store, Feed: n.store, Policy: advice,
		Dial:   func(id, addr string) pools.Worker { return worker.New(id, addr, orderTimeout) },
		Decode: worker.Decode, FollowersEnabled: wanted, Log: part("pools"), Metrics: o.Metrics,
	})
	loads := ring.New[bool]("follow-loads", 1, ring.KeepNewest)
	viewers := []*ring.Ring[*board.View]{in.Views, n.pools.Views}
	if o.Settings.Fleet != "" {
		n.fleet = nodefleet.New(nodefleet.Options{
			Self: o.Settings.ID, Bounds: o.Settings.Bounds, CPUShare: o.Settings.Processor, Table: n.store,
			Service:         platformfleet.New(o.Settings.Fleet, o.Settings.ID, fleetTimeout),
			FollowerEnabled: loads, ClassifyRefusal: fleetRefusal, WaveStatus: waveStatus, Log: part("fleet"), Metrics: o.Metrics,
		})
		viewers = append(viewers, n.fleet.Views)
	}
	readiness := ring.New[*board.View]("readiness-views", 1, ring.KeepNewest)
	viewers = append(viewers, readiness)
	views := board.New(board.Options{
		Operator: board.OperatorDecoder{Configuration: decodeConfiguration, Wave: decodeWave},
		Out:      viewers,
		Log:      part("board"),
	})
	var err error
	if n.callers, err = caller.Listen(o.Settings.Callers, in); err != nil {
		return nil, err
	}
	ready, err := caller.ListenReady(o.Settings.Ready, func() bool { return n.ready.Load() && !n.stopping.Load() })
	if err != nil {
		return nil, err
	}
	follower := func(f follow.Options) {
		f.Feed, f.Log = n.store, part("follow")
		n.sup.Add(duty.Duty{Name: "follow-" + f.Table, Run: follow.New(f).Run})
	}
	whole := []string{""}
	if o.Lines != nil {
		n.sup.Add(duty.Duty{Name: "log", Run: o.Lines.Run})
	}
	n.sup.Add(duty.Duty{Name: "readiness-state", Run: func(ctx context.Context) error { return n.watchReadiness(ctx, readiness) }})
	n.sup.Add(duty.Duty{Name: "ready", Run: ready.Run})
	if err := n.addAdmin(o); err != nil {
		return nil, err
	}
	n.sup.Add(duty.Duty{Name: "intake", Run: in.Run, Dump: in.Dump})
	n.sup.Add(duty.Duty{Name: "callers", Run: n.callers.Run})
	n.sup.Add(duty.Duty{Name: "pools", Run: n.pools.Run, Dump: n.pools.Dump})
	if n.fleet != nil {
		n.sup.Add(duty.Duty{Name: "fleet", Run: n.fleet.Run, Dump: n.fleet.Dump})
	}
	n.sup.Add(duty.Duty{Name: "board", Run: views.Run})
	toBoard, toPools := []*ring.Ring[follow.Delta]{views.In}, []*ring.Ring[follow.Delta]{n.pools.Deltas}
	follower(follow.Options{Table: operator.Table, PollWait: feedWait, PollInterval: operatorGap, Parts: whole, Out: toBoard})
	follower(follow.Options{Table: store.TableControl, PollWait: quickWait, RereadAfter: quiet, PollInterval: leaseGap, Out: toBoard})
	follower(follow.Options{Table: worker.Table, PollWait: quickWait, PollInterval: registrationGap, Parts: whole, Enabled: wanted[worker.Table], Out: toPools})
	follower(follow.Options{Table: store.TableWork, PollWait: quickWait, PollInterval: workGap, NoSnapshot: true, Enabled: wanted[store.TableWork], Out: toPools})
	if n.fleet != nil {
		follower(follow.Options{Table: store.TableLoad, PollWait: quickWait, RereadAfter: quiet, PollInterval: leaseGap, Enabled: loads, Out: []*ring.Ring[follow.Delta]{n.fleet.Loads}})
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

func fleetRefusal(err error) (fleet.Result, bool) {
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

func waveStatus(wave int, done bool) store.Op {
	return store.Op{Kind: store.OpPut, Key: operator.KeyWaveStatus(wave), Value: operator.EncodeWaveStatus(done)}
}

// unreadyAfter is how long the store may be out of reach before the VM sends
// callers elsewhere.
const unreadyAfter = 400 * time.Millisecond

// watchReadiness keeps the answer to readiness checks: the process has a
// configuration and reaches the store.
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
		reaches := view.FailingSince.IsZero() || steady.Now().Sub(view.FailingSince) < unreadyAfter
		ready := view.Configuration != nil && reaches
		if n.ready.Swap(ready) != ready {
			n.log.Info("readiness changed", "ready", ready, "reaches_store", reaches)
		}
	}
}

// Run serves until ctx ends, then leaves in order.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("started", "node", n.set.ID, "callers", n.set.Callers, "store", n.set.Store)
	n.sup.Start(ctx)
	var failure error
	select {
	case <-ctx.Done():
		n.leave()
	case failure = <-n.sup.Failed():
		n.log.Error("a duty failed", "error", failure)
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	err := n.sup.Stop(stopCtx)
	n.store.Close()
	n.log.Info("stopped", "node", n.set.ID, "error", errors.Join(failure, err))
	if failure != nil {
		return fmt.Errorf("node: %w", failure)
	}
	return err
}

// leave gives the pools up and serves until callers have gone elsewhere.
func (n *Node) leave() {
	n.log.Info("leaving", "node", n.set.ID)
	n.stopping.Store(true)
	n.callers.DisableKeepAlives()
	end := time.NewTimer(min(leaveTime, n.set.StopWithin/2))
	defer end.Stop()
	n.release("pools", n.pools.Release)
	if n.fleet != nil {
		n.release("fleet", n.fleet.Release)
	}
	<-end.C
}

// release asks a duty to give its leases up.
func (n *Node) release(name string, to *ring.Ring[struct{}]) {
	if err := to.Put(context.Background(), struct{}{}); err != nil {
		n.log.Warn("leases were not released", "duty", name, "error", err)
	}
}
