package dispatch

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Drain stops new work to a VM by order of a controller and returns the
// number of requests in flight. The VM is used again only when its ownership
// row has a later epoch.
func (s *Set) Drain(now time.Time, vm string, epoch uint64) int {
	id := s.ensure(vm) // the order may come before the first view of the VM
	e := &s.endpoints[id]
	if e.owner.Epoch > epoch {
		return int(e.inFlight) // an order from before the row that is known
	}
	e.drainEpoch = max(e.drainEpoch, epoch)
	s.Leave(now, id)
	return int(e.inFlight)
}

// Leave records a sign that an endpoint is leaving.
func (s *Set) Leave(now time.Time, id Endpoint) {
	s.hold(now, id)
	s.refresh(now, id)
}

// Stale records that the platform refuted the ownership row known for an
// endpoint. The endpoint gets no work until a view has another version.
func (s *Set) Stale(now time.Time, id Endpoint, version uint64) {
	e := &s.endpoints[id]
	if e.owner.Version == version {
		e.staleVersion = version
	}
	s.refresh(now, id)
}

func (s *Set) readSigns(now time.Time, id Endpoint) {
	e := &s.endpoints[id]
	ownedElsewhere := e.owner.VM != "" && e.owner.State != structs.OwnerActive
	if e.vm.State != structs.VMLive || ownedElsewhere {
		s.hold(now, id)
	}
}

func (s *Set) hold(now time.Time, id Endpoint) {
	e := &s.endpoints[id]
	e.heldUntil = now.Add(s.opts.LeaveHold)
	e.holdEpoch = max(e.holdEpoch, e.owner.Epoch, e.drainEpoch)
	if !e.isHeld {
		e.isHeld = true
		s.held = append(s.held, id)
	}
	s.nextEnd = earlier(s.nextEnd, e.heldUntil)
}

// endHold ends the hold time of an endpoint whose ownership row is active at a
// later epoch than all that were known during it: the controller has seen the
// VM live after the drain. A hold time that outlasts the drain would take more
// VMs out of use than the pool's budget allows.
func (e *endpoint) endHold(now time.Time) {
	if e.owner.State == structs.OwnerActive && e.owner.Epoch > e.holdEpoch && now.Before(e.heldUntil) {
		e.heldUntil = now
	}
}

// Advance returns endpoints whose hold time has ended.
func (s *Set) Advance(now time.Time) {
	kept := s.held[:0]
	s.nextEnd = time.Time{}
	for _, id := range s.held {
		e := &s.endpoints[id]
		if now.Before(e.heldUntil) {
			kept = append(kept, id)
			s.nextEnd = earlier(s.nextEnd, e.heldUntil)
			continue
		}
		e.isHeld = false
		s.refresh(now, id)
	}
	s.held = kept
}

// NextChange returns when Advance is due, or the zero time if no endpoint is
// held. It may be early, when a hold time was extended.
func (s *Set) NextChange() time.Time { return s.nextEnd }

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// refresh decides whether an endpoint is open and indexes it.
func (s *Set) refresh(now time.Time, id Endpoint) {
	e := &s.endpoints[id]
	e.open = e.mayServe(now) && !e.ejected
	s.place(id)
}

func (e *endpoint) mayServe(now time.Time) bool {
	return e.listed && e.pool != NoPool && e.share > 0 &&
		e.vm.State == structs.VMLive &&
		e.owner.State == structs.OwnerActive &&
		!now.Before(e.heldUntil) &&
		(e.drainEpoch == 0 || e.owner.Epoch > e.drainEpoch) &&
		(e.staleVersion == 0 || e.owner.Version != e.staleVersion)
}
