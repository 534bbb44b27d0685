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
		open := m.planned(w)
		for _, x := range m.dueForUpkeep(w) {
			if open >= w.MaxDown+m.emptying(w) {
				break
			}
			if !hurry && !m.canSpare(w, x) {
				continue
			}
			x.plan = &plan{wave: number, since: m.now}
			m.emit(Decision{What: "upkeep-planned", Machine: x.ID, Pool: x.Pool, Wave: number})
			open++
		}
	}
}

// emptying returns the machines of a wave that have a plan and still have work.
func (m *Machine) emptying(w *wave) int {
	n := 0
	for _, id := range w.Machines {
		if x := m.machines[id]; x != nil && x.plan != nil && x.plan.wave == w.Number && x.load.Runs > 0 && x.plan.doneAt.IsZero() {
			n++
		}
	}
	return n
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
func (m *Machine) canSpare(w *wave, x *machine) bool {
	p := m.pools[x.Pool]
	if p == nil || p.Standby {
		return true
	}
	if !p.Owned {
		return false
	}
	if x.load.Lasting > 0 {
		return m.awayIn(x.Pool, true) < m.emptyAtOnce(w, x.Pool)
	}
	return x.load.Runs == 0 && p.Status.Short == 0 && m.awayIn(x.Pool, false) < max(1, m.have(x.Pool)/3)
}

// emptyAtOnce returns how many machines of a pool with lasting tasks have to be
// emptied at the same time for the wave to end in time.
func (m *Machine) emptyAtOnce(w *wave, pool string) int {
	busy := 0
	for _, id := range w.Machines {
		if x := m.machines[id]; x != nil && x.Pool == pool && !w.kept[id] && x.load.Lasting > 0 {
			busy++
		}
	}
	left := max(time.Second, w.Since.Add(w.Within).Sub(m.now)-evacuation)
	return max(1, int(math.Ceil(float64(busy)*float64(evacuation)/float64(left))))
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

// planned returns the machines of a wave that have a plan.
func (m *Machine) planned(w *wave) int {
	n := 0
	for _, id := range w.Machines {
		if x := m.machines[id]; x != nil && x.plan != nil {
			n++
		}
	}
	return n
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

// awayIn returns the machines of a pool that have a plan, all or those with
// lasting tasks.
func (m *Machine) awayIn(name string, lasting bool) int {
	n := 0
	for _, id := range m.ids {
		if x := m.machines[id]; x.Pool == name && x.plan != nil && (!lasting || x.load.Lasting > 0) {
			n++
		}
	}
	return n
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

// Sizing of pools.
const (
	// headroom is how much more than the expected load a pool should hold.
	headroom = 1.2
	// reserve is how many machines a pool keeps beyond its load.
	reserve = 1
	// surplusFor is how long a pool must have too many machines before some
	// leave it. A move there and back costs what an idle machine in a pool
	// costs in about this time.
	surplusFor = 1500 * time.Millisecond
	// loadWindow is the time over which the growth of a load is measured.
	loadWindow = 800 * time.Millisecond
)

// sample notes the present load.
func (p *pool) sample(now time.Time) {
	load := p.Status.Short
	for _, x := range p.Status.Machines {
		load += x.Used
	}
	p.loads = append(p.loads, sample{at: now, load: load})
	for now.Sub(p.loads[0].at) > loadWindow {
		p.loads = p.loads[1:]
	}
}

// expected returns the load in the time that a machine takes to arrive, if it
// goes on to grow as it does.
func (p *pool) expected(lead time.Duration) int {
	last, first := p.loads[len(p.loads)-1], p.loads[0]
	grown, took := last.load-first.load, last.at.Sub(first.at)
	if grown <= 0 || took < loadWindow/4 {
		return last.load
	}
	growth := float64(grown) * float64(lead) / float64(max(took, loadWindow))
	return last.load + min(int(growth), last.load)
}

// want returns how many machines the pool should have.
func (m *Machine) want(p *pool, perMachine int) int {
	return int(math.Ceil(headroom*float64(p.expected(m.cfg.MoveTime))/float64(perMachine))) + reserve
}

// planMoves brings machines to pools that lack them, and idle ones to where
// they are likely to be needed next.
func (m *Machine) planMoves() {
	perMachine := m.perMachine()
	if perMachine == 0 {
		return
	}
	standby, period := m.standby(), m.period()
	for _, name := range m.names {
		p := m.pools[name]
		if p.Standby || !p.Owned {
			continue
		}
		have := m.have(name)
		p.base = max(p.base, min(have, m.fairShare()))
		want := m.want(p, perMachine)
		load := p.loads[len(p.loads)-1].load
		p.cycle.observe(m.now, float64(load)/float64(max(1, p.base)*perMachine), want)
		want = max(want, m.foreseen(p, period))
		switch {
		case want > have:
			p.peak, p.surplus = m.now, time.Time{}
			m.bring(p, want-have, standby)
		case have <= max(want, p.base) || standby == "":
			p.surplus = time.Time{}
		case p.surplus.IsZero():
			p.surplus = m.now
		case m.now.Sub(p.surplus) >= surplusFor:
			m.park(p, have-max(want, p.base), standby)
		}
	}
}

// fairShare returns the machines of a pool if those in use were spread evenly.
func (m *Machine) fairShare() int {
	pools, machines := 0, 0
	for _, name := range m.names {
		if !m.pools[name].Standby {
			pools++
			machines += m.have(name)
		}
	}
	if pools == 0 {
		return 0
	}
	return (machines + pools - 1) / pools
}

func (m *Machine) standby() string {
	for _, name := range m.names {
		if m.pools[name].Standby {
			return name
		}
	}
	return ""
}

// perMachine returns the thousandths of a core of a typical machine.
func (m *Machine) perMachine() int {
	for _, name := range m.names {
		if n := m.pools[name].Status.PerMachine; n > 0 {
			return n
		}
	}
	return 0
}

// have returns the machines of a pool, with those on their way to it and
// without those that leave it.
func (m *Machine) have(name string) int {
	n := 0
	for _, id := range m.ids {
		x := m.machines[id]
		switch {
		case x.plan != nil && x.plan.to != "":
			if x.plan.to == name {
				n++
			}
		case x.Pool == name && x.State != workload.MachineDown:
			n++
		}
	}
	return n
}

// bring plans moves of up to n machines to a pool: from the standby pool, then
// idle ones of the pools that have had their peak last.
func (m *Machine) bring(p *pool, n int, standby string) {
	for ; n > 0; n-- {
		x := m.donor(p, standby)
		if x == nil {
			return
		}
		m.planMove(x, p.name, "short of machines")
	}
}

func (m *Machine) planMove(x *machine, to, why string) {
	x.plan = &plan{to: to, since: m.now}
	m.emit(Decision{What: "move-planned", Machine: x.ID, Pool: to, Why: why})
}

func (m *Machine) donor(to *pool, standby string) *machine {
	var best *machine
	var bestPeak time.Time
	for _, id := range m.ids {
		x := m.machines[id]
		if x.plan != nil || x.State != workload.MachineUp || x.Pool == to.name {
			continue
		}
		if x.Pool == standby {
			return x
		}
		from := m.pools[x.Pool]
		if from == nil || !x.seen || !x.load.Usable || x.load.Runs > 0 || !m.mayGive(from) {
			continue
		}
		if best == nil || from.peak.After(bestPeak) {
			best, bestPeak = x, from.peak
		}
	}
	return best
}

// mayGive reports whether a pool can lose a machine to one that lacks some.
func (m *Machine) mayGive(p *pool) bool {
	if !p.Owned || p.Status.Short > 0 {
		return false
	}
	floor := max(m.want(p, m.perMachine()), p.base*2/3)
	return m.have(p.name) > floor
}

// park plans moves of up to n idle machines of a pool to the standby pool.
func (m *Machine) park(p *pool, n int, standby string) {
	var idle []*machine
	for _, id := range m.ids {
		x := m.machines[id]
		if x.Pool == p.name && x.plan == nil && x.seen && x.load.Runs == 0 && x.State == workload.MachineUp {
			idle = append(idle, x)
		}
	}
	slices.SortStableFunc(idle, func(a, b *machine) int { return cmp.Compare(a.load.Used, b.load.Used) })
	for _, x := range idle[:min(n, len(idle))] {
		m.planMove(x, standby, "idle")
	}
}
