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

// Gateways reaches the gateways. *gateway.Client of package peer/gateway is
// one. Each call must end within a deadline of its own.
type Gateways interface {
	ConfirmDrain(ctx context.Context, addr, vm string, epoch uint64) (inFlight int, err error)
	Demand(ctx context.Context, addr string) ([]structs.ServiceDemand, error)
}

// Options configures the duty.
type Options struct {
	Config   Config
	Timeout  time.Duration // of one action; several calls to the platform
	Workers  int           // actions at the same time
	Platform store.Platform
	Gateways Gateways
	// Busy returns the number of tasks on a VM, or -1 if that is not known yet.
	// It is called from any goroutine; nil means that VMs run no tasks.
	Busy    func(vm string) int
	Fleet   *ring.Ring[*structs.FleetView]  // KeepNewest, filled by the vmview duty
	Members *ring.Ring[*structs.MemberView] // KeepNewest, filled by the members duty
	Configs *ring.Ring[*structs.Config]     // KeepNewest, filled by the config duty
	Log     hclog.Logger
	Metrics *metrics.Registry
}

const (
	resultRing = 1024 // results of actions and orders
	queued     = 256  // actions that wait for a worker
)

// orderItem and statusItem are requests of other goroutines on the ring.
type (
	orderItem struct {
		order Order
		reply chan Result // capacity 1
	}
	statusItem struct{ reply chan Status } // capacity 1
)

// Duty is the pool keeper.
type Duty struct {
	opts    Options
	machine *Machine
	events  *ring.Ring[any]
	pool    pond.Pool
	replies map[uint64]chan Result
	fleet   *fleetrows.Reader // used by the one ReadRows that runs at a time
	nextID  uint64
}

// New returns the duty; Run starts it.
func New(o Options) (*Duty, error) {
	d := &Duty{
		opts:    o,
		machine: NewMachine(o.Config),
		events:  ring.New[any]("poolkeeper", resultRing, ring.Wait),
		replies: map[uint64]chan Result{},
		fleet:   fleetrows.NewReader(o.Platform),
	}
	if err := o.Metrics.WatchRing("poolkeeper", d.events.Stats); err != nil {
		return nil, fmt.Errorf("poolkeeper: %w", err)
	}
	return d, nil
}

// Run runs the duty until ctx ends. What it began goes on under the next
// holder of the leases.
func (d *Duty) Run(ctx context.Context) error {
	d.pool = pond.NewPool(d.opts.Workers, pond.WithQueueSize(queued), pond.WithNonBlocking(true))
	defer d.pool.StopAndWait()
	defer d.events.Close()
	tick := time.NewTicker(d.opts.Config.Reconcile / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.step(ctx, Tick{})
		case v := <-d.opts.Fleet.C():
			d.step(ctx, FleetSeen{View: v})
		case v := <-d.opts.Members.C():
			d.step(ctx, MembersSeen{View: v})
		case c := <-d.opts.Configs.C():
			d.step(ctx, ConfigSeen{Config: c})
		case item := <-d.events.C():
			d.take(ctx, item)
		}
	}
}

func (d *Duty) take(ctx context.Context, item any) {
	switch item := item.(type) {
	case orderItem:
		d.nextID++
		d.replies[d.nextID] = item.reply
		d.step(ctx, Ordered{ID: d.nextID, Order: item.order})
	case statusItem:
		item.reply <- d.machine.Status(time.Now())
	default:
		d.step(ctx, item)
	}
}

// step feeds the machine and starts its actions. An action that finds no place
// in the pool has failed; the machine tries again after its next reading.
func (d *Duty) step(ctx context.Context, e Event) {
	d.report(e)
	for _, a := range d.machine.Step(time.Now(), e) {
		if r, ok := a.(Reply); ok {
			d.replies[r.ID] <- r.Result
			delete(d.replies, r.ID)
			continue
		}
		if err := d.pool.Go(func() { _ = d.events.Put(ctx, d.perform(ctx, a)) }); err != nil {
			d.opts.Metrics.Counter("poolkeeper.no_worker").Inc(1)
			d.step(ctx, refused(a, err))
		}
	}
}

func (d *Duty) report(e Event) {
	switch e := e.(type) {
	case Committed:
		if !e.Done {
			d.opts.Metrics.Counter("poolkeeper.not_committed").Inc(1)
			d.opts.Log.Debug("change not made", "kind", e.Change.Kind, "slot", e.Change.Slot, "error", e.Err)
			return
		}
		d.opts.Metrics.Counter("poolkeeper.committed").Inc(1)
		if e.Change.Kind != "lease renewed" {
			d.opts.Log.Info("change made", "kind", e.Change.Kind, "slot", e.Change.Slot, "vms", vmNames(e.Change.Owners))
		}
	case Confirmed:
		if e.Err != nil {
			d.opts.Log.Debug("drain not confirmed", "vm", e.Confirm.VM, "gateway", e.Confirm.Gateway.ID, "error", e.Err)
		}
	case Rebooted:
		switch {
		case errors.Is(e.Err, errTasksRunning):
			d.opts.Log.Debug("reboot waits", "vm", e.Reboot.VM, "cause", e.Err)
		case e.Err != nil:
			d.opts.Log.Warn("reboot not begun", "vm", e.Reboot.VM, "error", e.Err)
		}
	}
}

func vmNames(owners []structs.Owner) []string {
	out := make([]string, len(owners))
	for i, o := range owners {
		out[i] = o.VM
	}
	return out
}
