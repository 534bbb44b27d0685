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

const poolKeeperWorkers = 16

// Controller is a controller process.
type Controller struct {
	base  *base
	inner *controller.Controller
}

// NewController creates a controller process and opens its listeners.
func NewController(o Options) (*Controller, error) {
	keeperViews, jobsViews := newViewRings("poolkeeper"), newViewRings("jobs")
	jobsViews.members = nil
	b, err := newBase(o, keeperViews, jobsViews)
	if err != nil {
		return nil, err
	}
	jobsDuty, err := newJobsDuty(b, jobsViews)
	if err != nil {
		return nil, fmt.Errorf("create the jobs duty: %w", err)
	}
	keeper, err := newPoolKeeper(b, keeperViews, jobsDuty.TasksOnLeavingVM)
	if err != nil {
		return nil, fmt.Errorf("create the pool keeper duty: %w", err)
	}
	controllerClient := peercontroller.NewClient(b.dialer)
	inner, err := controller.New(controller.Options{
		Settings: b.settings, Platform: b.platform, Log: o.Log, Metrics: o.Metrics, Version: o.Version,
		Peers: b.transfer, Subscribers: b.subscribers.configs,
		Fleet: b.latest.fleet.Load, Members: b.latest.members.Load,
		Drainer: drainer{keeper: keeper, controllers: controllerClient, latest: b.latest}, Jobs: jobsDuty,
	})
	if err != nil {
		return nil, err
	}
	handler := controllerHandler{keeper: keeper, id: b.settings.ID, current: inner.Config().Current}
	if err := peercontroller.Register(b.server, handler); err != nil {
		return nil, fmt.Errorf("register the controller service: %w", err)
	}
	if err := b.addSharedDuties(structs.RoleController, inner.AdminAddr(), inner.Config(), inner.Add); err != nil {
		return nil, err
	}
	inner.Add(duty.Duty{Name: "expiry", Run: newExpiry(b).Run})
	inner.Add(duty.Duty{Name: "poolkeeper", Run: keeper.Run, Dump: keeper.Dump})
	inner.Add(duty.Duty{Name: "jobs", Run: jobsDuty.Run, Dump: jobsDuty.Dump})
	return &Controller{base: b, inner: inner}, nil
}

func newPoolKeeper(b *base, views viewRings, taskCount func(vm string) int) (*poolkeeper.Duty, error) {
	cfg := b.settings
	return poolkeeper.New(poolkeeper.Options{
		Config:  poolkeeper.ConfigFrom(cfg),
		Timeout: fleetTimeoutFactor * cfg.Platform.Timeout, MaxConcurrentActions: poolKeeperWorkers,
		Platform: b.platform, Gateways: peergateway.NewClient(b.dialer),
		TaskCount: taskCount, Fleet: views.fleets, Members: views.members, Configs: views.configs,
		Log: b.logger("poolkeeper"), Metrics: b.opts.Metrics,
	})
}

func newExpiry(b *base) *expiry.Duty {
	o := expiry.DefaultOptions()
	o.RowLifetime = b.settings.Membership.RowLifetime
	o.Table, o.Log, o.Metrics = b.platform, b.logger("expiry"), b.opts.Metrics
	return expiry.New(o)
}

// OperatorAddr returns the IP:port of the operators' API.
func (c *Controller) OperatorAddr() string { return c.inner.OperatorAddr() }

// AdminAddr returns the IP:port of the admin address, which serves health, metrics
// and dumps.
func (c *Controller) AdminAddr() string { return c.inner.AdminAddr() }

// PeerAddr returns the IP:port of the peer listener.
func (c *Controller) PeerAddr() string { return c.base.server.Addr() }

// Run runs all duties until ctx ends or a duty fails. The next holders of the
// leases continue the work in progress.
func (c *Controller) Run(ctx context.Context) error {
	return errors.Join(c.inner.Run(ctx), c.base.close())
}
