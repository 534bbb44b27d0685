// Package controller wires the duties of the controller process together. The
// decisions are in the duties, each of which is a package of its own.
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
	// submissionTimeoutCalls is the deadline of a submission as a multiple of
	// the timeout of one platform call.
	submissionTimeoutCalls = 8
	// replyMargin is added to the deadline of the HTTP call. The publisher's
	// deadline passes first, so that the operator receives its error.
	replyMargin = 2 * time.Second
	// poolQueueSize is the number of platform calls that may wait for a free
	// goroutine of the pool.
	poolQueueSize = 1024
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
	Subscribers []*ring.Ring[*structs.Config] // receive each new configuration in force
	Fleet       func() *structs.FleetView     // may return nil
	Members     func() *structs.MemberView    // may return nil
	Drainer     Drainer
	Jobs        operator.JobHandler
}

// Controller is a controller process without its main function.
type Controller struct {
	opts        Options
	supervisor  *duty.Supervisor
	pool        pond.Pool
	config      *configwatch.Watch
	publisher   *publisher.Publisher
	operatorAPI *operator.Server
	admin       *operator.Admin
	running     atomic.Bool
}

// New builds the duties and listens on the addresses of the operators' API and
// the admin API.
func New(o Options) (*Controller, error) {
	c := &Controller{
		opts:       o,
		supervisor: duty.NewSupervisor(),
		pool: pond.NewPool(o.Settings.Platform.MaxConnections,
			pond.WithQueueSize(poolQueueSize), pond.WithNonBlocking(true)),
	}
	for _, build := range []func() error{c.buildConfig, c.buildPublisher, c.buildServers} {
		if err := build(); err != nil {
			return nil, fmt.Errorf("controller: %w", err)
		}
	}
	// Duties stop in reverse order: the operators' API first, the admin API
	// last.
	c.supervisor.Add(duty.Duty{Name: "admin", Run: c.admin.Run})
	c.supervisor.Add(c.config.Duty())
	c.supervisor.Add(c.publisher.Duty())
	return c, nil
}

func (c *Controller) buildConfig() (err error) {
	c.config, err = configwatch.New(configwatch.Options{
		Platform: c.opts.Platform, Peers: c.opts.Peers,
		PollInterval: c.opts.Settings.View.ConfigPoll, Timeout: c.opts.Settings.Platform.Timeout,
		Pool: c.pool, Subscribers: c.opts.Subscribers,
		Log: logging.For(c.opts.Log, "config"), Metrics: c.opts.Metrics,
	})
	return err
}

func (c *Controller) buildPublisher() (err error) {
	timeout := c.opts.Settings.Platform.Timeout
	c.publisher, err = publisher.New(publisher.Options{
		Platform: c.opts.Platform, Timeout: timeout, Deadline: submissionTimeoutCalls * timeout,
		Pool: c.pool, Current: c.config.Current, Now: time.Now,
		Published: func(ctx context.Context, generation uint64) {
			// The ring keeps the newest hints, so Hint fails only after the
			// configuration duty has ended.
			_ = c.config.Hint(ctx, generation)
		},
		Log: logging.For(c.opts.Log, "publisher"), Metrics: c.opts.Metrics,
	})
	return err
}

func (c *Controller) buildServers() (err error) {
	c.admin, err = operator.NewAdmin(c.opts.Settings.AdminListen, adminProcess{c}, logging.For(c.opts.Log, "admin"))
	if err != nil {
		return err
	}
	c.operatorAPI, err = operator.NewServer(operator.Options{
		Addr: c.opts.Settings.Controller.OperatorListen, Key: c.opts.Settings.Controller.OperatorKey,
		Timeout: submissionTimeoutCalls*c.opts.Settings.Platform.Timeout + replyMargin,
		Handler: operatorAPI{c}, Jobs: c.opts.Jobs, Log: logging.For(c.opts.Log, "operators"),
	})
	if err != nil {
		c.admin.Close()
	}
	return err
}

// Add registers another duty. It must be called before Run.
func (c *Controller) Add(d duty.Duty) { c.supervisor.Add(d) }

// Pool returns the goroutine pool for blocking calls to the platform. Its Go
// method returns an error instead of waiting if the queue is full.
func (c *Controller) Pool() pond.Pool { return c.pool }

// Config returns the configuration duty.
func (c *Controller) Config() *configwatch.Watch { return c.config }

// OperatorAddr returns the address that the operators' API listens on.
func (c *Controller) OperatorAddr() string { return c.operatorAPI.Addr() }

// AdminAddr returns the address that the admin API listens on.
func (c *Controller) AdminAddr() string { return c.admin.Addr() }

// Run runs all duties until ctx ends or a duty fails, and then stops them
// within the drain timeout.
func (c *Controller) Run(ctx context.Context) error {
	c.supervisor.Add(duty.Duty{Name: "operators", Run: c.operatorAPI.Run})
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
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.opts.Settings.Controller.DrainTimeout)
	defer cancel()
	err := c.supervisor.Stop(stopCtx)
	c.pool.Stop()
	c.opts.Log.Info("controller stopped")
	return errors.Join(failed, err)
}
