package demo

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/carobwharf/carobwharf/daemon/process"
	"github.com/carobwharf/carobwharf/logging"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/peer/caller"
	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/standin/endpoint"
	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/structs"
)

// Size of the demonstration's fleet.
const (
	vmCount        = 50
	vmSlots        = 8
	vmConnections  = 64
	serviceTime    = 20 * time.Millisecond
	serviceSigma   = 0.5
	callerConns    = 512
	firstVMAddress = "127.0.1.1"
	operatorKey    = "demonstration"
)

var dataCentres = []string{"dc1", "dc2", "dc3"}

// deployment is everything that runs during a demonstration.
type deployment struct {
	platform    *platform.Server
	endpoints   *endpoint.Server
	controllers []*process.Controller
	gateways    []*process.Gateway
	callers     *balancer
	effects     []endpoint.Effect // set by stop
	cancel      context.CancelFunc
	ended       chan error // one value from each process
}

func startDeployment(ctx context.Context, o Options, set structs.ObjectSet) (*deployment, error) {
	d := &deployment{ended: make(chan error, o.Gateways+o.Controllers)}
	processes, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	err := d.start(ctx, processes, o, set)
	if err != nil {
		return nil, errors.Join(err, d.stop())
	}
	return d, nil
}

func (d *deployment) start(ctx, processes context.Context, o Options, set structs.ObjectSet) error {
	if err := d.startStandins(o, &set); err != nil {
		return err
	}
	if err := d.startControllers(processes, o); err != nil {
		return err
	}
	client := operator.NewClient(d.controllers[0].OperatorAddr(), operatorKey)
	if _, err := client.Submit(ctx, "demo-first-set", 0, fleetFile, fleetINI); err != nil {
		return fmt.Errorf("submit the demonstration set: %w", err)
	}
	if err := d.startGateways(processes, o); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *deployment) startStandins(o Options, set *structs.ObjectSet) error {
	vms, err := endpoint.Fleet(vmCount, firstVMAddress, 0, dataCentres, vmSlots, vmConnections)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	ec := endpoint.DefaultConfig()
	ec.VMs, ec.Seed = vms, o.Seed
	ec.Default = endpoint.Service{Mean: serviceTime, Sigma: serviceSigma}
	ec.Services = map[string]endpoint.Service{}
	for _, s := range set.Services {
		ec.Services[s.Name] = endpoint.Service{Legacy: s.Legacy, Mean: serviceTime, Sigma: serviceSigma}
	}
	endpoints := endpoint.New(ec)
	if err := endpoints.Start(); err != nil {
		return err
	}
	d.endpoints = endpoints
	pc := platform.DefaultConfig()
	pc.Seed, pc.VMs, pc.Power = o.Seed, endpoints.VMs(), endpoints.SetDown
	server := platform.New(pc)
	if err := server.Start(); err != nil {
		return err
	}
	d.platform = server
	return nil
}

func (d *deployment) options(name string, n int, o Options) (process.Options, error) {
	p := settings.DefaultProcess()
	p.ID = fmt.Sprintf("%s-%d", name, n+1)
	p.DataCentre = dataCentres[n%len(dataCentres)]
	p.Platform.Addr = d.platform.Addr()
	p.Controller.OperatorKey = operatorKey
	p.Gateway.DrainGrace = time.Millisecond // the load has ended before the stop
	for _, c := range d.controllers {
		p.Seeds = append(p.Seeds, c.PeerAddr())
	}
	log, err := logging.New(logging.Options{Level: "warn", Format: logging.FormatText, Output: o.Log})
	if err != nil {
		return process.Options{}, err
	}
	return process.Options{Settings: p, Log: logging.For(log, p.ID), Metrics: metrics.New()}, nil
}

func (d *deployment) startControllers(ctx context.Context, o Options) error {
	for i := range o.Controllers {
		opts, err := d.options("controller", i, o)
		if err != nil {
			return err
		}
		c, err := process.NewController(opts)
		if err != nil {
			return fmt.Errorf("controller %d: %w", i+1, err)
		}
		d.controllers = append(d.controllers, c)
		go func() { d.ended <- c.Run(ctx) }()
	}
	return nil
}

func (d *deployment) startGateways(ctx context.Context, o Options) error {
	d.callers = &balancer{}
	for i := range o.Gateways {
		opts, err := d.options("gateway", i, o)
		if err != nil {
			return err
		}
		g, err := process.NewGateway(opts)
		if err != nil {
			return fmt.Errorf("gateway %d: %w", i+1, err)
		}
		d.gateways = append(d.gateways, g)
		d.callers.clients = append(d.callers.clients, caller.NewClient(caller.ClientConfig{Addr: g.Addr(), MaxConnections: callerConns}))
		go func() { d.ended <- g.Run(ctx) }()
	}
	return nil
}

// waitReady waits until every gateway has a configuration and knows the fleet
// and all processes, and every VM has an owner.
func (d *deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		if d.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("deployment is not ready after %s: %d of %d VMs have an owner",
				startTimeout, len(d.platform.Rows("vm/")), vmCount)
		case <-tick.C:
		}
	}
}

func (d *deployment) ready() bool {
	for _, g := range d.gateways {
		members := len(d.gateways) + len(d.controllers)
		if !g.Ready() || g.Generation() == 0 || g.LiveMemberCount() < members || g.OwnedVMCount() < vmCount {
			return false
		}
	}
	return true
}

// stop ends the processes, keeps the effects and ends the stand-ins.
func (d *deployment) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var errs []error
	d.cancel()
	for range len(d.gateways) + len(d.controllers) {
		errs = append(errs, <-d.ended)
	}
	if d.endpoints != nil {
		d.effects = d.endpoints.Effects(0, 0).Effects
		errs = append(errs, d.endpoints.Stop(ctx))
	}
	if d.platform != nil {
		errs = append(errs, d.platform.Stop(ctx))
	}
	return errors.Join(errs...)
}

// balancer sends each call to the next gateway, as the platform's load
// balancer does.
type balancer struct {
	clients []*caller.Client
	next    atomic.Uint64
	done    atomic.Int64
	notRun  atomic.Int64
	unknown atomic.Int64 // calls without an answer included
}

// Call sends the request through the next gateway.
func (b *balancer) Call(ctx context.Context, req *structs.Request) (structs.Answer, error) {
	answer, err := b.clients[b.next.Add(1)%uint64(len(b.clients))].Call(ctx, req)
	switch {
	case err == nil && answer.Outcome == structs.OutcomeDone:
		b.done.Add(1)
	case err == nil && answer.Outcome == structs.OutcomeNotRun:
		b.notRun.Add(1)
	default:
		b.unknown.Add(1)
	}
	return answer, err
}
