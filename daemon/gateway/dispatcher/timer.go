package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// timerHeap orders the slots of requests by their wake time. It is written
// out because container/heap allocates for each push.
type timerHeap []uint32

// sleepUntil sets the time at which expire looks at a request again.
func (m *Machine) sleepUntil(r *request, at time.Time) {
	r.wake = at
	if r.heapAt < 0 {
		r.heapAt = int32(len(m.timers))
		m.timers = append(m.timers, r.slot)
	}
	m.fixTimer(int(r.heapAt))
}

// sleep removes a request's timer.
func (m *Machine) sleep(r *request) {
	i := int(r.heapAt)
	if i < 0 {
		return
	}
	last := len(m.timers) - 1
	m.swapTimers(i, last)
	m.timers = m.timers[:last]
	r.heapAt = -1
	if i < last {
		m.fixTimer(i)
	}
}

func (m *Machine) before(i, j int) bool {
	return m.requests[m.timers[i]].wake.Before(m.requests[m.timers[j]].wake)
}

func (m *Machine) swapTimers(i, j int) {
	m.timers[i], m.timers[j] = m.timers[j], m.timers[i]
	m.requests[m.timers[i]].heapAt = int32(i)
	m.requests[m.timers[j]].heapAt = int32(j)
}

func (m *Machine) fixTimer(i int) {
	for {
		child := 2*i + 1
		if child >= len(m.timers) {
			break
		}
		if child+1 < len(m.timers) && m.before(child+1, child) {
			child++
		}
		if !m.before(child, i) {
			break
		}
		m.swapTimers(i, child)
		i = child
	}
	for i > 0 && m.before(i, (i-1)/2) {
		m.swapTimers(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

// expire handles every request whose wake time has come.
func (m *Machine) expire(now time.Time) {
	for len(m.timers) > 0 {
		r := &m.requests[m.timers[0]]
		if now.Before(r.wake) {
			break
		}
		m.sleep(r)
		m.woke(now, r)
	}
	if next := m.endpoints.NextChange(); !next.IsZero() && !now.Before(next) {
		m.endpoints.Advance(now)
		m.pumpAll()
	}
}

func (m *Machine) woke(now time.Time, r *request) {
	switch r.phase {
	case queued:
		m.queue.Remove(r.ticket)
		m.giveUp(r, m.waitReason(r))
	case waiting:
		m.wakeWaiting(now, r)
	case claiming:
		// The answer of the journal is still awaited to free the slot.
		m.answer(r, m.refusal(r, m.outcome(r), structs.ReasonPlatformDown))
	case sending:
		m.answer(r, m.refusal(r, structs.OutcomeUnknown, structs.ReasonTimeout))
	case storing:
		m.answer(r, r.answer)
		m.release(r)
	}
}

func (m *Machine) wakeWaiting(now time.Time, r *request) {
	if !now.Before(r.deadline) {
		m.queue.Remove(r.ticket)
		m.giveUp(r, m.waitReason(r))
		return
	}
	if r.needsBudget && !m.services[r.service].budget.Take() {
		m.wait(now, r, retryBackoff.Delay(maxAttempts, m.opts.Rand))
		return
	}
	if r.needsBudget {
		r.needsBudget = false
		m.counters.Retries++
	}
	m.requeue(r)
}
