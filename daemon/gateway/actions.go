package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/daemon/gateway/dispatcher"
	"github.com/carobwharf/carobwharf/daemon/gateway/journal"
	"github.com/carobwharf/carobwharf/structs"
)

func (d *dispatcherDuty) act(a dispatcher.Action) {
	switch a.Kind {
	case dispatcher.Answer:
		d.answer(a)
	case dispatcher.Send:
		d.pool.Go(func() { d.call(a) })
	case dispatcher.Claim:
		d.write(a, journal.Request{
			Kind: journal.Claim, VM: a.VM.ID, VMVersion: a.OwnerVersion, Deadline: a.Deadline,
		})
	case dispatcher.Finish:
		d.write(a, journal.Request{Kind: journal.Finish, Version: a.Version, Answer: a.Answer})
	case dispatcher.Abandon:
		d.write(a, journal.Request{Kind: journal.Surrender})
	case dispatcher.DrainReply:
		d.reply(a.Ref, reply{inFlight: a.InFlight})
	case dispatcher.DemandReply:
		d.reply(a.Ref, reply{demand: a.Demand})
	}
}

// answer gives a caller its answer. The reply channel has room for it; if
// not, the caller is gone.
func (d *dispatcherDuty) answer(a dispatcher.Action) {
	ch := d.callers[a.Ref]
	delete(d.callers, a.Ref)
	select {
	case ch <- a.Answer:
	default:
		d.metrics.Counter("dispatcher.caller_gone").Inc(1)
	}
}

// write asks the journal for an operation. If its ring is full, the operation
// ends as it would with an unavailable platform.
func (d *dispatcherDuty) write(a dispatcher.Action, r journal.Request) {
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
	ev := eventOf(journal.Reply{Kind: r.Kind, Ref: r.Ref, Token: r.Claim.Token, Status: status})
	d.local = append(d.local, ev)
}

func (d *dispatcherDuty) reply(ref uint64, r reply) {
	if ch, ok := d.askers[ref]; ok {
		delete(d.askers, ref)
		ch <- r
	}
}

// call makes one endpoint call in a worker of the pool and posts its result.
func (d *dispatcherDuty) call(a dispatcher.Action) {
	ev := dispatcher.Event{Kind: dispatcher.CallEnded, Handle: a.Handle, Attempt: a.Attempt}
	if now := time.Now(); now.After(a.SendBy) || !now.Before(a.Deadline) {
		// The process was paused after the decision: the view may be outdated.
		ev.Kind = dispatcher.CallNotSent
	} else {
		res := d.do(a)
		ev.Result = &res
	}
	// The ring is closed only when the process ends.
	_ = d.results.Put(context.Background(), ev)
}

func (d *dispatcherDuty) do(a dispatcher.Action) (res structs.EndpointResult) {
	defer func() {
		if p := recover(); p != nil {
			res = structs.EndpointResult{Kind: structs.EndpointBroken, Detail: fmt.Sprintf("panic: %v", p)}
			d.log.Error("endpoint call panicked", "vm", a.VM.ID, "panic", p)
		}
	}()
	ctx, cancel := context.WithDeadline(d.calls, a.Deadline)
	defer cancel()
	res = d.endpoints.Do(ctx, a.Request, a.VM, a.Legacy, a.Attempt)
	if res.RequestID != "" && res.RequestID != a.Request.ID {
		// An answer to another request proves nothing about this one.
		d.log.Error("answer belongs to another request", "vm", a.VM.ID, "want", a.Request.ID, "got", res.RequestID)
		res = structs.EndpointResult{Kind: structs.EndpointBroken, Detail: "answer to another request"}
	}
	return res
}

// journalReplied is called by the journal's duty.
func (d *dispatcherDuty) journalReplied(r journal.Reply) {
	if r.Kind == journal.Surrender {
		return
	}
	_ = d.results.Put(context.Background(), eventOf(r))
}

func eventOf(r journal.Reply) dispatcher.Event {
	h := dispatcher.Handle(r.Ref)
	if r.Kind != journal.Claim {
		return dispatcher.Event{Kind: dispatcher.FinishReplied, Handle: h}
	}
	return dispatcher.Event{Kind: dispatcher.ClaimReplied, Handle: h, Claim: dispatcher.ClaimResult{
		Kind: claimKind(r.Status), Token: r.Token, Version: r.Version, MayExist: r.MayExist, Answer: r.Answer,
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
