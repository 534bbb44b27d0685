package pools

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// registry is the registrations of the workers.
type registry struct {
	workers map[string]workload.Worker
	failing bool
	// removed holds registrations that vanished while the store had just
	// returned, and when they are taken to be gone.
	removed map[string]time.Time
	back    time.Time // when the store returned
}

// returnTime is how long after the store's return registrations that lapsed
// meanwhile may be missing though their workers live.
const returnTime = 2500 * time.Millisecond

func newRegistry() registry {
	return registry{workers: map[string]workload.Worker{}, removed: map[string]time.Time{}}
}

// pool returns the workers of a pool.
func (g *registry) pool(name string) []workload.Worker {
	var list []workload.Worker
	for _, w := range g.workers {
		if w.Pool == name {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b workload.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

func sameWorker(a, b workload.Worker) bool {
	return a.Life == b.Life && a.Machine == b.Machine && a.Pool == b.Pool && a.Addr == b.Addr &&
		a.Draining == b.Draining && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// takeDelta takes in a reading of the registrations or of the work table.
func (d *Duty) takeDelta(delta follow.Delta) {
	if delta.Table == store.TableWork {
		d.takeWorkDelta(delta)
		return
	}
	now := d.now()
	if delta.Failing {
		d.registry.failing = true
		return
	}
	if d.registry.failing {
		d.registry.failing, d.registry.back = false, now
	}
	if d.takeRegistrations(now, delta) {
		for _, name := range d.names {
			d.pools[name].add(engine.WorkersSeen{Workers: d.registry.pool(name)})
		}
		d.closeClients()
	}
}

// takeWorkDelta takes in a reading of the work table's changes.
func (d *Duty) takeWorkDelta(delta follow.Delta) {
	if delta.Failing {
		return
	}
	d.followed = d.followed || delta.Reset
	for _, name := range d.names {
		p := d.pools[name]
		p.missed = p.missed || delta.Reset
		if !p.missed && !p.loading {
			p.read = times.Later(p.read, delta.Sent)
		}
	}
	for _, c := range delta.Changes {
		d.takeChange(c)
	}
}

// takeChange passes a row of the work table to the pools that may need it.
func (d *Duty) takeChange(c store.Change) {
	for _, name := range d.names {
		switch p := d.pools[name]; {
		case p.machine != nil && !p.loading:
			d.takeWork(p, c, nil)
		case p.State != holder.Idle:
			p.early = append(p.early, c) // read again when the jobs have been loaded
		}
	}
}

// takeRegistrations reports whether something about a worker has changed.
func (d *Duty) takeRegistrations(now time.Time, delta follow.Delta) bool {
	g := &d.registry
	changed := false
	listed := map[string]bool{}
	for _, c := range delta.Changes {
		id := c.Key[len(delta.Table)+2:]
		if c.Removed {
			g.removed[id] = g.goneAt(now)
			continue
		}
		w, err := d.Decode(c.Key, c.Value)
		if err != nil {
			d.Log.Warn("registration is ignored", "row", c.Key, "error", err)
			continue
		}
		listed[id] = true
		delete(g.removed, id)
		if old, ok := g.workers[id]; !ok || !sameWorker(old, w) {
			changed = true
		}
		g.workers[id] = w
	}
	if delta.Reset {
		for id := range g.workers {
			if _, waits := g.removed[id]; !listed[id] && !waits {
				g.removed[id] = g.goneAt(now)
			}
		}
	}
	for id, at := range g.removed {
		if !now.Before(at) {
			delete(g.removed, id)
			delete(g.workers, id)
			changed = true
		}
	}
	return changed
}

// goneAt returns when a registration that is missing now counts as gone.
func (g *registry) goneAt(now time.Time) time.Time {
	if g.back.IsZero() || now.Sub(g.back) > returnTime {
		return now
	}
	return g.back.Add(returnTime)
}
