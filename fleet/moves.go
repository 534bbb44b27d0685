package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// Sizing of pools.
const (
	// headroom is how much more than the expected load a pool should hold.
	headroom = 1.2
	// reserve is how many machines a pool keeps beyond its load.
	reserve = 1
	// chanceFactor times the square root of a pool's base is what it keeps between
	// two peaks: 8 of 10 machines, 22 of 74. A fixed part of the base leaves small
	// pools short.
	chanceFactor = 2.5
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

// wanted returns how many machines the pool should have.
func (m *Machine) wanted(p *pool, perMachine int) int {
	busy := int(math.Ceil(headroom * float64(p.expected(m.cfg.MoveTime)) / float64(perMachine)))
	// Lasting tasks that have to be apart need machines of their own, also while
	// some machines are emptied for their upkeep.
	return max(busy, p.Status.Spread) + p.upkeep + reserve
}

// planMoves brings machines to pools that lack them, and idle ones to where
// they are likely to be needed next.
func (m *Machine) planMoves() {
	perMachine := m.perMachine()
	if perMachine == 0 {
		return
	}
	standby, period, share := m.standby(), m.period(), m.fairShare()
	for _, name := range m.names {
		p := m.pools[name]
		if p.Standby || !p.Owned {
			continue
		}
		p.want = m.wanted(p, perMachine)
	}
	for _, name := range m.names {
		p := m.pools[name]
		if p.Standby || !p.Owned {
			continue
		}
		p.base = max(p.base, min(p.have, share))
		load := p.loads[len(p.loads)-1].load - p.Status.Lasting
		p.cycle.observe(m.now, float64(load)/float64(max(1, p.base)*perMachine), p.want)
		keep := m.keep(p)
		want := max(p.want, m.foreseen(p, period))
		switch {
		case want > p.have:
			p.peak, p.surplus = m.now, time.Time{}
			m.bring(p, want-p.have, standby)
		case p.have <= max(want, keep) || standby == "":
			p.surplus = time.Time{}
		case p.surplus.IsZero():
			p.surplus = m.now
		case m.now.Sub(p.surplus) >= surplusFor:
			m.park(p, p.have-max(want, keep), standby)
		}
	}
}

// keep returns how many machines a pool without need for them keeps. Until it
// has had a peak, that may come at any moment, and the pool keeps its base. After
// that the next one is foreseen or far away, and the pool keeps what chance asks
// for, which grows with the square root of its size.
func (m *Machine) keep(p *pool) int {
	if len(p.cycle.rises) == 0 {
		return p.base
	}
	return min(p.base, int(math.Ceil(chanceFactor*math.Sqrt(float64(p.base)))))
}

// fairShare returns the machines of a pool if those in use were spread evenly.
func (m *Machine) fairShare() int {
	pools, machines := 0, 0
	for _, p := range m.pools {
		if !p.Standby {
			pools++
			machines += p.have
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

// bring plans moves of up to n machines to a pool: from the standby pool, then
// idle ones of the pools that have had their peak last.
func (m *Machine) bring(p *pool, n int, standby string) {
	for _, x := range m.list {
		if n > 0 && x.Pool == standby && x.free() {
			m.planMove(x, p.name, "short of machines")
			n--
		}
	}
	if n <= 0 {
		return
	}
	for _, x := range m.donors(p, standby) {
		if n > 0 && m.mayGive(m.pools[x.Pool]) {
			m.planMove(x, p.name, "short of machines")
			n--
		}
	}
}

// free reports whether the machine is up and has no plan.
func (x *machine) free() bool { return x.plan == nil && x.State == workload.MachineUp }

// donors returns the idle machines of other pools, those first whose pools have
// had their peak last.
func (m *Machine) donors(to *pool, standby string) []*machine {
	var list []*machine
	for _, x := range m.list {
		from := m.pools[x.Pool]
		if from == nil || from == to || x.Pool == standby || !x.free() || !x.seen || !x.load.Usable || x.load.Runs > 0 {
			continue
		}
		if m.mayGive(from) {
			list = append(list, x)
		}
	}
	slices.SortStableFunc(list, func(a, b *machine) int { return m.pools[b.Pool].peak.Compare(m.pools[a.Pool].peak) })
	return list
}

func (m *Machine) planMove(x *machine, to, why string) {
	m.setPlan(x, plan{to: to})
	m.emit(Decision{What: "move-planned", Machine: x.ID, Pool: to, Why: why})
}

// mayGive reports whether a pool can lose a machine to one that lacks some.
func (m *Machine) mayGive(p *pool) bool {
	if !p.Owned || p.Status.Short > 0 {
		return false
	}
	return p.have > max(p.want, m.keep(p)*2/3)
}

// park plans moves of up to n idle machines of a pool to the standby pool.
func (m *Machine) park(p *pool, n int, standby string) {
	var idle []*machine
	for _, x := range m.list {
		if x.Pool == p.name && x.free() && x.seen && x.load.Runs == 0 {
			idle = append(idle, x)
		}
	}
	slices.SortStableFunc(idle, func(a, b *machine) int { return cmp.Compare(a.load.Used, b.load.Used) })
	for _, x := range idle[:min(n, len(idle))] {
		m.planMove(x, standby, "idle")
	}
}
