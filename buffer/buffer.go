// Package buffer decides which VMs belong to which pool. It assigns VMs that no
// pool owns, moves VMs from the spare pool to pools with a deficit, and returns
// surplus VMs to the spare pool.
package buffer

import (
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/budget"
	"github.com/carobwharf/carobwharf/structs"
)

// PoolState is the state of a pool on which the decisions are based.
type PoolState struct {
	Pool   structs.Pool
	Target int          // number of VMs that the pool needs now, between its Min and Max
	VMs    []structs.VM // active and live VMs, which can be moved to another pool
	Size   int          // number of VMs that the pool has or is about to get, less those that are leaving it
}

func (p *PoolState) deficit() int {
	target := p.Target
	if p.Pool.Max > 0 {
		target = min(target, p.Pool.Max)
	}
	return target - p.Size
}

// relativeDeficit returns the missing fraction of the target, by which pools
// are ordered.
func (p *PoolState) relativeDeficit() float64 {
	if p.Target <= 0 {
		return 0
	}
	return float64(p.deficit()) / float64(p.Target)
}

// Move is a change of the pool that owns a VM. From is empty for a VM that no
// pool owns.
type Move struct {
	VM   string
	From string
	To   string
}

// Adopt assigns up to limit VMs that no pool owns. Each VM goes to the pool with
// the greatest relative deficit, which takes it from the failure domain in which
// it has the fewest VMs. VMs that no pool needs go to the spare pool; without a
// spare pool they stay unowned. The result depends on the input only, so every
// process that has the same input decides the same.
func Adopt(pools []PoolState, unowned []structs.VM, limit int) []Move {
	pools = sortedPools(pools)
	remaining := slices.Clone(unowned)
	slices.SortFunc(remaining, func(a, b structs.VM) int { return strings.Compare(a.ID, b.ID) })
	counts := countDomains(pools)
	var out []Move
	for len(remaining) > 0 && len(out) < limit {
		i := largestDeficit(pools)
		if i < 0 {
			break
		}
		j := emptiestDomainVM(remaining, counts[i], pools[i].Pool.Spread)
		out = append(out, Move{VM: remaining[j].ID, To: pools[i].Pool.Name})
		counts[i].add(remaining[j])
		pools[i].Size++
		remaining = slices.Delete(remaining, j, j+1)
	}
	return append(out, assignToSpare(pools, remaining, limit-len(out))...)
}

func assignToSpare(pools []PoolState, remaining []structs.VM, limit int) []Move {
	i := slices.IndexFunc(pools, func(p PoolState) bool { return p.Pool.Spare })
	if i < 0 {
		return nil
	}
	var out []Move
	for _, vm := range remaining[:min(len(remaining), max(limit, 0))] {
		out = append(out, Move{VM: vm.ID, To: pools[i].Pool.Name})
	}
	return out
}

func sortedPools(pools []PoolState) []PoolState {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b PoolState) int { return strings.Compare(a.Pool.Name, b.Pool.Name) })
	return pools
}

// largestDeficit returns the index of the pool with the greatest relative
// deficit, or -1 if no pool has a deficit. The spare pool never has one: it
// takes the VMs that are left over.
func largestDeficit(pools []PoolState) int {
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

// vmsInDomains returns the numbers of VMs that share the failure domains of vm:
// first for the level named by spread, then for the other one, which breaks
// ties.
func (c domainCount) vmsInDomains(vm structs.VM, spread structs.Domain) (first, second int) {
	dc, _ := budget.DomainOf(vm, structs.DomainDataCentre)
	rack, _ := budget.DomainOf(vm, structs.DomainRack)
	if spread == structs.DomainRack {
		return c[rack], c[dc]
	}
	return c[dc], c[rack]
}

func countDomains(pools []PoolState) []domainCount {
	out := make([]domainCount, len(pools))
	for i, p := range pools {
		out[i] = domainCount{}
		for _, vm := range p.VMs {
			out[i].add(vm)
		}
	}
	return out
}

// emptiestDomainVM returns the index of the VM whose failure domains have the
// fewest VMs in c.
func emptiestDomainVM(vms []structs.VM, c domainCount, spread structs.Domain) int {
	best := 0
	for i := range vms {
		f, s := c.vmsInDomains(vms[i], spread)
		bf, bs := c.vmsInDomains(vms[best], spread)
		if f < bf || (f == bf && s < bs) {
			best = i
		}
	}
	return best
}

// fullestDomainVM returns the index of the VM whose failure domains have the most
// VMs in c.
func fullestDomainVM(vms []structs.VM, c domainCount, spread structs.Domain) int {
	best := 0
	for i := range vms {
		f, s := c.vmsInDomains(vms[i], spread)
		bf, bs := c.vmsInDomains(vms[best], spread)
		if f > bf || (f == bf && s > bs) {
			best = i
		}
	}
	return best
}

// Config holds the limits of a Planner.
type Config struct {
	FillAfter time.Duration // how long a deficit must last before it is filled
	// How long a surplus must last before it is returned. It should be longer
	// than FillAfter, because a surplus returned too early costs two moves.
	ReturnAfter    time.Duration
	AllowedSurplus int           // number of surplus VMs that a pool keeps
	MoveInterval   time.Duration // minimum time between two groups of moves
	MaxMoves       int           // maximum number of moves in a group
}
