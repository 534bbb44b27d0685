package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// evacuation is how long it may take to move the work of a busy machine away:
// its lasting tasks leave one by one, and finite ones end.
const evacuation = 6 * time.Second

// planWaves chooses machines for upkeep. Machines without lasting tasks have
// it as soon as their pool can spare them. The others are emptied a few at a
// time from the beginning of the wave, since that takes long.
func (m *Machine) planWaves() {
	for _, number := range m.waveNumbers() {
		w := m.waves[number]
		if w.Number == 0 || w.reported == 2 {
			continue
		}
		hurry := m.hurry(w)
		open, emptying := m.planned(w)
		atOnce := m.emptyAtOnce(w)
		for _, x := range m.dueForUpkeep(w) {
			if open >= w.MaxDown+emptying {
				break
			}
			if !hurry && !m.canSpare(x, atOnce) {
				continue
			}
			m.setPlan(x, plan{wave: number})
			m.emit(Decision{What: "upkeep-planned", Machine: x.ID, Pool: x.Pool, Wave: number})
			open++
			if x.load.Runs > 0 {
				emptying++
			}
		}
	}
}

// hurry reports whether a wave would be late if its machines waited for times
// at which their pools can spare them.
func (m *Machine) hurry(w *wave) bool {
	left := m.left(w)
	rounds := (left + w.MaxDown - 1) / max(1, w.MaxDown)
	return m.now.Add(evacuation + time.Duration(rounds)*m.cfg.UpkeepTime).After(w.Since.Add(w.Within))
}

// canSpare reports whether the machine's pool can do without it for the time
// of its upkeep.
func (m *Machine) canSpare(x *machine, atOnce map[string]int) bool {
	p := m.pools[x.Pool]
	if p == nil || p.Standby {
		return true
	}
	if !p.Owned {
		return false
	}
	if x.load.Lasting > 0 {
		return p.awayLasting < atOnce[x.Pool]
	}
	return x.load.Runs == 0 && p.Status.Short == 0 && p.away < max(1, p.have/3)
}

// emptyAtOnce returns how many machines of each pool with lasting tasks have to
// be emptied at the same time for the wave to end in time.
func (m *Machine) emptyAtOnce(w *wave) map[string]int {
	atOnce := map[string]int{}
	for _, id := range w.Machines {
		if x := m.machines[id]; x != nil && !w.kept[id] && x.load.Lasting > 0 {
			atOnce[x.Pool]++
		}
	}
	left := max(time.Second, w.Since.Add(w.Within).Sub(m.now)-evacuation)
	for pool, busy := range atOnce {
		atOnce[pool] = max(1, int(math.Ceil(float64(busy)*float64(evacuation)/float64(left))))
	}
	return atOnce
}

// dueForUpkeep returns the machines of a wave that may be planned, those first
// whose absence costs least.
func (m *Machine) dueForUpkeep(w *wave) []*machine {
	var due []*machine
	for _, id := range w.Machines {
		x := m.machines[id]
		if x != nil && x.plan == nil && !w.kept[id] && x.State == workload.MachineUp {
			due = append(due, x)
		}
	}
	slices.SortStableFunc(due, func(a, b *machine) int { return cmp.Compare(m.absenceCost(a), m.absenceCost(b)) })
	return due
}

func (m *Machine) waveNumbers() []int {
	numbers := make([]int, 0, len(m.waves))
	for n := range m.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

// planned returns the machines of a wave that have a plan, and how many of them
// still have work.
func (m *Machine) planned(w *wave) (open, emptying int) {
	for _, id := range w.Machines {
		x := m.machines[id]
		if x == nil || x.plan == nil {
			continue
		}
		open++
		if x.plan.wave == w.Number && x.load.Runs > 0 && x.plan.doneAt.IsZero() {
			emptying++
		}
	}
	return open, emptying
}

// absenceCost orders machines by what their absence costs: nothing in a
// standby pool, less without work.
func (m *Machine) absenceCost(x *machine) int {
	if p := m.pools[x.Pool]; p == nil || p.Standby {
		return 0
	}
	const perRun, perLasting = 1, 10
	return 1 + perRun*x.load.Runs + perLasting*x.load.Lasting
}

// Due returns the machines whose upkeep is still to come. Work that lasts is
// better placed elsewhere.
func (m *Machine) Due() []string {
	var due []string
	for _, number := range m.waveNumbers() {
		w := m.waves[number]
		if w.Number == 0 || w.reported == 2 {
			continue
		}
		for _, id := range w.Machines {
			if m.machines[id] != nil && !w.kept[id] {
				due = append(due, id)
			}
		}
	}
	slices.Sort(due)
	return due
}
