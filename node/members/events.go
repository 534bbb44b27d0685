package members

import (
	"time"

	"github.com/carobwharf/carobwharf/membership"
	"github.com/carobwharf/carobwharf/structs"
)

// event is an input of the duty. Events are queued in the duty's ring.
type event interface {
	apply(d *Duty, now time.Time)
}

// heartbeatReceived is a heartbeat from a peer. The answer is sent to reply.
type heartbeatReceived struct {
	message membership.Message
	reply   chan membership.Message // capacity 1
}

func (e heartbeatReceived) apply(d *Duty, now time.Time) {
	d.view.Receive(now, e.message)
	d.reportNewerConfig(e.message)
	e.reply <- d.view.Message(e.message.From.Member.ID)
}

// heartbeatResult is the result of a heartbeat that this process sent.
type heartbeatResult struct {
	to      string // ID of the member; empty if only its address is known
	message membership.Message
	err     error
}

func (e heartbeatResult) apply(d *Duty, now time.Time) {
	if e.err == nil {
		d.opts.Metrics.Counter("members.answered").Inc(1)
		d.joined = true
		d.view.Answered(now, e.message)
		d.reportNewerConfig(e.message)
		return
	}
	d.opts.Metrics.Counter("members.unanswered").Inc(1)
	d.opts.Log.Debug("heartbeat failed", "to", e.to, "error", e.err)
	if e.to != "" {
		d.view.Unanswered(e.to)
	}
}

// rowExchangeResult is the result of writing and reading the member rows.
type rowExchangeResult struct {
	members []structs.Member
	err     error
}

func (e rowExchangeResult) apply(d *Duty, _ time.Time) {
	d.exchangingRows = false
	if e.err != nil {
		d.opts.Log.Debug("writing or reading member rows failed", "error", e.err)
		return
	}
	d.peerRows = e.members
	d.joined = d.joined || (len(d.peerRows) == 0 && len(d.opts.Seeds) == 0)
	if !d.registered {
		d.registered = true
		close(d.registeredCh)
	}
}

// configApplied reports which configuration is in force in this process.
type configApplied struct {
	generation uint64
	hash       string
}

func (e configApplied) apply(d *Duty, _ time.Time) { d.view.SetConfig(e.generation, e.hash) }

// dumpRequest asks for the duty's state.
type dumpRequest struct{ reply chan State }

func (e dumpRequest) apply(d *Duty, _ time.Time) {
	e.reply <- State{Self: d.view.Self(), Health: d.view.Health(), Members: d.view.All(), Ring: d.events.Stats()}
}
