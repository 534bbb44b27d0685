package poolkeeper

import (
	"time"

	"github.com/carobwharf/carobwharf/rollout"
	"github.com/carobwharf/carobwharf/structs"
)

// decidePlans begins the next stop of the pool's stop plans, at most one in
// each step; the next step follows the result of the transaction. A pool
// without VMs has no cycle: before the adoption of its first VMs a plan would
// be finished at once.
func (m *Machine) decidePlans(now time.Time, pool string, owned []structs.Owner) {
	if len(owned) == 0 {
		return
	}
	for i := range m.set.StopPlans {
		p := m.set.StopPlans[i]
		if p.Pool == pool && m.decidePlan(now, p, owned) {
			return
		}
	}
}

func (m *Machine) decidePlan(now time.Time, p structs.StopPlan, owned []structs.Owner) bool {
	row := m.plans[p.Name]
	next, changed := rollout.Due(row.Progress, p, now)
	if changed {
		row.Progress = next
		return m.change(Change{Slot: poolSlot(p.Pool), Kind: "plan started", Plan: &row})
	}
	in := rollout.Input{
		Now: now, Plan: p, Progress: row.Progress, Absences: m.absences[p.Pool].Absences,
		Ledger: m.ledger(p.Pool), PauseFor: m.cfg.PauseFor,
	}
	if after, ok := m.plans[p.After]; ok {
		in.After = &after.Progress
	}
	for _, o := range owned {
		vm, live := m.listed[o.VM]
		if live && m.steady(o) && !m.deferred(now, o.VM) {
			in.Ready = append(in.Ready, vm)
		} else if !row.Progress.IsDone(o.VM) {
			in.Waiting++
		}
	}
	d := rollout.Next(in)
	if len(d.Stop) > 0 {
		_ = m.drainVM(now, m.owners[d.Stop[0]].Owner, "", p.Name, 0)
		return true
	}
	if d.Hold == rollout.HoldFinished && row.Progress.Finished.IsZero() {
		row.Progress.Finished = now
		return m.change(Change{Slot: poolSlot(p.Pool), Kind: "plan finished", Plan: &row})
	}
	return false
}
