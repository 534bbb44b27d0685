package dispatcher

import (
	"strconv"
	"time"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/structs"
)

// startClaim asks the journal for the idempotency record of a request whose
// endpoint is chosen. The endpoint's slot is held meanwhile.
func (m *Machine) startClaim(now time.Time, r *request) {
	spec := &m.services[r.service].spec
	if r.owner == "" {
		r.owner = m.nextOwner()
	}
	r.claims++
	r.claim = intent.Claim{
		Token:    r.owner + "." + strconv.Itoa(r.claims),
		Owner:    r.owner,
		Process:  m.opts.Process,
		BodyHash: intent.Hash(r.req),
		Expiry:   r.deadline.Add(spec.Retention),
	}
	r.claimedAt = now
	r.phase = claiming
	m.sleepUntil(r, r.deadline)
	vm, owner := m.endpoints.VM(r.endpoint)
	m.emit(Action{
		Kind: Claim, Handle: m.handleOf(r), Request: r.req, Claim: r.claim,
		VM: vm, OwnerVersion: owner.Version, Deadline: r.deadline,
	})
}

// claimed handles the journal's reply.
func (m *Machine) claimed(now time.Time, ev Event) {
	r := m.get(ev.Handle)
	if r == nil || r.phase != claiming || r.claim.Token != ev.Claim.Token {
		return
	}
	if ev.Claim.Kind == ClaimGranted || ev.Claim.MayExist {
		r.mayExist = true
	}
	if r.answered || !now.Before(r.deadline) {
		m.dropClaim(r, structs.ReasonPlatformDown)
		return
	}
	switch ev.Claim.Kind {
	case ClaimGranted:
		m.granted(now, r, ev.Claim)
	case ClaimReplay:
		m.counters.Replayed++
		a := ev.Claim.Answer
		a.Outcome, a.Replayed = structs.OutcomeDone, true
		m.endClaim(r, a)
	case ClaimKeyReused:
		m.endClaim(r, m.refusal(r, structs.OutcomeNotRun, structs.ReasonKeyReused))
	case ClaimInProgress:
		m.endClaim(r, m.refusal(r, structs.OutcomeUnknown, structs.ReasonInProgress))
	case ClaimStaleVM:
		_, owner := m.endpoints.VM(r.endpoint)
		m.endpoints.Stale(now, r.endpoint, owner.Version)
		m.leaveEndpoint(r)
		m.again(now, r, structs.ReasonNoEndpoint)
	case ClaimUnavailable:
		m.platformDown(now, r)
	}
}

// granted sends the request, unless the endpoint began to leave meanwhile:
// then it is queued again and claims the record for another endpoint.
func (m *Machine) granted(now time.Time, r *request, c ClaimResult) {
	r.version = c.Version
	m.counters.Granted++
	if !m.endpoints.Open(r.endpoint) {
		m.leaveEndpoint(r)
		m.again(now, r, structs.ReasonNoEndpoint)
		return
	}
	m.send(now, r, r.claimedAt)
}

// platformDown puts the request aside without its slot, so that other work
// can run while the platform cannot be reached.
func (m *Machine) platformDown(now time.Time, r *request) {
	m.leaveEndpoint(r)
	m.queue.Pause(r.ticket)
	r.reason = structs.ReasonPlatformDown
	r.delays++
	m.wait(now, r, platformBackoff.Delay(r.delays, m.opts.Rand))
}

// endClaim answers a request that is not sent because of another's record.
func (m *Machine) endClaim(r *request, a structs.Answer) {
	m.leaveEndpoint(r)
	m.queue.Remove(r.ticket)
	m.answer(r, a)
	m.release(r)
}

// dropClaim ends a request whose deadline passed before its record was
// written. It was never sent, so its record is abandoned.
func (m *Machine) dropClaim(r *request, reason structs.Reason) {
	m.leaveEndpoint(r)
	m.queue.Remove(r.ticket)
	m.giveUp(r, reason)
}
