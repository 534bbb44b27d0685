package process

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/carobwharf/carobwharf/daemon/gateway"
	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/peer/caller"
	"github.com/carobwharf/carobwharf/peer/endpoint"
	peergateway "github.com/carobwharf/carobwharf/peer/gateway"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

// Time for duties to end after the drain.
const stopTimeout = 10 * time.Second

// Gateway is a running gateway process.
type Gateway struct {
	base     *base
	data     *gateway.Gateway
	callers  *caller.Server
	addr     string
	draining atomic.Bool
}

// NewGateway builds a gateway process and opens its listeners. Start runs it.
func NewGateway(set settings.Process, logOutput io.Writer) (*Gateway, error) {
	path, conns := newViews("dispatcher"), newViews("connections")
	b, err := newBase(set, structs.RoleGateway, logOutput, path, conns)
	if err != nil {
		return nil, err
	}
	endpoints := endpoint.New(endpoint.Options{
		ConnIdle: set.Gateway.ConnIdle, ConnAge: set.Gateway.ConnAge, MaxBody: set.Gateway.MaxBody,
	})
	g := &Gateway{base: b}
	inputs := gateway.Inputs{Configs: path.configs, Fleets: path.fleets, Members: path.members}
	if g.data, err = gateway.New(set, b.platform, endpoints, inputs, b.log, b.reg); err != nil {
		return nil, err
	}
	if err := peergateway.Register(b.server, drainHandler{g.data}); err != nil {
		return nil, fmt.Errorf("register the gateway service: %w", err)
	}
	g.callers = caller.NewServer(caller.Config{
		Listen: set.Gateway.Listen, MaxConnections: set.Gateway.MaxConnections,
		MaxBody: set.Gateway.MaxBody, ReadTimeout: set.Gateway.ReadTimeout, StopTimeout: stopTimeout,
	}, g.data, b.part("caller"))
	if g.addr, err = g.callers.Listen(); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	b.sup.Add(duty.Duty{Name: "connections", Run: connectionShare{endpoints, conns}.run})
	g.data.Register(b.sup)
	b.sup.Add(duty.Duty{Name: "caller", Run: g.callers.Run})
	return g, nil
}

// Start runs the duties.
func (g *Gateway) Start(ctx context.Context) { g.base.sup.Start(ctx) }

// Addr returns the IP:port for callers.
func (g *Gateway) Addr() string { return g.addr }

// PeerAddr returns the IP:port for the project's own processes.
func (g *Gateway) PeerAddr() string { return g.base.server.Addr() }

// Failed delivers the error of the first duty that failed.
func (g *Gateway) Failed() <-chan error { return g.base.sup.Failed() }

// Ready reports whether the process takes new requests.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.data.Ready() }

// Generation returns the configuration generation in force, 0 for none.
func (g *Gateway) Generation() uint64 { return generation(g.base.watch.Current()) }

// Stop drains the process: readiness goes off, callers are told to turn to
// another gateway, requests in the process are answered, then all duties end.
func (g *Gateway) Stop(ctx context.Context) error {
	g.draining.Store(true)
	g.callers.Drain()
	drainErr := g.data.Drain(ctx)
	if err := g.base.stop(stopTimeout); err != nil {
		return err
	}
	return drainErr
}

// drainHandler answers controllers.
type drainHandler struct{ data *gateway.Gateway }

// ConfirmDrain stops new work to the VM and returns what is in flight.
func (h drainHandler) ConfirmDrain(ctx context.Context, vm string, epoch uint64) (int, error) {
	return h.data.DrainVM(ctx, vm, epoch)
}

// Demand returns the load of each service.
func (h drainHandler) Demand(context.Context) ([]structs.ServiceDemand, error) {
	return h.data.Demand(), nil
}

// connectionShare keeps this process's connections to endpoints within its
// share of each endpoint's connections.
type connectionShare struct {
	endpoints *endpoint.Client
	in        views
}

func (c connectionShare) run(ctx context.Context) error {
	defer c.endpoints.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-c.in.members.C():
			c.endpoints.SetShare(v.Rank())
		case v := <-c.in.fleets.C():
			c.endpoints.Retain(v.VMs)
		case <-c.in.configs.C():
		}
	}
}

func generation(c *structs.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Generation
}
