package pools

import (
	"bytes"
	"context"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/guard"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// leaseOverrun is how long an owner continues after its lease has ended without
// a renewal, so that an outage of the store does not end running jobs. It is
// longer than most outages. During the overrun, jobsAreCurrent limits for how
// long tasks are started. A successor fences the workers that it reaches, and
// waits longer by the same time for those that it does not.
const leaseOverrun = 5 * time.Second

func (d *Duty) now() time.Time { return steady.Now() }

// runPool does the work that is due for a pool and returns when it must be
// called again.
func (d *Duty) runPool(ctx context.Context, now time.Time, p *pool) time.Time {
	wake := now.Add(maxRunDueInterval)
	if p.State != holder.Held {
		return wake
	}
	if (p.engine == nil || p.missedChanges || len(p.unreadQueues) > 0) && d.workFollowed && !p.readingJobs && !now.Before(p.readJobsAt) {
		d.startReadJobs(ctx, p)
	}
	if p.engine != nil && p.ValidWithin(now, leaseOverrun) {
		d.stepEngine(ctx, now, p)
		if p.engine == nil {
			return now
		}
		if at := p.engine.Wake(); !at.IsZero() {
			wake = times.Earlier(wake, at)
		}
	}
	if p.engine != nil && p.Valid(now) {
		d.removeTombstones(ctx, now, p)
	}
	return times.Earlier(wake, d.writeDue(ctx, now, p))
}

// stepEngine passes the queued events to the engine and executes its actions.
func (d *Duty) stepEngine(ctx context.Context, now time.Time, p *pool) {
	events := p.events
	p.events = nil
	if !p.Valid(now) {
		events, p.events = splitNewJobs(events)
	}
	p.engine.SetLeaseValid(p.Valid(now))
	p.engine.Pause(!d.jobsAreCurrent(now, p))
	began := time.Now()
	actions := p.engine.Step(now, began.UnixMilli(), events...)
	d.load.recordStep(time.Since(began), len(events))
	for _, a := range actions {
		d.execute(ctx, p, a)
		if p.engine == nil {
			return
		}
	}
}

// cancelMargin is the part of CancelWithin that is reserved for the time between
// the check in jobsAreCurrent and the start of a task.
const cancelMargin = 400 * time.Millisecond

// jobsAreCurrent reports whether a pool's jobs were read recently enough to start
// tasks. No task of a cancelled job may start later than CancelWithin after the
// cancellation, and the owner does not know cancellations that are newer than
// the last read.
func (d *Duty) jobsAreCurrent(now time.Time, p *pool) bool {
	return d.Bounds.CancelWithin == 0 || now.Sub(p.jobsReadSent) < d.Bounds.CancelWithin-cancelMargin
}

// splitNewJobs separates the events of new jobs and of their cancellations from
// the others. An owner whose lease has ended must not start new jobs, because a
// successor may know them already and start them without delay. Recovered jobs
// are not deferred: without them the engine would stop their runs as unwanted.
func splitNewJobs(events []engine.Event) (remaining, deferred []engine.Event) {
	deferredJobs := map[workload.JobKey]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case engine.JobAdded:
			if !e.Recovered {
				deferredJobs[e.Submission.Key()] = true
				deferred = append(deferred, e)
				continue
			}
		case engine.CancelRequested:
			if deferredJobs[e.Job] {
				deferred = append(deferred, e)
				continue
			}
		}
		remaining = append(remaining, e)
	}
	return remaining, deferred
}

// execute starts the call that an action requires on a goroutine of callPool. Orders
// are not sent after their SendBy: the process may have been paused since they were
// decided, and a worker that has restarted meanwhile has seen no newer token.
// Decisions are logged. If a worker has seen the token of a later owner, the
// pool is given up.
func (d *Duty) execute(ctx context.Context, p *pool, a engine.Action) {
	switch a := a.(type) {
	case engine.Hold:
		w := d.workerClient(a.Target)
		d.load.holds.Inc(1)
		d.startCall(ctx, p, "hold", engine.HoldAnswered{Worker: a.Incarnation, Result: engine.Unknown}, func() engine.Event {
			e := engine.HoldAnswered{Worker: a.Incarnation, Sent: steady.Now(), Result: engine.NotDelivered}
			if e.Sent.After(a.SendBy) {
				return e
			}
			var err error
			e.Report, e.Result, err = w.Hold(ctx, a)
			d.recordCall("hold", e.Result, err, a.Incarnation.ID)
			return e
		})
	case engine.Start:
		w := d.workerClient(a.Target)
		d.load.starts.Inc(1)
		answer := engine.StartAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: engine.Unknown}
		d.startCall(ctx, p, "start", answer, func() engine.Event {
			e := answer
			if steady.Now().After(a.SendBy) {
				e.Result = engine.NotDelivered
				return e
			}
			var err error
			e.Result, err = w.Start(ctx, a)
			d.recordCall("start", e.Result, err, a.Incarnation.ID)
			return e
		})
	case engine.Stop:
		w := d.workerClient(a.Target)
		answer := engine.StopAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: engine.Unknown}
		d.startCall(ctx, p, "stop", answer, func() engine.Event {
			e := answer
			var err error
			e.Result, err = w.Stop(ctx, a)
			d.recordCall("stop", e.Result, err, a.Incarnation.ID)
			return e
		})
	case engine.Throttle:
		w := d.workerClient(a.Target)
		answer := engine.ThrottleAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Percent: a.Percent, Result: engine.Unknown}
		d.startCall(ctx, p, "pace", answer, func() engine.Event {
			e := answer
			var err error
			e.Result, err = w.Throttle(ctx, a)
			d.recordCall("pace", e.Result, err, a.Incarnation.ID)
			return e
		})
	case engine.Advise:
		failed := engine.AdviceAnswered{Job: a.Job, Occurrence: a.Occurrence, Step: a.Step, Asked: a.Workers}
		d.startCall(ctx, p, "advise", failed, func() engine.Event { return d.askPolicy(ctx, a, failed) })
	case engine.FindJobs:
		d.startFindJobs(ctx, p, a.IDs)
	case engine.Decision:
		d.Log.Info(a.What, "pool", p.Name, "token", p.Control.Token, "job", a.Job, "task", a.Task, "run", a.Attempt, "worker", a.Worker, "why", a.Why)
	case engine.Superseded:
		d.Log.Warn("giving up the pool: a worker has seen the token of a later owner", "pool", p.Name, "token", p.Control.Token, "worker", a.Worker)
		p.Drop(d.now())
		p.reset()
	}
}

// startCall runs a call on a goroutine of callPool and posts its answer, or failed if
// the call panics.
func (d *Duty) startCall(ctx context.Context, p *pool, call string, failed engine.Event, run func() engine.Event) {
	name, token := p.Name, p.Control.Token
	d.callPool.Go(func() {
		e := guard.Call(d.Log, call, failed, run)
		d.postResult(ctx, callAnswered{pool: name, token: token, event: e, answered: time.Now()})
	})
}

// recordCall counts the result of a call to a worker and logs the error of a
// failed one.
func (d *Duty) recordCall(call string, result engine.Result, err error, worker string) {
	d.Metrics.Counter("pools." + call + "." + result.String()).Inc(1)
	if err != nil {
		d.Log.Debug("call to a worker failed", "call", call, "worker", worker, "result", result.String(), "error", err)
	}
}

// AdviceTimeout is the timeout of a call to the placement policy. A call asks
// about up to 30 workers and may queue behind 32 others.
const AdviceTimeout = 3 * time.Second

// askPolicy calls the placement policy. e is the answer if the call fails.
func (d *Duty) askPolicy(ctx context.Context, a engine.Advise, e engine.AdviceAnswered) engine.AdviceAnswered {
	if d.Policy == nil {
		d.Log.Warn("a queue requires a placement policy, but none is configured", "job", a.Job)
		return e
	}
	ctx, cancel := context.WithTimeout(ctx, AdviceTimeout)
	defer cancel()
	tickets, valid, err := d.Policy.Advise(ctx, a)
	if err != nil {
		d.Log.Info("call to the placement policy failed", "job", a.Job, "error", err)
	}
	e.Tickets, e.Valid, e.OK = tickets, valid, err == nil
	return e
}

// writeDue starts a write of what is due: the renewal of the lease, the load
// row, and the progress of jobs. It returns when it must be called again.
func (d *Duty) writeDue(ctx context.Context, now time.Time, p *pool) time.Time {
	if p.Writing() {
		return now.Add(maxRunDueInterval)
	}
	renewAt, loadAt, appendAt := d.writeTimes(now, p)
	if at := times.Earlier(renewAt, times.Earlier(loadAt, appendAt)); now.Before(at) {
		return at
	}
	renew := !now.Before(renewAt)
	var ops []store.Op
	// An engine that is not stepped has not learned the outcome of its last batch.
	if p.engine != nil && p.ValidWithin(now, leaseOverrun) {
		ops = d.collectOps(now, p, renew || !now.Before(loadAt))
	}
	if !renew {
		d.startCommit(ctx, p, p.Append(now, ops))
		return now.Add(maxRunDueInterval)
	}
	c := p.Control
	if p.engine != nil {
		c.Waiting, c.Queues = p.engine.Waiting(), p.engine.OpenQueues()
	}
	w := p.Renew(now, c, d.releasing)
	w.ExtraOps = ops
	d.startCommit(ctx, p, w)
	return now.Add(maxRunDueInterval)
}

// writeTimes returns when the lease row, the load row and progress are due to be
// written.
func (d *Duty) writeTimes(now time.Time, p *pool) (renewAt, loadAt, appendAt time.Time) {
	loadAt, appendAt = now.Add(maxRunDueInterval), now.Add(maxRunDueInterval)
	if d.releasing {
		return p.RenewAt(urgentFlushInterval), loadAt, appendAt
	}
	renewAt = p.RenewAt(0)
	if p.engine == nil {
		return renewAt, loadAt, appendAt
	}
	switch {
	case p.engine.LoadRowUrgent():
		loadAt = p.AppendAt(urgentFlushInterval)
	case p.engine.LoadGrown():
		loadAt = p.AppendAt(loadWriteInterval)
	}
	switch {
	case p.engine.HasJobEnds():
		appendAt = p.AppendAt(urgentFlushInterval)
	case p.engine.Dirty():
		appendAt = p.AppendAt(flushInterval)
	}
	return renewAt, loadAt, appendAt
}

// collectOps returns the writes of the engine's next batch. With withLoad it
// adds the load row, if that has changed.
func (d *Duty) collectOps(now time.Time, p *pool, withLoad bool) []store.Op {
	p.pendingBatch = p.engine.Collect(maxFlushJobs, withLoad)
	ops := d.encodeProgress(p)
	if !withLoad {
		return ops
	}
	value, err := rows.EncodeLoad(rows.Load{Engaged: p.pendingBatch.Engaged, Status: p.engine.Status(now)})
	switch {
	case err != nil:
		d.Log.Error("can't encode load row", "pool", p.Name, "error", err)
	case !bytes.Equal(value, p.storedLoadRow):
		p.pendingLoadRow = value
		ops = append(ops, store.Op{Kind: store.OpPut, Key: store.KeyLoad(p.Name), Value: value})
	}
	return ops
}

// encodeProgress returns the writes of the progress rows of the pending batch.
func (d *Duty) encodeProgress(p *pool) []store.Op {
	ops := make([]store.Op, 0, len(p.pendingBatch.Jobs))
	for id, progress := range p.pendingBatch.Jobs {
		value, err := rows.EncodeProgress(progress)
		if err != nil {
			d.Log.Error("can't encode progress row", "job", id, "error", err)
			continue
		}
		ops = append(ops, store.Op{Kind: store.OpPut, Key: store.KeyProgress(p.Name, id), Value: value})
	}
	return ops
}
