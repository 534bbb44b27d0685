// Package board is the duty that keeps the newest configuration, waves and
// lease rows, and publishes them as immutable views.
package board

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// View is what is known at one moment. It is never changed.
type View struct {
	Configuration *workload.Configuration // nil before the first
	Waves         map[int]Wave
	Leases        map[string]Lease // by pool, and store.ControlFleet
	LeasesRead    time.Time        // steady time at which the newest reading of the lease rows was sent
	Missed        int              // how often a reading of all lease rows showed changes that had not been told
	Failing       time.Time        // since when the lease rows can't be read; zero if they can
}

// Wave is a wave of upkeep and when it was first seen.
type Wave struct {
	workload.Wave
	Since time.Time // steady
}

// Lease is a lease row as seen by this process.
type Lease struct {
	rows.Control
	Version uint64
	Since   time.Time // steady time since which the row is known to have this version
}

// Operator decodes the operator's rows.
type Operator struct {
	Table         string
	Configuration func(key string, value []byte) (*workload.Configuration, bool, error) // false: not that row
	Wave          func(key string, value []byte) (workload.Wave, bool, error)
}

// Options configures New.
type Options struct {
	Operator Operator
	Out      []*ring.Ring[*View] // each keeps the newest
	Log      hclog.Logger
}

// deltaDepth is how many readings may wait for the duty.
const deltaDepth = 16

// Board is the duty.
type Board struct {
	Options
	In   *ring.Ring[follow.Delta]
	view View
}

// New returns the duty.
func New(o Options) *Board {
	return &Board{
		Options: o, In: ring.New[follow.Delta]("board", deltaDepth, ring.Wait),
		view: View{Waves: map[int]Wave{}, Leases: map[string]Lease{}},
	}
}

// Run takes readings in until ctx ends.
func (b *Board) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-b.In.C():
			if !b.take(d) {
				continue
			}
			b.publish(ctx)
		}
	}
}

func (b *Board) publish(ctx context.Context) {
	v := b.view
	v.Waves, v.Leases = maps.Clone(v.Waves), maps.Clone(v.Leases)
	for _, out := range b.Out {
		if err := out.Put(ctx, &v); err != nil {
			b.Log.Warn("a view was not published", "error", err)
		}
	}
}

// take takes a reading in. It reports whether the view has changed.
func (b *Board) take(d follow.Delta) bool {
	now := steady.Now()
	if d.Failing {
		if d.Table != store.TableControl || !b.view.Failing.IsZero() {
			return false
		}
		b.view.Failing = now
		return true
	}
	if d.Table == store.TableControl {
		b.endFailure(now)
		if d.Reset {
			b.noteMissed(d)
			b.dropLeases(d)
		}
		for _, c := range d.Changes {
			b.takeLease(now, c)
		}
		b.view.LeasesRead = d.Sent
		return true
	}
	for _, c := range d.Changes {
		if !c.Removed {
			b.takeOperator(now, c.Row)
		}
	}
	return true
}

// endFailure starts the observation of all leases anew when the store returns:
// while it was away no holder could renew.
func (b *Board) endFailure(now time.Time) {
	if b.view.Failing.IsZero() {
		return
	}
	b.view.Failing = time.Time{}
	for name, l := range b.view.Leases {
		l.Since = now
		b.view.Leases[name] = l
	}
}

// noteMissed looks in a whole reading for rows that are newer than known. The
// first reading has nothing to compare with.
func (b *Board) noteMissed(d follow.Delta) {
	for _, c := range d.Changes {
		if known, ok := b.view.Leases[store.ControlName(c.Key)]; ok && known.Version < c.Version {
			b.view.Missed++
			b.Log.Info("changes were not told", "row", c.Key, "known", known.Version, "found", c.Version)
			return
		}
	}
}

// dropLeases forgets lease rows that a whole reading does not have.
func (b *Board) dropLeases(d follow.Delta) {
	maps.DeleteFunc(b.view.Leases, func(name string, _ Lease) bool {
		return !slices.ContainsFunc(d.Changes, func(c store.Change) bool { return c.Key == store.KeyControl(name) })
	})
}

func (b *Board) takeLease(now time.Time, c store.Change) {
	name := store.ControlName(c.Key)
	if c.Removed {
		delete(b.view.Leases, name)
		return
	}
	if known, ok := b.view.Leases[name]; ok && known.Version >= c.Version {
		return
	}
	control, err := rows.DecodeControl(c.Value)
	if err != nil {
		b.Log.Warn("lease row can't be read", "row", c.Key, "error", err)
		return
	}
	b.view.Leases[name] = Lease{Control: control, Version: c.Version, Since: now}
}

func (b *Board) takeOperator(now time.Time, r store.Row) {
	config, ok, err := b.Operator.Configuration(r.Key, r.Value)
	if err != nil {
		b.Log.Warn("configuration can't be read", "error", err)
		return
	}
	if ok {
		if old := b.view.Configuration; old == nil || config.Version > old.Version {
			b.Log.Info("configuration is in force", "version", config.Version, "queues", len(config.Queues))
			b.view.Configuration = config
		}
		return
	}
	wave, ok, err := b.Operator.Wave(r.Key, r.Value)
	if err != nil {
		b.Log.Warn("wave can't be read", "error", err)
		return
	}
	if _, known := b.view.Waves[wave.Number]; ok && !known {
		b.Log.Info("wave is requested", "wave", wave.Number, "machines", len(wave.Machines), "within", wave.Within, "at_once", wave.MaxDown)
		b.view.Waves[wave.Number] = Wave{Wave: wave, Since: now}
	}
}
