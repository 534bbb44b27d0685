package buffer

import (
	"slices"
	"time"
)

// Planner plans moves between pools. It keeps the time since which each pool has
// had a deficit or a surplus. It must be used by one goroutine only.
type Planner struct {
	cfg          Config
	deficitSince map[string]time.Time // start of the deficit, by pool
	surplusSince map[string]time.Time // start of the surplus, by pool
	lastMoves    time.Time            // time of the latest group of moves
}

// NewPlanner returns a Planner that has observed no pool. After a restart,
// FillAfter and ReturnAfter begin anew, which delays moves but causes none.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, deficitSince: map[string]time.Time{}, surplusSince: map[string]time.Time{}}
}

// Plan returns the moves to start now. The deficit of a pool below its Min is
// filled at once, without waiting for FillAfter. Deficits are filled from the
// spare pool first and then from pools above their targets.
func (p *Planner) Plan(now time.Time, pools []PoolState) []Move {
	pools = sortedPools(pools)
	for i := range pools {
		pools[i].VMs = slices.Clone(pools[i].VMs)
		p.trackImbalance(now, &pools[i])
	}
	urgent := slices.ContainsFunc(pools, func(s PoolState) bool { return !s.Pool.Spare && s.Size < s.Pool.Min })
	if !urgent && !p.lastMoves.IsZero() && now.Sub(p.lastMoves) < p.cfg.MoveInterval {
		return nil
	}
	r := moveGroup{cfg: p.cfg, pools: pools, counts: countDomains(pools)}
	r.fillDeficits(func(s *PoolState) bool {
		return s.Size < s.Pool.Min || lastedFor(p.deficitSince, s, now, p.cfg.FillAfter)
	})
	r.returnSurplus(func(s *PoolState) bool { return lastedFor(p.surplusSince, s, now, p.cfg.ReturnAfter) })
	if len(r.moves) > 0 {
		p.lastMoves = now
	}
	return r.moves
}

func (p *Planner) trackImbalance(now time.Time, s *PoolState) {
	trackSince(p.deficitSince, s.Pool.Name, s.deficit() > 0, now)
	trackSince(p.surplusSince, s.Pool.Name, s.deficit() < -p.cfg.AllowedSurplus, now)
}

func trackSince(since map[string]time.Time, name string, holds bool, now time.Time) {
	if !holds {
		delete(since, name)
	} else if _, ok := since[name]; !ok {
		since[name] = now
	}
}

func lastedFor(since map[string]time.Time, s *PoolState, now time.Time, d time.Duration) bool {
	t, ok := since[s.Pool.Name]
	return ok && now.Sub(t) >= d
}

// moveGroup plans one group of moves.
type moveGroup struct {
	cfg    Config
	pools  []PoolState
	counts []domainCount
	moves  []Move
}

// fillDeficits plans moves to the eligible pools with a deficit, the greatest
// relative deficit first.
func (r *moveGroup) fillDeficits(eligible func(*PoolState) bool) {
	for len(r.moves) < r.cfg.MaxMoves {
		to := -1
		for i := range r.pools {
			s := &r.pools[i]
			if s.Pool.Spare || s.deficit() <= 0 || !eligible(s) {
				continue
			}
			if to < 0 || s.relativeDeficit() > r.pools[to].relativeDeficit() {
				to = i
			}
		}
		from := r.donorPool()
		if to < 0 || from < 0 {
			return
		}
		vm := emptiestDomainVM(r.pools[from].VMs, r.counts[to], r.pools[to].Pool.Spread)
		r.move(from, to, vm)
	}
}

// donorPool returns the index of the pool from which the next VM is taken: the
// spare pool if it has a VM to move, else the pool with the greatest surplus,
// or -1.
func (r *moveGroup) donorPool() int {
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

// returnSurplus plans moves of surplus VMs from the eligible pools to the spare
// pool, taken from the failure domains in which the pool has the most VMs.
func (r *moveGroup) returnSurplus(eligible func(*PoolState) bool) {
	spare := slices.IndexFunc(r.pools, func(s PoolState) bool { return s.Pool.Spare })
	if spare < 0 {
		return
	}
	for i := range r.pools {
		s := &r.pools[i]
		if s.Pool.Spare || !eligible(s) {
			continue
		}
		for s.deficit() < -r.cfg.AllowedSurplus && len(s.VMs) > 0 && len(r.moves) < r.cfg.MaxMoves {
			r.move(i, spare, fullestDomainVM(s.VMs, r.counts[i], s.Pool.Spread))
		}
	}
}

func (r *moveGroup) move(from, to, vm int) {
	chosen := r.pools[from].VMs[vm]
	r.moves = append(r.moves, Move{VM: chosen.ID, From: r.pools[from].Pool.Name, To: r.pools[to].Pool.Name})
	r.pools[from].VMs = slices.Delete(r.pools[from].VMs, vm, vm+1)
	r.pools[from].Size--
	r.pools[to].Size++
	r.counts[from].change(chosen, -1)
	r.counts[to].change(chosen, 1)
}
