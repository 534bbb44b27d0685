package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/daemon/gateway/dispatcher"
	"github.com/carobwharf/carobwharf/daemon/gateway/journal"
	"github.com/carobwharf/carobwharf/structs"
)

// perform carries out one action of the machine.
func (d *dispatcherDuty) perform(a dispatcher.Action) {
	switch a.Kind {
	case dispatcher.Answer:
		d.answer(a)
	case dispatcher.Send:
		d.workers.Go(func() { d.runCall(a) })
	case dispatcher.Claim:
		d.sendToJournal(a, journal.Request{
			Kind: journal.Claim, VM: a.VM.ID, VMVersion: a.OwnerVersion, Deadline: a.Deadline,
		})
	case dispatcher.Finish:
		d.sendToJournal(a, journal.Request{Kind: journal.Finish, Version: a.Version, Answer: a.Answer})
	case dispatcher.Abandon:
		d.sendToJournal(a, journal.Request{Kind: journal.Abandon})
	case dispatcher.DrainReply:
		d.reply(a.Ref, reply{inFlight: a.InFlight})
	case dispatcher.DemandReply:
		d.reply(a.Ref, reply{demand: a.Demand})
	}
}

// answer sends a caller its answer. The reply channel has capacity for it, so
// that a failed send means that no caller is waiting any more.
func (d *dispatcherDuty) answer(a dispatcher.Action) {
	ch := d.pendingCallers[a.Ref]
	delete(d.pendingCallers, a.Ref)
	select {
	case ch <- a.Answer:
	default:
		d.metrics.Counter("dispatcher.caller_gone").Inc(1)
	}
}

// sendToJournal hands an operation to the journal. If the journal's ring is full,
// the machine gets the same reply as when the platform is unavailable.
func (d *dispatcherDuty) sendToJournal(a dispatcher.Action, r journal.Request) {
	r.Service, r.Key, r.Claim, r.Ref = a.Request.Service, a.Request.Key, a.Claim, uint64(a.Handle)
	err := d.journal.Put(context.Background(), r)
	if err == nil {
		return
	}
	d.metrics.Counter("dispatcher.journal_full").Inc(1)
	status := journal.Unavailable
	if r.Kind != journal.Claim {
		status = journal.Dropped
	}
	ev := journalEvent(journal.Reply{Kind: r.Kind, Ref: r.Ref, Token: r.Claim.Token, Status: status})
	d.localEvents = append(d.localEvents, ev)
}

// reply answers the command with the given ref.
func (d *dispatcherDuty) reply(ref uint64, r reply) {
	if ch, ok := d.pendingCommands[ref]; ok {
		delete(d.pendingCommands, ref)
		ch <- r
	}
}

// runCall makes one endpoint call in a worker and posts its result to the results
// ring.
func (d *dispatcherDuty) runCall(a dispatcher.Action) {
	ev := dispatcher.Event{Kind: dispatcher.CallEnded, Handle: a.Handle, Attempt: a.Attempt}
	if now := time.Now(); now.After(a.SendBy) || !now.Before(a.Deadline) {
		// The start was delayed after the decision, for example because the
		// process was paused, so the view may be outdated.
		ev.Kind = dispatcher.CallNotSent
	} else {
		res := d.callEndpoint(a)
		ev.Result = &res
	}
	// Put fails only if the ring is closed, which happens when the process ends.
	_ = d.results.Put(context.Background(), ev)
}

// callEndpoint calls the endpoint. After a panic in the call, or if the response
// has the ID of another request, it is unknown whether the request ran.
func (d *dispatcherDuty) callEndpoint(a dispatcher.Action) (res structs.EndpointResult) {
	defer func() {
		if p := recover(); p != nil {
			res = structs.EndpointResult{Kind: structs.EndpointNoAnswer, Detail: fmt.Sprintf("panic: %v", p)}
			d.log.Error("endpoint call panicked", "vm", a.VM.ID, "panic", p)
		}
	}()
	ctx, cancel := context.WithDeadline(d.callContext, a.Deadline)
	defer cancel()
	res = d.endpoints.Do(ctx, a.Request, a.VM, a.Legacy, a.Attempt)
	if res.RequestID != "" && res.RequestID != a.Request.ID {
		// A response to another request does not tell whether this one ran.
		d.log.Error("endpoint response does not have the request's id", "vm", a.VM.ID, "want", a.Request.ID, "got", res.RequestID)
		res = structs.EndpointResult{Kind: structs.EndpointNoAnswer, Detail: "answer to another request"}
	}
	return res
}

// journalReplied passes a reply of the journal to the machine. It runs on the
// goroutine of the journal's duty.
func (d *dispatcherDuty) journalReplied(r journal.Reply) {
	if r.Kind == journal.Abandon {
		return
	}
	_ = d.results.Put(context.Background(), journalEvent(r))
}

// journalEvent returns the machine's event for a reply of the journal.
func journalEvent(r journal.Reply) dispatcher.Event {
	h := dispatcher.Handle(r.Ref)
	if r.Kind != journal.Claim {
		return dispatcher.Event{Kind: dispatcher.FinishReplied, Handle: h}
	}
	return dispatcher.Event{Kind: dispatcher.ClaimReplied, Handle: h, Claim: dispatcher.ClaimResult{
		Kind: claimKind(r.Status), Token: r.Token, Version: r.Version, RecordMayExist: r.RecordMayExist, Answer: r.Answer,
	}}
}

func claimKind(s journal.Status) dispatcher.ClaimKind {
	switch s {
	case journal.Granted:
		return dispatcher.ClaimGranted
	case journal.Replay:
		return dispatcher.ClaimReplay
	case journal.KeyReused:
		return dispatcher.ClaimKeyReused
	case journal.InProgress:
		return dispatcher.ClaimInProgress
	case journal.StaleVM:
		return dispatcher.ClaimStaleVM
	}
	return dispatcher.ClaimUnavailable
}
