package poolkeeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/fleetrows"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Gateways is the client of the gateways, implemented by *gateway.Client of
// package peer/gateway. Each call must have a deadline of its own.
type Gateways interface {
	ConfirmDrain(ctx context.Context, addr, vm string, epoch uint64) (inFlight int, err error)
	Demand(ctx context.Context, addr string) ([]structs.ServiceDemand, error)
}

// Options configures the duty.
type Options struct {
	Config               Config
	Timeout              time.Duration // of one action, which may make several calls to the platform
	MaxConcurrentActions int           // actions that run concurrently
	Platform             store.Platform
	Gateways             Gateways
	// TaskCount returns the number of tasks on a VM, or -1 if it is not known yet.
	// It must be safe for concurrent use; nil means that VMs run no tasks.
	TaskCount func(vm string) int
	Fleet     *ring.Ring[*structs.FleetView]  // KeepNewest, filled by the vmview duty
	Members   *ring.Ring[*structs.MemberView] // KeepNewest, filled by the members duty
	Configs   *ring.Ring[*structs.Config]     // KeepNewest, filled by the config duty
	Log       hclog.Logger
	Metrics   *metrics.Registry
}

const (
	eventRingSize   = 1024 // results of actions, orders and status requests
	actionQueueSize = 256  // actions that wait for a free goroutine
)

// orderRequest and statusRequest are requests that other goroutines put on the
// event ring.
type (
	orderRequest struct {
		order DrainOrder
		reply chan DrainResult // capacity 1
	}
	statusRequest struct{ reply chan Status } // capacity 1
)

// Duty runs the Machine: it delivers events to it and executes its actions.
type Duty struct {
	opts        Options
	machine     *Machine
	events      *ring.Ring[any]
	pool        pond.Pool
	replies     map[uint64]chan DrainResult
	fleetReader *fleetrows.Reader // not shared: at most one ReadRows runs at a time
	lastOrderID uint64
}

// New returns a Duty, which Run starts.
func New(o Options) (*Duty, error) {
	d := &Duty{
		opts:        o,
		machine:     NewMachine(o.Config),
		events:      ring.New[any]("poolkeeper", eventRingSize, ring.Wait),
		replies:     map[uint64]chan DrainResult{},
		fleetReader: fleetrows.NewReader(o.Platform),
	}
	if err := o.Metrics.WatchRing("poolkeeper", d.events.Stats); err != nil {
		return nil, fmt.Errorf("poolkeeper: %w", err)
	}
	return d, nil
}

// Run runs the duty until ctx ends. Moves and stops that are in progress are
// continued by the next holder of the leases.
func (d *Duty) Run(ctx context.Context) error {
	d.pool = pond.NewPool(d.opts.MaxConcurrentActions, pond.WithQueueSize(actionQueueSize), pond.WithNonBlocking(true))
	defer d.pool.StopAndWait()
	defer d.events.Close()
	tick := time.NewTicker(d.opts.Config.ReconcileInterval / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.step(ctx, Tick{})
		case v := <-d.opts.Fleet.C():
			d.step(ctx, FleetUpdated{View: v})
		case v := <-d.opts.Members.C():
			d.step(ctx, MembersUpdated{View: v})
		case c := <-d.opts.Configs.C():
			d.step(ctx, ConfigUpdated{Config: c})
		case item := <-d.events.C():
			d.handleItem(ctx, item)
		}
	}
}

func (d *Duty) handleItem(ctx context.Context, item any) {
	switch item := item.(type) {
	case orderRequest:
		d.lastOrderID++
		d.replies[d.lastOrderID] = item.reply
		d.step(ctx, OrderReceived{ID: d.lastOrderID, Order: item.order})
	case statusRequest:
		item.reply <- d.machine.Status(time.Now())
	default:
		d.step(ctx, item)
	}
}

// step passes an event to the machine and starts the resulting actions. An
// action that the goroutine pool does not accept counts as failed; the machine
// retries it after it has read the rows again.
func (d *Duty) step(ctx context.Context, e Event) {
	d.recordResult(e)
	for _, a := range d.machine.Step(time.Now(), e) {
		if r, ok := a.(Reply); ok {
			d.replies[r.ID] <- r.Result
			delete(d.replies, r.ID)
			continue
		}
		if err := d.pool.Go(func() { _ = d.events.Put(ctx, d.perform(ctx, a)) }); err != nil {
			d.opts.Metrics.Counter("poolkeeper.no_worker").Inc(1)
			d.step(ctx, failedResult(a, err))
		}
	}
}

// recordResult logs and counts the outcome of an action.
func (d *Duty) recordResult(e Event) {
	switch e := e.(type) {
	case Committed:
		if !e.Done {
			d.opts.Metrics.Counter("poolkeeper.not_committed").Inc(1)
			d.opts.Log.Debug("change not committed", "kind", e.Change.Kind, "slot", e.Change.Slot, "error", e.Err)
			return
		}
		d.opts.Metrics.Counter("poolkeeper.committed").Inc(1)
		if e.Change.Kind != "lease renewed" {
			d.opts.Log.Info("change committed", "kind", e.Change.Kind, "slot", e.Change.Slot, "vms", vmIDs(e.Change.Owners))
		}
	case DrainConfirmed:
		if e.Err != nil {
			d.opts.Log.Debug("failed to get drain confirmation from gateway", "vm", e.Confirm.VM, "gateway", e.Confirm.Gateway.ID, "error", e.Err)
		}
	case Rebooted:
		switch {
		case errors.Is(e.Err, errTasksRunning):
			d.opts.Log.Debug("reboot postponed while tasks are running on the VM", "vm", e.Reboot.VM, "cause", e.Err)
		case e.Err != nil:
			d.opts.Log.Warn("failed to reboot VM", "vm", e.Reboot.VM, "error", e.Err)
		}
	}
}

func vmIDs(owners []structs.Owner) []string {
	out := make([]string, len(owners))
	for i, o := range owners {
		out[i] = o.VM
	}
	return out
}
