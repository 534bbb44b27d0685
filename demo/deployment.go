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
	vmCount           = 50
	vmSlots           = 8
	vmConnections     = 64
	meanServiceTime   = 20 * time.Millisecond
	serviceSigma      = 0.5
	callerConnections = 512
	firstVMAddress    = "127.0.1.1"
	operatorKey       = "demonstration"
)

var dataCentres = []string{"dc1", "dc2", "dc3"}

// deployment is the set of servers and processes of a demonstration.
type deployment struct {
	platform    *platform.Server
	endpoints   *endpoint.Server
	controllers []*process.Controller
	gateways    []*process.Gateway
	balancer    *loadBalancer
	effects     []endpoint.Effect // set by stop
	cancel      context.CancelFunc
	exitErrors  chan error // one result of Run from each process
}

func startDeployment(ctx context.Context, o Options, set structs.ObjectSet) (*deployment, error) {
	d := &deployment{exitErrors: make(chan error, o.Gateways+o.Controllers)}
	processCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	err := d.start(ctx, processCtx, o, set)
	if err != nil {
		return nil, errors.Join(err, d.stop())
	}
	return d, nil
}

func (d *deployment) start(ctx, processCtx context.Context, o Options, set structs.ObjectSet) error {
	if err := d.startStandins(o, &set); err != nil {
		return err
	}
	if err := d.startControllers(processCtx, o); err != nil {
		return err
	}
	client := operator.NewClient(d.controllers[0].OperatorAddr(), operatorKey)
	if _, err := client.Submit(ctx, "demo-first-set", 0, fleetFile, fleetINI); err != nil {
		return fmt.Errorf("submit the demonstration's object set: %w", err)
	}
	if err := d.startGateways(processCtx, o); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *deployment) startStandins(o Options, set *structs.ObjectSet) error {
	vms, err := endpoint.Fleet(vmCount, firstVMAddress, 0, dataCentres, vmSlots, vmConnections)
	if err != nil {
		return fmt.Errorf("create fleet of endpoints: %w", err)
	}
	ec := endpoint.DefaultConfig()
	ec.VMs, ec.Seed = vms, o.Seed
	ec.Default = endpoint.Service{Mean: meanServiceTime, Sigma: serviceSigma}
	ec.Services = map[string]endpoint.Service{}
	for _, s := range set.Services {
		ec.Services[s.Name] = endpoint.Service{Legacy: s.Legacy, Mean: meanServiceTime, Sigma: serviceSigma}
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

func (d *deployment) processOptions(name string, n int, o Options) (process.Options, error) {
	p := settings.DefaultProcess()
	p.ID = fmt.Sprintf("%s-%d", name, n+1)
	p.DataCentre = dataCentres[n%len(dataCentres)]
	p.Platform.Addr = d.platform.Addr()
	p.Controller.OperatorKey = operatorKey
	p.Gateway.DrainGrace = time.Millisecond // the load has ended before the processes stop
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
		opts, err := d.processOptions("controller", i, o)
		if err != nil {
			return err
		}
		c, err := process.NewController(opts)
		if err != nil {
			return fmt.Errorf("create controller %d: %w", i+1, err)
		}
		d.controllers = append(d.controllers, c)
		go func() { d.exitErrors <- c.Run(ctx) }()
	}
	return nil
}

func (d *deployment) startGateways(ctx context.Context, o Options) error {
	d.balancer = &loadBalancer{}
	for i := range o.Gateways {
		opts, err := d.processOptions("gateway", i, o)
		if err != nil {
			return err
		}
		g, err := process.NewGateway(opts)
		if err != nil {
			return fmt.Errorf("create gateway %d: %w", i+1, err)
		}
		d.gateways = append(d.gateways, g)
		d.balancer.clients = append(d.balancer.clients, caller.NewClient(caller.ClientConfig{Addr: g.Addr(), MaxConnections: callerConnections}))
		go func() { d.exitErrors <- g.Run(ctx) }()
	}
	return nil
}

// waitReady waits until every gateway has a configuration and knows all processes
// and the owner of every VM.
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

// stop stops the processes, reads the effects from the endpoints and stops the
// stand-ins.
func (d *deployment) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var errs []error
	d.cancel()
	for range len(d.gateways) + len(d.controllers) {
		errs = append(errs, <-d.exitErrors)
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

// loadBalancer sends each call to the next gateway, as the platform's load
// balancer does.
type loadBalancer struct {
	clients []*caller.Client
	next    atomic.Uint64
	done    atomic.Int64
	notRun  atomic.Int64
	unknown atomic.Int64 // includes calls without an answer
}

// Call sends the request to the next gateway and counts the outcome.
func (b *loadBalancer) Call(ctx context.Context, req *structs.Request) (structs.Answer, error) {
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
