package pools

import (
	"context"
	"strconv"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// Calls to workers.
const (
	// orderTimeout bounds an order. A worker answers in milliseconds.
	orderTimeout = 600 * time.Millisecond
	// holdTimeout is how long a hold may take beyond its wait.
	holdTimeout = 600 * time.Millisecond
)

func (d *Duty) now() time.Time { return steady.Now() }

func formatVersion(v uint64) string { return strconv.FormatUint(v, 10) }

// drive does what is due for a pool and returns when more is.
func (d *Duty) drive(ctx context.Context, now time.Time, p *pool) time.Time {
	wake := now.Add(idleWake)
	if p.state != loading && p.state != active {
		return wake
	}
	if p.state == loading && !now.Before(p.nextTry) {
		d.load(ctx, p)
	}
	if p.state == active && p.lease.Valid(now) {
		d.step(ctx, now, p)
		if p.state != active {
			return now
		}
		if at := p.machine.Wake(); !at.IsZero() {
			wake = minTime(wake, at)
		}
	}
	return minTime(wake, d.write(ctx, now, p))
}

// step lets the machine decide and carries its orders out.
func (d *Duty) step(ctx context.Context, now time.Time, p *pool) {
	events := p.events
	p.events = nil
	for _, a := range p.machine.Step(now, time.Now().UnixMilli(), events...) {
		d.carryOut(ctx, p, a)
		if p.machine == nil {
			return
		}
	}
}

func (d *Duty) carryOut(ctx context.Context, p *pool, a engine.Action) {
	name, token := p.name, p.control.Token
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
		p.drop()
		p.retryAt = d.now().Add(leaseTime)
	}
}

// note counts the result of a call to a worker and logs why one failed.
func (d *Duty) note(call string, result engine.Result, err error, worker string) {
	d.Metrics.Counter("pools." + call + "." + result.String()).Inc(1)
	if err != nil {
		d.Log.Debug("call to a worker failed", "call", call, "worker", worker, "result", result.String(), "error", err)
	}
}

// adviceTimeout bounds a call to the placement policy, which names up to 30
// workers and may wait for 32 others.
const adviceTimeout = 3 * time.Second

func (d *Duty) advise(ctx context.Context, a engine.Advise, reply func(engine.Event)) {
	e := engine.AdviceAnswered{Job: a.Job, Occurrence: a.Occurrence, Step: a.Step, Asked: a.Workers}
	d.calls.Go(func() {
		if d.Policy == nil {
			d.Log.Warn("a queue needs a placement policy, and there is none", "job", a.Job)
			reply(e)
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		var err error
		if e.Tickets, e.Valid, err = d.Policy.Advise(callCtx, a); err != nil {
			d.Log.Info("placement policy did not answer", "job", a.Job, "error", err)
		}
		e.OK = err == nil
		reply(e)
	})
}

// write stores what is due: the lease's renewal, and with it the progress of
// jobs. It returns when it wants to be called again.
func (d *Duty) write(ctx context.Context, now time.Time, p *pool) time.Time {
	if p.writing {
		return now.Add(idleWake)
	}
	at := d.writeAt(now, p)
	if now.Before(at) {
		return at
	}
	next := p.control
	next.SetLease(next.Record().Renewed(leaseTime))
	leaving := d.leaving != nil
	if leaving {
		next.Holder = ""
	}
	var ops []store.Op
	if p.machine != nil {
		p.batch = p.machine.Collect(flushJobs)
		next.Engaged, next.Status = p.batch.Engaged, p.machine.Status(now)
		ops = d.encode(p)
	}
	p.writing, p.lastWrite = true, now
	op := store.Op{Kind: store.OpUpdate, Key: store.KeyControl(p.name), Expect: p.version}
	r := written{pool: p.name, control: next, requested: now}
	d.stores.Go(func() {
		r.version, r.err = d.commitControl(ctx, next, op, ops)
		d.post(ctx, r)
	})
	return now.Add(idleWake)
}

// writeAt returns when the pool's next transaction is due.
func (d *Duty) writeAt(now time.Time, p *pool) time.Time {
	at := p.lastWrite.Add(leaseTime / 3)
	if p.machine != nil {
		switch {
		case p.machine.Urgent() || d.leaving != nil:
			at = p.lastWrite.Add(flushGap)
		case p.machine.Dirty():
			at = p.lastWrite.Add(lazyFlushGap)
		}
	}
	if at.Before(p.nextTry) && p.state == active {
		return p.nextTry
	}
	return at
}

func (d *Duty) encode(p *pool) []store.Op {
	ops := make([]store.Op, 0, len(p.batch.Jobs))
	for id, progress := range p.batch.Jobs {
		value, err := rows.EncodeProgress(progress)
		if err != nil {
			d.Log.Error("progress can't be encoded", "job", id, "error", err)
			continue
		}
		ops = append(ops, store.Op{Kind: store.OpPut, Key: store.KeyProgress(p.name, id), Value: value})
	}
	return ops
}

// writeRetry spaces transactions after one that failed.
const writeRetry = 100 * time.Millisecond

func (d *Duty) takeWrite(r written) {
	p := d.pools[r.pool]
	p.writing = false
	if p.state != loading && p.state != active || p.control.Token != r.control.Token {
		return
	}
	batch := p.batch
	p.batch = nil
	if r.err == nil {
		p.control, p.version, p.nextTry = r.control, r.version, time.Time{}
		p.lease = lease.Acquired(r.control.Record(), r.requested)
		if batch != nil {
			p.add(engine.Stored{Batch: batch, OK: true})
		}
		if r.control.Holder == "" {
			d.Log.Info("pool is released", "pool", p.name)
			p.drop()
		}
		return
	}
	if batch != nil {
		p.add(engine.Stored{Batch: batch})
	}
	p.nextTry = d.now().Add(writeRetry)
	if c, version, mine := d.own(r.err, p, p.control.Token); mine {
		p.control, p.version = c, version
		p.nextTry = time.Time{}
		return
	}
	if isConflict(r.err) {
		d.Log.Warn("pool has another owner", "pool", p.name, "token", p.control.Token)
		p.drop()
		return
	}
	d.Log.Warn("progress was not stored", "pool", p.name, "error", r.err)
}
