package poolkeeper

import (
	"time"

	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/structs"
)

func (m *Machine) updateFleet(v *structs.FleetView) {
	m.fleetReadAt = v.ReadAt
	clear(m.liveVMs)
	for _, vm := range v.VMs {
		m.lastSeenVMs[vm.ID] = vm
		if vm.State != structs.VMLeaving {
			m.liveVMs[vm.ID] = vm
		}
	}
	for id, r := range m.reboots {
		if _, live := m.liveVMs[id]; !live && r.started && v.ReadAt.After(r.startedAt) {
			r.seenAbsent = true
		}
	}
}

func (m *Machine) updateMembers(v *structs.MemberView) {
	m.controllers = m.controllers[:0]
	clear(m.gateways)
	for _, p := range v.Live {
		switch p.Role {
		case structs.RoleController:
			m.controllers = append(m.controllers, p.ID)
		case structs.RoleGateway:
			m.gateways[p.ID] = p
		}
	}
}

// mergeRows merges the rows that were read into the state. It keeps the higher
// version of each row, so that a read that started before a change of this
// process does not revert the change.
func (m *Machine) mergeRows(now time.Time, e RowsRead) {
	m.rowsReadAt = e.Started
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
		if !seen[id] && o.learnedAt.Before(e.Started) {
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
	m.owners[o.VM] = ownerState{Owner: o, learnedAt: now}
	if d := m.drains[o.VM]; d != nil && (o.State != structs.OwnerDraining || d.epoch != o.Epoch) {
		delete(m.drains, o.VM)
	}
	if r := m.reboots[o.VM]; r != nil && (o.State != structs.OwnerRebooting || r.epoch != o.Epoch) {
		delete(m.reboots, o.VM)
	}
}

func (m *Machine) mergeLease(now time.Time, r LeaseRow) {
	l := m.leaseStateOf(r.Pool)
	if r.Version > l.row.Version {
		l.row = r
		if r.Record.Holder != m.cfg.ID {
			l.held = lease.Held{}
		}
		if r.Record.Holder != m.cfg.ID && r.Record.Holder != "" {
			l.failedHandOvers = 0
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

// handleCommitted merges the rows that a change wrote into the state.
func (m *Machine) handleCommitted(now time.Time, e Committed) {
	c := e.Change
	delete(m.inFlight, c.Slot)
	m.answerOrder(e)
	if !e.Done {
		m.failedAt[c.Slot] = now
		return
	}
	delete(m.failedAt, c.Slot)
	versions := e.Versions
	for _, o := range c.Owners {
		o.Version, versions = versions[0], versions[1:]
		m.mergeOwner(now, o)
	}
	if r := c.Absence; r != nil {
		row := *r
		row.Version, versions = versions[0], versions[1:]
		m.absences[r.Pool] = newerRow(m.absences[r.Pool], row)
	}
	if r := c.Lease; r != nil {
		row := *r
		row.Version, versions = versions[0], versions[1:]
		m.recordLeaseWrite(now, e.Sent, row)
	}
	if r := c.Plan; r != nil && versions[0] > m.plans[r.Progress.Plan].Version {
		m.plans[r.Progress.Plan] = PlanRow{Version: versions[0], Progress: r.Progress}
	}
}

func newerRow(a, b AbsenceRow) AbsenceRow {
	if a.Version > b.Version {
		return a
	}
	return b
}

func (m *Machine) leaseStateOf(pool string) *leaseState {
	l := m.leases[pool]
	if l == nil {
		l = &leaseState{row: LeaseRow{Pool: pool}}
		m.leases[pool] = l
	}
	return l
}

// recordLeaseWrite updates the state of a lease after a successful write of its
// row.
func (m *Machine) recordLeaseWrite(now, sent time.Time, row LeaseRow) {
	l := m.leaseStateOf(row.Pool)
	l.held = lease.Held{}
	if row.Record.Holder == m.cfg.ID {
		if row.Record.Token != l.row.Record.Token {
			l.otherPreferredSince = time.Time{}
		}
		l.held = lease.Acquired(row.Record, sent)
	}
	if row.Version > l.row.Version {
		l.row = row
	}
	l.watch.Observe(l.row.Version, now)
}
