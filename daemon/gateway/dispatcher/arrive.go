package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/admission"
	"github.com/carobwharf/carobwharf/structs"
)

func (m *Machine) arrive(now time.Time, ref uint64, req *structs.Request) {
	m.counters.Arrived++
	reason, svc := m.check(req)
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
	r.once = state.spec.IsOnce(req.Operation)
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
	m.sleepUntil(r, deadline)
	m.pump[state.pool] = true
}

// check validates a request against the configuration.
func (m *Machine) check(req *structs.Request) (structs.Reason, int) {
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
	case m.live >= m.opts.MaxRequests:
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

// refuse answers a request that is not in the machine.
func (m *Machine) refuse(ref uint64, req *structs.Request, reason structs.Reason) {
	m.counters.Refused++
	m.emit(Action{Kind: Answer, Ref: ref, Answer: structs.Answer{
		RequestID: req.ID, Outcome: structs.OutcomeNotRun, Reason: reason, RetryAfter: advice(reason),
	}})
}

// advice returns the Retry-After for causes that pass.
func advice(reason structs.Reason) time.Duration {
	switch reason {
	case structs.ReasonQueueFull, structs.ReasonTooLate, structs.ReasonQuota, structs.ReasonNoConfig,
		structs.ReasonNoEndpoint, structs.ReasonPlatformDown, structs.ReasonDraining, structs.ReasonInProgress:
		return retryAfter
	}
	return 0
}

func (m *Machine) refusal(r *request, o structs.Outcome, reason structs.Reason) structs.Answer {
	return structs.Answer{RequestID: r.req.ID, Outcome: o, Reason: reason, RetryAfter: advice(reason)}
}

// answer gives the caller its answer, once.
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

// outcome returns what is known of a request without an answer.
func (m *Machine) outcome(r *request) structs.Outcome {
	if r.mayHaveRun {
		return structs.OutcomeUnknown
	}
	return structs.OutcomeNotRun
}

// giveUp refuses a request that holds no slot and ends it. A record that was
// written for it, and whose request never ran, is abandoned.
func (m *Machine) giveUp(r *request, reason structs.Reason) {
	m.answer(r, m.refusal(r, m.outcome(r), reason))
	m.surrender(r)
	m.release(r)
}

func (m *Machine) surrender(r *request) {
	if r.once && r.mayExist && !r.mayHaveRun {
		m.emit(Action{Kind: Surrender, Request: r.req, Claim: r.claim})
	}
}

// waitReason explains why a queued request reached its deadline.
func (m *Machine) waitReason(r *request) structs.Reason {
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
