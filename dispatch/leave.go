package dispatch

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Drain handles a controller's order to send no new requests to a VM, and
// returns the number of requests in flight there. The VM is used again only when
// its ownership row has an epoch later than the given one.
func (s *Set) Drain(now time.Time, vm string, epoch uint64) int {
	id := s.ensureEndpoint(vm) // the order may come before the first view of the VM
	e := &s.endpoints[id]
	if e.owner.Epoch > epoch {
		return int(e.inFlight) // the order is older than the known ownership row
	}
	e.drainEpoch = max(e.drainEpoch, epoch)
	s.MarkLeaving(now, id)
	return int(e.inFlight)
}

// MarkLeaving starts an endpoint's hold time after a sign that it is leaving.
func (s *Set) MarkLeaving(now time.Time, id Endpoint) {
	s.hold(now, id)
	s.refresh(now, id)
}

// MarkOwnerStale records that the platform reported the known version of an
// endpoint's ownership row as outdated. The endpoint receives no requests until a
// view has another version.
func (s *Set) MarkOwnerStale(now time.Time, id Endpoint, version uint64) {
	e := &s.endpoints[id]
	if e.owner.Version == version {
		e.staleVersion = version
	}
	s.refresh(now, id)
}

// holdIfLeaving starts the hold time of an endpoint whose VM is not live or whose
// ownership row is not in state active.
func (s *Set) holdIfLeaving(now time.Time, id Endpoint) {
	e := &s.endpoints[id]
	ownerNotActive := e.owner.VM != "" && e.owner.State != structs.OwnerActive
	if e.vm.State != structs.VMLive || ownerNotActive {
		s.hold(now, id)
	}
}

// hold starts or extends an endpoint's hold time, in which it receives no new
// requests.
func (s *Set) hold(now time.Time, id Endpoint) {
	e := &s.endpoints[id]
	e.holdUntil = now.Add(s.opts.LeaveHold)
	e.holdEpoch = max(e.holdEpoch, e.owner.Epoch, e.drainEpoch)
	if !e.inHeldList {
		e.inHeldList = true
		s.held = append(s.held, id)
	}
	s.nextHoldEnd = earlier(s.nextHoldEnd, e.holdUntil)
}

// endHoldAfterReturn ends the hold time of an endpoint whose ownership row is
// active and has a later epoch than every row and drain order known when the
// hold time was started or extended. Such a row means that the controller has
// seen the VM live after the drain. A hold time beyond the drain would take more
// VMs out of use than the pool's budget allows.
func (e *endpoint) endHoldAfterReturn(now time.Time) {
	if e.owner.State == structs.OwnerActive && e.owner.Epoch > e.holdEpoch && now.Before(e.holdUntil) {
		e.holdUntil = now
	}
}

// EndHolds ends the hold times that are over and updates whether their endpoints
// are available.
func (s *Set) EndHolds(now time.Time) {
	kept := s.held[:0]
	s.nextHoldEnd = time.Time{}
	for _, id := range s.held {
		e := &s.endpoints[id]
		if now.Before(e.holdUntil) {
			kept = append(kept, id)
			s.nextHoldEnd = earlier(s.nextHoldEnd, e.holdUntil)
			continue
		}
		e.inHeldList = false
		s.refresh(now, id)
	}
	s.held = kept
}

// NextHoldEnd returns the time at which EndHolds must be called, or the zero time
// if no endpoint has a hold time. The returned time may be earlier than needed if
// a hold time was extended.
func (s *Set) NextHoldEnd() time.Time { return s.nextHoldEnd }

// earlier returns the earlier of two times. A zero time counts as unset, so the
// other time is returned.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// refresh updates an endpoint's availability and its level in the pool's index.
func (s *Set) refresh(now time.Time, id Endpoint) {
	e := &s.endpoints[id]
	e.available = e.mayServe(now) && !e.ejected
	s.reindex(id)
}

// mayServe reports whether an endpoint may receive requests or probes. It must be
// in the latest view, live and owned by a pool, and this gateway must have a share
// of its slots. It must not be in its hold time or drained, and its ownership row
// must not be outdated.
func (e *endpoint) mayServe(now time.Time) bool {
	return e.listed && e.pool != NoPool && e.slotShare > 0 &&
		e.vm.State == structs.VMLive &&
		e.owner.State == structs.OwnerActive &&
		!now.Before(e.holdUntil) &&
		(e.drainEpoch == 0 || e.owner.Epoch > e.drainEpoch) &&
		(e.staleVersion == 0 || e.owner.Version != e.staleVersion)
}
