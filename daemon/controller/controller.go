// Package controller wires the duties of the controller process. It holds no
// decisions: each duty is a package of its own.
package controller

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/daemon/controller/publisher"
	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/logging"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/configwatch"
	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	// submissionCalls is the number of platform calls that one submission may
	// wait for: its deadline is this many call timeouts.
	submissionCalls = 8
	// replyMargin lets the publisher's own deadline pass before the HTTP
	// call's, so that an operator receives its reason.
	replyMargin = 2 * time.Second
	// poolQueue is the number of platform calls that wait for a free worker.
	poolQueue = 1024
)

// Drainer drains VMs for operators.
type Drainer interface {
	Drain(ctx context.Context, r operator.DrainRequest) (operator.DrainReply, error)
}

// Options configures New. The fields from Peers on may be zero.
type Options struct {
	Settings settings.Process
	Platform store.Platform
	Log      hclog.Logger
	Metrics  *metrics.Registry
	Version  any // shown at the admin address

	Peers       configwatch.PeerSource
	Subscribers []*ring.Ring[*structs.Config] // receive each configuration that comes into force
	Fleet       func() *structs.FleetView     // may return nil
	Members     func() *structs.MemberView    // may return nil
	Drainer     Drainer
	Jobs        operator.JobHandler
}

// Controller is a controller process without its main function.
type Controller struct {
	opts       Options
	supervisor *duty.Supervisor
	pool       pond.Pool
	config     *configwatch.Watch
	publisher  *publisher.Publisher
	operators  *operator.Server
	admin      *operator.Admin
	running    atomic.Bool
}

// New builds the duties and listens on the operators' and the admin address.
func New(o Options) (*Controller, error) {
	c := &Controller{
		opts:       o,
		supervisor: duty.NewSupervisor(),
		pool: pond.NewPool(o.Settings.Platform.MaxConnections,
			pond.WithQueueSize(poolQueue), pond.WithNonBlocking(true)),
	}
	for _, build := range []func() error{c.buildConfig, c.buildPublisher, c.buildServers} {
		if err := build(); err != nil {
			return nil, fmt.Errorf("controller: %w", err)
		}
	}
	// Duties stop in the reverse order: the operators' API first, the admin
	// address last.
	c.supervisor.Add(duty.Duty{Name: "admin", Run: c.admin.Run})
	c.supervisor.Add(c.config.Duty())
	c.supervisor.Add(c.publisher.Duty())
	return c, nil
}

func (c *Controller) buildConfig() (err error) {
	c.config, err = configwatch.New(configwatch.Options{
		Platform: c.opts.Platform, Peers: c.opts.Peers,
		Poll: c.opts.Settings.View.ConfigPoll, Timeout: c.opts.Settings.Platform.Timeout,
		Pool: c.pool, Subscribers: c.opts.Subscribers,
		Log: logging.For(c.opts.Log, "config"), Metrics: c.opts.Metrics,
	})
	return err
}

func (c *Controller) buildPublisher() (err error) {
	timeout := c.opts.Settings.Platform.Timeout
	c.publisher, err = publisher.New(publisher.Options{
		Platform: c.opts.Platform, Timeout: timeout, Deadline: submissionCalls * timeout,
		Pool: c.pool, Current: c.config.Current, Now: time.Now,
		Published: func(ctx context.Context, generation uint64) {
			// The ring keeps the newest hints and only fails after its end.
			_ = c.config.Hint(ctx, generation)
		},
		Log: logging.For(c.opts.Log, "publisher"), Metrics: c.opts.Metrics,
	})
	return err
}

func (c *Controller) buildServers() (err error) {
	c.admin, err = operator.NewAdmin(c.opts.Settings.AdminListen, process{c})
	if err != nil {
		return err
	}
	c.operators, err = operator.NewServer(operator.Options{
		Addr: c.opts.Settings.Controller.OperatorListen, Key: c.opts.Settings.Controller.OperatorKey,
		Timeout: submissionCalls*c.opts.Settings.Platform.Timeout + replyMargin,
		Handler: operators{c}, Jobs: c.opts.Jobs,
	})
	if err != nil {
		c.admin.Close()
	}
	return err
}

// Add registers a further duty. It must be called before Run.
func (c *Controller) Add(d duty.Duty) { c.supervisor.Add(d) }

// Pool returns the pool for blocking calls to the platform. Its Go method
// returns an error instead of waiting when the queue is full.
func (c *Controller) Pool() pond.Pool { return c.pool }

// Config returns the configuration duty.
func (c *Controller) Config() *configwatch.Watch { return c.config }

// OperatorAddr returns the address that the operators' API listens on.
func (c *Controller) OperatorAddr() string { return c.operators.Addr() }

// AdminAddr returns the admin address.
func (c *Controller) AdminAddr() string { return c.admin.Addr() }

// Run runs all duties until ctx ends or a duty fails, and then stops them
// within the drain timeout.
func (c *Controller) Run(ctx context.Context) error {
	c.supervisor.Add(duty.Duty{Name: "operators", Run: c.operators.Run})
	c.supervisor.Start(ctx)
	c.running.Store(true)
	c.opts.Log.Info("controller started", "operators", c.OperatorAddr(), "admin", c.AdminAddr(), "duties", c.supervisor.Names())
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-c.supervisor.Failed():
		c.opts.Log.Error("duty failed", "error", failed)
	}
	c.running.Store(false)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.Settings.Controller.DrainTimeout)
	defer cancel()
	err := c.supervisor.Stop(stop)
	c.pool.Stop()
	c.opts.Log.Info("controller stopped")
	return errors.Join(failed, err)
}
