package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/admission"
	"github.com/carobwharf/carobwharf/structs"
)

// admit validates a request and puts it into the admission queue, or refuses it.
func (m *Machine) admit(now time.Time, ref uint64, req *structs.Request) {
	m.counters.Arrived++
	reason, svc := m.validate(req)
	if reason != structs.ReasonNone {
		m.refuse(ref, req, reason)
		return
	}
	state := &m.services[svc]
	state.demand.Arrived++
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = now.Add(m.defaultDeadline(state))
	}
	if !now.Before(deadline) {
		state.demand.Refused++
		m.refuse(ref, req, structs.ReasonTooLate)
		return
	}
	r := m.alloc()
	r.ref, r.req, r.service, r.deadline = ref, req, svc, deadline
	r.nonIdempotent = state.spec.IsOnce(req.Operation)
	team := req.Team
	if team == "" {
		team = state.spec.Team
	}
	r.team = m.queue.Team(team)
	ticket, verdict := m.queue.Offer(now, uint64(m.handleOf(r)), svc, r.team, deadline)
	if verdict != admission.Queued {
		m.release(r)
		state.demand.Refused++
		m.refuse(ref, req, verdictReason(verdict))
		return
	}
	r.ticket, r.phase = ticket, queued
	m.setTimer(r, deadline)
	m.needsDispatch[state.pool] = true
}

// validate checks a request against the configuration and the limit of
// requests. It returns the index of the service, or the reason for a refusal.
func (m *Machine) validate(req *structs.Request) (structs.Reason, int) {
	if m.stopping {
		return structs.ReasonDraining, -1
	}
	if m.config == nil {
		return structs.ReasonNoConfig, -1
	}
	svc := m.queue.Service(req.Service)
	if svc < 0 {
		return structs.ReasonNoService, -1
	}
	spec := &m.services[svc].spec
	switch {
	case !spec.Declares(req.Operation):
		return structs.ReasonNoOperation, -1
	case spec.IsOnce(req.Operation) && req.Key == "":
		return structs.ReasonKeyRequired, -1
	case spec.MaxBody > 0 && len(req.Body) > spec.MaxBody:
		return structs.ReasonTooLarge, -1
	case m.requestCount >= m.opts.MaxRequests:
		return structs.ReasonQueueFull, -1
	}
	return structs.ReasonNone, svc
}

func (m *Machine) defaultDeadline(s *serviceState) time.Duration {
	if s.spec.Timeout > 0 {
		return s.spec.Timeout
	}
	return m.opts.DefaultDeadline
}

func verdictReason(v admission.Verdict) structs.Reason {
	switch v {
	case admission.QueueFull:
		return structs.ReasonQueueFull
	case admission.TooLate:
		return structs.ReasonTooLate
	}
	return structs.ReasonNoService
}

// refuse answers a request that was not admitted.
func (m *Machine) refuse(ref uint64, req *structs.Request, reason structs.Reason) {
	m.counters.Refused++
	m.emit(Action{Kind: Answer, Ref: ref, Answer: structs.Answer{
		RequestID: req.ID, Outcome: structs.OutcomeNotRun, Reason: reason, RetryAfter: retryAfterFor(reason),
	}})
}

// retryAfterFor returns the Retry-After value for a reason, or zero if the
// cause is not transient.
func retryAfterFor(reason structs.Reason) time.Duration {
	switch reason {
	case structs.ReasonQueueFull, structs.ReasonTooLate, structs.ReasonQuota, structs.ReasonNoConfig,
		structs.ReasonNoEndpoint, structs.ReasonPlatformDown, structs.ReasonDraining, structs.ReasonInProgress:
		return retryAfter
	}
	return 0
}

// failureAnswer returns the answer to a request that got none from an endpoint.
func (m *Machine) failureAnswer(r *request, outcome structs.Outcome, reason structs.Reason) structs.Answer {
	return structs.Answer{RequestID: r.req.ID, Outcome: outcome, Reason: reason, RetryAfter: retryAfterFor(reason)}
}

// answer sends the answer to the caller. It does nothing if the caller already
// has one.
func (m *Machine) answer(r *request, a structs.Answer) {
	if r.answered {
		return
	}
	r.answered = true
	a.RequestID = r.req.ID
	demand := &m.services[r.service].demand
	if a.Outcome == structs.OutcomeDone {
		m.counters.Answered++
		demand.Served++
	} else {
		m.counters.Refused++
		demand.Refused++
	}
	m.emit(Action{Kind: Answer, Ref: r.ref, Answer: a})
}

// failureOutcome returns the outcome of a request that got no answer from an
// endpoint: unknown if an attempt may have run, else not-run.
func (m *Machine) failureOutcome(r *request) structs.Outcome {
	if r.mayHaveRun {
		return structs.OutcomeUnknown
	}
	return structs.OutcomeNotRun
}

// fail ends a request that holds no slot and answers it with its failure
// outcome. If the request never ran, a record written for it is abandoned.
func (m *Machine) fail(r *request, reason structs.Reason) {
	m.answer(r, m.failureAnswer(r, m.failureOutcome(r), reason))
	m.abandonClaim(r)
	m.release(r)
}

// abandonClaim has the journal abandon the record of a request that never ran.
func (m *Machine) abandonClaim(r *request) {
	if r.nonIdempotent && r.recordMayExist && !r.mayHaveRun {
		m.emit(Action{Kind: Abandon, Request: r.req, Claim: r.claim})
	}
}

// deadlineReason returns why a request reached its deadline in the queue or in
// a backoff.
func (m *Machine) deadlineReason(r *request) structs.Reason {
	switch {
	case r.reason != structs.ReasonNone:
		return r.reason
	case m.endpoints.Capacity(m.services[r.service].pool) == 0:
		return structs.ReasonNoEndpoint
	case m.queue.AtQuota(r.team):
		return structs.ReasonQuota
	}
	return structs.ReasonTooLate
}
