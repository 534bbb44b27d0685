package poolkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/budget"
	"github.com/carobwharf/carobwharf/structs"
)

func poolSlot(pool string) string { return "pool/" + pool }

// ledger returns the pool's ledger of absences. A VM that is not in use and
// has no absence recorded yet counts as absent.
func (m *Machine) ledger(pool string) *budget.Ledger {
	var vms []structs.VM
	absences := m.absences[pool].Absences
	for _, id := range m.idsOf(pool) {
		o := m.owners[id]
		vms = append(vms, m.describe(id))
		if _, live := m.listed[id]; !live || o.State != structs.OwnerActive {
			absences = append(absences[:len(absences):len(absences)], structs.Absence{VM: id})
		}
	}
	return budget.New(pool, m.set.Budgets, vms, absences)
}

// allPools returns the configured pools and, with a target of 0, those that
// still own VMs after they were removed from the configuration. Their VMs go
// back to the spare pool like any surplus.
func (m *Machine) allPools() []structs.Pool {
	m.idsOf("") // builds the index if need be
	if m.pools == nil {
		m.pools = slices.Clone(m.set.Pools)
		for _, name := range slices.Sorted(maps.Keys(m.byPool)) {
			if m.set.Pool(name) == nil {
				m.pools = append(m.pools, structs.Pool{Name: name})
			}
		}
	}
	return m.pools
}

func (m *Machine) describe(id string) structs.VM {
	if vm, ok := m.known[id]; ok {
		return vm
	}
	return structs.VM{ID: id}
}

func (m *Machine) domain(id string) string {
	d, _ := budget.DomainOf(m.describe(id), structs.DomainRack)
	return d
}

// ownedBy returns the VMs of a pool, sorted by ID.
func (m *Machine) ownedBy(pool string) []structs.Owner {
	ids := m.idsOf(pool)
	out := make([]structs.Owner, len(ids))
	for i, id := range ids {
		out[i] = m.owners[id].Owner
	}
	return out
}

// idsOf returns the IDs of a pool's VMs, sorted. The index is built again
// after a VM has changed its pool.
func (m *Machine) idsOf(pool string) []string {
	if m.byPool == nil {
		m.byPool, m.pools = map[string][]string{}, nil
		for _, id := range slices.Sorted(maps.Keys(m.owners)) {
			p := m.owners[id].Pool
			m.byPool[p] = append(m.byPool[p], id)
		}
	}
	return m.byPool[pool]
}

// decidePool reconciles one pool whose lease is held: what was begun goes on,
// absences are recorded, and stop plans begin new stops.
func (m *Machine) decidePool(now time.Time, pool string) {
	owned := m.ownedBy(pool)
	for _, o := range owned {
		m.askGateways(now, o)
		m.callReboot(now, o)
	}
	if !m.free(poolSlot(pool)) {
		return
	}
	for _, o := range owned {
		if c, ok := m.advance(now, o); ok {
			c.Slot = poolSlot(pool)
			m.change(c)
			return
		}
	}
	if m.up(now) {
		if c, ok := m.bookAbsences(now, pool, owned); ok {
			m.change(c)
			return
		}
		m.decidePlans(now, pool, owned)
	}
}

// advance returns the next change of a VM that is being moved or stopped.
func (m *Machine) advance(now time.Time, o structs.Owner) (Change, bool) {
	switch o.State {
	case structs.OwnerDraining:
		return m.advanceDrain(now, o)
	case structs.OwnerRebooting:
		return m.advanceReboot(now, o)
	}
	return Change{}, false
}

// bookAbsences records which active VMs are missing, and removes the record of
// those that are back.
func (m *Machine) bookAbsences(now time.Time, pool string, owned []structs.Owner) (Change, bool) {
	row := m.absences[pool]
	row.Pool = pool
	list := slices.Clone(row.Absences)
	for _, o := range owned {
		if m.missing(o) && m.absenceOf(pool, o.VM) < 0 {
			list = append(list, structs.Absence{VM: o.VM, Domain: m.domain(o.VM), Since: now})
		}
	}
	list = slices.DeleteFunc(list, func(a structs.Absence) bool {
		_, live := m.listed[a.VM]
		o := m.owners[a.VM]
		return o.Pool != pool || (live && o.State == structs.OwnerActive)
	})
	sortAbsences(list)
	if slices.Equal(list, row.Absences) {
		return Change{}, false
	}
	row.Absences = list
	return Change{Slot: poolSlot(pool), Kind: "absences", Absence: &row}, true
}

// missing reports whether an active VM is not in the VM list. The list must
// have been read after the VM was known to be active: a list from before shows
// a VM that has just come back from its reboot as missing.
func (m *Machine) missing(o structs.Owner) bool {
	_, live := m.listed[o.VM]
	return !live && o.State == structs.OwnerActive && m.fleetAt.After(m.owners[o.VM].merged)
}

// release returns the pool's absence row without the VM.
func (m *Machine) release(pool, vm string) *AbsenceRow {
	row := m.absences[pool]
	row.Pool = pool
	row.Absences = slices.DeleteFunc(slices.Clone(row.Absences), func(a structs.Absence) bool { return a.VM == vm })
	return &row
}
