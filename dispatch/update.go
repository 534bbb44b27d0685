package dispatch

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// View is the argument of Update.
type View struct {
	Fleet *structs.FleetView
	Rank  int // rank of this gateway among the live ones
	Count int // number of live gateways
	// GrowPools has the names of the pools in which an endpoint's limit may exceed
	// the gateway's share of its slots. It must not contain pools that serve
	// non-idempotent requests and whose refusals can't be trusted, because after
	// such a refusal it is unknown whether the request was executed.
	GrowPools map[string]bool
}

// Update applies a new view of the fleet. An endpoint whose VM is missing in the
// view is removed once it has no request in flight and its hold time has ended.
func (s *Set) Update(now time.Time, v View) {
	for i := range s.endpoints {
		s.endpoints[i].previouslyListed = s.endpoints[i].listed
		s.endpoints[i].listed = false
	}
	owners := v.Fleet.Owners
	for i := range v.Fleet.VMs {
		vm := &v.Fleet.VMs[i]
		id := s.ensureEndpoint(vm.ID)
		e := &s.endpoints[id]
		e.listed = true
		e.vm = *vm
		for len(owners) > 0 && owners[0].VM < vm.ID {
			owners = owners[1:]
		}
		e.owner = structs.Owner{}
		if len(owners) > 0 && owners[0].VM == vm.ID {
			e.owner = owners[0]
		}
		e.endHoldAfterReturn(now)
		e.setShare(SlotShare(vm.Slots, i, v.Rank, v.Count))
		s.holdIfLeaving(now, id)
	}
	for id := range s.endpoints {
		e := &s.endpoints[id]
		if e.previouslyListed && !e.listed {
			s.hold(now, Endpoint(id))
		}
		if !e.listed && e.vm.ID != "" {
			s.removeIfIdle(now, Endpoint(id))
		}
	}
	s.rebuildPools(now, v.GrowPools)
}

// ensureEndpoint returns the endpoint on a VM and adds it if needed.
func (s *Set) ensureEndpoint(vm string) Endpoint {
	if id, ok := s.byVM[vm]; ok {
		return id
	}
	var id Endpoint
	if n := len(s.unusedEntries); n > 0 {
		id = s.unusedEntries[n-1]
		s.unusedEntries = s.unusedEntries[:n-1]
		s.endpoints[id] = endpoint{}
	} else {
		id = Endpoint(len(s.endpoints))
		s.endpoints = append(s.endpoints, endpoint{})
	}
	e := &s.endpoints[id]
	e.vm.ID, e.pool, e.level, e.latencyRatio = vm, NoPool, -1, 1
	s.byVM[vm] = id
	return id
}

// removeIfIdle removes an endpoint that has no request in flight and no hold
// time.
func (s *Set) removeIfIdle(now time.Time, id Endpoint) {
	e := &s.endpoints[id]
	if e.inFlight > 0 || now.Before(e.holdUntil) {
		return
	}
	delete(s.byVM, e.vm.ID)
	if e.inHeldList {
		s.held = slices.DeleteFunc(s.held, func(h Endpoint) bool { return h == id })
	}
	*e = endpoint{pool: NoPool, level: -1}
	s.unusedEntries = append(s.unusedEntries, id)
}

// setShare sets this gateway's share of the slots. A new endpoint starts with a
// limit of at most 2, which grows with each success, since its real capacity may
// be far below the declared one.
func (e *endpoint) setShare(slotShare int) {
	e.slotShare = int32(slotShare)
	if e.limit == 0 {
		e.limit = float64(min(slotShare, 2))
	}
}

// rebuildPools assigns the endpoints of the latest view to their pools and
// indexes them.
func (s *Set) rebuildPools(now time.Time, mayGrow map[string]bool) {
	for i := range s.pools {
		p := &s.pools[i]
		p.members, p.ejected = p.members[:0], 0
	}
	for id := range s.endpoints {
		e := &s.endpoints[id]
		e.pool, e.level, e.capacity, e.free = NoPool, -1, 0, 0
		if !e.listed || e.owner.Pool == "" {
			continue
		}
		e.pool = s.EnsurePool(e.owner.Pool)
		p := &s.pools[e.pool]
		e.position = int32(len(p.members))
		p.members = append(p.members, Endpoint(id))
		if e.ejected {
			p.ejected++
		}
	}
	for i := range s.pools {
		s.pools[i].resetIndex()
		s.pools[i].mayGrow = mayGrow[s.pools[i].name]
		s.enforceEjectionCap(Pool(i))
	}
	for id := range s.endpoints {
		s.refresh(now, Endpoint(id))
	}
}

// EnsurePool returns the pool with the given name and adds it if needed.
func (s *Set) EnsurePool(name string) Pool {
	if p, ok := s.byName[name]; ok {
		return p
	}
	p := Pool(len(s.pools))
	s.pools = append(s.pools, pool{name: name})
	s.byName[name] = p
	return p
}

// resetIndex clears the bitmaps and sums and resizes the bitmaps for the present
// members.
func (p *pool) resetIndex() {
	p.bitmapWords = (len(p.members) + 63) / 64
	for l := range p.levelBitmaps {
		if cap(p.levelBitmaps[l]) < p.bitmapWords {
			p.levelBitmaps[l] = make([]uint64, p.bitmapWords)
		}
		p.levelBitmaps[l] = p.levelBitmaps[l][:p.bitmapWords]
		clear(p.levelBitmaps[l])
		p.levelCounts[l] = 0
	}
	p.nonEmptyLevels, p.capacity, p.free, p.cursor = 0, 0, 0, 0
}

// enforceEjectionCap ends ejections in a pool that has become too small for their
// number.
func (s *Set) enforceEjectionCap(id Pool) {
	p := &s.pools[id]
	for _, m := range p.members {
		if p.ejected <= s.maxEjected(p) {
			break
		}
		if e := &s.endpoints[m]; e.ejected {
			e.ejected, e.probing = false, false
			p.ejected--
		}
	}
	s.scheduleProbe(p)
}

// maxEjected returns how many of a pool's endpoints may be ejected at the same
// time.
func (s *Set) maxEjected(p *pool) int {
	return int(s.opts.MaxEjectedFraction * float64(len(p.members)))
}
