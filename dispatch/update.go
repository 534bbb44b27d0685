package dispatch

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// View is the input of Update.
type View struct {
	Fleet *structs.FleetView
	Rank  int // of this gateway among the live ones
	Count int // live gateways
	// Grow names the pools in which a limit may exceed the gateway's share. A
	// pool with untrusted refusals of non-idempotent work is not among them,
	// since a refusal there leaves the result unknown.
	Grow map[string]bool
}

// Update takes a new view of the fleet. Endpoints that are not listed any more
// are kept until they have no request in flight and no hold time.
func (s *Set) Update(now time.Time, v View) {
	for i := range s.endpoints {
		s.endpoints[i].wasListed = s.endpoints[i].listed
		s.endpoints[i].listed = false
	}
	owners := v.Fleet.Owners
	for i := range v.Fleet.VMs {
		vm := &v.Fleet.VMs[i]
		id := s.ensure(vm.ID)
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
		e.endHold(now)
		e.setShare(SlotShare(vm.Slots, i, v.Rank, v.Count))
		s.readSigns(now, id)
	}
	for id := range s.endpoints {
		e := &s.endpoints[id]
		if e.wasListed && !e.listed {
			s.hold(now, Endpoint(id))
		}
		if !e.listed && e.vm.ID != "" {
			s.forget(now, Endpoint(id))
		}
	}
	s.rebuild(now, v.Grow)
}

func (s *Set) ensure(vm string) Endpoint {
	if id, ok := s.byVM[vm]; ok {
		return id
	}
	var id Endpoint
	if n := len(s.spare); n > 0 {
		id = s.spare[n-1]
		s.spare = s.spare[:n-1]
		s.endpoints[id] = endpoint{}
	} else {
		id = Endpoint(len(s.endpoints))
		s.endpoints = append(s.endpoints, endpoint{})
	}
	e := &s.endpoints[id]
	e.vm.ID, e.pool, e.level, e.slowness = vm, NoPool, -1, 1
	s.byVM[vm] = id
	return id
}

func (s *Set) forget(now time.Time, id Endpoint) {
	e := &s.endpoints[id]
	if e.inFlight > 0 || now.Before(e.heldUntil) {
		return
	}
	delete(s.byVM, e.vm.ID)
	if e.isHeld {
		s.held = slices.DeleteFunc(s.held, func(h Endpoint) bool { return h == id })
	}
	*e = endpoint{pool: NoPool, level: -1}
	s.spare = append(s.spare, id)
}

// A new endpoint starts with at most two requests and grows with each
// success, since its declared size may be far above the real one.
func (e *endpoint) setShare(share int) {
	e.share = int32(share)
	if e.limit == 0 {
		e.limit = float64(min(share, 2))
	}
}

// rebuild indexes the pools from the endpoints.
func (s *Set) rebuild(now time.Time, grow map[string]bool) {
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
		s.pools[i].clear()
		s.pools[i].grow = grow[s.pools[i].name]
		s.enforceCap(Pool(i))
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

func (p *pool) clear() {
	p.words = (len(p.members) + 63) / 64
	for l := range p.bits {
		if cap(p.bits[l]) < p.words {
			p.bits[l] = make([]uint64, p.words)
		}
		p.bits[l] = p.bits[l][:p.words]
		clear(p.bits[l])
		p.count[l] = 0
	}
	p.filled, p.capacity, p.free, p.cursor = 0, 0, 0, 0
}

// enforceCap returns ejected endpoints to a pool that has become smaller.
func (s *Set) enforceCap(id Pool) {
	p := &s.pools[id]
	for _, m := range p.members {
		if p.ejected <= s.ejectCap(p) {
			break
		}
		if e := &s.endpoints[m]; e.ejected {
			e.ejected, e.probing = false, false
			p.ejected--
		}
	}
	s.scheduleProbe(p)
}

func (s *Set) ejectCap(p *pool) int {
	return int(s.opts.EjectFraction * float64(len(p.members)))
}
