package poolkeeper

import (
	"context"
	"fmt"

	"github.com/carobwharf/carobwharf/peer/controller"
)

// Controllers reaches the other controllers. *controller.Client of package
// peer/controller is one. Each call must end within a deadline of its own.
type Controllers interface {
	Drain(ctx context.Context, addr string, o controller.DrainOrder) (controller.DrainResult, error)
}

// Drain carries out an operator's order: here if this process holds the lease
// of the VM's pool, otherwise at the holder. An order is passed on once; if
// the holder has changed meanwhile, the result names the new one.
func (d *Duty) Drain(ctx context.Context, o Order) (Result, error) {
	r, err := d.Order(ctx, o)
	if err != nil || r.HolderAddr == "" {
		return r, err
	}
	passed, err := d.opts.Controllers.Drain(ctx, r.HolderAddr, controller.DrainOrder(o))
	if err != nil {
		return Result{}, fmt.Errorf("pass the order on to %s: %w", r.Holder, err)
	}
	return Result{Accepted: passed.Accepted, Epoch: passed.Epoch, Holder: passed.Holder, Refusal: passed.Refusal}, nil
}

// Peer is what the duty offers to other controllers. It passes no order on, so
// orders do not go in circles.
type Peer struct {
	ID   string
	Duty *Duty
}

var _ controller.Handler = Peer{}

// Status implements controller.Handler.
func (p Peer) Status(ctx context.Context) (controller.Status, error) {
	s, err := p.Duty.Status(ctx)
	if err != nil {
		return controller.Status{}, err
	}
	out := controller.Status{ID: p.ID, Generation: s.Generation, Moves: s.Moves, Stops: s.Stops}
	for _, l := range s.Leases {
		out.Leases = append(out.Leases, controller.Lease{Pool: l.Pool, Holder: p.ID, Token: l.Token})
	}
	return out, nil
}

// Drain implements controller.Handler.
func (p Peer) Drain(ctx context.Context, o controller.DrainOrder) (controller.DrainResult, error) {
	r, err := p.Duty.Order(ctx, Order(o))
	if err != nil {
		return controller.DrainResult{}, err
	}
	return controller.DrainResult{Accepted: r.Accepted, Epoch: r.Epoch, Holder: r.Holder, Refusal: r.Refusal}, nil
}
