// Package jobs implements the jobs duty, which runs the teams' jobs on the
// workers of the pools whose lease this process holds. Package machine makes
// the decisions. This package performs the I/O in a bounded goroutine pool and
// serves the jobs API.
package jobs

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Options configures the duty. All fields are required.
type Options struct {
	Machine            machine.Config
	Timeout            time.Duration // timeout of one call to the platform or to a worker
	MaxConcurrentCalls int           // maximum number of concurrent calls
	Table              store.Table
	Workers            store.Workers
	Fleet              *ring.Ring[*structs.FleetView] // KeepNewest, filled by the vmview duty
	Configs            *ring.Ring[*structs.Config]    // KeepNewest, filled by the config duty
	Log                hclog.Logger
	Metrics            *metrics.Registry
}

const (
	tickInterval     = 100 * time.Millisecond
	eventRingSize    = 1024 // results of actions and jobs changed by the API
	maxQueuedActions = 4096 // actions and API calls that wait for a free goroutine
)

// Duty is the jobs duty.
type Duty struct {
	opts    Options
	machine *machine.Machine
	events  *ring.Ring[machine.Event]
	pool    pond.Pool
	config  atomic.Pointer[structs.Config]
	status  atomic.Pointer[Status]
}

// New returns the duty; Run starts it.
func New(o Options) (*Duty, error) {
	d := &Duty{
		opts:    o,
		machine: machine.New(o.Machine),
		events:  ring.New[machine.Event]("jobs", eventRingSize, ring.Wait),
		pool:    pond.NewPool(o.MaxConcurrentCalls, pond.WithQueueSize(maxQueuedActions), pond.WithNonBlocking(true)),
	}
	d.status.Store(&Status{})
	if err := o.Metrics.WatchRing("jobs", d.events.Stats); err != nil {
		return nil, fmt.Errorf("jobs: %w", err)
	}
	return d, nil
}

// Run runs the duty until ctx ends. Tasks keep running and are adopted by the
// next holders of the leases.
func (d *Duty) Run(ctx context.Context) error {
	defer d.pool.StopAndWait()
	defer d.events.Close()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.step(ctx, machine.Tick{})
			d.publishStatus()
		case v := <-d.opts.Fleet.C():
			d.step(ctx, machine.FleetUpdated{View: v})
		case c := <-d.opts.Configs.C():
			d.config.Store(c)
			d.step(ctx, machine.ConfigUpdated{Config: c})
		case e := <-d.events.C():
			d.step(ctx, e)
		}
	}
}

// step passes an event to the machine and starts the resulting actions. If the
// queue of the goroutine pool is full, the action fails immediately and the
// machine retries it later.
func (d *Duty) step(ctx context.Context, e machine.Event) {
	for pending := []machine.Event{e}; len(pending) > 0; pending = pending[1:] {
		started := time.Now()
		actions := d.machine.Step(started, pending[0])
		d.opts.Metrics.Timer("jobs.step").UpdateSince(started)
		d.recordResult(pending[0])
		for _, a := range actions {
			if err := d.pool.Go(func() { _ = d.events.Put(ctx, d.perform(ctx, a)) }); err != nil {
				d.opts.Metrics.Counter("jobs.no_call").Inc(1)
				pending = append(pending, failedResult(a))
			}
		}
	}
}

// recordResult updates metrics and logs for the result of a write or a call.
func (d *Duty) recordResult(e machine.Event) {
	switch e := e.(type) {
	case machine.WriteResult:
		d.opts.Metrics.Counter("jobs.write." + string(e.Outcome)).Inc(1)
		d.opts.Log.Debug("job row write completed", "job", e.Job.Spec.ID, "state", e.Job.State, "outcome", e.Outcome)
	case machine.CallResult:
		d.opts.Metrics.Counter("jobs." + string(e.Call.Kind) + "." + string(e.Outcome)).Inc(1)
		if e.Outcome != machine.OutcomeDone {
			d.opts.Log.Debug("call to worker failed", "call", e.Call.Kind, "job", e.Call.Job,
				"worker", e.Call.Worker, "outcome", e.Outcome)
		}
	}
}
