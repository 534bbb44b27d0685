package poolkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// drain is the knowledge about the drain of one VM at one epoch.
type drain struct {
	epoch uint64
	since time.Time // when this process learned of the drain
	asked map[string]*confirmation
}

// confirmation is what one gateway said about a drain.
type confirmation struct {
	waiting  bool      // a call is under way
	next     time.Time // not asked again before this
	done     bool      // answered that nothing is in flight
	answered bool      // the last call was answered
}

func (m *Machine) drain(now time.Time, o structs.Owner) *drain {
	d := m.drains[o.VM]
	if d == nil || d.epoch != o.Epoch {
		d = &drain{epoch: o.Epoch, since: now, asked: map[string]*confirmation{}}
		m.drains[o.VM] = d
	}
	return d
}

// askGateways asks the gateways that have not confirmed the drain.
func (m *Machine) askGateways(now time.Time, o structs.Owner) {
	if o.State != structs.OwnerDraining {
		return
	}
	d := m.drain(now, o)
	for _, g := range m.gatewaysNow() {
		c := d.asked[g.ID]
		if c == nil {
			c = &confirmation{}
			d.asked[g.ID] = c
		}
		if c.done || c.waiting || now.Before(c.next) {
			continue
		}
		c.waiting = true
		m.do(Confirm{Gateway: g, VM: o.VM, Epoch: o.Epoch})
	}
}

// gatewaysNow returns the gateways that have a row or are live in the member
// view, sorted by ID. The address in the view is the newer one.
func (m *Machine) gatewaysNow() []structs.Member {
	all := map[string]structs.Member{}
	for id, s := range m.members {
		if s.row.Member.Role == structs.RoleGateway {
			all[id] = s.row.Member
		}
	}
	maps.Copy(all, m.gateways)
	out := make([]structs.Member, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		out = append(out, all[id])
	}
	return out
}

func (m *Machine) confirmed(now time.Time, e Confirmed) {
	d := m.drains[e.Confirm.VM]
	if d == nil || d.epoch != e.Confirm.Epoch {
		return
	}
	c := d.asked[e.Confirm.Gateway.ID]
	if c == nil {
		return
	}
	c.waiting = false
	c.next = now.Add(m.cfg.Reconcile / 4)
	c.answered = e.Err == nil
	c.done = e.Err == nil && e.InFlight == 0
}

// drained reports whether every gateway has confirmed. The member rows must
// have been read after the drain was written: a gateway writes its row before
// it reads ownership, so one that is not in such a reading knows of the drain.
func (m *Machine) drained(d *drain) bool {
	if !m.rowsAt.After(d.since) {
		return false
	}
	for _, g := range m.gatewaysNow() {
		c := d.asked[g.ID]
		if c != nil && c.done {
			continue
		}
		if c == nil || c.answered || !m.rowDead(g.ID) {
			return false
		}
	}
	return true
}

// rowDead reports whether the member's row was unchanged for its lifetime,
// measured between readings by this process's own clock.
func (m *Machine) rowDead(id string) bool {
	s := m.members[id]
	return s != nil && s.watch.Unchanged(m.rowsAt) >= m.cfg.RowLifetime
}

// advanceDrain ends a drain: a confirmed move changes the pool, a confirmed
// stop goes on to the reboot, and one that takes too long is given up.
func (m *Machine) advanceDrain(now time.Time, o structs.Owner) (Change, bool) {
	d := m.drain(now, o)
	if m.drained(d) {
		o.Epoch++
		if o.Next == "" {
			o.State = structs.OwnerRebooting
			return Change{Kind: "reboot", Owners: []structs.Owner{o}}, true
		}
		from := o.Pool
		o.Pool, o.Next, o.State = o.Next, "", structs.OwnerActive
		return Change{Kind: "move", Owners: []structs.Owner{o}, Absence: m.release(from, o.VM)}, true
	}
	limit := m.drainTimeout(o)
	if limit > 0 && now.Sub(d.since) > limit && d.busy() {
		m.later[o.VM] = now.Add(limit)
		o.Epoch++
		o.State, o.Next, o.Reason = structs.OwnerActive, "", "drain given up"
		return Change{Kind: "drain given up", Owners: []structs.Owner{o}, Absence: m.release(o.Pool, o.VM)}, true
	}
	return Change{}, false
}

// busy reports whether a gateway answered that requests are in flight. Only
// then is a drain given up: silence of a gateway ends by itself.
func (d *drain) busy() bool {
	for _, c := range d.asked {
		if c.answered && !c.done {
			return true
		}
	}
	return false
}

func (m *Machine) drainTimeout(o structs.Owner) time.Duration {
	if p := m.stopPlan(o.Reason); p != nil && p.DrainTimeout > 0 {
		return p.DrainTimeout
	}
	return m.cfg.DrainTimeout
}

func (m *Machine) stopPlan(name string) *structs.StopPlan {
	i := slices.IndexFunc(m.set.StopPlans, func(p structs.StopPlan) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &m.set.StopPlans[i]
}
