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
	// stopTimeout is the timeout for stopping the duties after the drain.
	stopTimeout = 10 * time.Second
	// The configuration duty reads the head, fetches a set from the platform and
	// fetches one from a peer concurrently; one worker is spare.
	configPoolWorkers = 4
	configPoolQueue   = 16
)

// Gateway is a gateway process.
type Gateway struct {
	base         *base
	supervisor   *duty.Supervisor
	configPool   pond.Pool
	configWatch  *configwatch.Watch
	dataPath     *gateway.Gateway
	callerServer *caller.Server
	admin        *operator.Admin
	callerAddr   string
	draining     atomic.Bool
}

// NewGateway creates a gateway process and opens its listeners.
func NewGateway(o Options) (*Gateway, error) {
	dispatcherViews, connViews := newViewRings("dispatcher"), newViewRings("connections")
	connViews.configs = nil
	b, err := newBase(o, dispatcherViews, connViews)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		base:       b,
		supervisor: duty.NewSupervisor(),
		configPool: pond.NewPool(configPoolWorkers, pond.WithQueueSize(configPoolQueue), pond.WithNonBlocking(true)),
	}
	if err := g.initAdminAndConfigWatch(); err != nil {
		return nil, err
	}
	endpoints := endpoint.New(endpoint.Options{
		ConnIdle: b.settings.Gateway.ConnIdle, ConnAge: b.settings.Gateway.ConnAge, MaxBody: b.settings.Gateway.MaxBody,
	})
	inputs := gateway.Inputs{Configs: dispatcherViews.configs, Fleets: dispatcherViews.fleets, Members: dispatcherViews.members}
	if g.dataPath, err = gateway.New(b.settings, b.platform, endpoints, inputs, o.Log, o.Metrics); err != nil {
		return nil, err
	}
	if err := peergateway.Register(b.server, gatewayHandler{g.dataPath}); err != nil {
		return nil, fmt.Errorf("register the gateway service: %w", err)
	}
	if err := g.listenCallers(); err != nil {
		return nil, err
	}
	g.supervisor.Add(duty.Duty{Name: "admin", Run: g.admin.Run})
	g.supervisor.Add(g.configWatch.Duty())
	if err := b.addSharedDuties(structs.RoleGateway, g.admin.Addr(), g.configWatch, g.supervisor.Add); err != nil {
		return nil, err
	}
	g.supervisor.Add(duty.Duty{Name: "connections", Run: connectionLimiter{endpoints, connViews}.run})
	g.dataPath.Register(g.supervisor)
	g.supervisor.Add(duty.Duty{Name: "caller", Run: g.callerServer.Run})
	return g, nil
}

// initAdminAndConfigWatch opens the admin address and creates the configuration
// duty.
func (g *Gateway) initAdminAndConfigWatch() (err error) {
	cfg := g.base.settings
	if g.admin, err = operator.NewAdmin(cfg.AdminListen, adminHandler{g}, g.base.logger("admin")); err != nil {
		return fmt.Errorf("open the admin address: %w", err)
	}
	g.configWatch, err = configwatch.New(configwatch.Options{
		Platform: g.base.platform, Peers: g.base.transfer,
		PollInterval: cfg.View.ConfigPoll, Timeout: cfg.Platform.Timeout, Pool: g.configPool,
		Subscribers: g.base.subscribers.configs, Log: g.base.logger("config"), Metrics: g.base.opts.Metrics,
	})
	if err != nil {
		return fmt.Errorf("create the configuration duty: %w", err)
	}
	return nil
}

func (g *Gateway) listenCallers() (err error) {
	cfg := g.base.settings.Gateway
	g.callerServer = caller.NewServer(caller.Config{
		Listen: cfg.Listen, MaxConnections: cfg.MaxConnections,
		MaxBody: cfg.MaxBody, ReadTimeout: cfg.ReadTimeout, StopTimeout: stopTimeout,
	}, g.dataPath, g.base.logger("caller"))
	if g.callerAddr, err = g.callerServer.Listen(); err != nil {
		return fmt.Errorf("open the caller listener: %w", err)
	}
	return nil
}

// Addr returns the IP:port of the listener for callers.
func (g *Gateway) Addr() string { return g.callerAddr }

// AdminAddr returns the IP:port of the admin address, which serves health, metrics
// and dumps.
func (g *Gateway) AdminAddr() string { return g.admin.Addr() }

// PeerAddr returns the IP:port of the peer listener.
func (g *Gateway) PeerAddr() string { return g.base.server.Addr() }

// Ready reports whether the gateway accepts new requests.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.dataPath.Ready() }

// LiveMemberCount returns the number of live processes in this gateway's view.
func (g *Gateway) LiveMemberCount() int {
	if v := g.base.latest.members.Load(); v != nil {
		return len(v.Live)
	}
	return 0
}

// OwnedVMCount returns the number of VMs that belong to a pool, according to this
// gateway's view.
func (g *Gateway) OwnedVMCount() int {
	if v := g.base.latest.fleet.Load(); v != nil {
		return len(v.Owners)
	}
	return 0
}

// Generation returns the generation of the configuration in force, or 0 if there
// is none.
func (g *Gateway) Generation() uint64 {
	if c := g.configWatch.Current(); c != nil {
		return c.Generation
	}
	return 0
}

// Run runs all duties until ctx ends or a duty fails, and then drains: the gateway
// reports that it is not ready and tells callers in its responses to use another
// gateway. After the grace period it refuses new requests, completes the requests
// in progress and stops the duties.
func (g *Gateway) Run(ctx context.Context) error {
	g.supervisor.Start(ctx)
	g.base.opts.Log.Info("gateway started", "callers", g.callerAddr, "peers", g.PeerAddr(), "admin", g.AdminAddr())
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-g.supervisor.Failed():
		g.base.opts.Log.Error("duty failed", "error", failed)
	}
	return errors.Join(failed, g.stop(context.WithoutCancel(ctx)))
}

func (g *Gateway) stop(ctx context.Context) error {
	g.draining.Store(true)
	g.callerServer.Drain()
	grace := time.NewTimer(g.base.settings.Gateway.DrainGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-g.supervisor.Failed():
	}
	drainErr := g.dataPath.Drain(ctx)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	stopErr := g.supervisor.Stop(ctx)
	g.configPool.StopAndWait()
	g.base.opts.Log.Info("gateway stopped")
	return errors.Join(drainErr, stopErr, g.base.close())
}

// adminHandler provides what the admin address serves.
type adminHandler struct{ gateway *Gateway }

// Healthy returns nil, because a failed duty ends the process.
func (h adminHandler) Healthy() error { return nil }

// Ready returns an error while the gateway accepts no requests.
func (h adminHandler) Ready() error {
	switch {
	case h.gateway.draining.Load():
		return errors.New("the process is stopping")
	case !h.gateway.dataPath.Ready():
		return errors.New("no configuration or no fleet is known yet")
	}
	return nil
}

// WriteMetrics writes the metrics as JSON.
func (h adminHandler) WriteMetrics(w io.Writer) error {
	return h.gateway.base.opts.Metrics.WriteJSON(w)
}

// Dump returns the state of every duty.
func (h adminHandler) Dump(ctx context.Context, timeout time.Duration) []duty.Report {
	return h.gateway.supervisor.Dump(ctx, timeout)
}

// Version returns the version of the binary.
func (h adminHandler) Version() any { return h.gateway.base.opts.Version }

// gatewayHandler implements peergateway.Handler.
type gatewayHandler struct{ dataPath *gateway.Gateway }

// ConfirmDrain stops new requests to the VM and returns the number in flight.
func (h gatewayHandler) ConfirmDrain(ctx context.Context, vm string, epoch uint64) (int, error) {
	return h.dataPath.DrainVM(ctx, vm, epoch)
}

// Demand returns the demand for each service.
func (h gatewayHandler) Demand(context.Context) ([]structs.ServiceDemand, error) {
	return h.dataPath.Demand(), nil
}

// connectionLimiter limits the connections of this process to its share of each
// endpoint's connections, and closes connections to VMs that have left the fleet.
type connectionLimiter struct {
	endpoints *endpoint.Client
	views     viewRings
}

func (c connectionLimiter) run(ctx context.Context) error {
	defer c.endpoints.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-c.views.members.C():
			c.endpoints.SetShare(v.Rank())
		case v := <-c.views.fleets.C():
			c.endpoints.Retain(v.VMs)
		}
	}
}
