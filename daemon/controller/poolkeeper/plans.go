package poolkeeper

import (
	"time"

	"github.com/carobwharf/carobwharf/rollout"
	"github.com/carobwharf/carobwharf/structs"
)

// startNextStop starts the next stop of the pool's stop plans, at most one per
// step, since the next one depends on the result of the transaction. Plans of a
// pool without VMs are skipped: a plan that started before the pool's first VMs
// are adopted would finish immediately.
func (m *Machine) startNextStop(now time.Time, pool string, owned []structs.Owner) {
	if len(owned) == 0 {
		return
	}
	for i := range m.objects.StopPlans {
		p := m.objects.StopPlans[i]
		if p.Pool == pool && m.advancePlan(now, p, owned) {
			return
		}
	}
}

// advancePlan makes the next change of a plan, if one is due, and reports
// whether it did.
func (m *Machine) advancePlan(now time.Time, p structs.StopPlan, owned []structs.Owner) bool {
	row := m.plans[p.Name]
	next, changed := rollout.CurrentCycle(row.Progress, p, now)
	if changed {
		row.Progress = next
		return m.startChange(Change{Slot: poolSlot(p.Pool), Kind: "plan started", Plan: &row})
	}
	in := rollout.Input{
		Now: now, Plan: p, Progress: row.Progress, Absences: m.absences[p.Pool].Absences,
		Ledger: m.budgetLedger(p.Pool), PauseFor: m.cfg.PauseFor,
	}
	if after, ok := m.plans[p.After]; ok {
		in.After = &after.Progress
	}
	for _, o := range owned {
		vm, live := m.liveVMs[o.VM]
		if live && m.inService(o) && !m.drainDeferred(now, o.VM) {
			in.Ready = append(in.Ready, vm)
		} else if !row.Progress.IsDone(o.VM) {
			in.Waiting++
		}
	}
	d := rollout.Next(in)
	if len(d.Stop) > 0 {
		_ = m.startDrain(now, m.owners[d.Stop[0]].Owner, "", p.Name, 0)
		return true
	}
	if d.Hold == rollout.HoldFinished && row.Progress.Finished.IsZero() {
		row.Progress.Finished = now
		return m.startChange(Change{Slot: poolSlot(p.Pool), Kind: "plan finished", Plan: &row})
	}
	return false
}
