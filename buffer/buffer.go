// Package buffer decides which VMs belong to which pool: it assigns VMs that
// no pool owns, fills deficits from the spare pool and returns surpluses to
// it.
package buffer

import (
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/budget"
	"github.com/carobwharf/carobwharf/structs"
)

// PoolState is a pool as the decisions see it.
type PoolState struct {
	Pool   structs.Pool
	Target int          // VMs wanted now, between the pool's Min and Max
	VMs    []structs.VM // that can be moved away: active and live
	Size   int          // all VMs that belong to the pool or are on their way to it, less those on their way out
}

func (p *PoolState) deficit() int {
	target := p.Target
	if p.Pool.Max > 0 {
		target = min(target, p.Pool.Max)
	}
	return target - p.Size
}

// relativeDeficit orders pools by need: the fraction of the target that is
// missing.
func (p *PoolState) relativeDeficit() float64 {
	if p.Target <= 0 {
		return 0
	}
	return float64(p.deficit()) / float64(p.Target)
}

// Move takes a VM from one pool to another. From is empty for a VM that no
// pool owns.
type Move struct {
	VM   string
	From string
	To   string
}

// Adopt assigns up to limit of the VMs that no pool owns. Pools with the
// greatest relative deficit choose first, each taking a VM from the failure
// domain in which it has the fewest; VMs that no pool needs go to the spare
// pool. Without a spare pool they stay unowned. The same input gives the same
// result in every process.
func Adopt(pools []PoolState, unowned []structs.VM, limit int) []Move {
	pools = sortedPools(pools)
	left := slices.Clone(unowned)
	slices.SortFunc(left, func(a, b structs.VM) int { return strings.Compare(a.ID, b.ID) })
	counts := domainCounts(pools)
	var out []Move
	for len(left) > 0 && len(out) < limit {
		i := neediest(pools)
		if i < 0 {
			break
		}
		j := leastCrowded(left, counts[i], pools[i].Pool.Spread)
		out = append(out, Move{VM: left[j].ID, To: pools[i].Pool.Name})
		counts[i].add(left[j])
		pools[i].Size++
		left = slices.Delete(left, j, j+1)
	}
	return append(out, toSpare(pools, left, limit-len(out))...)
}

func toSpare(pools []PoolState, left []structs.VM, limit int) []Move {
	i := slices.IndexFunc(pools, func(p PoolState) bool { return p.Pool.Spare })
	if i < 0 {
		return nil
	}
	var out []Move
	for _, vm := range left[:min(len(left), max(limit, 0))] {
		out = append(out, Move{VM: vm.ID, To: pools[i].Pool.Name})
	}
	return out
}

func sortedPools(pools []PoolState) []PoolState {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b PoolState) int { return strings.Compare(a.Pool.Name, b.Pool.Name) })
	return pools
}

// neediest returns the index of the pool with the greatest relative deficit,
// or -1 if none has one. The spare pool has no deficit: it takes what is left.
func neediest(pools []PoolState) int {
	best := -1
	for i := range pools {
		if pools[i].Pool.Spare || pools[i].deficit() <= 0 {
			continue
		}
		if best < 0 || pools[i].relativeDeficit() > pools[best].relativeDeficit() {
			best = i
		}
	}
	return best
}

// domainCount counts the VMs of a pool by data centre and rack.
type domainCount map[string]int

func (c domainCount) add(vm structs.VM) { c.change(vm, 1) }

func (c domainCount) change(vm structs.VM, by int) {
	for _, level := range []structs.Domain{structs.DomainDataCentre, structs.DomainRack} {
		d, _ := budget.DomainOf(vm, level)
		c[d] += by
	}
}

// crowding returns how many VMs share the domains of vm; the level named by
// spread counts first, the other one breaks ties.
func (c domainCount) crowding(vm structs.VM, spread structs.Domain) (first, second int) {
	dc, _ := budget.DomainOf(vm, structs.DomainDataCentre)
	rack, _ := budget.DomainOf(vm, structs.DomainRack)
	if spread == structs.DomainRack {
		return c[rack], c[dc]
	}
	return c[dc], c[rack]
}

func domainCounts(pools []PoolState) []domainCount {
	out := make([]domainCount, len(pools))
	for i, p := range pools {
		out[i] = domainCount{}
		for _, vm := range p.VMs {
			out[i].add(vm)
		}
	}
	return out
}

func leastCrowded(vms []structs.VM, c domainCount, spread structs.Domain) int {
	best := 0
	for i := range vms {
		f, s := c.crowding(vms[i], spread)
		bf, bs := c.crowding(vms[best], spread)
		if f < bf || (f == bf && s < bs) {
			best = i
		}
	}
	return best
}

func mostCrowded(vms []structs.VM, c domainCount, spread structs.Domain) int {
	best := 0
	for i := range vms {
		f, s := c.crowding(vms[i], spread)
		bf, bs := c.crowding(vms[best], spread)
		if f > bf || (f == bf && s > bs) {
			best = i
		}
	}
	return best
}

// Config bounds the planner.
type Config struct {
	FillAfter   time.Duration // a deficit must last this long
	ReturnAfter time.Duration // a surplus must last this long; longer, as returning early costs two moves
	Slack       int           // VMs of surplus that a pool keeps
	Group       time.Duration // moves are planned at most once in this time
	MaxMoves    int           // in one group
}
