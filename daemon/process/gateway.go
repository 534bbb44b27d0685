package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/carobwharf/carobwharf/daemon/gateway"
	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/node/configwatch"
	"github.com/carobwharf/carobwharf/peer/caller"
	"github.com/carobwharf/carobwharf/peer/endpoint"
	peergateway "github.com/carobwharf/carobwharf/peer/gateway"
	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	// stopTimeout bounds the end of the duties after the drain.
	stopTimeout = 10 * time.Second
	// Calls of the configuration duty: the head, a set, a peer, one to spare.
	configWorkers = 4
	configQueue   = 16
)

// Gateway is a gateway process.
type Gateway struct {
	base     *base
	sup      *duty.Supervisor
	pool     pond.Pool
	watch    *configwatch.Watch
	data     *gateway.Gateway
	callers  *caller.Server
	admin    *operator.Admin
	addr     string
	draining atomic.Bool
}

// NewGateway builds a gateway process and opens its listeners.
func NewGateway(o Options) (*Gateway, error) {
	path, conns := newViews("dispatcher"), newViews("connections")
	conns.configs = nil
	b, err := newBase(o, path, conns)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		base: b,
		sup:  duty.NewSupervisor(),
		pool: pond.NewPool(configWorkers, pond.WithQueueSize(configQueue), pond.WithNonBlocking(true)),
	}
	if err := g.listen(); err != nil {
		return nil, err
	}
	endpoints := endpoint.New(endpoint.Options{
		ConnIdle: b.set.Gateway.ConnIdle, ConnAge: b.set.Gateway.ConnAge, MaxBody: b.set.Gateway.MaxBody,
	})
	inputs := gateway.Inputs{Configs: path.configs, Fleets: path.fleets, Members: path.members}
	if g.data, err = gateway.New(b.set, b.platform, endpoints, inputs, o.Log, o.Metrics); err != nil {
		return nil, err
	}
	if err := peergateway.Register(b.server, drainHandler{g.data}); err != nil {
		return nil, fmt.Errorf("register the gateway service: %w", err)
	}
	if err := g.listenCallers(); err != nil {
		return nil, err
	}
	g.sup.Add(duty.Duty{Name: "admin", Run: g.admin.Run})
	g.sup.Add(g.watch.Duty())
	if err := b.addShared(structs.RoleGateway, g.admin.Addr(), g.watch, g.sup.Add); err != nil {
		return nil, err
	}
	g.sup.Add(duty.Duty{Name: "connections", Run: connectionShare{endpoints, conns}.run})
	g.data.Register(g.sup)
	g.sup.Add(duty.Duty{Name: "caller", Run: g.callers.Run})
	return g, nil
}

// listen opens the admin address and builds the configuration duty.
func (g *Gateway) listen() (err error) {
	set := g.base.set
	if g.admin, err = operator.NewAdmin(set.AdminListen, gatewayProcess{g}); err != nil {
		return fmt.Errorf("admin address: %w", err)
	}
	g.watch, err = configwatch.New(configwatch.Options{
		Platform: g.base.platform, Peers: g.base.transfer,
		PollInterval: set.View.ConfigPoll, Timeout: set.Platform.Timeout, Pool: g.pool,
		Subscribers: g.base.subscribed.configs, Log: g.base.part("config"), Metrics: g.base.opts.Metrics,
	})
	if err != nil {
		return fmt.Errorf("configuration duty: %w", err)
	}
	return nil
}

func (g *Gateway) listenCallers() (err error) {
	set := g.base.set.Gateway
	g.callers = caller.NewServer(caller.Config{
		Listen: set.Listen, MaxConnections: set.MaxConnections,
		MaxBody: set.MaxBody, ReadTimeout: set.ReadTimeout, StopTimeout: stopTimeout,
	}, g.data, g.base.part("caller"))
	if g.addr, err = g.callers.Listen(); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

// Addr returns the IP:port for callers.
func (g *Gateway) Addr() string { return g.addr }

// AdminAddr returns the IP:port of health, metrics and dump.
func (g *Gateway) AdminAddr() string { return g.admin.Addr() }

// PeerAddr returns the IP:port for the project's own processes.
func (g *Gateway) PeerAddr() string { return g.base.server.Addr() }

// Ready reports whether the process takes new requests.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.data.Ready() }

// Members returns the number of live processes in this gateway's view.
func (g *Gateway) Members() int {
	if v := g.base.seen.members.Load(); v != nil {
		return len(v.Live)
	}
	return 0
}

// OwnedVMs returns the number of VMs that belong to a pool in this gateway's
// view.
func (g *Gateway) OwnedVMs() int {
	if v := g.base.seen.fleet.Load(); v != nil {
		return len(v.Owners)
	}
	return 0
}

// Generation returns the configuration generation in force, 0 for none.
func (g *Gateway) Generation() uint64 {
	if c := g.watch.Current(); c != nil {
		return c.Generation
	}
	return 0
}

// Run runs all duties until ctx ends or a duty fails, then drains: readiness
// goes off, answers tell callers to turn to another gateway, new requests are
// refused after the grace period, those in the process are answered, and then
// the duties end.
func (g *Gateway) Run(ctx context.Context) error {
	g.sup.Start(ctx)
	g.base.opts.Log.Info("gateway started", "callers", g.addr, "peers", g.PeerAddr(), "admin", g.AdminAddr())
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-g.sup.Failed():
		g.base.opts.Log.Error("duty failed", "error", failed)
	}
	return errors.Join(failed, g.stop(context.WithoutCancel(ctx)))
}

func (g *Gateway) stop(ctx context.Context) error {
	g.draining.Store(true)
	g.callers.Drain()
	grace := time.NewTimer(g.base.set.Gateway.DrainGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-g.sup.Failed():
	}
	drainErr := g.data.Drain(ctx)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	stopErr := g.sup.Stop(ctx)
	g.pool.StopAndWait()
	g.base.opts.Log.Info("gateway stopped")
	return errors.Join(drainErr, stopErr, g.base.close())
}

// gatewayProcess is the gateway as the admin address shows it.
type gatewayProcess struct{ g *Gateway }

// Healthy returns nil: a failed duty ends the process.
func (p gatewayProcess) Healthy() error { return nil }

// Ready returns an error while the gateway takes no requests.
func (p gatewayProcess) Ready() error {
	switch {
	case p.g.draining.Load():
		return errors.New("the process is stopping")
	case !p.g.data.Ready():
		return errors.New("no configuration or no fleet is known yet")
	}
	return nil
}

// WriteMetrics writes the metrics as JSON.
func (p gatewayProcess) WriteMetrics(w io.Writer) error { return p.g.base.opts.Metrics.WriteJSON(w) }

// Dump returns the state of every duty.
func (p gatewayProcess) Dump(ctx context.Context, timeout time.Duration) []duty.Report {
	return p.g.sup.Dump(ctx, timeout)
}

// Version returns the version of the binary.
func (p gatewayProcess) Version() any { return p.g.base.opts.Version }

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
		}
	}
}
