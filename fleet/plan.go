package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// drainTime is the time allowed to drain a busy machine: its long-running
// tasks are moved one by one, and its finite tasks run to their end.
const drainTime = 6 * time.Second

// waveReserve is the part of a wave's time that is left for an outage of the fleet's
// owner and for tasks that move slowly.
const waveReserve = 0.25

// planWaves plans upkeep. Idle machines are planned as soon as their pool can
// spare them. Machines with long-running tasks take long to drain, so a few at
// a time are planned from the start of the wave.
func (pl *Planner) planWaves() {
	for _, number := range pl.waveNumbers() {
		w := pl.waves[number]
		if !w.open() {
			continue
		}
		atRisk := pl.deadlineAtRisk(w)
		planned, draining := pl.countPlanned(w)
		requiredDrains := pl.requiredDrains(w)
		for _, m := range pl.upkeepCandidates(w) {
			if planned >= w.MaxDown+draining {
				break
			}
			if !atRisk && !pl.canSpare(m, requiredDrains) {
				continue
			}
			pl.setPlan(m, plan{wave: number})
			pl.emit(Decision{What: "upkeep-planned", Machine: m.ID, Pool: m.Pool, Wave: number})
			planned++
			if m.status.Runs > 0 {
				draining++
			}
		}
	}
}

// deadlineAtRisk reports whether a wave would miss its deadline if its machines
// waited until their pools can spare them.
func (pl *Planner) deadlineAtRisk(w *wave) bool {
	pending := pl.countUpkeepPending(w)
	rounds := (pending + w.MaxDown - 1) / max(1, w.MaxDown)
	return pl.now.Add(drainTime + time.Duration(rounds)*pl.cfg.UpkeepTime).After(w.Since.Add(w.Within))
}

// canSpare reports whether the machine's pool can do without it during its
// upkeep.
func (pl *Planner) canSpare(m *machine, requiredDrains map[string]int) bool {
	p := pl.pools[m.Pool]
	if p == nil || p.Standby {
		return true
	}
	if !p.Owned {
		return false
	}
	if m.status.LongRunning > 0 {
		return p.plannedLongRunning < requiredDrains[m.Pool]
	}
	return m.status.Runs == 0 && p.Status.Shortfall == 0 && p.planned < max(1, p.size/3)
}

// requiredDrains returns by pool how many machines with long-running tasks
// must be drained at the same time for the wave to meet its deadline.
func (pl *Planner) requiredDrains(w *wave) map[string]int {
	drains := map[string]int{}
	for _, id := range w.Machines {
		if m := pl.machines[id]; m != nil && !w.upkeepStarted[id] && m.status.LongRunning > 0 {
			drains[m.Pool]++
		}
	}
	planned := time.Duration((1 - waveReserve) * float64(w.Within))
	remaining := max(time.Second, w.Since.Add(planned).Sub(pl.now)-drainTime)
	for pool, machines := range drains {
		drains[pool] = max(1, int(math.Ceil(float64(machines)*float64(drainTime)/float64(remaining))))
	}
	return drains
}

// upkeepCandidates returns the machines of a wave for which upkeep may be
// planned, sorted by absenceCost.
func (pl *Planner) upkeepCandidates(w *wave) []*machine {
	var candidates []*machine
	for _, id := range w.Machines {
		m := pl.machines[id]
		if m != nil && pl.available(m) && !w.upkeepStarted[id] && !pl.now.Before(w.refusals[id].retryAt) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *machine) int { return cmp.Compare(pl.absenceCost(a), pl.absenceCost(b)) })
	return candidates
}

func (pl *Planner) waveNumbers() []int {
	numbers := make([]int, 0, len(pl.waves))
	for n := range pl.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// countPlanned returns how many machines of a wave have a plan, and how many of
// those still run tasks and wait for their upkeep.
func (pl *Planner) countPlanned(w *wave) (planned, draining int) {
	for _, id := range w.Machines {
		m := pl.machines[id]
		if m == nil || m.plan == nil {
			continue
		}
		planned++
		if m.plan.wave == w.Number && m.status.Runs > 0 && m.plan.doneAt.IsZero() {
			draining++
		}
	}
	return planned, draining
}

// absenceCost returns the relative cost of taking a machine out of its pool: 0
// in a standby pool, otherwise growing with its runs.
func (pl *Planner) absenceCost(m *machine) int {
	if p := pl.pools[m.Pool]; p == nil || p.Standby {
		return 0
	}
	const perRun, perLongRunning = 1, 10
	return 1 + perRun*m.status.Runs + perLongRunning*m.status.LongRunning
}

// UpkeepPending returns the machines whose upkeep has not started. The owners
// of their pools prefer other machines for long-running tasks.
func (pl *Planner) UpkeepPending() []string {
	var pending []string
	for _, number := range pl.waveNumbers() {
		w := pl.waves[number]
		if !w.open() {
			continue
		}
		for _, id := range w.Machines {
			if pl.machines[id] != nil && !w.upkeepStarted[id] {
				pending = append(pending, id)
			}
		}
	}
	slices.Sort(pending)
	return pending
}
