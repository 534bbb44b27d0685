package admission

import (
	"math"
	"time"
)

// Weight of the latest request in the mean time that a slot is held, and the
// number of finished requests from which the mean is used.
const (
	holdWeight = 0.05
	minHolds   = 10
)

// A service without a share competes for lent slots as if it had this one.
const leastShare = 0.01

// Next takes the request that runs next in a pool, given how many of the
// pool's slots are free. It counts the request as in flight. Requests whose
// deadline has passed are returned as expired and hold no slot. It allocates
// nothing.
func (s *Scheduler) Next(now time.Time, p, free int) (Grant, bool) {
	if p >= len(s.pools) {
		return Grant{}, false
	}
	svc := s.choose(p, free)
	if svc < 0 {
		return Grant{}, false
	}
	v := &s.services[svc]
	id := v.heap[0]
	q := &s.queues[id]
	t := q.head
	e := &s.entries[t]
	g := Grant{Ticket: t, Handle: e.handle, Service: svc}
	if late := seconds(v.expectedHold()); now.Add(late).After(e.deadline) {
		// A slot would be spent on an answer that comes too late.
		s.unlink(t)
		s.free(t)
		g.Ticket, g.Expired = NoTicket, true
		return g, true
	}
	s.start(now, v, id, t)
	return g, true
}

func (s *Scheduler) start(now time.Time, v *service, id int32, t Ticket) {
	q := &s.queues[id]
	team := &s.teams[q.team]
	s.entries[t].started, s.entries[t].state = now, running
	v.virtual = q.virtual
	q.virtual += 1 / team.spec.Weight
	s.unlink(t)
	v.inFlight++
	team.inFlight++
	if q.heapAt < 0 {
		return
	}
	if team.full() {
		v.heapRemove(s, id)
		s.activate(id)
		return
	}
	v.fix(s, int(q.heapAt))
}

// choose returns the service that runs next, or -1. Services within their
// share come first, then those that may borrow; within each group, the one
// with the lowest ratio of requests in flight to guaranteed slots.
func (s *Scheduler) choose(p, free int) int {
	best, bestRank, bestOwn := -1, 0.0, false
	if free <= 0 {
		return best
	}
	for _, i := range s.pools[p].services {
		v := &s.services[i]
		if len(v.heap) == 0 || s.atQuota(v) {
			continue
		}
		rank := float64(v.inFlight) / s.guaranteed(v, p)
		own := s.withinShare(v, p)
		better := best < 0 || (own && !bestOwn) || (own == bestOwn && rank < bestRank)
		if better && (own || free > s.reserve(p, v)) {
			best, bestRank, bestOwn = int(i), rank, own
		}
	}
	return best
}

// withinShare reports whether one more request stays within the service's
// share, rounded to whole slots and at least one.
func (s *Scheduler) withinShare(v *service, p int) bool {
	return v.spec.Share > 0 && float64(v.inFlight)+1 <= max(1, math.Round(s.guaranteed(v, p)))
}

// atQuota parks team queues at the top of the heap whose team reached its
// quota through another service, and reports whether none is left.
func (s *Scheduler) atQuota(v *service) bool {
	for len(v.heap) > 0 {
		id := v.heap[0]
		if !s.teams[s.queues[id].team].full() {
			return false
		}
		v.heapRemove(s, id)
		s.activate(id)
	}
	return true
}

func (s *Scheduler) guaranteed(v *service, p int) float64 {
	return max(v.spec.Share, leastShare) * float64(max(1, s.pools[p].capacity))
}

// reserve returns the number of slots that the borrower must leave free.
func (s *Scheduler) reserve(p int, borrower *service) int {
	capacity := float64(s.pools[p].capacity)
	if capacity == 0 || borrower.hold/capacity <= s.opts.ReserveWait.Seconds() {
		return 0
	}
	guaranteed := 0.0 // of the others
	for _, i := range s.pools[p].services {
		v := &s.services[i]
		if v != borrower && v.live {
			guaranteed += v.spec.Share * capacity
		}
	}
	reserve := max(1, math.Round(s.opts.Reserve*math.Sqrt(capacity)))
	return int(min(reserve, math.Ceil(guaranteed)))
}

// expectedHold returns the mean time in seconds that a request holds a slot,
// or 0 while it is not known.
func (v *service) expectedHold() float64 {
	if v.holds < minHolds {
		return 0
	}
	return v.hold
}

// Done ends a running request and records how long it held its slot.
func (s *Scheduler) Done(now time.Time, t Ticket) {
	v := s.stop(t)
	v.holds++
	weight := max(holdWeight, 1/float64(v.holds))
	v.hold += weight * (now.Sub(s.entries[t].started).Seconds() - v.hold)
	s.free(t)
}

// Remove ends a request in any state without a record of its time.
func (s *Scheduler) Remove(t Ticket) {
	switch s.entries[t].state {
	case waiting:
		s.unlink(t)
	case running:
		s.stop(t)
	}
	s.free(t)
}

// Pause takes the slot from a running request until Resume, for example
// during a backoff.
func (s *Scheduler) Pause(t Ticket) {
	s.stop(t)
	s.entries[t].state = paused
}

// Resume puts a paused request at the head of its queue. The bound of the
// queue does not apply, since the request was admitted before.
func (s *Scheduler) Resume(t Ticket) {
	s.entries[t].state = waiting
	s.prepend(s.entries[t].queue, t)
}

func (s *Scheduler) stop(t Ticket) *service {
	q := &s.queues[s.entries[t].queue]
	v := &s.services[q.service]
	v.inFlight--
	s.teams[q.team].inFlight--
	s.unpark(q.team)
	return v
}
