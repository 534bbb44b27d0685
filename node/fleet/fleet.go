// Package fleet is the duty that owns the fleet: it holds the fleet's lease,
// runs the fleet state machine and carries its orders out.
package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/fleet"
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

// Bounds of the duty.
const (
	resultDepth = 256
	loadDepth   = 16
	calls       = 32 // at the same time
	// idleWake is the longest time between two steps.
	idleWake = 250 * time.Millisecond
	// rowGap is the time between writes of the fleet's row that pools wait for.
	rowGap = 50 * time.Millisecond
	// statusTimeout bounds the writing of a wave's status.
	statusTimeout = 900 * time.Millisecond
	// claimWait lets the pools spread over the VMs before the fleet's lease is
	// claimed.
	claimWait = 300 * time.Millisecond
)

// Service is the adapter to the platform's machine service. Errors are those
// of package store, and Translate tells the others apart.
type Service interface {
	List(ctx context.Context) ([]workload.Machine, error)
	Move(ctx context.Context, token uint64, machine, pool string) error
	Upkeep(ctx context.Context, token uint64, machine string, wave int) error
}

// Options configures New.
type Options struct {
	Self       string
	Bounds     settings.Bounds
	Processor  float64 // part of a core that the VM has
	Table      store.Table
	Service    Service
	Wanted     *ring.Ring[bool]                     // turns the follower of the load rows on
	Refusal    func(err error) (fleet.Result, bool) // translates the service's own refusals
	WaveStatus func(wave int, done bool) store.Op
	Log        hclog.Logger
	Metrics    *metrics.Registry
}

// Duty owns the fleet.
type Duty struct {
	Options
	Views   *ring.Ring[*board.View]
	Loads   *ring.Ring[follow.Delta] // of the load rows
	Release *ring.Ring[struct{}]     // gives the fleet up
	asker   *duty.Asker
	results *ring.Ring[any]
	pond    pond.Pool
	holder  *holder.Holder
	view    *board.View
	loads   map[string]engine.Status // by pool
	machine *fleet.Planner
	events  []fleet.Event
	asked   []string // machines in the row that is being written
	leaving bool
	follows bool // the load rows are followed
}

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Options: o,
		Views:   ring.New[*board.View]("fleet-views", 1, ring.KeepNewest),
		Loads:   ring.New[follow.Delta]("fleet-loads", loadDepth, ring.Wait),
		Release: ring.New[struct{}]("fleet-release", 1, ring.Refuse),
		asker:   duty.NewAsker("fleet"),
		results: ring.New[any]("fleet-results", resultDepth, ring.Wait),
		pond:    pond.NewPool(calls),
		holder:  holder.New(store.ControlFleet, o.Self, o.Processor, o.Log),
		loads:   map[string]engine.Status{},
	}
}

// Run owns the fleet until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer d.pond.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-d.Views.C():
			d.see(v)
		case delta := <-d.Loads.C():
			d.takeLoads(delta)
		case <-d.Release.C():
			d.leaving = true
		case r := <-d.results.C():
			d.take(r)
		case reply := <-d.asker.Questions():
			reply <- Report{Held: d.holder.Valid(steady.Now()), Token: d.holder.Control.Token, Release: d.asked, Kept: d.holder.Control.Kept}
		case <-timer.C:
		}
		d.drain()
		timer.Reset(d.work(ctx))
	}
}

// drain takes in the results that have arrived meanwhile, so that they share
// one step.
func (d *Duty) drain() {
	for {
		select {
		case r := <-d.results.C():
			d.take(r)
		default:
			return
		}
	}
}

// Report is the duty's entry in the state dump.
type Report struct {
	Held    bool
	Token   uint64
	Release []string         // machines that are to be released
	Kept    map[int][]string // by wave: machines whose upkeep has begun
}

// Dump returns the state of the fleet's lease and orders.
func (d *Duty) Dump(ctx context.Context) any { return d.asker.Ask(ctx) }

func (d *Duty) see(v *board.View) {
	d.view = v
	if d.holder.Observe(steady.Now(), v) {
		d.forget()
	}
	if d.machine != nil {
		d.inform()
	}
}

// takeLoads takes in a reading of the load rows.
func (d *Duty) takeLoads(delta follow.Delta) {
	if delta.Failing {
		return // the lease rows tell how old the statuses may be
	}
	if delta.Reset {
		clear(d.loads)
	}
	for _, c := range delta.Changes {
		name := store.LoadName(c.Key)
		if c.Removed {
			delete(d.loads, name)
			continue
		}
		load, err := rows.DecodeLoad(c.Value)
		if err != nil {
			d.Log.Warn("load row can't be read", "row", c.Key, "error", err)
			continue
		}
		d.loads[name] = load.Status
	}
	if d.machine != nil {
		d.inform()
	}
}

// follow turns the follower of the load rows on while the lease is held.
func (d *Duty) follow(ctx context.Context) {
	on := d.holder.State == holder.Held
	if on == d.follows {
		return
	}
	d.follows = on
	if !on {
		clear(d.loads)
	}
	if err := d.Wanted.Put(ctx, on); err != nil {
		d.Log.Warn("a follower was not told", "table", store.TableLoad, "error", err)
	}
}

func (d *Duty) forget() { d.machine, d.events = nil, nil }

// inform tells the machine what the view says.
func (d *Duty) inform() {
	pools := map[string]fleet.Pool{}
	if c := d.view.Configuration; c != nil {
		for _, o := range c.Pools {
			l, ok := d.view.Leases[o.Name]
			status, told := d.loads[o.Name]
			owned := ok && told && l.Holder != "" && d.view.LeasesRead.Sub(l.Since) < l.Duration
			pools[o.Name] = fleet.Pool{Standby: o.Standby, Owned: owned, Status: status}
		}
	}
	waves := map[int]fleet.WaveRequest{}
	for n, w := range d.view.Waves {
		waves[n] = fleet.WaveRequest{Wave: w.Wave, Since: w.Since}
	}
	d.events = append(d.events, fleet.PoolsUpdated{Pools: pools}, fleet.WavesUpdated{Waves: waves})
}

func (d *Duty) take(result any) {
	r, ok := result.(holder.Result)
	if !ok {
		if d.machine != nil {
			d.events = append(d.events, result.(fleet.Event))
		}
		return
	}
	now := steady.Now()
	switch d.holder.Take(now, r) {
	case holder.Acquired:
		d.forget()
		d.machine = fleet.New(now, fleet.Config{
			Token: d.holder.Control.Token, HolderChange: d.Bounds.HolderChange, MoveTime: d.Bounds.MoveTime,
			UpkeepTime: d.Bounds.UpkeepTime, MaxLease: d.Bounds.MaxLease,
		}, d.holder.Former.Kept, d.holder.Control.Token > 1)
		d.inform()
	case holder.Stored:
		if d.machine != nil {
			d.events = append(d.events, fleet.RowStored{Version: d.holder.Version(), Machines: d.asked})
		}
	case holder.Released, holder.Lost, holder.NotWon:
		d.forget()
	}
}

// work does what is due and returns the time until the next pass.
func (d *Duty) work(ctx context.Context) time.Duration {
	now := steady.Now()
	d.follow(ctx)
	if !d.leaving && d.holder.ClaimDue(now, d.view, claimWait) {
		d.commit(ctx, d.holder.Claim(now, d.view))
	}
	if d.machine != nil && d.holder.Valid(now) {
		events := d.events
		d.events = nil
		for _, a := range d.machine.Step(now, events...) {
			d.carryOut(ctx, a)
		}
	}
	if d.holder.State != holder.Held || d.holder.Writing() {
		return idleWake
	}
	at := d.holder.RenewAt(d.urgency())
	if now.Before(at) {
		return max(time.Millisecond, min(idleWake, at.Sub(now)))
	}
	c := d.holder.Control
	if d.machine != nil {
		c.Release, c.Due, c.Kept = d.machine.MachinesToRelease(), d.machine.UpkeepPending(), d.machine.UpkeepStarted()
	}
	d.asked = c.Release
	d.commit(ctx, d.holder.Renew(now, c, d.leaving))
	return idleWake
}

func (d *Duty) urgency() time.Duration {
	if d.leaving || d.machine != nil && !slices.Equal(d.machine.MachinesToRelease(), d.holder.Control.Release) {
		return rowGap
	}
	return 0
}

func (d *Duty) commit(ctx context.Context, w holder.Write) {
	d.pond.Go(func() { d.post(ctx, holder.Commit(ctx, d.Table, w)) })
}

func (d *Duty) post(ctx context.Context, result any) {
	if err := d.results.Put(ctx, result); err != nil {
		d.Log.Debug("a result came after the end of the duty", "error", err)
	}
}

func (d *Duty) carryOut(ctx context.Context, a fleet.Action) {
	switch a := a.(type) {
	case fleet.ListMachines:
		d.pond.Go(func() {
			list, err := d.Service.List(ctx)
			if err != nil {
				d.Log.Warn("machines can't be listed", "error", err)
			}
			d.post(ctx, fleet.MachinesListed{OK: err == nil, Machines: list})
		})
	case fleet.MoveMachine:
		d.pond.Go(func() {
			d.answer(ctx, a.Machine, d.Service.Move(ctx, a.Token, a.Machine, a.Pool))
		})
	case fleet.StartUpkeep:
		d.pond.Go(func() {
			d.answer(ctx, a.Machine, d.Service.Upkeep(ctx, a.Token, a.Machine, a.Wave))
		})
	case fleet.StoreWaveStatus:
		d.pond.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			_, err := d.Table.Commit(callCtx, []store.Op{d.WaveStatus(a.Wave, a.Done)})
			d.Log.Info("wave status", "wave", a.Wave, "done", a.Done, "error", err)
			d.post(ctx, fleet.WaveStatusStored{Wave: a.Wave, Done: a.Done, OK: err == nil})
		})
	case fleet.Decision:
		d.Log.Info(a.What, "machine", a.Machine, "pool", a.Pool, "wave", a.Wave, "why", a.Why, "token", d.holder.Control.Token)
	case fleet.Superseded:
		d.Log.Warn("another holder gives orders", "token", d.holder.Control.Token)
		d.holder.Drop(steady.Now())
		d.forget()
	}
}

// answer posts the outcome of an order.
func (d *Duty) answer(ctx context.Context, machine string, err error) {
	result := fleet.Done
	switch {
	case err == nil:
	case errors.Is(err, store.ErrUnavailable):
		result = fleet.Unreached
	default:
		result = fleet.Unknown
		if r, ok := d.Refusal(err); ok {
			result = r
		}
	}
	d.Metrics.Counter("fleet.order." + result.String()).Inc(1)
	if err != nil {
		d.Log.Info("order for a machine failed", "machine", machine, "result", result.String(), "error", err)
	}
	d.post(ctx, fleet.OrderResult{Machine: machine, Result: result})
}
