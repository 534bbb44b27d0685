package pools

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// Calls to workers.
const (
	// holdTimeout is how long a hold may take beyond its wait.
	holdTimeout = 600 * time.Millisecond
)

// operateBeyond is how long an owner that can't renew its lease goes on, so
// that an outage of the store does not end running jobs. It is longer than
// most outages; knowsCancellations bounds the starts in it. A successor fences the workers that it reaches, and waits for
// the others by as much longer.
const operateBeyond = 5 * time.Second

func (d *Duty) now() time.Time { return steady.Now() }

// drive does what is due for a pool and returns when more is.
func (d *Duty) drive(ctx context.Context, now time.Time, p *pool) time.Time {
	wake := now.Add(idleWake)
	if p.State != holder.Held {
		return wake
	}
	if (p.machine == nil || p.missed) && d.followed && !p.loading && !now.Before(p.loadAt) {
		d.load(ctx, p)
	}
	if p.machine != nil && p.ValidWithin(now, operateBeyond) {
		d.step(ctx, now, p)
		if p.machine == nil {
			return now
		}
		if at := p.machine.Wake(); !at.IsZero() {
			wake = times.Earlier(wake, at)
		}
	}
	return times.Earlier(wake, d.write(ctx, now, p))
}

// step lets the machine decide and carries its orders out.
func (d *Duty) step(ctx context.Context, now time.Time, p *pool) {
	events := p.events
	p.events = nil
	if !p.Valid(now) {
		events, p.events = withoutNewJobs(events)
	}
	p.machine.Pause(!d.knowsCancellations(now, p))
	for _, a := range p.machine.Step(now, time.Now().UnixMilli(), events...) {
		d.carryOut(ctx, p, a)
		if p.machine == nil {
			return
		}
	}
}

// cancelMargin is left of the bound on starts after a cancellation for the
// time between the check and the start.
const cancelMargin = 400 * time.Millisecond

// knowsCancellations reports whether a pool's jobs were read recently enough to
// start tasks: of a job that was cancelled since, none may start later than
// the bound.
func (d *Duty) knowsCancellations(now time.Time, p *pool) bool {
	return d.Bounds.CancelWithin == 0 || now.Sub(p.read) < d.Bounds.CancelWithin-cancelMargin
}

// withoutNewJobs takes jobs that are new out of the events, with their
// cancellations. An owner whose lease has ended must not start them: a
// successor may know them already, and has no reason to wait before it starts
// them itself. Jobs that were recovered stay: without them their runs would be
// taken for unwanted ones.
func withoutNewJobs(events []engine.Event) (rest, later []engine.Event) {
	held := map[string]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case engine.JobSeen:
			if !e.Recovered {
				held[e.Submission.ID] = true
				later = append(later, e)
				continue
			}
		case engine.CancelSeen:
			if held[e.Job] {
				later = append(later, e)
				continue
			}
		}
		rest = append(rest, e)
	}
	return rest, later
}

func (d *Duty) carryOut(ctx context.Context, p *pool, a engine.Action) {
	name, token := p.Name, p.Control.Token
	reply := func(e engine.Event) { d.post(ctx, answered{pool: name, token: token, event: e}) }
	switch a := a.(type) {
	case engine.Hold:
		w := d.dial(a.Target)
		d.calls.Go(func() {
			sent := steady.Now()
			report, result, err := w.Hold(ctx, a, holdTimeout)
			d.note("hold", result, err, a.Life.ID)
			reply(engine.HoldAnswered{Worker: a.Life, Sent: sent, Result: result, Report: report})
		})
	case engine.Start:
		w := d.dial(a.Target)
		d.Metrics.Counter("pools.starts").Inc(1)
		d.calls.Go(func() {
			result, err := w.Start(ctx, a)
			d.note("start", result, err, a.Life.ID)
			reply(engine.StartAnswered{Worker: a.Life, Task: a.Task, Attempt: a.Attempt, Result: result})
		})
	case engine.Stop:
		w := d.dial(a.Target)
		d.calls.Go(func() {
			result, err := w.Stop(ctx, a)
			d.note("stop", result, err, a.Life.ID)
			reply(engine.StopAnswered{Worker: a.Life, Task: a.Task, Attempt: a.Attempt, Result: result})
		})
	case engine.Pace:
		w := d.dial(a.Target)
		d.calls.Go(func() {
			result, err := w.Pace(ctx, a)
			d.note("pace", result, err, a.Life.ID)
			reply(engine.PaceAnswered{Worker: a.Life, Task: a.Task, Attempt: a.Attempt, Percent: a.Percent, Result: result})
		})
	case engine.Advise:
		d.advise(ctx, a, reply)
	case engine.Decision:
		d.Log.Info(a.What, "pool", name, "token", token, "job", a.Job, "task", a.Task, "run", a.Attempt, "worker", a.Worker, "why", a.Why)
	case engine.Deposed:
		d.Log.Warn("a worker follows a later owner", "pool", name, "token", token, "worker", a.Worker)
		p.Drop(d.now())
		p.forget()
	}
}

// note counts the result of a call to a worker and logs why one failed.
func (d *Duty) note(call string, result engine.Result, err error, worker string) {
	d.Metrics.Counter("pools." + call + "." + result.String()).Inc(1)
	if err != nil {
		d.Log.Debug("call to a worker failed", "call", call, "worker", worker, "result", result.String(), "error", err)
	}
}

// AdviceTimeout bounds a call to the placement policy, which names up to 30
// workers and may wait for 32 others.
const AdviceTimeout = 3 * time.Second

func (d *Duty) advise(ctx context.Context, a engine.Advise, reply func(engine.Event)) {
	e := engine.AdviceAnswered{Job: a.Job, Occurrence: a.Occurrence, Step: a.Step, Asked: a.Workers}
	d.calls.Go(func() {
		if d.Policy == nil {
			d.Log.Warn("a queue needs a placement policy, and there is none", "job", a.Job)
			reply(e)
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, AdviceTimeout)
		defer cancel()
		var err error
		if e.Tickets, e.Valid, err = d.Policy.Advise(callCtx, a); err != nil {
			d.Log.Info("placement policy did not answer", "job", a.Job, "error", err)
		}
		e.OK = err == nil
		reply(e)
	})
}

// write stores what is due: the lease's renewal, what the pool's workers do, and
// the progress of jobs. It returns when it wants to be called again.
func (d *Duty) write(ctx context.Context, now time.Time, p *pool) time.Time {
	if p.Writing() {
		return now.Add(idleWake)
	}
	renewAt, loadAt, appendAt := d.writeTimes(now, p)
	if at := times.Earlier(renewAt, times.Earlier(loadAt, appendAt)); now.Before(at) {
		return at
	}
	renews := !now.Before(renewAt)
	var more []store.Op
	if p.machine != nil {
		more = d.collect(now, p, renews || !now.Before(loadAt))
	}
	if !renews {
		d.commit(ctx, p, p.Append(now, more))
		return now.Add(idleWake)
	}
	c := p.Control
	if p.machine != nil {
		c.Waiting, c.Queues = p.machine.Waiting(), workQueues(p.machine.OpenQueues())
	}
	w := p.Renew(now, c, d.leaving)
	w.More = more
	d.commit(ctx, p, w)
	return now.Add(idleWake)
}

// workQueues returns the names of queues in the parts of the work table.
func workQueues(queues []workload.Queue) []string {
	names := make([]string, len(queues))
	for i, q := range queues {
		names[i] = store.WorkQueue(q.Host, q.Prefix)
	}
	slices.Sort(names)
	return names
}

// writeTimes returns when the lease row, the load row and progress are to be
// written.
func (d *Duty) writeTimes(now time.Time, p *pool) (renewAt, loadAt, appendAt time.Time) {
	loadAt, appendAt = now.Add(idleWake), now.Add(idleWake)
	if d.leaving {
		return p.RenewAt(flushGap), loadAt, appendAt
	}
	renewAt = p.RenewAt(0)
	if p.machine == nil {
		return renewAt, loadAt, appendAt
	}
	switch {
	case p.machine.HasNews():
		loadAt = p.AppendAt(flushGap)
	case p.machine.LoadGrown():
		loadAt = p.AppendAt(loadGap)
	}
	switch {
	case p.machine.Urgent():
		appendAt = p.AppendAt(flushGap)
	case p.machine.Dirty():
		appendAt = p.AppendAt(lazyFlushGap)
	}
	return renewAt, loadAt, appendAt
}

// collect returns the rows that the machine wants stored, with the load row if
// that is due and has changed.
func (d *Duty) collect(now time.Time, p *pool, withLoad bool) []store.Op {
	p.batch = p.machine.Collect(flushJobs, withLoad)
	ops := d.encode(p)
	if !withLoad {
		return ops
	}
	value, err := rows.EncodeLoad(rows.Load{Engaged: p.batch.Engaged, Status: p.machine.Status(now)})
	switch {
	case err != nil:
		d.Log.Error("load can't be encoded", "pool", p.Name, "error", err)
	case !bytes.Equal(value, p.load):
		p.writes = value
		ops = append(ops, store.Op{Kind: store.OpPut, Key: store.KeyLoad(p.Name), Value: value})
	}
	return ops
}

func (d *Duty) encode(p *pool) []store.Op {
	ops := make([]store.Op, 0, len(p.batch.Jobs))
	for id, progress := range p.batch.Jobs {
		value, err := rows.EncodeProgress(progress)
		if err != nil {
			d.Log.Error("progress can't be encoded", "job", id, "error", err)
			continue
		}
		ops = append(ops, store.Op{Kind: store.OpPut, Key: store.KeyProgress(p.Name, id), Value: value})
	}
	return ops
}
