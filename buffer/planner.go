package buffer

import (
	"slices"
	"time"
)

// Planner plans moves between pools. It remembers since when each pool has had
// a deficit or a surplus. It is owned by one goroutine.
type Planner struct {
	cfg     Config
	short   map[string]time.Time // since when the pool has had a deficit
	over    map[string]time.Time // since when the pool has had a surplus
	planned time.Time            // last group of moves
}

// NewPlanner returns a planner without memory. A new process waits for the
// whole hold times again, which costs time and no move.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, short: map[string]time.Time{}, over: map[string]time.Time{}}
}

// Plan returns the moves to begin now. Below its Min, a pool's deficit counts
// at once. Deficits are filled from the spare pool first and then from pools
// that are above their own targets.
func (p *Planner) Plan(now time.Time, pools []PoolState) []Move {
	pools = sortedPools(pools)
	for i := range pools {
		pools[i].VMs = slices.Clone(pools[i].VMs)
		p.observe(now, &pools[i])
	}
	urgent := slices.ContainsFunc(pools, func(s PoolState) bool { return !s.Pool.Spare && s.Size < s.Pool.Min })
	if !urgent && !p.planned.IsZero() && now.Sub(p.planned) < p.cfg.Group {
		return nil
	}
	r := round{cfg: p.cfg, pools: pools, counts: domainCounts(pools)}
	r.fill(func(s *PoolState) bool { return s.Size < s.Pool.Min || lasted(p.short, s, now, p.cfg.FillAfter) })
	r.giveBack(func(s *PoolState) bool { return lasted(p.over, s, now, p.cfg.ReturnAfter) })
	if len(r.out) > 0 {
		p.planned = now
	}
	return r.out
}

func (p *Planner) observe(now time.Time, s *PoolState) {
	mark(p.short, s.Pool.Name, s.deficit() > 0, now)
	mark(p.over, s.Pool.Name, s.deficit() < -p.cfg.Slack, now)
}

func mark(since map[string]time.Time, name string, holds bool, now time.Time) {
	if !holds {
		delete(since, name)
	} else if _, ok := since[name]; !ok {
		since[name] = now
	}
}

func lasted(since map[string]time.Time, s *PoolState, now time.Time, d time.Duration) bool {
	t, ok := since[s.Pool.Name]
	return ok && now.Sub(t) >= d
}

// round is one group of moves in the making.
type round struct {
	cfg    Config
	pools  []PoolState
	counts []domainCount
	out    []Move
}

// fill covers the deficits of the pools that wants selects.
func (r *round) fill(wants func(*PoolState) bool) {
	for len(r.out) < r.cfg.MaxMoves {
		to := -1
		for i := range r.pools {
			s := &r.pools[i]
			if s.Pool.Spare || s.deficit() <= 0 || !wants(s) {
				continue
			}
			if to < 0 || s.relativeDeficit() > r.pools[to].relativeDeficit() {
				to = i
			}
		}
		from := r.donor()
		if to < 0 || from < 0 {
			return
		}
		vm := leastCrowded(r.pools[from].VMs, r.counts[to], r.pools[to].Pool.Spread)
		r.move(from, to, vm)
	}
}

// donor returns the spare pool if it has a VM, else the pool with the
// greatest surplus, or -1.
func (r *round) donor() int {
	best := -1
	for i := range r.pools {
		s := &r.pools[i]
		if len(s.VMs) == 0 || s.Size <= s.Pool.Min {
			continue
		}
		if s.Pool.Spare {
			return i
		}
		if s.deficit() < 0 && (best < 0 || s.deficit() < r.pools[best].deficit()) {
			best = i
		}
	}
	return best
}

// giveBack moves lasting surpluses to the spare pool, from the domains in
// which the pool has most VMs.
func (r *round) giveBack(wants func(*PoolState) bool) {
	spare := slices.IndexFunc(r.pools, func(s PoolState) bool { return s.Pool.Spare })
	if spare < 0 {
		return
	}
	for i := range r.pools {
		s := &r.pools[i]
		if s.Pool.Spare || !wants(s) {
			continue
		}
		for s.deficit() < -r.cfg.Slack && len(s.VMs) > 0 && len(r.out) < r.cfg.MaxMoves {
			r.move(i, spare, mostCrowded(s.VMs, r.counts[i], s.Pool.Spread))
		}
	}
}

func (r *round) move(from, to, vm int) {
	chosen := r.pools[from].VMs[vm]
	r.out = append(r.out, Move{VM: chosen.ID, From: r.pools[from].Pool.Name, To: r.pools[to].Pool.Name})
	r.pools[from].VMs = slices.Delete(r.pools[from].VMs, vm, vm+1)
	r.pools[from].Size--
	r.pools[to].Size++
	r.counts[from].change(chosen, -1)
	r.counts[to].change(chosen, 1)
}
