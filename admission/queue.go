package admission

import "time"

// Offer adds a request to its queue and returns Queued, or returns the reason
// why the request is refused. handle is returned in the Grant of Next. Offer
// allocates memory only when the Scheduler holds more requests, teams or
// services than ever before.
func (s *Scheduler) Offer(now time.Time, handle uint64, svc, team int, deadline time.Time) (Ticket, Verdict) {
	if svc < 0 || svc >= len(s.services) || !s.services[svc].configured {
		return NoTicket, UnknownService
	}
	v := &s.services[svc]
	q := s.queueOf(svc, team)
	if v.queued >= v.spec.Queue || s.teamAtBound(v, q) {
		return NoTicket, QueueFull
	}
	if wait, known := s.EstimateWait(svc, team); known && now.Add(wait).After(deadline) {
		return NoTicket, TooLate
	}
	t := s.alloc()
	s.entries[t] = entry{handle: handle, deadline: deadline, queue: q, prev: NoTicket, next: NoTicket}
	s.pushBack(q, t)
	return t, Queued
}

func (s *Scheduler) teamAtBound(v *service, q int32) bool {
	room := v.spec.Queue - v.queued
	return v.teamCount > 1 && int(s.queues[q].length) >= s.opts.TeamQueueFactor*room
}

// EstimateWait estimates the time until a request of the team that is queued
// now would be answered: the requests ahead of it divided by the service rate,
// plus the time that the request itself holds a slot. The rate is the number of
// slots that the service uses or is guaranteed, whichever is greater, divided by
// the mean time that a request holds a slot. known is false until minHoldSamples
// requests of the service have finished.
func (s *Scheduler) EstimateWait(svc, team int) (wait time.Duration, known bool) {
	v := &s.services[svc]
	if v.holdCount < minHoldSamples {
		return 0, false
	}
	guaranteed := v.spec.Share * float64(s.capacity(v.spec.Pool))
	slots := max(1, guaranteed, float64(v.inFlight))
	if v.inFlight < int(slots) && v.queued == 0 {
		return seconds(v.meanHold), true
	}
	ahead := float64(v.queued)
	if q := v.queues[team]; q >= 0 {
		// Fair queueing serves the team's own requests at its fraction of
		// the rate.
		weight := s.teams[team].spec.Weight
		totalWeight := v.waitingWeight
		if s.queues[q].length == 0 {
			totalWeight += weight
		}
		ahead = min(ahead, float64(s.queues[q].length)*totalWeight/weight)
	}
	return seconds((ahead/slots + 1) * v.meanHold), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *Scheduler) queueOf(svc, team int) int32 {
	v := &s.services[svc]
	for len(v.queues) <= team {
		v.queues = append(v.queues, -1)
	}
	if v.queues[team] < 0 {
		v.queues[team] = int32(len(s.queues))
		s.queues = append(s.queues, teamQueue{
			service: int32(svc), team: int32(team), head: NoTicket, tail: NoTicket, heapIndex: -1,
		})
		v.teamCount++
	}
	return v.queues[team]
}

func (s *Scheduler) alloc() Ticket {
	if s.freeList == NoTicket {
		s.entries = append(s.entries, entry{})
		return Ticket(len(s.entries) - 1)
	}
	t := s.freeList
	s.freeList = s.entries[t].next
	return t
}

func (s *Scheduler) free(t Ticket) {
	s.entries[t] = entry{next: s.freeList, prev: NoTicket}
	s.freeList = t
}

func (s *Scheduler) pushBack(id int32, t Ticket) {
	q := &s.queues[id]
	e := &s.entries[t]
	e.prev, e.next = q.tail, NoTicket
	if q.tail != NoTicket {
		s.entries[q.tail].next = t
	} else {
		q.head = t
	}
	q.tail = t
	s.recordPush(id)
}

func (s *Scheduler) pushFront(id int32, t Ticket) {
	q := &s.queues[id]
	e := &s.entries[t]
	e.prev, e.next = NoTicket, q.head
	if q.head != NoTicket {
		s.entries[q.head].prev = t
	} else {
		q.tail = t
	}
	q.head = t
	s.recordPush(id)
}

func (s *Scheduler) recordPush(id int32) {
	q := &s.queues[id]
	v := &s.services[q.service]
	q.length++
	v.queued++
	if q.length == 1 {
		v.waitingWeight += s.teams[q.team].spec.Weight
		// A team gets no credit for the time in which it had no requests.
		q.nextTurn = max(q.nextTurn, v.virtualTime)
		s.activate(id)
	}
}

func (s *Scheduler) unlink(t Ticket) {
	e := &s.entries[t]
	q := &s.queues[e.queue]
	v := &s.services[q.service]
	if e.prev != NoTicket {
		s.entries[e.prev].next = e.next
	} else {
		q.head = e.next
	}
	if e.next != NoTicket {
		s.entries[e.next].prev = e.prev
	} else {
		q.tail = e.prev
	}
	e.prev, e.next = NoTicket, NoTicket
	q.length--
	v.queued--
	if q.length == 0 {
		v.waitingWeight = max(0, v.waitingWeight-s.teams[q.team].spec.Weight)
		v.heapRemove(s, e.queue)
	}
}

// activate puts a team queue with waiting requests into the heap, or parks it
// while the team is at its quota.
func (s *Scheduler) activate(id int32) {
	q := &s.queues[id]
	if q.length == 0 || q.heapIndex >= 0 || q.parked {
		return
	}
	t := &s.teams[q.team]
	if t.atQuota() {
		q.parked = true
		t.parked = append(t.parked, id)
		return
	}
	s.services[q.service].heapPush(s, id)
}

func (t *team) atQuota() bool { return t.spec.Slots > 0 && t.inFlight >= t.spec.Slots }

func (s *Scheduler) unpark(id int32) {
	t := &s.teams[id]
	if t.atQuota() || len(t.parked) == 0 {
		return
	}
	parked := t.parked
	t.parked = t.parked[:0]
	for _, q := range parked {
		s.queues[q].parked = false
		if s.queues[q].length > 0 && s.queues[q].heapIndex < 0 {
			s.services[s.queues[q].service].heapPush(s, q)
		}
	}
}
