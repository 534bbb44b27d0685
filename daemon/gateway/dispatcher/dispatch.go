package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/structs"
)

// markAllPools makes dispatchAll look at every pool.
func (m *Machine) markAllPools() {
	for i := range m.needsDispatch {
		m.needsDispatch[i] = true
	}
}

func (m *Machine) dispatchAll(now time.Time) {
	for p := range m.needsDispatch {
		if m.needsDispatch[p] {
			m.needsDispatch[p] = m.dispatchPool(now, dispatch.Pool(p))
		}
	}
}

// dispatchPool dispatches queued requests of a pool while its endpoints have
// room. It reports whether the pool needs another dispatch at the next event
// of any kind, because the member view is missing or MaxCalls was reached.
func (m *Machine) dispatchPool(now time.Time, p dispatch.Pool) (again bool) {
	if m.members == nil {
		return true // this gateway's share is unknown without a member view
	}
	for m.endpoints.Ready(now, p) {
		if m.calls >= m.opts.MaxCalls {
			return true
		}
		m.queue.SetCapacity(int(p), m.endpoints.Capacity(p))
		if !m.dispatchOne(now, p) {
			return false
		}
	}
	m.queue.SetCapacity(int(p), m.endpoints.Capacity(p))
	return false
}

// dispatchOne dispatches the next request of a pool. It reports whether the
// pool may be able to dispatch another one.
func (m *Machine) dispatchOne(now time.Time, p dispatch.Pool) bool {
	free := m.endpoints.Free(p)
	if free == 0 {
		free = 1 // a probe of an ejected endpoint is due and needs no free slot
	}
	grant, ok := m.queue.Next(now, int(p), free)
	if !ok {
		return false
	}
	r := m.get(Handle(grant.Handle))
	if grant.Expired {
		m.fail(r, m.deadlineReason(r))
		return true
	}
	e, probe := m.endpoints.Pick(now, dispatch.PickOptions{Pool: p, Avoid: r.avoid, Probe: !r.nonIdempotent || m.nonIdempotentOnly[p]})
	if e == dispatch.NoEndpoint {
		m.queue.Pause(r.ticket)
		m.queue.Resume(r.ticket)
		return false
	}
	r.endpoint, r.probe = e, probe
	if probe {
		m.counters.Probes++
	}
	m.calls++
	if r.nonIdempotent {
		m.startClaim(now, r)
	} else {
		m.send(now, r, now)
	}
	return true
}

// send starts an endpoint call. checkedAt is when the view or the VM's ownership
// row was last known to allow it.
func (m *Machine) send(now time.Time, r *request, checkedAt time.Time) {
	r.attempt++
	if r.attempt == 1 {
		m.services[r.service].budget.RecordFirstAttempt()
	}
	r.phase = calling
	m.setTimer(r, r.deadline.Add(resultGrace))
	vm, _ := m.endpoints.VM(r.endpoint)
	m.emit(Action{
		Kind: Send, Handle: m.handleOf(r), Attempt: r.attempt, Request: r.req, VM: vm,
		Legacy: m.services[r.service].spec.Legacy, Deadline: r.deadline, SendBy: checkedAt.Add(sendWindow),
	})
}

// requeue puts a paused request back at the head of its queue.
func (m *Machine) requeue(r *request) {
	r.phase = queued
	m.queue.Resume(r.ticket)
	m.setTimer(r, r.deadline)
	m.needsDispatch[m.services[r.service].pool] = true
}

// backOff delays a request that holds no slot and no endpoint by d, but not
// beyond its deadline.
func (m *Machine) backOff(now time.Time, r *request, d time.Duration) {
	r.phase = backingOff
	at := now.Add(d)
	if at.After(r.deadline) {
		at = r.deadline
	}
	m.setTimer(r, at)
}

// releaseEndpoint releases the endpoint of a request that has no result for it.
func (m *Machine) releaseEndpoint(r *request) {
	m.endpoints.Release(r.endpoint)
	m.slotFreed(r)
}

// slotFreed updates the count of calls after a request has released its
// endpoint, and marks the pools that may dispatch again.
func (m *Machine) slotFreed(r *request) {
	m.calls--
	r.endpoint = dispatch.NoEndpoint
	m.needsDispatch[m.services[r.service].pool] = true
	if m.calls == m.opts.MaxCalls-1 {
		m.markAllPools()
	}
}

// abort answers all requests when a graceful stop exceeds its time limit.
func (m *Machine) abort(now time.Time) {
	m.stopping = true
	for i := range m.requests {
		r := &m.requests[i]
		switch r.phase {
		case queued, backingOff:
			m.queue.Remove(r.ticket)
			m.fail(r, structs.ReasonDraining)
		case claiming:
			// The process may end before the journal replies to the claim.
			r.recordMayExist = true
			m.answer(r, m.failureAnswer(r, m.failureOutcome(r), structs.ReasonDraining))
			m.abandonClaim(r)
		case calling:
			m.answer(r, m.failureAnswer(r, structs.OutcomeUnknown, structs.ReasonDraining))
		case storing:
			m.answer(r, r.answer)
			m.release(r)
		}
	}
}
