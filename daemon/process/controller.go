package process

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/carobwharf/carobwharf/buffer"
	"github.com/carobwharf/carobwharf/daemon/controller/poolkeeper"
	"github.com/carobwharf/carobwharf/daemon/controller/publisher"
	"github.com/carobwharf/carobwharf/duty"
	peercontroller "github.com/carobwharf/carobwharf/peer/controller"
	peergateway "github.com/carobwharf/carobwharf/peer/gateway"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	keeperWorkers  = 16
	publishTimeout = 15 * time.Second // of one submission with its repetitions
	rebootTimeout  = 5 * time.Minute  // of a reboot ordered by an operator
	pauseFor       = 30 * time.Second
	adoptBatch     = 32
)

// Controller is a running controller process.
type Controller struct {
	base      *base
	publisher *publisher.Publisher
	keeper    *poolkeeper.Duty
}

// NewController builds a controller process and opens its listeners. Start
// runs it.
func NewController(set settings.Process, logOutput io.Writer) (*Controller, error) {
	in := newViews("poolkeeper")
	b, err := newBase(set, structs.RoleController, logOutput, in)
	if err != nil {
		return nil, err
	}
	c := &Controller{base: b}
	if c.publisher, err = publisher.New(publisher.Options{
		Platform: b.platform, Timeout: set.Platform.Timeout, Deadline: publishTimeout, Pool: b.pool,
		Current:   b.watch.Current,
		Published: func(ctx context.Context, generation uint64) { _ = b.watch.Hint(ctx, generation) },
		Now:       time.Now, Log: b.part("publisher"), Metrics: b.reg,
	}); err != nil {
		return nil, fmt.Errorf("publisher duty: %w", err)
	}
	if c.keeper, err = poolkeeper.New(poolkeeper.Options{
		Config: poolkeeper.Config{
			ID: set.ID, LeaseDuration: set.Controller.LeaseDuration, Reconcile: set.Controller.Reconcile,
			RowLifetime: set.Membership.RowLifetime, DrainTimeout: set.Controller.DrainTimeout,
			RebootTimeout: rebootTimeout, PauseFor: pauseFor, AdoptBatch: adoptBatch, Buffer: buffer.Config{},
		},
		Timeout: fleetTimeoutCalls * set.Platform.Timeout, Workers: keeperWorkers,
		Platform: b.platform, Gateways: peergateway.NewClient(b.dialer),
		Fleet: in.fleets, Members: in.members, Configs: in.configs,
		Log: b.part("poolkeeper"), Metrics: b.reg,
	}); err != nil {
		return nil, fmt.Errorf("pool keeper duty: %w", err)
	}
	if err := peercontroller.Register(b.server, c.handler()); err != nil {
		return nil, fmt.Errorf("register the controller service: %w", err)
	}
	b.sup.Add(duty.Duty{Name: "poolkeeper", Run: c.keeper.Run, Dump: c.keeper.Dump})
	b.sup.Add(c.publisher.Duty())
	return c, nil
}

// Start runs the duties.
func (c *Controller) Start(ctx context.Context) { c.base.sup.Start(ctx) }

// PeerAddr returns the IP:port for the project's own processes.
func (c *Controller) PeerAddr() string { return c.base.server.Addr() }

// Failed delivers the error of the first duty that failed.
func (c *Controller) Failed() <-chan error { return c.base.sup.Failed() }

// Generation returns the configuration generation in force, 0 for none.
func (c *Controller) Generation() uint64 { return generation(c.base.watch.Current()) }

// Submit publishes a set and waits for the result.
func (c *Controller) Submit(ctx context.Context, s publisher.Submission) (publisher.Result, error) {
	reply := make(chan publisher.Reply, 1)
	s.Reply = reply
	if err := c.publisher.Submit(ctx, s); err != nil {
		return publisher.Result{}, err
	}
	select {
	case r := <-reply:
		return r.Result, r.Err
	case <-ctx.Done():
		return publisher.Result{}, fmt.Errorf("%w: %w", publisher.ErrUnsettled, ctx.Err())
	}
}

// Stop ends all duties. Work in progress goes on under the next holder of the
// leases.
func (c *Controller) Stop(context.Context) error { return c.base.stop(stopTimeout) }

func (c *Controller) handler() peercontroller.Handler {
	return controlHandler{keeper: c.keeper, id: c.base.set.ID, current: c.base.watch.Current}
}

// controlHandler answers other controllers.
type controlHandler struct {
	keeper  *poolkeeper.Duty
	id      string
	current func() *structs.Config
}

// Status returns the controller's report on itself.
func (h controlHandler) Status(ctx context.Context) (peercontroller.Status, error) {
	s, err := h.keeper.Status(ctx)
	if err != nil {
		return peercontroller.Status{}, fmt.Errorf("pool keeper status: %w", err)
	}
	out := peercontroller.Status{ID: h.id, Generation: generation(h.current()), Moves: s.Moves, Stops: s.Stops}
	for _, l := range s.Leases {
		out.Leases = append(out.Leases, peercontroller.Lease{Pool: l.Pool, Holder: h.id, Token: l.Token})
	}
	return out, nil
}

// Drain carries out an order if this controller holds the pool's lease.
func (h controlHandler) Drain(ctx context.Context, o peercontroller.DrainOrder) (peercontroller.DrainResult, error) {
	r, err := h.keeper.Order(ctx, poolkeeper.Order{ID: o.ID, VM: o.VM, ToPool: o.ToPool, Reason: o.Reason})
	if err != nil {
		return peercontroller.DrainResult{}, fmt.Errorf("drain %s: %w", o.VM, err)
	}
	return peercontroller.DrainResult{Accepted: r.Accepted, Epoch: r.Epoch, Holder: r.Holder, Refusal: r.Refusal}, nil
}
