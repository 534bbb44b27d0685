package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/structs"
)

// callEnded handles the end of an endpoint call, or of one that was not started.
func (m *Machine) callEnded(now time.Time, ev Event) {
	r := m.get(ev.Handle)
	if r == nil || r.phase != calling || r.attempt != ev.Attempt {
		m.counters.Late++
		return
	}
	e := r.endpoint
	r.avoid = e
	if ev.Kind == CallNotSent {
		m.releaseEndpoint(r)
		m.requeueUnsent(now, r, structs.ReasonTimeout)
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
	if r.nonIdempotent {
		m.nonIdempotentEnded(now, r, res)
		return
	}
	m.idempotentEnded(now, r, res)
}

// requeueUnsent queues a request again whose attempt was certainly not sent, or
// ends it if it has been answered or its deadline has passed.
func (m *Machine) requeueUnsent(now time.Time, r *request, reason structs.Reason) {
	m.queue.Pause(r.ticket)
	r.reason = reason
	if r.answered || !now.Before(r.deadline) {
		m.queue.Remove(r.ticket)
		m.fail(r, reason)
		return
	}
	m.requeue(r)
}

func (m *Machine) idempotentEnded(now time.Time, r *request, res *structs.EndpointResult) {
	switch {
	case r.answered:
		m.releaseShare(now, r)
		m.release(r)
	case res.Kind == structs.EndpointAnswered && !res.Failed:
		m.releaseShare(now, r)
		m.answer(r, answerOf(r, res))
		m.release(r)
	case res.Kind == structs.EndpointAnswered:
		r.mayHaveRun = true
		if !m.retry(now, r, structs.ReasonEndpointError, false) {
			m.releaseShare(now, r)
			m.answer(r, answerOf(r, res))
			m.release(r)
		}
	default:
		if !m.neverRan(r, res) {
			r.mayHaveRun = true
		}
		m.retryOrFail(now, r, failureReason(res.Kind))
	}
}

// neverRan reports whether the result proves that the attempt did not run.
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

// nonIdempotentEnded handles the result of a non-idempotent attempt. It is
// retried only if it certainly did not run.
func (m *Machine) nonIdempotentEnded(now time.Time, r *request, res *structs.EndpointResult) {
	switch {
	case res.Kind == structs.EndpointAnswered:
		m.releaseShare(now, r)
		m.storeAnswer(now, r, res)
	case m.neverRan(r, res):
		m.retryOrFail(now, r, failureReason(res.Kind))
	default:
		r.mayHaveRun = true
		m.releaseShare(now, r)
		m.answer(r, m.failureAnswer(r, structs.OutcomeUnknown, failureReason(res.Kind)))
		m.release(r)
	}
}

// storeAnswer has the journal write the finished record, and holds the answer
// back until it is stored or storeTimeout has passed.
func (m *Machine) storeAnswer(now time.Time, r *request, res *structs.EndpointResult) {
	r.answer = answerOf(r, res)
	m.emit(Action{
		Kind: Finish, Handle: m.handleOf(r), Request: r.req, Claim: r.claim, Version: r.recordVersion, Answer: r.answer,
	})
	if r.answered {
		m.release(r)
		return
	}
	r.phase = storing
	m.setTimer(r, now.Add(storeTimeout))
}

func (m *Machine) finishReplied(h Handle) {
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

// releaseShare releases the slot that the request held of its service's share.
func (m *Machine) releaseShare(now time.Time, r *request) { m.queue.Done(now, r.ticket) }

// retry starts the backoff before another attempt, and reports whether it
// did. If the retry budget is exhausted and waitForBudget is set, the request
// waits for the budget until its deadline.
func (m *Machine) retry(now time.Time, r *request, reason structs.Reason, waitForBudget bool) bool {
	if r.answered || r.attempt >= maxAttempts || !now.Before(r.deadline) {
		return false
	}
	granted := m.services[r.service].budget.Take()
	if !granted && !waitForBudget {
		return false
	}
	if granted {
		m.counters.Retries++
	}
	r.needsRetryBudget = !granted
	r.reason = reason
	m.queue.Pause(r.ticket)
	m.backOff(now, r, retryBackoff.Delay(r.attempt, m.opts.Rand))
	return true
}

func (m *Machine) retryOrFail(now time.Time, r *request, reason structs.Reason) {
	if m.retry(now, r, reason, true) {
		return
	}
	m.queue.Remove(r.ticket)
	m.fail(r, reason)
}
