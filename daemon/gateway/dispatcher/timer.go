package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// timerHeap is a binary heap of indexes of requests, ordered by wakeAt. It does
// not use container/heap, which allocates on each push.
type timerHeap []uint32

// setTimer sets or moves a request's timer.
func (m *Machine) setTimer(r *request, at time.Time) {
	r.wakeAt = at
	if r.heapIndex < 0 {
		r.heapIndex = int32(len(m.timers))
		m.timers = append(m.timers, r.index)
	}
	m.fixTimer(int(r.heapIndex))
}

// clearTimer removes a request's timer, if it has one.
func (m *Machine) clearTimer(r *request) {
	i := int(r.heapIndex)
	if i < 0 {
		return
	}
	last := len(m.timers) - 1
	m.swapTimers(i, last)
	m.timers = m.timers[:last]
	r.heapIndex = -1
	if i < last {
		m.fixTimer(i)
	}
}

func (m *Machine) timerLess(i, j int) bool {
	return m.requests[m.timers[i]].wakeAt.Before(m.requests[m.timers[j]].wakeAt)
}

func (m *Machine) swapTimers(i, j int) {
	m.timers[i], m.timers[j] = m.timers[j], m.timers[i]
	m.requests[m.timers[i]].heapIndex = int32(i)
	m.requests[m.timers[j]].heapIndex = int32(j)
}

// fixTimer restores the heap order after the timer at position i has changed.
func (m *Machine) fixTimer(i int) {
	for {
		child := 2*i + 1
		if child >= len(m.timers) {
			break
		}
		if child+1 < len(m.timers) && m.timerLess(child+1, child) {
			child++
		}
		if !m.timerLess(child, i) {
			break
		}
		m.swapTimers(i, child)
		i = child
	}
	for i > 0 && m.timerLess(i, (i-1)/2) {
		m.swapTimers(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

// fireTimers handles all due timers, and the endpoints whose hold time has
// ended.
func (m *Machine) fireTimers(now time.Time) {
	for len(m.timers) > 0 {
		r := &m.requests[m.timers[0]]
		if now.Before(r.wakeAt) {
			break
		}
		m.clearTimer(r)
		m.timerFired(now, r)
	}
	if next := m.endpoints.NextHoldEnd(); !next.IsZero() && !now.Before(next) {
		m.endpoints.EndHolds(now)
		m.markAllPools()
	}
}

func (m *Machine) timerFired(now time.Time, r *request) {
	switch r.phase {
	case queued:
		m.queue.Remove(r.ticket)
		m.fail(r, m.deadlineReason(r))
	case backingOff:
		m.backoffEnded(now, r)
	case claiming:
		// The slot is held until the journal replies to the claim.
		m.answer(r, m.failureAnswer(r, m.failureOutcome(r), structs.ReasonPlatformDown))
	case calling:
		m.answer(r, m.failureAnswer(r, structs.OutcomeUnknown, structs.ReasonTimeout))
	case storing:
		m.answer(r, r.answer)
		m.release(r)
	}
}

func (m *Machine) backoffEnded(now time.Time, r *request) {
	if !now.Before(r.deadline) {
		m.queue.Remove(r.ticket)
		m.fail(r, m.deadlineReason(r))
		return
	}
	if r.needsRetryBudget && !m.services[r.service].budget.Take() {
		m.backOff(now, r, retryBackoff.Delay(maxAttempts, m.opts.Rand))
		return
	}
	if r.needsRetryBudget {
		r.needsRetryBudget = false
		m.counters.Retries++
	}
	m.requeue(r)
}
