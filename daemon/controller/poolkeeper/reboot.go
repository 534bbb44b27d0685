package poolkeeper

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// reboot is the knowledge about the reboot of one VM at one epoch.
type reboot struct {
	epoch    uint64
	since    time.Time // when this process learned of it
	waiting  bool      // a call is under way
	next     time.Time // not called again before this
	called   bool      // the platform took the call, or the VM was seen missing
	calledAt time.Time
	gone     bool // the VM was missing from the list after the call
}

func (m *Machine) reboot(now time.Time, o structs.Owner) *reboot {
	r := m.reboots[o.VM]
	if r == nil || r.epoch != o.Epoch {
		r = &reboot{epoch: o.Epoch, since: now}
		m.reboots[o.VM] = r
	}
	return r
}

// callReboot asks the platform for the reboot. After a change of the holder it
// is not known whether the VM was rebooted: one that is missing was, one that
// is live is rebooted again, which is harmless, since it is drained.
func (m *Machine) callReboot(now time.Time, o structs.Owner) {
	if o.State != structs.OwnerRebooting {
		return
	}
	r := m.reboot(now, o)
	if _, live := m.listed[o.VM]; !live && !r.called {
		r.called, r.gone, r.calledAt = true, true, now
	}
	if r.called || r.waiting || now.Before(r.next) || !m.up(now) {
		return
	}
	r.waiting = true
	m.do(Reboot{VM: o.VM, Epoch: o.Epoch, Until: m.leases[o.Pool].held.Until(), Force: now.Sub(r.since) > m.cfg.DrainTimeout})
}

func (m *Machine) rebooted(now time.Time, e Rebooted) {
	r := m.reboots[e.Reboot.VM]
	if r == nil || r.epoch != e.Reboot.Epoch {
		return
	}
	r.waiting, r.next = false, now.Add(m.cfg.Reconcile)
	if e.Err == nil {
		r.called, r.calledAt = true, now
	}
}

// advanceReboot returns a VM that is back to its pool, and records one that
// does not come back as an unplanned absence.
func (m *Machine) advanceReboot(now time.Time, o structs.Owner) (Change, bool) {
	r := m.reboot(now, o)
	if !r.called {
		return Change{}, false
	}
	_, live := m.listed[o.VM]
	overdue := now.Sub(r.calledAt) > m.rebootTimeout(o)
	if live && m.fleetAt.After(r.calledAt) && (r.gone || overdue) {
		return m.giveBack(now, o), true
	}
	if i := m.absenceOf(o.Pool, o.VM); !live && overdue && i >= 0 && m.absences[o.Pool].Absences[i].Planned {
		row := m.absences[o.Pool]
		row.Pool = o.Pool
		row.Absences = slices.Clone(row.Absences)
		row.Absences[i].Planned, row.Absences[i].Since = false, now
		return Change{Kind: "reboot overdue", Absence: &row}, true
	}
	return Change{}, false
}

func (m *Machine) giveBack(now time.Time, o structs.Owner) Change {
	c := Change{Kind: "return", Absence: m.release(o.Pool, o.VM)}
	if p := m.stopPlan(o.Reason); p != nil {
		if row := m.plans[p.Name]; row.Version > 0 {
			row.Progress = row.Progress.WithDone(o.VM)
			c.Plan = &row
		}
	}
	o.Epoch++
	o.State, o.Reason = structs.OwnerActive, "maintained"
	c.Owners = []structs.Owner{o}
	return c
}

func (m *Machine) rebootTimeout(o structs.Owner) time.Duration {
	if p := m.stopPlan(o.Reason); p != nil && p.RebootTimeout > 0 {
		return p.RebootTimeout
	}
	return m.cfg.RebootTimeout
}
