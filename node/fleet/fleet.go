// Package fleet is the duty that owns the fleet: it claims and renews the
// fleet's lease, runs the planner of moves and upkeep, and executes its actions.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/fleet"
	"github.com/carobwharf/carobwharf/internal/guard"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// Queue sizes, limits and intervals.
const (
	resultQueueSize = 256
	loadQueueSize   = 16
	maxCalls        = 32 // concurrent calls to the store and the machine service
	// maxRunDueInterval is the maximum time between two calls of runDue.
	maxRunDueInterval = 250 * time.Millisecond
	// rowWriteInterval is the minimum time between writes of the fleet's row that
	// the owners of pools wait for.
	rowWriteInterval = 50 * time.Millisecond
	// statusTimeout is the timeout for storing the status of a wave.
	statusTimeout = 900 * time.Millisecond
	// claimDelay delays the claim of the fleet's lease, so that the leases of the
	// pools are claimed first and so are spread over the VMs.
	claimDelay = 300 * time.Millisecond
)

// Service is the adapter to the platform's machine service. Its methods return
// the errors of package store and errors of its own for refused orders.
type Service interface {
	List(ctx context.Context) (workload.MachineList, error)
	Move(ctx context.Context, token uint64, machine, pool string) error
	Upkeep(ctx context.Context, token uint64, machine string, wave int) error
}

// Options configures New.
type Options struct {
	Self            string
	Bounds          settings.Bounds
	CPUShare        float64 // share of a core that the VM has
	Table           store.Table
	Service         Service
	FollowerEnabled *ring.Ring[bool]                     // turns the follower of the load rows on or off
	ClassifyRefusal func(err error) (fleet.Result, bool) // maps a refusal by the service to a result; false: the error is not a refusal
	WaveStatus      func(wave int, done bool) store.Op   // write of the status of a wave
	Log             hclog.Logger
	Metrics         *metrics.Registry
}

// Duty owns the fleet.
type Duty struct {
	Options
	Views            *ring.Ring[*board.View]
	Loads            *ring.Ring[follow.Delta] // changes of the load rows
	Release          *ring.Ring[struct{}]     // makes the duty release the fleet's lease
	stateRequester   *duty.StateRequester
	results          *ring.Ring[any]
	callPool         pond.Pool
	holder           *holder.Holder
	view             *board.View
	poolStatuses     map[string]engine.Status // by pool
	planner          *fleet.Planner           // nil while the lease is not held
	events           []fleet.Event            // for the next step of the planner
	releaseRequested []string                 // machines to release in the row as written last
	heldBefore       bool                     // this process has held the lease
	releasing        bool                     // the lease is not claimed, or released if held
	followerOn       bool                     // the load rows are followed
}

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Options:        o,
		Views:          ring.New[*board.View]("fleet-views", 1, ring.KeepNewest),
		Loads:          ring.New[follow.Delta]("fleet-loads", loadQueueSize, ring.Wait),
		Release:        ring.New[struct{}]("fleet-release", 1, ring.Refuse),
		stateRequester: duty.NewStateRequester("fleet"),
		results:        ring.New[any]("fleet-results", resultQueueSize, ring.Wait),
		callPool:       pond.NewPool(maxCalls),
		holder:         holder.New(store.ControlFleet, o.Self, o.CPUShare, o.Log),
		poolStatuses:   map[string]engine.Status{},
	}
}

// Run owns the fleet until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer d.callPool.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-d.Views.C():
			d.handleView(v)
		case delta := <-d.Loads.C():
			d.handleLoads(delta)
		case <-d.Release.C():
			d.releasing = true
		case r := <-d.results.C():
			d.handleResult(r)
		case reply := <-d.stateRequester.Requests():
			reply <- Report{Held: d.holder.Valid(steady.Now()), Token: d.holder.Control.Token, Release: d.releaseRequested, Kept: d.holder.Control.Kept}
		case <-timer.C:
		}
		d.handlePending()
		timer.Reset(d.runDue(ctx))
	}
}

// handlePending handles the results that have arrived already, so that they
// share one step of the planner.
func (d *Duty) handlePending() {
	for {
		select {
		case r := <-d.results.C():
			d.handleResult(r)
		default:
			return
		}
	}
}

// Report is the duty's entry in the state dump.
type Report struct {
	Held    bool
	Token   uint64
	Release []string         // machines that the owners of their pools must release
	Kept    map[int][]string // by wave: machines whose upkeep has started
}

// Dump returns the state of the fleet's lease and orders.
func (d *Duty) Dump(ctx context.Context) any { return d.stateRequester.State(ctx) }

func (d *Duty) handleView(v *board.View) {
	d.view = v
	if d.holder.Observe(steady.Now(), v) {
		d.reset()
	}
	if d.planner != nil {
		d.addViewEvents()
	}
}

// handleLoads applies changes of the load rows.
func (d *Duty) handleLoads(delta follow.Delta) {
	if delta.Failed {
		return // the lease rows show how old the statuses may be
	}
	if delta.Reset {
		clear(d.poolStatuses)
	}
	for _, c := range delta.Changes {
		name := store.LoadName(c.Key)
		if c.Removed {
			delete(d.poolStatuses, name)
			continue
		}
		load, err := rows.DecodeLoad(c.Value)
		if err != nil {
			d.Log.Warn("can't decode load row", "row", c.Key, "error", err)
			continue
		}
		d.poolStatuses[name] = load.Status
	}
	if d.planner != nil {
		d.addViewEvents()
	}
}

// updateFollower turns the follower of the load rows on if the lease is held, and
// off otherwise.
func (d *Duty) updateFollower(ctx context.Context) {
	on := d.holder.State == holder.Held
	if on == d.followerOn {
		return
	}
	d.followerOn = on
	if !on {
		clear(d.poolStatuses)
	}
	if err := d.FollowerEnabled.Put(ctx, on); err != nil {
		d.Log.Warn("can't switch a table's follower on or off", "table", store.TableLoad, "error", err)
	}
}

func (d *Duty) reset() { d.planner, d.events = nil, nil }

// addViewEvents queues events with the current pools and waves for the planner.
func (d *Duty) addViewEvents() {
	pools := map[string]fleet.Pool{}
	if c := d.view.Configuration; c != nil {
		for _, configured := range c.Pools {
			leaseRow, ok := d.view.Leases[configured.Name]
			status, hasStatus := d.poolStatuses[configured.Name]
			owned := ok && hasStatus && leaseRow.Holder != "" && d.view.LeasesReadAt.Sub(leaseRow.Since) < leaseRow.Duration
			pools[configured.Name] = fleet.Pool{Standby: configured.Standby, Owned: owned, Status: status}
		}
	}
	waves := map[int]fleet.WaveRequest{}
	for n, w := range d.view.Waves {
		waves[n] = fleet.WaveRequest{Wave: w.Wave, Since: w.Since}
	}
	d.events = append(d.events, fleet.PoolsUpdated{Pools: pools}, fleet.WavesUpdated{Waves: waves})
}

func (d *Duty) handleResult(result any) {
	r, ok := result.(holder.Result)
	if !ok {
		if d.planner != nil {
			d.events = append(d.events, result.(fleet.Event))
		}
		return
	}
	now := steady.Now()
	switch d.holder.HandleResult(now, r) {
	case holder.Acquired:
		d.reset()
		d.planner = fleet.New(now, fleet.Config{
			Token: d.holder.Control.Token, HolderChange: d.Bounds.HolderChange, MoveTime: d.Bounds.MoveTime,
			UpkeepTime: d.Bounds.UpkeepTime, MaxLease: d.Bounds.MaxLease,
		}, d.formerHolder())
		d.heldBefore = true
		d.addViewEvents()
	case holder.Stored:
		if d.planner != nil {
			d.events = append(d.events, fleet.RowStored{Version: d.holder.Version(), Machines: d.releaseRequested})
		}
	case holder.Released, holder.Lost, holder.ClaimFailed:
		d.reset()
	}
}

// formerHolder returns what the fleet's row says of the former holder of the lease.
func (d *Duty) formerHolder() fleet.Former {
	c := d.holder.FormerControl
	return fleet.Former{
		Exists: d.holder.Control.Token > 1, UpkeepStarted: c.Kept, OrdersListed: c.Listed, Release: c.Release, Ordered: c.Ordered,
		Peaks: decodePeaks(time.Now(), c.Peaks), ProcessEnded: c.Holder == d.Self && !d.heldBefore,
	}
}

// encodePeaks returns the records of peaks as they are stored. wall is the present time
// of day: steady times of different VMs can't be compared.
func encodePeaks(wall time.Time, records map[string]fleet.PeakRecord) map[string]rows.Peaks {
	stored := make(map[string]rows.Peaks, len(records))
	for name, r := range records {
		p := rows.Peaks{InPeak: r.InPeak, Size: r.Size, Base: r.BaseSize}
		for _, age := range r.Ages {
			p.Starts = append(p.Starts, wall.Add(-age).UnixMilli())
		}
		stored[name] = p
	}
	return stored
}

// decodePeaks is the reverse of encodePeaks on another VM. Starts that are in the future
// by its clock are left out.
func decodePeaks(wall time.Time, stored map[string]rows.Peaks) map[string]fleet.PeakRecord {
	records := make(map[string]fleet.PeakRecord, len(stored))
	for name, p := range stored {
		r := fleet.PeakRecord{InPeak: p.InPeak, Size: p.Size, BaseSize: p.Base}
		for _, start := range p.Starts {
			if age := wall.Sub(time.UnixMilli(start)); age >= 0 {
				r.Ages = append(r.Ages, age)
			}
		}
		records[name] = r
	}
	return records
}

// runDue claims the lease, runs the planner and writes the fleet's row when these
// are due. It returns the time after which it must be called again.
func (d *Duty) runDue(ctx context.Context) time.Duration {
	now := steady.Now()
	d.updateFollower(ctx)
	if !d.releasing && d.holder.ClaimDue(now, d.view, claimDelay) {
		d.startCommit(ctx, d.holder.Claim(now, d.view))
	}
	if d.planner != nil && d.holder.Valid(now) {
		events := d.events
		d.events = nil
		for _, a := range d.planner.Step(now, events...) {
			d.execute(ctx, a)
		}
	}
	if d.holder.State != holder.Held || d.holder.Writing() {
		return maxRunDueInterval
	}
	writeAt := d.holder.RenewAt(d.rowWriteDelay())
	if now.Before(writeAt) {
		return max(time.Millisecond, min(maxRunDueInterval, writeAt.Sub(now)))
	}
	c := d.holder.Control
	if d.planner != nil {
		c.Release, c.Ordered, c.Listed = d.planner.MachinesToRelease(), d.planner.RecentlyOrdered(), true
		c.Due, c.Kept, c.Peaks = d.planner.UpkeepPending(), d.planner.UpkeepStarted(), encodePeaks(time.Now(), d.planner.Peaks())
	}
	d.releaseRequested = c.Release
	d.startCommit(ctx, d.holder.Renew(now, c, d.releasing))
	return maxRunDueInterval
}

// rowWriteDelay returns how soon after the last write the fleet's row must be
// written, 0 if the next renewal of the lease is soon enough.
func (d *Duty) rowWriteDelay() time.Duration {
	if d.releasing || d.planner != nil && !slices.Equal(d.planner.MachinesToRelease(), d.holder.Control.Release) {
		return rowWriteInterval
	}
	return 0
}

func (d *Duty) startCommit(ctx context.Context, w holder.Write) {
	d.callPool.Go(func() {
		failed := holder.Failed(w, errCallPanicked)
		d.postResult(ctx, guard.Call(d.Log, "commit", failed, func() holder.Result { return holder.Commit(ctx, d.Table, w) }))
	})
}

func (d *Duty) postResult(ctx context.Context, result any) {
	if err := d.results.Put(ctx, result); err != nil {
		d.Log.Debug("call result discarded: duty has stopped", "error", err)
	}
}

func (d *Duty) execute(ctx context.Context, a fleet.Action) {
	switch a := a.(type) {
	case fleet.ListMachines:
		d.callPool.Go(func() {
			d.postResult(ctx, guard.Call(d.Log, "list machines", fleet.MachinesListed{}, func() fleet.MachinesListed {
				list, err := d.Service.List(ctx)
				if err != nil {
					d.Log.Warn("listing machines failed", "error", err)
				}
				if len(list.Unreadable) > 0 {
					d.Log.Warn("can't decode machines of the list", "machines", list.Unreadable)
				}
				return fleet.MachinesListed{OK: err == nil, MachineList: list}
			}))
		})
	case fleet.MoveMachine:
		d.startOrder(ctx, a.Machine, func() error { return d.Service.Move(ctx, a.Token, a.Machine, a.Pool) })
	case fleet.StartUpkeep:
		d.startOrder(ctx, a.Machine, func() error { return d.Service.Upkeep(ctx, a.Token, a.Machine, a.Wave) })
	case fleet.StoreWaveStatus:
		d.callPool.Go(func() {
			err := guard.Call(d.Log, "store wave status", errCallPanicked, func() error {
				ctx, cancel := context.WithTimeout(ctx, statusTimeout)
				defer cancel()
				_, err := d.Table.Commit(ctx, []store.Op{d.WaveStatus(a.Wave, a.Done)})
				return err
			})
			d.Log.Info("write of wave status finished", "wave", a.Wave, "done", a.Done, "error", err)
			var conflict *store.ConflictError
			stored := err == nil || !a.Done && errors.As(err, &conflict) // a status is there already
			d.postResult(ctx, fleet.WaveStatusStored{Wave: a.Wave, Done: a.Done, OK: stored})
		})
	case fleet.Decision:
		d.Log.Info(a.What, "machine", a.Machine, "pool", a.Pool, "wave", a.Wave, "why", a.Why, "token", d.holder.Control.Token)
	case fleet.Superseded:
		d.Log.Warn("giving up the fleet's lease: a later holder has issued orders", "token", d.holder.Control.Token)
		d.holder.Drop(steady.Now())
		d.reset()
	}
}

// errCallPanicked is the error of a call that panicked. It may have had an effect.
var errCallPanicked = fmt.Errorf("%w: the call panicked", store.ErrUnknown)

// errLeaseEnded is the result of an order that was not sent.
var errLeaseEnded = fmt.Errorf("%w: the lease ended before the order was sent", store.ErrUnavailable)

// startOrder sends an order for a machine and posts its result. The validity of the
// lease is checked right before it is sent, because the process may have been paused
// since the order was decided, and the machine service may not check tokens.
func (d *Duty) startOrder(ctx context.Context, machine string, send func() error) {
	validUntil := d.holder.ValidUntil()
	d.callPool.Go(func() {
		err := errLeaseEnded
		if steady.Now().Before(validUntil) {
			err = guard.Call(d.Log, "order for a machine", errCallPanicked, send)
		}
		d.postOrderResult(ctx, machine, err)
	})
}

// postOrderResult maps the error of an order to its result and posts it.
func (d *Duty) postOrderResult(ctx context.Context, machine string, err error) {
	result := fleet.Done
	switch {
	case err == nil:
	case errors.Is(err, store.ErrUnavailable):
		result = fleet.Unreached
	default:
		result = fleet.Unknown
		if r, ok := d.ClassifyRefusal(err); ok {
			result = r
		}
	}
	d.Metrics.Counter("fleet.order." + result.String()).Inc(1)
	if err != nil {
		d.Log.Info("order for a machine failed", "machine", machine, "result", result.String(), "error", err)
	}
	d.postResult(ctx, fleet.OrderResult{Machine: machine, Result: result})
}
