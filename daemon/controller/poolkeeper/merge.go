package poolkeeper

import (
	"time"

	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/structs"
)

func (m *Machine) seeFleet(v *structs.FleetView) {
	m.fleetAt = v.ReadAt
	clear(m.listed)
	for _, vm := range v.VMs {
		m.known[vm.ID] = vm
		if vm.State != structs.VMLeaving {
			m.listed[vm.ID] = vm
		}
	}
	for id, r := range m.reboots {
		if _, live := m.listed[id]; !live && r.called && v.ReadAt.After(r.calledAt) {
			r.gone = true
		}
	}
}

func (m *Machine) seeMembers(v *structs.MemberView) {
	clear(m.controllers)
	clear(m.gateways)
	for _, p := range v.Live {
		switch p.Role {
		case structs.RoleController:
			m.controllers[p.ID] = p
		case structs.RoleGateway:
			m.gateways[p.ID] = p
		}
	}
}

// mergeRows takes a reading in. Of two versions of a row the higher one is
// kept, so a reading that began before one of the own changes does not undo
// what is known of it.
func (m *Machine) mergeRows(now time.Time, e RowsRead) {
	m.rowsAt = e.Started
	for _, r := range e.Rows.Absences {
		if r.Version > m.absences[r.Pool].Version {
			m.absences[r.Pool] = r
		}
	}
	for _, r := range e.Rows.Plans {
		if r.Version > m.plans[r.Progress.Plan].Version {
			m.plans[r.Progress.Plan] = r
		}
	}
	for _, r := range e.Rows.Leases {
		m.mergeLease(now, r)
	}
	m.mergeMembers(now, e.Rows.Members)
	seen := make(map[string]bool, len(e.Rows.Owners))
	for _, o := range e.Rows.Owners {
		seen[o.VM] = true
		m.mergeOwner(now, o)
	}
	for id, o := range m.owners {
		if !seen[id] && o.merged.Before(e.Started) {
			delete(m.owners, id)
			m.byPool = nil
		}
	}
}

func (m *Machine) mergeOwner(now time.Time, o structs.Owner) {
	if o.Version <= m.owners[o.VM].Version {
		return
	}
	if old, ok := m.owners[o.VM]; !ok || old.Pool != o.Pool {
		m.byPool = nil
	}
	m.owners[o.VM] = ownerState{Owner: o, merged: now}
	if d := m.drains[o.VM]; d != nil && (o.State != structs.OwnerDraining || d.epoch != o.Epoch) {
		delete(m.drains, o.VM)
	}
	if r := m.reboots[o.VM]; r != nil && (o.State != structs.OwnerRebooting || r.epoch != o.Epoch) {
		delete(m.reboots, o.VM)
	}
}

func (m *Machine) mergeLease(now time.Time, r LeaseRow) {
	l := m.lease(r.Pool)
	if r.Version > l.row.Version {
		l.row = r
		if r.Record.Holder != m.cfg.ID {
			l.held = lease.Held{}
		}
	}
	l.watch.Observe(l.row.Version, now)
}

func (m *Machine) mergeMembers(now time.Time, rows []MemberRow) {
	next := make(map[string]*memberState, len(rows))
	for _, r := range rows {
		s := m.members[r.Member.ID]
		if s == nil {
			s = &memberState{}
		}
		s.row = r
		s.watch.Observe(r.Version, now)
		next[r.Member.ID] = s
	}
	m.members = next
}

// committed takes the result of a change in.
func (m *Machine) committed(now time.Time, e Committed) {
	c := e.Change
	delete(m.busy, c.Slot)
	m.answerOrder(e)
	if !e.Done {
		m.failed[c.Slot] = now
		return
	}
	delete(m.failed, c.Slot)
	versions := e.Versions
	for _, o := range c.Owners {
		o.Version, versions = versions[0], versions[1:]
		m.mergeOwner(now, o)
	}
	if r := c.Absence; r != nil {
		row := *r
		row.Version, versions = versions[0], versions[1:]
		m.absences[r.Pool] = newest(m.absences[r.Pool], row)
	}
	if r := c.Lease; r != nil {
		row := *r
		row.Version, versions = versions[0], versions[1:]
		m.leaseWritten(now, e.Sent, row)
	}
	if r := c.Plan; r != nil && versions[0] > m.plans[r.Progress.Plan].Version {
		m.plans[r.Progress.Plan] = PlanRow{Version: versions[0], Progress: r.Progress}
	}
}

func newest(a, b AbsenceRow) AbsenceRow {
	if a.Version > b.Version {
		return a
	}
	return b
}

func (m *Machine) lease(pool string) *leaseState {
	l := m.leases[pool]
	if l == nil {
		l = &leaseState{row: LeaseRow{Pool: pool}}
		m.leases[pool] = l
	}
	return l
}

func (m *Machine) leaseWritten(now, sent time.Time, row LeaseRow) {
	l := m.lease(row.Pool)
	l.held = lease.Held{}
	if row.Record.Holder == m.cfg.ID {
		l.held = lease.Acquired(row.Record, sent)
	}
	if row.Version > l.row.Version {
		l.row = row
	}
	l.watch.Observe(l.row.Version, now)
}
