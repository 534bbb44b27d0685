package poolkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// drainState tracks the drain of one VM at one epoch.
type drainState struct {
	epoch         uint64
	since         time.Time                       // when this process learned of the drain
	confirmations map[string]*gatewayConfirmation // by gateway ID
}

// gatewayConfirmation tracks the calls to one gateway about a drain.
type gatewayConfirmation struct {
	callPending      bool      // a call is in flight
	retryAt          time.Time // earliest time of the next call
	idle             bool      // the gateway confirmed that it has no request in flight
	lastCallAnswered bool
}

func (m *Machine) drainStateOf(now time.Time, o structs.Owner) *drainState {
	d := m.drains[o.VM]
	if d == nil || d.epoch != o.Epoch {
		d = &drainState{epoch: o.Epoch, since: now, confirmations: map[string]*gatewayConfirmation{}}
		m.drains[o.VM] = d
	}
	return d
}

// requestConfirmations calls the gateways that have not confirmed the drain.
func (m *Machine) requestConfirmations(now time.Time, o structs.Owner) {
	if o.State != structs.OwnerDraining {
		return
	}
	d := m.drainStateOf(now, o)
	for _, g := range m.knownGateways() {
		c := d.confirmations[g.ID]
		if c == nil {
			c = &gatewayConfirmation{}
			d.confirmations[g.ID] = c
		}
		if c.idle || c.callPending || now.Before(c.retryAt) {
			continue
		}
		c.callPending = true
		m.emit(ConfirmDrain{Gateway: g, VM: o.VM, Epoch: o.Epoch})
	}
}

// knownGateways returns the gateways that have a member row or are live in the
// member view, sorted by ID. The view takes precedence, since its addresses are
// more recent.
func (m *Machine) knownGateways() []structs.Member {
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

func (m *Machine) handleDrainConfirmed(now time.Time, e DrainConfirmed) {
	d := m.drains[e.Confirm.VM]
	if d == nil || d.epoch != e.Confirm.Epoch {
		return
	}
	c := d.confirmations[e.Confirm.Gateway.ID]
	if c == nil {
		return
	}
	c.callPending = false
	c.retryAt = now.Add(m.cfg.ReconcileInterval / 4)
	c.lastCallAnswered = e.Err == nil
	c.idle = e.Err == nil && e.InFlight == 0
}

// drainComplete reports whether every gateway has confirmed the drain or is
// dead. The member rows must have been read after the drain was written: a
// gateway writes its member row before it reads the ownership rows, so a gateway
// that is missing from such a read sees the drain in the ownership rows.
func (m *Machine) drainComplete(d *drainState) bool {
	if !m.rowsReadAt.After(d.since) {
		return false
	}
	for _, g := range m.knownGateways() {
		c := d.confirmations[g.ID]
		if c != nil && c.idle {
			continue
		}
		if c == nil || c.lastCallAnswered || !m.memberRowExpired(g.ID) {
			return false
		}
	}
	return true
}

// memberRowExpired reports whether the member's row has not changed for
// RowLifetime, measured between reads by this process's own clock.
func (m *Machine) memberRowExpired(id string) bool {
	s := m.members[id]
	return s != nil && s.watch.Unchanged(m.rowsReadAt) >= m.cfg.RowLifetime
}

// advanceDrain ends a drain: once it is complete, a VM that moves changes its
// pool and a VM that stops goes on to the reboot. A drain that exceeds its time
// limit is cancelled.
func (m *Machine) advanceDrain(now time.Time, o structs.Owner) (Change, bool) {
	d := m.drainStateOf(now, o)
	if m.drainComplete(d) {
		o.Epoch++
		if o.Next == "" {
			o.State = structs.OwnerRebooting
			return Change{Kind: "reboot", Owners: []structs.Owner{o}}, true
		}
		from := o.Pool
		o.Pool, o.Next, o.State = o.Next, "", structs.OwnerActive
		return Change{Kind: "move", Owners: []structs.Owner{o}, Absence: m.absenceRowWithout(from, o.VM)}, true
	}
	limit := m.drainTimeout(o)
	if limit > 0 && now.Sub(d.since) > limit && d.hasInFlight() {
		m.drainRetryAt[o.VM] = now.Add(limit)
		o.Epoch++
		o.State, o.Next, o.Reason = structs.OwnerActive, "", "drain given up"
		return Change{Kind: "drain given up", Owners: []structs.Owner{o}, Absence: m.absenceRowWithout(o.Pool, o.VM)}, true
	}
	return Change{}, false
}

// hasInFlight reports whether a gateway answered that it has requests in flight.
// A drain is cancelled only in this case: a gateway that does not answer either
// recovers or its member row expires.
func (d *drainState) hasInFlight() bool {
	for _, c := range d.confirmations {
		if c.lastCallAnswered && !c.idle {
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
	i := slices.IndexFunc(m.objects.StopPlans, func(p structs.StopPlan) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &m.objects.StopPlans[i]
}
