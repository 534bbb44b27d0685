package poolkeeper

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// rebootState tracks the reboot of one VM at one epoch.
type rebootState struct {
	epoch       uint64
	since       time.Time // when this process learned of the reboot
	callPending bool      // a call is in flight
	retryAt     time.Time // earliest time of the next call
	started     bool      // the platform accepted the call, or the VM was missing from the VM list
	startedAt   time.Time
	seenAbsent  bool // the VM was missing from the VM list after the reboot started
}

func (m *Machine) rebootStateOf(now time.Time, o structs.Owner) *rebootState {
	r := m.reboots[o.VM]
	if r == nil || r.epoch != o.Epoch {
		r = &rebootState{epoch: o.Epoch, since: now}
		m.reboots[o.VM] = r
	}
	return r
}

// requestReboot requests the reboot of the VM from the platform. A new lease
// holder does not know whether its predecessor has done so: a VM that is missing
// from the VM list counts as rebooting, and a live one is rebooted again, which
// is harmless because it is drained.
func (m *Machine) requestReboot(now time.Time, o structs.Owner) {
	if o.State != structs.OwnerRebooting {
		return
	}
	r := m.rebootStateOf(now, o)
	if _, live := m.liveVMs[o.VM]; !live && !r.started {
		r.started, r.seenAbsent, r.startedAt = true, true, now
	}
	if r.started || r.callPending || now.Before(r.retryAt) || !m.platformUp(now) {
		return
	}
	r.callPending = true
	m.emit(Reboot{VM: o.VM, Epoch: o.Epoch, Until: m.leases[o.Pool].held.Until(), Force: now.Sub(r.since) > m.cfg.DrainTimeout})
}

func (m *Machine) handleRebooted(now time.Time, e Rebooted) {
	r := m.reboots[e.Reboot.VM]
	if r == nil || r.epoch != e.Reboot.Epoch {
		return
	}
	r.callPending, r.retryAt = false, now.Add(m.cfg.ReconcileInterval)
	if e.Err == nil {
		r.started, r.startedAt = true, now
	}
}

// advanceReboot returns a VM to service after its reboot. If the VM does not
// come back within the reboot timeout, its absence becomes an unplanned one.
func (m *Machine) advanceReboot(now time.Time, o structs.Owner) (Change, bool) {
	r := m.rebootStateOf(now, o)
	if !r.started {
		return Change{}, false
	}
	_, live := m.liveVMs[o.VM]
	overdue := now.Sub(r.startedAt) > m.rebootTimeout(o)
	if live && m.fleetReadAt.After(r.startedAt) && (r.seenAbsent || overdue) {
		return m.finishReboot(now, o), true
	}
	if i := m.absenceIndex(o.Pool, o.VM); !live && overdue && i >= 0 && m.absences[o.Pool].Absences[i].Planned {
		row := m.absences[o.Pool]
		row.Pool = o.Pool
		row.Absences = slices.Clone(row.Absences)
		row.Absences[i].Planned, row.Absences[i].Since = false, now
		return Change{Kind: "reboot overdue", Absence: &row}, true
	}
	return Change{}, false
}

// finishReboot returns the change that sets the VM to active, removes its absence
// and records it as done in its stop plan.
func (m *Machine) finishReboot(now time.Time, o structs.Owner) Change {
	c := Change{Kind: "return", Absence: m.absenceRowWithout(o.Pool, o.VM)}
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
