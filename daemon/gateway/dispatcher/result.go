package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/structs"
)

// ended handles the end of an endpoint call.
func (m *Machine) ended(now time.Time, ev Event) {
	r := m.get(ev.Handle)
	if r == nil || r.phase != sending || r.attempt != ev.Attempt {
		m.counters.Late++
		return
	}
	e := r.endpoint
	r.avoid = e
	if ev.Kind == NotSent {
		m.leaveEndpoint(r)
		m.again(now, r, structs.ReasonTimeout)
		return
	}
	res := ev.Result
	m.endpoints.Done(now, e, dispatch.Result{
		Service: r.service, Kind: res.Kind, Failed: res.Failed, Leaving: res.Leaving, Latency: res.Latency,
	})
	m.slotFreed(r)
	if r.answered {
		m.counters.Late++
	}
	if r.once {
		m.endedOnce(now, r, res)
		return
	}
	m.endedIdempotent(now, r, res)
}

// again queues a request whose attempt was certainly not sent.
func (m *Machine) again(now time.Time, r *request, reason structs.Reason) {
	m.queue.Pause(r.ticket)
	r.reason = reason
	if r.answered || !now.Before(r.deadline) {
		m.queue.Remove(r.ticket)
		m.giveUp(r, reason)
		return
	}
	m.requeue(r)
}

func (m *Machine) endedIdempotent(now time.Time, r *request, res *structs.EndpointResult) {
	switch {
	case r.answered:
		m.finishSlot(now, r)
		m.release(r)
	case res.Kind == structs.EndpointAnswered && !res.Failed:
		m.finishSlot(now, r)
		m.answer(r, answerOf(r, res))
		m.release(r)
	case res.Kind == structs.EndpointAnswered:
		r.mayHaveRun = true
		if !m.retry(now, r, structs.ReasonEndpointError, false) {
			m.finishSlot(now, r)
			m.answer(r, answerOf(r, res))
			m.release(r)
		}
	default:
		if !m.neverRan(r, res) {
			r.mayHaveRun = true
		}
		m.retryOrGiveUp(now, r, failureReason(res.Kind))
	}
}

// neverRan reports whether a result proves that the attempt did not run.
func (m *Machine) neverRan(r *request, res *structs.EndpointResult) bool {
	switch res.Kind {
	case structs.EndpointNotReached:
		return true
	case structs.EndpointRefused:
		return m.services[r.service].spec.TrustRefusal
	}
	return false
}

func failureReason(k structs.EndpointResultKind) structs.Reason {
	switch k {
	case structs.EndpointTimedOut:
		return structs.ReasonTimeout
	case structs.EndpointNotReached:
		return structs.ReasonNoEndpoint
	}
	return structs.ReasonEndpointError
}

// endedOnce handles the result of a non-idempotent attempt. Only an attempt
// that certainly did not run is tried again.
func (m *Machine) endedOnce(now time.Time, r *request, res *structs.EndpointResult) {
	switch {
	case res.Kind == structs.EndpointAnswered:
		m.finishSlot(now, r)
		m.store(now, r, res)
	case m.neverRan(r, res):
		m.retryOrGiveUp(now, r, failureReason(res.Kind))
	default:
		r.mayHaveRun = true
		m.finishSlot(now, r)
		m.answer(r, m.refusal(r, structs.OutcomeUnknown, failureReason(res.Kind)))
		m.release(r)
	}
}

// store writes the finished row, and holds the answer back for a bounded
// time until the row is stored.
func (m *Machine) store(now time.Time, r *request, res *structs.EndpointResult) {
	r.answer = answerOf(r, res)
	m.emit(Action{
		Kind: Finish, Handle: m.handleOf(r), Request: r.req, Claim: r.claim, Version: r.version, Answer: r.answer,
	})
	if r.answered {
		m.release(r)
		return
	}
	r.phase = storing
	m.sleepUntil(r, now.Add(storeWait))
}

func (m *Machine) stored(h Handle) {
	r := m.get(h)
	if r == nil || r.phase != storing {
		return
	}
	m.answer(r, r.answer)
	m.release(r)
}

func answerOf(r *request, res *structs.EndpointResult) structs.Answer {
	a := structs.Answer{
		RequestID: r.req.ID, Outcome: structs.OutcomeDone, Status: res.Status,
		ContentType: res.ContentType, Body: res.Body,
	}
	if res.Failed {
		a.Reason = structs.ReasonEndpointError
	}
	return a
}

// finishSlot ends the request's use of its service's share.
func (m *Machine) finishSlot(now time.Time, r *request) { m.queue.Done(now, r.ticket) }

// retry starts the wait before another attempt. If mayWait is set, a request
// for which the budget has no room waits for it until the deadline.
func (m *Machine) retry(now time.Time, r *request, reason structs.Reason, mayWait bool) bool {
	if r.answered || r.attempt >= maxAttempts || !now.Before(r.deadline) {
		return false
	}
	granted := m.services[r.service].budget.Take()
	if !granted && !mayWait {
		return false
	}
	if granted {
		m.counters.Retries++
	}
	r.needsBudget = !granted
	r.reason = reason
	m.queue.Pause(r.ticket)
	m.wait(now, r, retryBackoff.Delay(r.attempt, m.opts.Rand))
	return true
}

func (m *Machine) retryOrGiveUp(now time.Time, r *request, reason structs.Reason) {
	if m.retry(now, r, reason, true) {
		return
	}
	m.queue.Remove(r.ticket)
	m.giveUp(r, reason)
}
