// Package controller speaks to a controller as a peer: its status, and
// operator work that is passed on to the holder of a pool's lease, over drpc.
package controller

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"github.com/carobwharf/carobwharf/peer/controller/controllerpb"
	"github.com/carobwharf/carobwharf/peer/link"
)

// Lease is a lease as one controller knows it.
type Lease struct {
	Pool   string
	Holder string
	Token  uint64 // fencing token
}

// Status is a controller's report on itself.
type Status struct {
	ID         string
	Generation uint64  // configuration in force
	Leases     []Lease // held by this controller
	Moves      []string
	Stops      []string
}

// DrainOrder is an operator's order to take a VM out of use.
type DrainOrder struct {
	ID     string // unique; the same order may arrive twice
	VM     string
	ToPool string // pool that receives the VM; empty: reboot it and keep it in its pool
	Reason string
}

// DrainResult is the answer to a DrainOrder.
type DrainResult struct {
	Accepted bool
	Epoch    uint64 // of the ownership row that drains the VM
	Holder   string // the controller that holds the pool's lease, if it is not this one
	Refusal  string // why the order was not accepted
}

// Handler is what a controller offers to its peers. It may be called from
// many goroutines.
type Handler interface {
	Status(ctx context.Context) (Status, error)
	// Drain carries out the order if this controller holds the lease of the
	// VM's pool; otherwise it names the holder.
	Drain(ctx context.Context, order DrainOrder) (DrainResult, error)
}

// Register adds the controller service to the process's server.
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

// Status asks the controller at addr for its status.
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

// Drain passes an order to the controller at addr. After an error the order
// may have been carried out; sending it again is safe.
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
