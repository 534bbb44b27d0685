package dispatcher

import (
	"strconv"
	"time"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/structs"
)

// startClaim asks the journal to write the idempotency record of a request
// whose endpoint is chosen. The request holds the endpoint's slot until the
// journal replies.
func (m *Machine) startClaim(now time.Time, r *request) {
	spec := &m.services[r.service].spec
	if r.owner == "" {
		r.owner = m.nextOwner()
	}
	r.claimCount++
	r.claim = intent.Claim{
		Token:    r.owner + "." + strconv.Itoa(r.claimCount),
		Owner:    r.owner,
		Process:  m.opts.Process,
		BodyHash: intent.Hash(r.req),
		Expiry:   r.deadline.Add(spec.Retention),
	}
	r.claimStart = now
	r.phase = claiming
	m.setTimer(r, r.deadline)
	vm, owner := m.endpoints.VM(r.endpoint)
	m.emit(Action{
		Kind: Claim, Handle: m.handleOf(r), Request: r.req, Claim: r.claim,
		VM: vm, OwnerVersion: owner.Version, Deadline: r.deadline,
	})
}

// claimReplied handles the journal's reply to a claim. Replies to earlier claims
// of the request are ignored.
func (m *Machine) claimReplied(now time.Time, ev Event) {
	r := m.get(ev.Handle)
	if r == nil || r.phase != claiming || r.claim.Token != ev.Claim.Token {
		return
	}
	if ev.Claim.Kind == ClaimGranted || ev.Claim.RecordMayExist {
		r.recordMayExist = true
	}
	if r.answered || !now.Before(r.deadline) {
		m.expireClaim(r, structs.ReasonPlatformDown)
		return
	}
	switch ev.Claim.Kind {
	case ClaimGranted:
		m.claimGranted(now, r, ev.Claim)
	case ClaimReplay:
		m.counters.Replayed++
		a := ev.Claim.Answer
		a.Outcome, a.Replayed = structs.OutcomeDone, true
		m.answerFromRecord(r, a)
	case ClaimKeyReused:
		m.answerFromRecord(r, m.failureAnswer(r, structs.OutcomeNotRun, structs.ReasonKeyReused))
	case ClaimInProgress:
		m.answerFromRecord(r, m.failureAnswer(r, structs.OutcomeUnknown, structs.ReasonInProgress))
	case ClaimStaleVM:
		_, owner := m.endpoints.VM(r.endpoint)
		m.endpoints.MarkOwnerStale(now, r.endpoint, owner.Version)
		m.releaseEndpoint(r)
		m.requeueUnsent(now, r, structs.ReasonNoEndpoint)
	case ClaimUnavailable:
		m.platformUnavailable(now, r)
	}
}

// claimGranted sends the request. If the endpoint stopped taking new work since
// the claim, the request is queued again and claims the record for another
// endpoint.
func (m *Machine) claimGranted(now time.Time, r *request, c ClaimResult) {
	r.recordVersion = c.Version
	m.counters.Granted++
	if !m.endpoints.IsAvailable(r.endpoint) {
		m.releaseEndpoint(r)
		m.requeueUnsent(now, r, structs.ReasonNoEndpoint)
		return
	}
	m.send(now, r, r.claimStart)
}

// platformUnavailable releases the request's slot and starts a backoff before
// the next claim, so that other requests can use the slot while the
// platform cannot be reached.
func (m *Machine) platformUnavailable(now time.Time, r *request) {
	m.releaseEndpoint(r)
	m.queue.Pause(r.ticket)
	r.reason = structs.ReasonPlatformDown
	r.platformFailures++
	m.backOff(now, r, platformBackoff.Delay(r.platformFailures, m.opts.Rand))
}

// answerFromRecord ends a request that is not sent because its key already has
// a record: a stored answer, another request or another attempt.
func (m *Machine) answerFromRecord(r *request, a structs.Answer) {
	m.releaseEndpoint(r)
	m.queue.Remove(r.ticket)
	m.answer(r, a)
	m.release(r)
}

// expireClaim ends a request whose claim was settled only after its deadline or
// its answer. The request never ran, so its record is abandoned.
func (m *Machine) expireClaim(r *request, reason structs.Reason) {
	m.releaseEndpoint(r)
	m.queue.Remove(r.ticket)
	m.fail(r, reason)
}
