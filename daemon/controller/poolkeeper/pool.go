package poolkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/budget"
	"github.com/carobwharf/carobwharf/structs"
)

// poolSlot returns the slot of changes to the pool's VMs, absences and plans.
func poolSlot(pool string) string { return "pool/" + pool }

// budgetLedger returns the pool's ledger of absences. A VM that is not active or
// not live counts as absent even if its absence is not recorded yet.
func (m *Machine) budgetLedger(pool string) *budget.Ledger {
	var vms []structs.VM
	absences := m.absences[pool].Absences
	for _, id := range m.poolVMIDs(pool) {
		o := m.owners[id]
		vms = append(vms, m.vmInfo(id))
		if _, live := m.liveVMs[id]; !live || o.State != structs.OwnerActive {
			absences = append(absences[:len(absences):len(absences)], structs.Absence{VM: id})
		}
	}
	return budget.New(pool, m.objects.Budgets, vms, absences)
}

// allPools returns the configured pools, followed by pools that were removed from
// the configuration but still own VMs. The latter have a target of 0, so their
// VMs return to the spare pool like any surplus.
func (m *Machine) allPools() []structs.Pool {
	m.poolVMIDs("") // rebuilds byPool if it is out of date
	if m.cachedPools == nil {
		m.cachedPools = slices.Clone(m.objects.Pools)
		for _, name := range slices.Sorted(maps.Keys(m.byPool)) {
			if m.objects.Pool(name) == nil {
				m.cachedPools = append(m.cachedPools, structs.Pool{Name: name})
			}
		}
	}
	return m.cachedPools
}

// vmInfo returns the last known description of the VM.
func (m *Machine) vmInfo(id string) structs.VM {
	if vm, ok := m.lastSeenVMs[id]; ok {
		return vm
	}
	return structs.VM{ID: id}
}

func (m *Machine) rackDomain(id string) string {
	d, _ := budget.DomainOf(m.vmInfo(id), structs.DomainRack)
	return d
}

// poolOwners returns the ownership rows of a pool's VMs, sorted by VM ID.
func (m *Machine) poolOwners(pool string) []structs.Owner {
	ids := m.poolVMIDs(pool)
	out := make([]structs.Owner, len(ids))
	for i, id := range ids {
		out[i] = m.owners[id].Owner
	}
	return out
}

// poolVMIDs returns the sorted IDs of a pool's VMs. It rebuilds the index if a VM
// has changed its pool.
func (m *Machine) poolVMIDs(pool string) []string {
	if m.byPool == nil {
		m.byPool, m.cachedPools = map[string][]string{}, nil
		for _, id := range slices.Sorted(maps.Keys(m.owners)) {
			p := m.owners[id].Pool
			m.byPool[p] = append(m.byPool[p], id)
		}
	}
	return m.byPool[pool]
}

// reconcilePool reconciles one pool whose lease is held: it continues moves and
// stops in progress, records absences and starts new stops of the stop plans.
func (m *Machine) reconcilePool(now time.Time, pool string) {
	owned := m.poolOwners(pool)
	for _, o := range owned {
		m.requestConfirmations(now, o)
		m.requestReboot(now, o)
	}
	if !m.slotFree(poolSlot(pool)) {
		return
	}
	for _, o := range owned {
		if c, ok := m.advanceVM(now, o); ok {
			c.Slot = poolSlot(pool)
			m.startChange(c)
			return
		}
	}
	if m.platformUp(now) {
		if c, ok := m.absenceChange(now, pool, owned); ok {
			m.startChange(c)
			return
		}
		m.startNextStop(now, pool, owned)
	}
}

// advanceVM returns the next change of a VM that is being moved or stopped.
func (m *Machine) advanceVM(now time.Time, o structs.Owner) (Change, bool) {
	switch o.State {
	case structs.OwnerDraining:
		return m.advanceDrain(now, o)
	case structs.OwnerRebooting:
		return m.advanceReboot(now, o)
	}
	return Change{}, false
}

// absenceChange returns a change that records the absence of missing VMs and
// removes the absences of VMs that are back or have left the pool. It returns
// false if the absence row is up to date.
func (m *Machine) absenceChange(now time.Time, pool string, owned []structs.Owner) (Change, bool) {
	row := m.absences[pool]
	row.Pool = pool
	list := slices.Clone(row.Absences)
	for _, o := range owned {
		if m.missing(o) && m.absenceIndex(pool, o.VM) < 0 {
			list = append(list, structs.Absence{VM: o.VM, Domain: m.rackDomain(o.VM), Since: now})
		}
	}
	list = slices.DeleteFunc(list, func(a structs.Absence) bool {
		_, live := m.liveVMs[a.VM]
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
// have been read after this process learned that the VM is active: in an older
// list, a VM that has just finished its reboot may still be missing.
func (m *Machine) missing(o structs.Owner) bool {
	_, live := m.liveVMs[o.VM]
	return !live && o.State == structs.OwnerActive && m.fleetReadAt.After(m.owners[o.VM].learnedAt)
}

// absenceRowWithout returns a copy of the pool's absence row without the VM.
func (m *Machine) absenceRowWithout(pool, vm string) *AbsenceRow {
	row := m.absences[pool]
	row.Pool = pool
	row.Absences = slices.DeleteFunc(slices.Clone(row.Absences), func(a structs.Absence) bool { return a.VM == vm })
	return &row
}
