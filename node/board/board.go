// Package board is the duty that tracks the latest configuration, upkeep waves and
// lease rows, and publishes them to the other duties as immutable views.
package board

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// View is an immutable snapshot of the configuration, the waves and the leases.
type View struct {
	Configuration *workload.Configuration // nil: none received yet
	Waves         map[int]Wave            // by number
	Leases        map[string]Lease        // by pool, and store.ControlFleet
	LeasesReadAt  time.Time               // steady time at which the latest read of the lease rows was sent
	MissedChanges int                     // number of full reads of the lease rows that showed changes missing in the feed
	FailingSince  time.Time               // since when reads of the lease rows fail; zero: they succeed
	// OperatorFailingSince is the same for the rows that operators write. A store of which
	// a part is away fails one of the two at most.
	OperatorFailingSince time.Time
}

// StoreFailingSince returns since when all reads of the store fail, or the zero time if
// some succeed.
func (v *View) StoreFailingSince() time.Time {
	if v.FailingSince.IsZero() || v.OperatorFailingSince.IsZero() {
		return time.Time{}
	}
	return times.Later(v.FailingSince, v.OperatorFailingSince)
}

// Wave is an upkeep wave and the time at which it was first seen.
type Wave struct {
	workload.Wave
	Since time.Time // steady time
}

// Lease is a lease row as this process has read it.
type Lease struct {
	rows.Control
	Version uint64
	Since   time.Time // steady time since which the row is known to be unchanged; restarts after an outage of the store
}

// OperatorDecoder decodes the rows that operators write. The second result of each
// function is false if the row is of another kind.
type OperatorDecoder struct {
	Table         string
	Configuration func(key string, value []byte) (*workload.Configuration, bool, error)
	Wave          func(key string, value []byte) (workload.Wave, bool, error)
}

// Options configures New.
type Options struct {
	Operator OperatorDecoder
	Out      []*ring.Ring[*View] // receive each new view; must have the policy ring.KeepNewest
	Log      hclog.Logger
}

// deltaQueueSize is the number of deltas that may wait for the duty.
const deltaQueueSize = 16

// Duty publishes views.
type Duty struct {
	Options
	In   *ring.Ring[follow.Delta]
	view View
}

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Options: o, In: ring.New[follow.Delta]("board", deltaQueueSize, ring.Wait),
		view: View{Waves: map[int]Wave{}, Leases: map[string]Lease{}},
	}
}

// Run handles deltas until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case delta := <-d.In.C():
			if !d.handleDelta(delta) {
				continue
			}
			d.publish(ctx)
		}
	}
}

func (d *Duty) publish(ctx context.Context) {
	v := d.view
	v.Waves, v.Leases = maps.Clone(v.Waves), maps.Clone(v.Leases)
	for _, out := range d.Out {
		if err := out.Put(ctx, &v); err != nil {
			d.Log.Warn("can't publish view", "error", err)
		}
	}
}

// handleDelta applies the result of a read and reports whether the view changed.
func (d *Duty) handleDelta(delta follow.Delta) bool {
	now := steady.Now()
	if delta.Failed {
		since := &d.view.OperatorFailingSince
		if delta.Table == store.TableControl {
			since = &d.view.FailingSince
		}
		if !since.IsZero() {
			return false
		}
		*since = now
		return true
	}
	if delta.Table == store.TableControl {
		d.resetObservations(now)
		if delta.Reset {
			d.countMissed(delta)
			d.removeMissingLeases(delta)
		}
		for _, c := range delta.Changes {
			d.handleLeaseRow(now, c)
		}
		d.view.LeasesReadAt = delta.Sent
		return true
	}
	d.view.OperatorFailingSince = time.Time{}
	for _, c := range delta.Changes {
		if !c.Removed {
			d.handleOperatorRow(now, c.Row)
		}
	}
	return true
}

// resetObservations restarts the observation of all leases at the first successful
// read after failed ones, since no holder could renew while the store was
// unavailable.
func (d *Duty) resetObservations(now time.Time) {
	if d.view.FailingSince.IsZero() {
		return
	}
	d.view.FailingSince = time.Time{}
	for name, l := range d.view.Leases {
		l.Since = now
		d.view.Leases[name] = l
	}
}

// countMissed increments view.MissedChanges if a full read has a newer version of a known
// row, that is, if the feed missed a change. The first read has no known rows.
func (d *Duty) countMissed(delta follow.Delta) {
	for _, c := range delta.Changes {
		if known, ok := d.view.Leases[store.ControlName(c.Key)]; ok && known.Version < c.Version {
			d.view.MissedChanges++
			d.Log.Info("the change feed omitted changes", "row", c.Key, "known", known.Version, "found", c.Version)
			return
		}
	}
}

// removeMissingLeases removes the leases whose rows are missing in a full read.
func (d *Duty) removeMissingLeases(delta follow.Delta) {
	maps.DeleteFunc(d.view.Leases, func(name string, _ Lease) bool {
		return !slices.ContainsFunc(delta.Changes, func(c store.Change) bool { return c.Key == store.KeyControl(name) })
	})
}

func (d *Duty) handleLeaseRow(now time.Time, c store.Change) {
	name := store.ControlName(c.Key)
	if c.Removed {
		delete(d.view.Leases, name)
		return
	}
	if known, ok := d.view.Leases[name]; ok && known.Version >= c.Version {
		return
	}
	control, err := rows.DecodeControl(c.Value)
	if err != nil {
		d.Log.Warn("can't decode lease row", "row", c.Key, "error", err)
		return
	}
	d.view.Leases[name] = Lease{Control: control, Version: c.Version, Since: now}
}

func (d *Duty) handleOperatorRow(now time.Time, r store.Row) {
	config, ok, err := d.Operator.Configuration(r.Key, r.Value)
	if err != nil {
		d.Log.Warn("can't decode configuration row", "error", err)
		return
	}
	if ok {
		if old := d.view.Configuration; old == nil || config.Version > old.Version {
			d.Log.Info("configuration is in force", "version", config.Version, "queues", len(config.Queues))
			d.view.Configuration = config
		}
		return
	}
	wave, ok, err := d.Operator.Wave(r.Key, r.Value)
	if err != nil {
		d.Log.Warn("can't decode wave row", "error", err)
		return
	}
	if _, known := d.view.Waves[wave.Number]; ok && !known {
		d.Log.Info("upkeep wave is requested", "wave", wave.Number, "machines", len(wave.Machines), "within", wave.Within, "at_once", wave.MaxDown)
		d.view.Waves[wave.Number] = Wave{Wave: wave, Since: now}
	}
}
