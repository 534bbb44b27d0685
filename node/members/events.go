package members

import (
	"time"

	"github.com/carobwharf/carobwharf/membership"
	"github.com/carobwharf/carobwharf/structs"
)

// event is a value on the duty's ring.
type event interface {
	apply(d *Duty, now time.Time)
}

// received is a heartbeat from a peer; the answer goes to reply.
type received struct {
	message membership.Message
	reply   chan membership.Message // capacity 1
}

func (e received) apply(d *Duty, now time.Time) {
	d.view.Receive(now, e.message)
	d.noteConfig(e.message)
	e.reply <- d.view.Message(e.message.From.Member.ID)
}

// answered is the result of a heartbeat of this process.
type answered struct {
	to      string // ID of the member; empty for an address of unknown owner
	message membership.Message
	err     error
}

func (e answered) apply(d *Duty, now time.Time) {
	if e.err == nil {
		d.opts.Metrics.Counter("members.answered").Inc(1)
		d.joined = true
		d.view.Answered(now, e.message)
		d.noteConfig(e.message)
		return
	}
	d.opts.Metrics.Counter("members.unanswered").Inc(1)
	d.opts.Log.Debug("heartbeat failed", "to", e.to, "error", e.err)
	if e.to != "" {
		d.view.Unanswered(e.to)
	}
}

// rowsRead is the result of an exchange of rows with the platform.
type rowsRead struct {
	members []structs.Member
	err     error
}

func (e rowsRead) apply(d *Duty, _ time.Time) {
	d.rowBusy = false
	if e.err != nil {
		d.opts.Log.Debug("member rows not exchanged", "error", e.err)
		return
	}
	d.rows = e.members
	d.joined = d.joined || (len(d.rows) == 0 && len(d.opts.Seeds) == 0)
	if !d.registered {
		d.registered = true
		close(d.written)
	}
}

// configured says which configuration is in force in this process.
type configured struct {
	generation uint64
	hash       string
}

func (e configured) apply(d *Duty, _ time.Time) { d.view.SetConfig(e.generation, e.hash) }

// dumped asks for the duty's state.
type dumped struct{ reply chan State }

func (e dumped) apply(d *Duty, _ time.Time) {
	e.reply <- State{Self: d.view.Self(), Health: d.view.Health(), Members: d.view.All(), Ring: d.events.Stats()}
}
