package process

import (
	"context"
	"errors"
	"fmt"

	"github.com/carobwharf/carobwharf/daemon/controller"
	"github.com/carobwharf/carobwharf/daemon/controller/expiry"
	"github.com/carobwharf/carobwharf/daemon/controller/poolkeeper"
	"github.com/carobwharf/carobwharf/duty"
	peercontroller "github.com/carobwharf/carobwharf/peer/controller"
	peergateway "github.com/carobwharf/carobwharf/peer/gateway"
	"github.com/carobwharf/carobwharf/structs"
)

const keeperWorkers = 16

// Controller is a controller process.
type Controller struct {
	base  *base
	inner *controller.Controller
}

// NewController builds a controller process and opens its listeners.
func NewController(o Options) (*Controller, error) {
	in, jobsIn := newViews("poolkeeper"), newViews("jobs")
	jobsIn.members = nil
	b, err := newBase(o, in, jobsIn)
	if err != nil {
		return nil, err
	}
	runner, err := newJobs(b, jobsIn)
	if err != nil {
		return nil, fmt.Errorf("jobs duty: %w", err)
	}
	keeper, err := newKeeper(b, in, runner.TasksOnLeavingVM)
	if err != nil {
		return nil, fmt.Errorf("pool keeper duty: %w", err)
	}
	peers := peercontroller.NewClient(b.dialer)
	inner, err := controller.New(controller.Options{
		Settings: b.set, Platform: b.platform, Log: o.Log, Metrics: o.Metrics, Version: o.Version,
		Peers: b.transfer, Subscribers: b.subscribed.configs,
		Fleet: b.seen.fleet.Load, Members: b.seen.members.Load,
		Drainer: drainer{keeper: keeper, peers: peers, seen: b.seen}, Jobs: runner,
	})
	if err != nil {
		return nil, err
	}
	handler := controlHandler{keeper: keeper, id: b.set.ID, current: inner.Config().Current}
	if err := peercontroller.Register(b.server, handler); err != nil {
		return nil, fmt.Errorf("register the controller service: %w", err)
	}
	if err := b.addShared(structs.RoleController, inner.AdminAddr(), inner.Config(), inner.Add); err != nil {
		return nil, err
	}
	inner.Add(duty.Duty{Name: "expiry", Run: newExpiry(b).Run})
	inner.Add(duty.Duty{Name: "poolkeeper", Run: keeper.Run, Dump: keeper.Dump})
	inner.Add(duty.Duty{Name: "jobs", Run: runner.Run, Dump: runner.Dump})
	return &Controller{base: b, inner: inner}, nil
}

func newKeeper(b *base, in views, busy func(vm string) int) (*poolkeeper.Duty, error) {
	set := b.set
	return poolkeeper.New(poolkeeper.Options{
		Config:  poolkeeper.ConfigFrom(set),
		Timeout: fleetTimeoutCalls * set.Platform.Timeout, Workers: keeperWorkers,
		Platform: b.platform, Gateways: peergateway.NewClient(b.dialer),
		TaskCount: busy, Fleet: in.fleets, Members: in.members, Configs: in.configs,
		Log: b.part("poolkeeper"), Metrics: b.opts.Metrics,
	})
}

func newExpiry(b *base) *expiry.Duty {
	o := expiry.DefaultOptions()
	o.RowLifetime = b.set.Membership.RowLifetime
	o.Table, o.Log, o.Metrics = b.platform, b.part("expiry"), b.opts.Metrics
	return expiry.New(o)
}

// OperatorAddr returns the IP:port of the operators' API.
func (c *Controller) OperatorAddr() string { return c.inner.OperatorAddr() }

// AdminAddr returns the IP:port of health, metrics and dump.
func (c *Controller) AdminAddr() string { return c.inner.AdminAddr() }

// PeerAddr returns the IP:port for the project's own processes.
func (c *Controller) PeerAddr() string { return c.base.server.Addr() }

// Run runs all duties until ctx ends or a duty fails. Work in progress goes on
// under the next holder of the leases.
func (c *Controller) Run(ctx context.Context) error {
	return errors.Join(c.inner.Run(ctx), c.base.close())
}
