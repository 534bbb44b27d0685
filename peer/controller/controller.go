// Package controller implements the client and the server of the drpc service
// that controllers offer to their peers: status reports, and operators' drain
// orders that are forwarded to the holder of the pool's lease.
package controller

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"github.com/carobwharf/carobwharf/peer/controller/controllerpb"
	"github.com/carobwharf/carobwharf/peer/link"
)

// Lease is a pool's lease, as seen by one controller.
type Lease struct {
	Pool   string
	Holder string
	Token  uint64 // fencing token
}

// Status is the status report of a controller.
type Status struct {
	ID         string
	Generation uint64   // generation of the configuration in force
	Leases     []Lease  // held by this controller
	Moves      []string // VMs that are moving to another pool
	Stops      []string // VMs that are being stopped or rebooted
}

// DrainOrder is an operator's order to take a VM out of use.
type DrainOrder struct {
	ID     string // unique; identifies an order that is delivered more than once
	VM     string
	ToPool string // destination pool; empty: reboot the VM and keep it in its pool
	Reason string
}

// DrainResult is the reply to a DrainOrder.
type DrainResult struct {
	Accepted bool
	Epoch    uint64 // epoch of the ownership row that drains the VM
	Holder   string // the controller that holds the pool's lease, if it is another one
	Refusal  string // why the order was not accepted
}

// Handler handles the calls of peers. It must be safe for concurrent use.
type Handler interface {
	Status(ctx context.Context) (Status, error)
	// Drain executes the order if this controller holds the lease of the VM's
	// pool. Otherwise the result names the holder.
	Drain(ctx context.Context, order DrainOrder) (DrainResult, error)
}

// Register adds the controller service to a server.
func Register(s *link.Server, h Handler) error {
	return s.Register(&server{handler: h}, controllerpb.DRPCControllerDescription{})
}

type server struct{ handler Handler }

func (s *server) Status(ctx context.Context, _ *controllerpb.StatusRequest) (*controllerpb.StatusReply, error) {
	st, err := s.handler.Status(ctx)
	if err != nil {
		return nil, err
	}
	out := &controllerpb.StatusReply{Id: st.ID, Generation: st.Generation, Moves: st.Moves, Stops: st.Stops}
	for _, l := range st.Leases {
		out.Leases = append(out.Leases, &controllerpb.LeaseInfo{Pool: l.Pool, Holder: l.Holder, Token: l.Token})
	}
	return out, nil
}

func (s *server) Drain(ctx context.Context, in *controllerpb.DrainRequest) (*controllerpb.DrainReply, error) {
	r, err := s.handler.Drain(ctx, DrainOrder{
		ID: in.GetRequestId(), VM: in.GetVm(), ToPool: in.GetToPool(), Reason: in.GetReason(),
	})
	if err != nil {
		return nil, err
	}
	return &controllerpb.DrainReply{Accepted: r.Accepted, Epoch: r.Epoch, Holder: r.Holder, Refusal: r.Refusal}, nil
}

// Client calls controllers. Every call ends within the dialer's timeout.
type Client struct{ dialer *link.Dialer }

// NewClient returns a client that uses the dialer's connections.
func NewClient(d *link.Dialer) *Client { return &Client{dialer: d} }

// Status returns the status of the controller at addr.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	var out *controllerpb.StatusReply
	err := c.dialer.Call(ctx, addr, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = controllerpb.NewDRPCControllerClient(conn).Status(ctx, &controllerpb.StatusRequest{})
		return err
	})
	if err != nil {
		return Status{}, fmt.Errorf("controller status: %w", err)
	}
	st := Status{ID: out.GetId(), Generation: out.GetGeneration(), Moves: out.GetMoves(), Stops: out.GetStops()}
	for _, l := range out.GetLeases() {
		st.Leases = append(st.Leases, Lease{Pool: l.GetPool(), Holder: l.GetHolder(), Token: l.GetToken()})
	}
	return st, nil
}

// Drain sends an order to the controller at addr. After an error the order may
// have been executed; it is safe to send it again with the same ID.
func (c *Client) Drain(ctx context.Context, addr string, o DrainOrder) (DrainResult, error) {
	var out *controllerpb.DrainReply
	in := &controllerpb.DrainRequest{RequestId: o.ID, Vm: o.VM, ToPool: o.ToPool, Reason: o.Reason}
	err := c.dialer.Call(ctx, addr, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = controllerpb.NewDRPCControllerClient(conn).Drain(ctx, in)
		return err
	})
	if err != nil {
		return DrainResult{}, fmt.Errorf("drain of %s: %w", o.VM, err)
	}
	return DrainResult{Accepted: out.GetAccepted(), Epoch: out.GetEpoch(), Holder: out.GetHolder(), Refusal: out.GetRefusal()}, nil
}
