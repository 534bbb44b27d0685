package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/structs"
)

func (m *Machine) pumpAll() {
	for i := range m.pump {
		m.pump[i] = true
	}
}

func (m *Machine) dispatchAll(now time.Time) {
	for p := range m.pump {
		if m.pump[p] {
			m.pump[p] = m.dispatchPool(now, dispatch.Pool(p))
		}
	}
}

// dispatchPool starts waiting requests of a pool while there is room. It
// reports whether the pool must be looked at again without an event of its
// own, because the limit of calls over all pools was reached.
func (m *Machine) dispatchPool(now time.Time, p dispatch.Pool) (again bool) {
	if m.members == nil {
		return true // without a view of the gateways their shares are unknown
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

func (m *Machine) dispatchOne(now time.Time, p dispatch.Pool) bool {
	free := m.endpoints.Free(p)
	if free == 0 {
		free = 1 // only a probe has room
	}
	g, ok := m.queue.Next(now, int(p), free)
	if !ok {
		return false
	}
	r := m.get(Handle(g.Handle))
	if g.Expired {
		m.giveUp(r, m.waitReason(r))
		return true
	}
	e, probe := m.endpoints.Pick(now, dispatch.Choice{Pool: p, Avoid: r.avoid, Probe: !r.once || m.onceOnly[p]})
	if e == dispatch.None {
		m.queue.Pause(r.ticket)
		m.queue.Resume(r.ticket)
		return false
	}
	r.endpoint, r.probe = e, probe
	if probe {
		m.counters.Probes++
	}
	m.calls++
	if r.once {
		m.startClaim(now, r)
	} else {
		m.send(now, r, now)
	}
	return true
}

// send starts a call. checked is when the view or the VM's row was last known
// to allow it.
func (m *Machine) send(now time.Time, r *request, checked time.Time) {
	r.attempt++
	if r.attempt == 1 {
		m.services[r.service].budget.First()
	}
	r.phase = sending
	m.sleepUntil(r, r.deadline.Add(resultGrace))
	vm, _ := m.endpoints.VM(r.endpoint)
	m.emit(Action{
		Kind: Send, Handle: m.handleOf(r), Attempt: r.attempt, Request: r.req, VM: vm,
		Legacy: m.services[r.service].spec.Legacy, Deadline: r.deadline, SendBy: checked.Add(sendWindow),
	})
}

// requeue puts a paused request at the head of its queue.
func (m *Machine) requeue(r *request) {
	r.phase = queued
	m.queue.Resume(r.ticket)
	m.sleepUntil(r, r.deadline)
	m.pump[m.services[r.service].pool] = true
}

// wait pauses a request that holds no slot and no endpoint.
func (m *Machine) wait(now time.Time, r *request, d time.Duration) {
	r.phase = waiting
	at := now.Add(d)
	if at.After(r.deadline) {
		at = r.deadline
	}
	m.sleepUntil(r, at)
}

// leaveEndpoint ends the pick of a request without a result.
func (m *Machine) leaveEndpoint(r *request) {
	m.endpoints.Release(r.endpoint)
	m.slotFreed(r)
}

func (m *Machine) slotFreed(r *request) {
	m.calls--
	r.endpoint = dispatch.None
	m.pump[m.services[r.service].pool] = true
	if m.calls == m.opts.MaxCalls-1 {
		m.pumpAll()
	}
}

// abort answers all requests at the end of a graceful stop that took too
// long.
func (m *Machine) abort(now time.Time) {
	m.stopping = true
	for i := range m.requests {
		r := &m.requests[i]
		switch r.phase {
		case queued, waiting:
			m.queue.Remove(r.ticket)
			m.giveUp(r, structs.ReasonDraining)
		case claiming:
			// The process may end before the journal's reply comes.
			r.mayExist = true
			m.answer(r, m.refusal(r, m.outcome(r), structs.ReasonDraining))
			m.surrender(r)
		case sending:
			m.answer(r, m.refusal(r, structs.OutcomeUnknown, structs.ReasonDraining))
		case storing:
			m.answer(r, r.answer)
			m.release(r)
		}
	}
}
