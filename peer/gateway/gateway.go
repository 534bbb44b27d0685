// Package gateway implements the client and the server of the drpc service that
// gateways offer to controllers: drain confirmations and demand reports.
package gateway

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc"

	"github.com/carobwharf/carobwharf/peer/gateway/gatewaypb"
	"github.com/carobwharf/carobwharf/peer/link"
	"github.com/carobwharf/carobwharf/structs"
)

// Handler handles the calls of controllers. It must be safe for concurrent use.
type Handler interface {
	// ConfirmDrain tells the gateway that vm is draining at the given epoch,
	// and returns the number of requests that the gateway has in flight on the
	// VM. After a reply of 0 the gateway must not send requests to the VM until
	// it has seen an ownership row with a higher epoch.
	ConfirmDrain(ctx context.Context, vm string, epoch uint64) (inFlight int, err error)
	// Demand returns the demand for each service over the last interval.
	Demand(ctx context.Context) ([]structs.ServiceDemand, error)
}

// Register adds the gateway service to a server.
func Register(s *link.Server, h Handler) error {
	return s.Register(&server{handler: h}, gatewaypb.DRPCGatewayDescription{})
}

type server struct{ handler Handler }

func (s *server) ConfirmDrain(ctx context.Context, in *gatewaypb.ConfirmDrainRequest) (*gatewaypb.ConfirmDrainReply, error) {
	n, err := s.handler.ConfirmDrain(ctx, in.GetVm(), in.GetEpoch())
	if err != nil {
		return nil, err
	}
	return &gatewaypb.ConfirmDrainReply{InFlight: int64(n)}, nil
}

func (s *server) Demand(ctx context.Context, _ *gatewaypb.DemandRequest) (*gatewaypb.DemandReply, error) {
	demands, err := s.handler.Demand(ctx)
	if err != nil {
		return nil, err
	}
	out := &gatewaypb.DemandReply{}
	for _, d := range demands {
		out.Services = append(out.Services, &gatewaypb.ServiceDemand{
			Service:    d.Service,
			Arrived:    d.Arrived,
			Served:     d.Served,
			Refused:    d.Refused,
			Queued:     int64(d.Queued),
			InFlight:   int64(d.InFlight),
			IntervalNs: int64(d.Interval),
		})
	}
	return out, nil
}

// Client calls gateways. Every call ends within the dialer's timeout.
type Client struct{ dialer *link.Dialer }

// NewClient returns a client that uses the dialer's connections.
func NewClient(d *link.Dialer) *Client { return &Client{dialer: d} }

// ConfirmDrain tells the gateway at addr that the VM is draining at the given
// epoch, and returns the number of requests that the gateway has in flight on it.
// After an error that number is unknown.
func (c *Client) ConfirmDrain(ctx context.Context, addr, vm string, epoch uint64) (int, error) {
	var out *gatewaypb.ConfirmDrainReply
	err := c.dialer.Call(ctx, addr, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = gatewaypb.NewDRPCGatewayClient(conn).ConfirmDrain(ctx, &gatewaypb.ConfirmDrainRequest{Vm: vm, Epoch: epoch})
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("confirm drain of %s: %w", vm, err)
	}
	if out.GetInFlight() < 0 {
		return 0, fmt.Errorf("confirm drain of %s: negative number in flight", vm)
	}
	return int(out.GetInFlight()), nil
}

// Demand returns the demand report of the gateway at addr.
func (c *Client) Demand(ctx context.Context, addr string) ([]structs.ServiceDemand, error) {
	var out *gatewaypb.DemandReply
	err := c.dialer.Call(ctx, addr, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = gatewaypb.NewDRPCGatewayClient(conn).Demand(ctx, &gatewaypb.DemandRequest{})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("demand report: %w", err)
	}
	var demands []structs.ServiceDemand
	for _, d := range out.GetServices() {
		demands = append(demands, structs.ServiceDemand{
			Service:  d.GetService(),
			Arrived:  d.GetArrived(),
			Served:   d.GetServed(),
			Refused:  d.GetRefused(),
			Queued:   int(d.GetQueued()),
			InFlight: int(d.GetInFlight()),
			Interval: time.Duration(d.GetIntervalNs()),
		})
	}
	return demands, nil
}
