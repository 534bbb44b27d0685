package poolkeeper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/buffer"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	adoptSlot    = "adopt"
	movePlanName = "move" // value of Absence.Plan for moves between pools
)

// adoptVMs assigns VMs that no pool owns to pools. The ownership rows are
// inserted, so if two processes adopt the same VM, only one succeeds.
func (m *Machine) adoptVMs() {
	if !m.slotFree(adoptSlot) {
		return
	}
	var unowned []structs.VM
	for id, vm := range m.liveVMs {
		if _, ok := m.owners[id]; !ok {
			unowned = append(unowned, vm)
		}
	}
	if len(unowned) == 0 {
		return
	}
	c := Change{Slot: adoptSlot, Kind: "adopt"}
	for _, a := range buffer.Adopt(m.poolStates(), unowned, m.cfg.AdoptBatch) {
		c.Owners = append(c.Owners, structs.Owner{
			VM: a.VM, Pool: a.To, State: structs.OwnerActive, Epoch: 1, Reason: "adopted",
		})
	}
	if len(c.Owners) > 0 {
		m.startChange(c)
	}
}

// poolStates returns the state of all pools as input for package buffer.
func (m *Machine) poolStates() []buffer.PoolState {
	pools := m.allPools()
	index := make(map[string]int, len(pools))
	states := make([]buffer.PoolState, len(pools))
	for i, p := range pools {
		target, ok := m.demandTargets[p.Name]
		if !ok {
			target = p.Target
		}
		states[i] = buffer.PoolState{Pool: p, Target: target}
		index[p.Name] = i
	}
	for _, id := range slices.Sorted(maps.Keys(m.owners)) {
		o := m.owners[id]
		pool := o.Pool
		if o.Next != "" {
			pool = o.Next
		}
		i, ok := index[pool]
		if !ok {
			continue
		}
		states[i].Size++
		if vm, live := m.liveVMs[id]; live && m.inService(o.Owner) {
			states[i].VMs = append(states[i].VMs, vm)
		}
	}
	return states
}

// inService reports whether the VM is active and has no recorded absence.
func (m *Machine) inService(o structs.Owner) bool {
	return o.State == structs.OwnerActive && m.absenceIndex(o.Pool, o.VM) < 0
}

// absenceIndex returns the index of the VM's absence in the pool's absence row,
// or -1.
func (m *Machine) absenceIndex(pool, vm string) int {
	return slices.IndexFunc(m.absences[pool].Absences, func(a structs.Absence) bool { return a.VM == vm })
}

// planMoves plans new moves once all earlier ones have started.
func (m *Machine) planMoves(now time.Time) {
	if len(m.pendingMoves) > 0 || !m.allPoolSlotsFree() {
		return
	}
	m.pendingMoves = m.planner.Plan(now, m.poolStates())
}

func (m *Machine) allPoolSlotsFree() bool {
	for _, p := range m.allPools() {
		if !m.slotFree(poolSlot(p.Name)) {
			return false
		}
	}
	return true
}

// beginMoves starts to drain the VMs of planned moves, unless the slot of their
// pool is not free. A move that the budget does not permit is dropped; the
// planner may plan it again later.
func (m *Machine) beginMoves(now time.Time) {
	if !m.platformUp(now) || !m.holdsLease(now, m.coordinatorPool()) {
		m.pendingMoves = nil
		return
	}
	waiting := m.pendingMoves[:0]
	for _, mv := range m.pendingMoves {
		if !m.slotFree(poolSlot(mv.From)) {
			waiting = append(waiting, mv)
			continue
		}
		o, ok := m.owners[mv.VM]
		if ok && o.Pool == mv.From && m.inService(o.Owner) && !m.drainDeferred(now, mv.VM) {
			_ = m.startDrain(now, o.Owner, mv.To, movePlanName, 0)
		}
	}
	m.pendingMoves = waiting
}

// drainDeferred reports whether the VM must not be drained yet because its last
// drain was cancelled recently.
func (m *Machine) drainDeferred(now time.Time, vm string) bool {
	until, ok := m.drainRetryAt[vm]
	if ok && !now.Before(until) {
		delete(m.drainRetryAt, vm)
	}
	return now.Before(until)
}

// startDrain starts a planned absence if the budget permits it: one transaction
// records the absence and sets the VM to draining. Otherwise it returns the
// budget's refusal.
func (m *Machine) startDrain(now time.Time, o structs.Owner, next, plan string, order uint64) error {
	if refusal := m.budgetLedger(o.Pool).Permit(o.VM); refusal != nil {
		return refusal
	}
	row := m.absences[o.Pool]
	row.Pool = o.Pool
	row.Absences = append(m.absenceRowWithout(o.Pool, o.VM).Absences, structs.Absence{
		VM: o.VM, Domain: m.rackDomain(o.VM), Planned: true, Plan: plan, Since: now,
	})
	sortAbsences(row.Absences)
	o.State, o.Next, o.Reason = structs.OwnerDraining, next, plan
	o.Epoch++
	m.startChange(Change{Slot: poolSlot(o.Pool), Kind: "drain", Owners: []structs.Owner{o}, Absence: &row, Order: order})
	return nil
}

func sortAbsences(list []structs.Absence) {
	slices.SortFunc(list, func(a, b structs.Absence) int { return strings.Compare(a.VM, b.VM) })
}
