package admission

import (
	"math"
	"time"
)

const (
	// meanHoldWeight is the weight of the latest request in the moving average
	// of the time that a request holds a slot.
	meanHoldWeight = 0.05
	// minHoldSamples is the number of finished requests from which that average
	// is used.
	minHoldSamples = 10
)

// minReserveCapacity is the smallest capacity in slots of a pool with a reserve.
// In a smaller pool, one reserved slot would be more than an eighth of the
// capacity.
const minReserveCapacity = 8

// minShare is the lower bound of a service's guaranteed fraction when services
// are ranked, so that a service with a configured Share of 0 can still get lent
// slots. It also raises smaller configured values.
const minShare = 0.01

// Next takes the request that runs next from the queues of a pool, given the
// number of free slots of the pool, and counts it as in flight. A request that
// cannot be answered by its deadline any more is returned as expired and holds
// no slot. Next allocates no memory.
func (s *Scheduler) Next(now time.Time, p, free int) (Grant, bool) {
	if p >= len(s.pools) {
		return Grant{}, false
	}
	svc := s.chooseService(p, free)
	if svc < 0 {
		return Grant{}, false
	}
	v := &s.services[svc]
	id := v.heap[0]
	q := &s.queues[id]
	t := q.head
	e := &s.entries[t]
	g := Grant{Ticket: t, Handle: e.handle, Service: svc}
	if hold := seconds(v.expectedHold()); now.Add(hold).After(e.deadline) {
		// The answer would come after the deadline.
		s.unlink(t)
		s.free(t)
		g.Ticket, g.Expired = NoTicket, true
		return g, true
	}
	s.startRequest(now, v, id, t)
	return g, true
}

func (s *Scheduler) startRequest(now time.Time, v *service, id int32, t Ticket) {
	q := &s.queues[id]
	team := &s.teams[q.team]
	s.entries[t].started, s.entries[t].state = now, running
	v.virtualTime = q.nextTurn
	q.nextTurn += 1 / team.spec.Weight
	s.unlink(t)
	v.inFlight++
	team.inFlight++
	if q.heapIndex < 0 {
		return
	}
	if team.atQuota() {
		v.heapRemove(s, id)
		s.activate(id)
		return
	}
	v.fix(s, int(q.heapIndex))
}

// chooseService returns the service whose request runs next, or -1. Services
// within their share come before those that borrow slots. Within each of these
// groups, the service with the lowest ratio of requests in flight to guaranteed
// slots is chosen.
func (s *Scheduler) chooseService(p, free int) int {
	best, bestRank, bestInShare := -1, 0.0, false
	if free <= 0 {
		return best
	}
	for _, i := range s.pools[p].services {
		v := &s.services[i]
		if len(v.heap) == 0 || s.parkTeamsAtQuota(v) {
			continue
		}
		rank := float64(v.inFlight) / s.guaranteedSlots(v, p)
		inShare := s.withinShare(v, p)
		better := best < 0 || (inShare && !bestInShare) || (inShare == bestInShare && rank < bestRank)
		if better && (inShare || free > s.reservedSlots(p, v)) {
			best, bestRank, bestInShare = int(i), rank, inShare
		}
	}
	return best
}

// withinShare reports whether one more request stays within the service's
// share, rounded to whole slots and at least one.
func (s *Scheduler) withinShare(v *service, p int) bool {
	return v.spec.Share > 0 && float64(v.inFlight)+1 <= max(1, math.Round(s.guaranteedSlots(v, p)))
}

// parkTeamsAtQuota parks the team queues at the top of the heap whose teams
// reached their quota through another service. It reports whether the heap is
// empty afterwards.
func (s *Scheduler) parkTeamsAtQuota(v *service) bool {
	for len(v.heap) > 0 {
		id := v.heap[0]
		if !s.teams[s.queues[id].team].atQuota() {
			return false
		}
		v.heapRemove(s, id)
		s.activate(id)
	}
	return true
}

func (s *Scheduler) guaranteedSlots(v *service, p int) float64 {
	return max(v.spec.Share, minShare) * float64(max(1, s.pools[p].capacity))
}

// reservedSlots returns the number of slots that the borrowing service must
// leave free for the other services of the pool.
func (s *Scheduler) reservedSlots(p int, borrower *service) int {
	capacity := float64(s.pools[p].capacity)
	if capacity < minReserveCapacity || borrower.meanHold/capacity <= s.opts.MaxReserveWait.Seconds() {
		return 0
	}
	othersGuaranteed := 0.0
	for _, i := range s.pools[p].services {
		v := &s.services[i]
		if v != borrower && v.configured {
			othersGuaranteed += v.spec.Share * capacity
		}
	}
	reserve := max(1, math.Round(s.opts.ReserveFactor*math.Sqrt(capacity)))
	return int(min(reserve, math.Ceil(othersGuaranteed)))
}

// expectedHold returns the mean time in seconds that a request holds a slot,
// or 0 while it is not known.
func (v *service) expectedHold() float64 {
	if v.holdCount < minHoldSamples {
		return 0
	}
	return v.meanHold
}

// Done ends a running request and records how long it held its slot.
func (s *Scheduler) Done(now time.Time, t Ticket) {
	v := s.releaseSlot(t)
	v.holdCount++
	weight := max(meanHoldWeight, 1/float64(v.holdCount))
	v.meanHold += weight * (now.Sub(s.entries[t].started).Seconds() - v.meanHold)
	s.free(t)
}

// Remove ends a request in any state, without recording how long it held a
// slot.
func (s *Scheduler) Remove(t Ticket) {
	switch s.entries[t].state {
	case waiting:
		s.unlink(t)
	case running:
		s.releaseSlot(t)
	}
	s.free(t)
}

// Pause frees the slot of a running request until Resume is called, for example
// during a retry backoff.
func (s *Scheduler) Pause(t Ticket) {
	s.releaseSlot(t)
	s.entries[t].state = paused
}

// Resume puts a paused request at the head of its queue. The bound of the
// queue does not apply, because the request was admitted before.
func (s *Scheduler) Resume(t Ticket) {
	s.entries[t].state = waiting
	s.pushFront(s.entries[t].queue, t)
}

func (s *Scheduler) releaseSlot(t Ticket) *service {
	q := &s.queues[s.entries[t].queue]
	v := &s.services[q.service]
	v.inFlight--
	s.teams[q.team].inFlight--
	s.unpark(q.team)
	return v
}
