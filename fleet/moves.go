package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Sizing of pools.
const (
	// loadHeadroom is the ratio of a pool's capacity to its expected load.
	loadHeadroom = 1.2
	// reserveMachines is the number of machines that a pool has in addition to
	// those that its load requires.
	reserveMachines = 1
	// baselineFactor times the square root of a pool's base size is the number
	// of machines that it keeps between peaks: 8 of 10, 22 of 74. A fixed
	// fraction of the base size would leave small pools short.
	baselineFactor = 2.5
	// surplusDelay is how long a pool must have too many machines before some
	// are moved to the standby pool. An idle machine costs about as much in this
	// time as a move to the standby pool and back.
	surplusDelay = 1500 * time.Millisecond
	// growthWindow is the period over which the growth of a load is measured.
	growthWindow = 800 * time.Millisecond
)

// recordLoad appends a sample of the current load, which includes the demand of
// waiting tasks, and drops samples older than growthWindow. Work that is late already
// does not count: in a flood it would keep the machines that other pools need to be in
// time.
func (p *pool) recordLoad(now time.Time) {
	load := p.Status.Shortfall - p.lateLoad()
	for _, m := range p.Status.Machines {
		load += m.Used
	}
	load = max(0, load)
	p.loadSamples = append(p.loadSamples, loadSample{at: now, load: load})
	for now.Sub(p.loadSamples[0].at) > growthWindow {
		p.loadSamples = p.loadSamples[1:]
	}
}

// lateLoad returns the part of the load of jobs that can't meet their objective any
// more.
func (p *pool) lateLoad() int { return p.Status.LateShortfall + p.Status.LateUsed }

// shortInTime reports whether tasks wait whose jobs can still meet their objective.
func (p *pool) shortInTime() bool { return p.Status.Shortfall > p.Status.LateShortfall }

// expectedLoad extrapolates the growth of the load and returns the load that is
// expected after the given time, at most twice the current one.
func (p *pool) expectedLoad(after time.Duration) int {
	last, first := p.loadSamples[len(p.loadSamples)-1], p.loadSamples[0]
	increase, elapsed := last.load-first.load, last.at.Sub(first.at)
	if increase <= 0 || elapsed < growthWindow/4 {
		return last.load
	}
	growth := float64(increase) * float64(after) / float64(max(elapsed, growthWindow))
	return last.load + min(int(growth), last.load)
}

// requiredSize returns the number of machines that the pool needs for the load
// at the time when a machine ordered now would arrive.
func (pl *Planner) requiredSize(p *pool, capacity int) int {
	loadSize := int(math.Ceil(loadHeadroom * float64(p.expectedLoad(pl.cfg.MoveTime)) / float64(capacity)))
	// Long-running tasks that must run on different machines need Spread machines,
	// even while others are drained for upkeep.
	return max(loadSize, p.Status.Spread) + p.plannedUpkeep + reserveMachines
}

// planMoves plans moves of machines to pools that need more of them, and of
// surplus idle machines to the standby pool.
func (pl *Planner) planMoves() {
	capacity := pl.machineCapacity()
	if capacity == 0 {
		return
	}
	standby, fairShare := pl.standbyPool(), pl.fairShare()
	var pools []*pool // that can get and give machines
	for _, name := range pl.poolNames {
		if p := pl.pools[name]; !p.Standby && p.Owned {
			pools = append(pools, p)
		}
	}
	for _, p := range pools {
		p.baseSize = max(p.baseSize, min(p.size, fairShare))
		p.targetSize = pl.requiredSize(p, capacity)
		load := p.loadSamples[len(p.loadSamples)-1].load - p.Status.LongRunning
		if p.peaks.observe(pl.now, float64(load)/float64(max(1, p.baseSize)*capacity), p.targetSize) {
			pl.emit(Decision{What: "peak-started", Pool: p.name, Why: fmt.Sprintf("load of %d cores, base of %d machines", load/1000, p.baseSize)})
		}
	}
	period, next := pl.peakPeriod(), pl.nextTurn()
	for _, p := range pools {
		forecast := pl.forecastSize(p, period, next)
		p.peakExpected = forecast > p.targetSize
		p.targetSize = max(p.targetSize, forecast)
	}
	// All pools that are short of machines come before those with a surplus, so that the
	// surplus goes to a pool that needs it.
	for _, p := range pools {
		if p.targetSize > p.size {
			p.lastShortAt = pl.now
			pl.planMovesTo(p, p.targetSize-p.size, standby)
		}
	}
	for _, p := range pools {
		pl.planMovesOfSurplus(p, standby)
	}
	for _, p := range pools {
		pl.planMovesForLateWork(p, capacity, standby)
	}
}

// planMovesOfSurplus moves machines that a pool has not needed for surplusDelay to the
// standby pool.
func (pl *Planner) planMovesOfSurplus(p *pool, standby string) {
	keep := max(p.targetSize, pl.minimumSize(p))
	switch {
	case p.size <= keep || p.Status.LateShortfall > 0 || standby == "" || pl.loadsUnknown:
		p.surplusSince = time.Time{}
	case p.surplusSince.IsZero():
		p.surplusSince = pl.now
	case pl.now.Sub(p.surplusSince) >= surplusDelay:
		pl.planMovesToStandby(p, p.size-keep, standby)
	}
}

// planMovesForLateWork moves machines of the standby pool, which no pool needs to be
// in time, to a pool with late work.
func (pl *Planner) planMovesForLateWork(p *pool, capacity int, standby string) {
	if p.Status.LateShortfall == 0 {
		return
	}
	load := p.loadSamples[len(p.loadSamples)-1].load + p.lateLoad()
	n := int(math.Ceil(float64(load)/float64(capacity))) - p.size
	for _, m := range pl.machineList {
		if n > 0 && m.Pool == standby && pl.available(m) {
			pl.planMove(m, p.name, "short of machines for late work")
			n--
		}
	}
}

// minimumSize returns the number of machines that a pool keeps even if its load
// does not require them. Before its first peak, which can't be forecast, a pool
// keeps its base size. After that the next peak is forecast or far away, so the
// minimum only has to cover random fluctuations of the load, which grow with
// the square root of the pool's size.
func (pl *Planner) minimumSize(p *pool) int {
	if len(p.peaks.starts) == 0 {
		return p.baseSize
	}
	return min(p.baseSize, int(math.Ceil(baselineFactor*math.Sqrt(float64(p.baseSize)))))
}

// fairShare returns the number of machines that each pool would have if all
// machines outside standby pools were distributed evenly.
func (pl *Planner) fairShare() int {
	pools, machines := 0, 0
	for _, p := range pl.pools {
		if !p.Standby {
			pools++
			machines += p.size
		}
	}
	if pools == 0 {
		return 0
	}
	return (machines + pools - 1) / pools
}

// standbyPool returns the name of the first standby pool, "" if there is none.
func (pl *Planner) standbyPool() string {
	for _, name := range pl.poolNames {
		if pl.pools[name].Standby {
			return name
		}
	}
	return ""
}

// machineCapacity returns the capacity of a machine in thousandths of a core,
// as reported by the first pool that knows it; 0 if none does.
func (pl *Planner) machineCapacity() int {
	for _, name := range pl.poolNames {
		if n := pl.pools[name].Status.LargestMachine; n > 0 {
			return n
		}
	}
	return 0
}

// planMovesTo plans moves of up to n machines to a pool: first machines of the
// standby pool, then idle machines of other pools in the order of
// donorMachines.
func (pl *Planner) planMovesTo(p *pool, n int, standby string) {
	why := "short of machines"
	if p.peakExpected {
		why = "a peak is expected"
	}
	for _, m := range pl.machineList {
		if n > 0 && m.Pool == standby && pl.available(m) {
			pl.planMove(m, p.name, why)
			n--
		}
	}
	if n <= 0 {
		return
	}
	for _, m := range pl.donorMachines(p, standby) {
		if n > 0 && pl.canDonate(pl.pools[m.Pool]) {
			pl.planMove(m, p.name, why)
			n--
		}
	}
}

// donorMachines returns the machines of other pools that can donate one: first idle
// ones, then those that are least used in pools that work off late jobs. Among idle
// ones, machines of the pool that was short of machines most recently come first.
func (pl *Planner) donorMachines(to *pool, standby string) []*machine {
	var donors []*machine
	for _, m := range pl.machineList {
		from := pl.pools[m.Pool]
		if from == nil || from == to || m.Pool == standby || !pl.available(m) || !m.statusKnown || !m.status.Usable {
			continue
		}
		if m.status.Runs > 0 && (m.status.LongRunning > 0 || from.lateLoad() == 0) {
			continue
		}
		if pl.canDonate(from) {
			donors = append(donors, m)
		}
	}
	slices.SortStableFunc(donors, func(a, b *machine) int {
		if c := cmp.Compare(a.status.Used, b.status.Used); c != 0 {
			return c
		}
		return pl.pools[b.Pool].lastShortAt.Compare(pl.pools[a.Pool].lastShortAt)
	})
	return donors
}

func (pl *Planner) planMove(m *machine, to, why string) {
	pl.setPlan(m, plan{targetPool: to})
	pl.emit(Decision{What: "move-planned", Machine: m.ID, Pool: to, Why: why})
}

// canDonate reports whether a pool can give a machine to another pool that is
// short of machines.
func (pl *Planner) canDonate(p *pool) bool {
	if !p.Owned || p.shortInTime() {
		return false
	}
	return p.size > max(p.targetSize, pl.minimumSize(p)*2/3)
}

// planMovesToStandby plans moves of up to n idle machines of a pool to the
// standby pool.
func (pl *Planner) planMovesToStandby(p *pool, n int, standby string) {
	var idle []*machine
	for _, m := range pl.machineList {
		if m.Pool == p.name && pl.available(m) && m.statusKnown && m.status.Runs == 0 {
			idle = append(idle, m)
		}
	}
	slices.SortStableFunc(idle, func(a, b *machine) int { return cmp.Compare(a.status.Used, b.status.Used) })
	for _, m := range idle[:min(n, len(idle))] {
		pl.planMove(m, standby, "idle")
	}
}
