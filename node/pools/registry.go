package pools

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// registry holds the registrations of the workers.
type registry struct {
	workers     map[string]workload.Worker // by ID
	feedFailing bool                       // the registrations can't be read
	// removeAt holds by ID the times at which registrations that are missing in
	// the store are removed from workers.
	removeAt      map[string]time.Time
	outageEndedAt time.Time // when the last outage of the store ended
	// undecodable holds the IDs of rows whose error has been logged, so that each
	// heartbeat of their writer does not log it again.
	undecodable map[string]bool
}

// reregistrationGrace is how long after an outage of the store registrations may
// be missing although their workers are alive, because they lapsed during the
// outage.
const reregistrationGrace = 2500 * time.Millisecond

func newRegistry() registry {
	return registry{workers: map[string]workload.Worker{}, removeAt: map[string]time.Time{}, undecodable: map[string]bool{}}
}

// workersOf returns the workers of a pool, sorted by ID.
func (r *registry) workersOf(name string) []workload.Worker {
	var list []workload.Worker
	for _, w := range r.workers {
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
	return a.Incarnation == b.Incarnation && a.Machine == b.Machine && a.Pool == b.Pool && a.Addr == b.Addr &&
		a.Draining == b.Draining && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

// handleDelta applies changes of the registrations or of the work table.
func (d *Duty) handleDelta(delta follow.Delta) {
	if delta.Table == store.TableWork {
		d.handleWorkDelta(delta)
		return
	}
	now := d.now()
	if delta.Failed {
		d.registry.feedFailing = true
		return
	}
	if d.registry.feedFailing {
		d.registry.feedFailing, d.registry.outageEndedAt = false, now
	}
	if d.updateRegistrations(now, delta) {
		for _, name := range d.names {
			d.addWorkersEvents(d.pools[name])
		}
		d.closeClients()
	}
}

// addWorkersEvents queues events with the registered workers for the pool's engine.
func (d *Duty) addWorkersEvents(p *pool) {
	if p.engine == nil {
		return
	}
	p.addEvent(engine.WorkersUpdated{Workers: d.registry.workersOf(p.Name)})
	if p.engine.AwaitsFormerWorkers() {
		p.addEvent(engine.MachinesRestarted{Newest: d.registry.newestOnMachines(p.configuration)})
	}
}

// newestOnMachines returns by machine the newest worker that is registered on it in
// one of the configured pools. Registrations of other writers don't count.
func (r *registry) newestOnMachines(c *workload.Configuration) map[string]workload.Incarnation {
	configured := map[string]bool{}
	for _, p := range c.Pools {
		configured[p.Name] = true
	}
	newest := make(map[string]workload.Incarnation, len(r.workers))
	for _, w := range r.workers {
		if w.Complete && w.Machine != "" && configured[w.Pool] && w.Born > newest[w.Machine].Born {
			newest[w.Machine] = w.Incarnation
		}
	}
	return newest
}

// updateRegistrations applies changes of the registrations and reports whether
// a worker was added, changed or removed.
func (d *Duty) updateRegistrations(now time.Time, delta follow.Delta) bool {
	reg := &d.registry
	changed := false
	listed := map[string]bool{}
	for _, c := range delta.Changes {
		// A key has the form table/part/name, and registrations have no part.
		id, ok := strings.CutPrefix(c.Key, delta.Table+"//")
		if !ok || id == "" {
			continue
		}
		listed[id] = true
		if c.Removed {
			reg.remove(id, reg.removalTime(now))
			continue
		}
		w, err := d.Decode(c.Key, c.Value)
		if err != nil {
			if !reg.undecodable[id] {
				d.Log.Warn("ignoring a registration that can't be decoded", "row", c.Key, "error", err)
			}
			// The row names no worker to use. The grace period is for registrations
			// that lapsed, not for rows that were replaced.
			reg.remove(id, now)
			reg.undecodable[id] = true
			continue
		}
		delete(reg.removeAt, id)
		delete(reg.undecodable, id)
		if former, ok := reg.workers[id]; !ok || !sameWorker(former, w) {
			changed = true
		}
		reg.workers[id] = w
	}
	if delta.Reset {
		reg.removeUnlisted(now, listed)
	}
	for id, at := range reg.removeAt {
		if !now.Before(at) {
			delete(reg.removeAt, id)
			delete(reg.workers, id)
			changed = true
		}
	}
	return changed
}

// remove schedules the removal of a worker, if the ID is that of one.
func (r *registry) remove(id string, at time.Time) {
	delete(r.undecodable, id)
	if _, known := r.workers[id]; known {
		r.removeAt[id] = at
	}
}

// removeUnlisted schedules the removal of the workers that are missing in a full
// read.
func (r *registry) removeUnlisted(now time.Time, listed map[string]bool) {
	maps.DeleteFunc(r.undecodable, func(id string, _ bool) bool { return !listed[id] })
	for id := range r.workers {
		if _, pending := r.removeAt[id]; !listed[id] && !pending {
			r.remove(id, r.removalTime(now))
		}
	}
}

// removalTime returns when a registration that is found missing now must be
// removed: at once, or at the end of the grace period after an outage.
func (r *registry) removalTime(now time.Time) time.Time {
	if r.outageEndedAt.IsZero() || now.Sub(r.outageEndedAt) > reregistrationGrace {
		return now
	}
	return r.outageEndedAt.Add(reregistrationGrace)
}
