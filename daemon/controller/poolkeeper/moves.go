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
	adoptSlot = "adopt"
	planMove  = "move" // Absence.Plan of moves between pools
)

// adopt gives the VMs that no pool owns to pools. The rows are inserted, so
// of two processes that adopt a VM one loses.
func (m *Machine) adopt() {
	if !m.free(adoptSlot) {
		return
	}
	var unowned []structs.VM
	for id, vm := range m.listed {
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
		m.change(c)
	}
}

// poolStates describes all pools for package buffer.
func (m *Machine) poolStates() []buffer.PoolState {
	pools := m.allPools()
	index := make(map[string]int, len(pools))
	states := make([]buffer.PoolState, len(pools))
	for i, p := range pools {
		target, ok := m.targets[p.Name]
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
		if vm, live := m.listed[id]; live && m.steady(o.Owner) {
			states[i].VMs = append(states[i].VMs, vm)
		}
	}
	return states
}

// steady reports whether the VM is active without an absence.
func (m *Machine) steady(o structs.Owner) bool {
	return o.State == structs.OwnerActive && m.absenceOf(o.Pool, o.VM) < 0
}

func (m *Machine) absenceOf(pool, vm string) int {
	return slices.IndexFunc(m.absences[pool].Absences, func(a structs.Absence) bool { return a.VM == vm })
}

// planMoves decides on moves when those decided before have all begun.
func (m *Machine) planMoves(now time.Time) {
	if len(m.moves) > 0 || !m.allFree() {
		return
	}
	m.moves = m.planner.Plan(now, m.poolStates())
}

func (m *Machine) allFree() bool {
	for _, p := range m.allPools() {
		if !m.free(poolSlot(p.Name)) {
			return false
		}
	}
	return true
}

// beginMoves drains the VMs that are to move, as far as the slots of their
// pools are free. A move that is not permitted is dropped; the planner decides
// again later.
func (m *Machine) beginMoves(now time.Time) {
	if !m.up(now) || !m.holds(now, m.coordinator()) {
		m.moves = nil
		return
	}
	waiting := m.moves[:0]
	for _, mv := range m.moves {
		if !m.free(poolSlot(mv.From)) {
			waiting = append(waiting, mv)
			continue
		}
		o, ok := m.owners[mv.VM]
		if ok && o.Pool == mv.From && m.steady(o.Owner) && !m.deferred(now, mv.VM) {
			_ = m.drainVM(now, o.Owner, mv.To, planMove, 0)
		}
	}
	m.moves = waiting
}

// deferred reports whether the VM's last drain was given up a short time ago.
func (m *Machine) deferred(now time.Time, vm string) bool {
	until, ok := m.later[vm]
	if ok && !now.Before(until) {
		delete(m.later, vm)
	}
	return now.Before(until)
}

// drainVM begins a planned absence: it takes a permit from the budget and sets
// the VM to draining, in one transaction. It returns why it does not.
func (m *Machine) drainVM(now time.Time, o structs.Owner, next, plan string, order uint64) error {
	if refusal := m.ledger(o.Pool).Permit(o.VM); refusal != nil {
		return refusal
	}
	row := m.absences[o.Pool]
	row.Pool = o.Pool
	row.Absences = append(m.release(o.Pool, o.VM).Absences, structs.Absence{
		VM: o.VM, Domain: m.domain(o.VM), Planned: true, Plan: plan, Since: now,
	})
	sortAbsences(row.Absences)
	o.State, o.Next, o.Reason = structs.OwnerDraining, next, plan
	o.Epoch++
	m.change(Change{Slot: poolSlot(o.Pool), Kind: "drain", Owners: []structs.Owner{o}, Absence: &row, Order: order})
	return nil
}

func sortAbsences(list []structs.Absence) {
	slices.SortFunc(list, func(a, b structs.Absence) int { return strings.Compare(a.VM, b.VM) })
}
