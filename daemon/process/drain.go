package process

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/carobwharf/carobwharf/daemon/controller/poolkeeper"
	peercontroller "github.com/carobwharf/carobwharf/peer/controller"
	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/structs"
)

// drainer executes operators' drain requests. If another controller holds the lease
// of the VM's pool, it forwards the order to that controller.
type drainer struct {
	keeper      *poolkeeper.Duty
	controllers *peercontroller.Client
	latest      *latestViews
}

// Drain starts the drain and reboot of a VM.
func (d drainer) Drain(ctx context.Context, r operator.DrainRequest) (operator.DrainReply, error) {
	order := poolkeeper.DrainOrder{ID: uuid.NewString(), VM: r.VM, Reason: r.Reason}
	result, err := d.keeper.Drain(ctx, order)
	if err != nil {
		return operator.DrainReply{}, unavailableError(err)
	}
	if !result.Accepted && result.Holder != "" {
		if result, err = d.forward(ctx, result.Holder, order); err != nil {
			return operator.DrainReply{}, unavailableError(err)
		}
	}
	if !result.Accepted {
		return operator.DrainReply{}, &operator.Error{Code: operator.CodeConflict, Message: result.Refusal}
	}
	pool := result.Pool
	if pool == "" {
		pool = d.poolOf(r.VM)
	}
	return operator.DrainReply{VM: r.VM, Pool: pool, State: structs.OwnerDraining, Epoch: result.Epoch}, nil
}

func (d drainer) forward(ctx context.Context, holder string, o poolkeeper.DrainOrder) (poolkeeper.DrainResult, error) {
	view := d.latest.members.Load()
	if view == nil {
		return poolkeeper.DrainResult{}, fmt.Errorf("no view of the processes yet")
	}
	for _, m := range view.ByRole(structs.RoleController) {
		if m.ID != holder {
			continue
		}
		r, err := d.controllers.Drain(ctx, m.Addr, peercontroller.DrainOrder{ID: o.ID, VM: o.VM, ToPool: o.ToPool, Reason: o.Reason})
		return poolkeeper.DrainResult{Accepted: r.Accepted, Epoch: r.Epoch, Holder: r.Holder, Refusal: r.Refusal}, err
	}
	return poolkeeper.DrainResult{}, fmt.Errorf("controller %s, which holds the lease, is not live", holder)
}

func (d drainer) poolOf(vm string) string {
	view := d.latest.fleet.Load()
	if view == nil {
		return ""
	}
	for _, o := range view.Owners {
		if o.VM == vm {
			return o.Pool
		}
	}
	return ""
}

func unavailableError(err error) error {
	return &operator.Error{Code: operator.CodeUnavailable, Message: err.Error()}
}

// controllerHandler implements peercontroller.Handler.
type controllerHandler struct {
	keeper  *poolkeeper.Duty
	id      string
	current func() *structs.Config
}

// Status returns the status report of this controller.
func (h controllerHandler) Status(ctx context.Context) (peercontroller.Status, error) {
	s, err := h.keeper.Status(ctx)
	if err != nil {
		return peercontroller.Status{}, fmt.Errorf("pool keeper status: %w", err)
	}
	out := peercontroller.Status{ID: h.id, Moves: s.Moves, Stops: s.Stops}
	if c := h.current(); c != nil {
		out.Generation = c.Generation
	}
	for _, l := range s.Leases {
		out.Leases = append(out.Leases, peercontroller.Lease{Pool: l.Pool, Holder: h.id, Token: l.Token})
	}
	return out, nil
}

// Drain executes an order if this controller holds the lease of the VM's pool.
func (h controllerHandler) Drain(ctx context.Context, o peercontroller.DrainOrder) (peercontroller.DrainResult, error) {
	r, err := h.keeper.Drain(ctx, poolkeeper.DrainOrder{ID: o.ID, VM: o.VM, ToPool: o.ToPool, Reason: o.Reason})
	if err != nil {
		return peercontroller.DrainResult{}, fmt.Errorf("drain %s: %w", o.VM, err)
	}
	return peercontroller.DrainResult{Accepted: r.Accepted, Epoch: r.Epoch, Holder: r.Holder, Refusal: r.Refusal}, nil
}
