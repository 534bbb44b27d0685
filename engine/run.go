package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/workload"
)

// takeEnds takes in the ends that have not been seen before.
func (m *Machine) takeEnds(now time.Time, w *worker, ends []EndReport) {
	for _, e := range ends {
		if e.Number <= w.seen {
			continue
		}
		w.seen = e.Number
		if t := m.task(e.Task); t != nil {
			m.end(now, w, t, e)
		}
	}
}

func (m *Machine) end(now time.Time, w *worker, t *task, e EndReport) {
	j := t.step.occ.job
	r := t.find(w, e.Attempt)
	t.lastRun = max(t.lastRun, e.Attempt)
	if r != nil {
		m.drop(now, r)
	}
	if e.Saved != "" {
		t.saved = e.Saved
	}
	j.dirty = true
	if t.done || j.state.Ended() {
		return
	}
	switch e.How {
	case EndDone:
		m.markDone(t, w)
	case EndFailed:
		if !slices.Contains(t.counted, e.Attempt) {
			t.count(e.Attempt)
			m.markFailed(now, t, w, e.Attempt)
		}
	default:
		m.decide("run-ended", string(e.How), t, w, e.Attempt)
	}
}

func (m *Machine) markDone(t *task, w *worker) {
	w.failures, w.quarantine = 0, 0
	clear(w.blames)
	if t.step.spec.Gang {
		for _, member := range t.step.tasks {
			member.finish()
		}
	}
	t.finish()
	for _, other := range t.runs {
		m.stop(other, "another run is done")
	}
}

func (m *Machine) markFailed(now time.Time, t *task, w *worker, attempt int) {
	j := t.step.occ.job
	t.fails++
	t.avoid = w.ID
	m.decide("run-failed", fmt.Sprintf("failure %d of the task", t.fails), t, w, attempt)
	if !t.step.spec.Lasting && t.fails >= max(1, j.queue.MaxAttempts) {
		m.endJob(j, workload.Failed, fmt.Sprintf("task %s failed %d times", t.id, t.fails))
	}
	m.blame(now, w, t)
}

// blame counts a failure against the worker. A task that failed elsewhere too
// is likely to be at fault itself.
func (m *Machine) blame(now time.Time, w *worker, t *task) {
	if t.fails > 1 && !w.blames[t.id.Job] || w.blames[t.id.Job] && t.step.spec.Lasting {
		return
	}
	w.blames[t.id.Job] = true
	w.failures++
	if w.failures < failuresInRow {
		return
	}
	w.quarantine = min(quarantineMost, max(quarantineFirst, 2*w.quarantine))
	w.out = now.Add(w.quarantine)
	m.decide("worker-quarantined", fmt.Sprintf("%d failures in a row, for %s", w.failures, w.quarantine), t, w, 0)
}

// takeRunning compares what the worker says that it runs with what this owner
// believes.
func (m *Machine) takeRunning(now time.Time, w *worker, e HoldAnswered) {
	listed := make(map[*run]bool, len(w.runs))
	for _, seen := range e.Report.Running {
		t := m.task(seen.Task)
		if t == nil {
			m.stopUnknown(w, seen)
			continue
		}
		r := t.find(w, seen.Attempt)
		if r == nil {
			r = m.adopt(now, t, w, seen)
		}
		listed[r] = true
		m.observe(now, r, seen)
	}
	for _, r := range slices.Clone(w.runs) {
		if !listed[r] {
			m.missing(now, w, r, e)
		}
	}
}

// stopUnknown ends a run of a job that has ended or was never accepted.
func (m *Machine) stopUnknown(w *worker, seen RunReport) {
	m.emit(Decision{What: "run-unwanted", Job: seen.Task.Job, Task: seen.Task.String(), Worker: w.ID, Attempt: seen.Attempt, Why: "its job has ended"})
	m.emit(Stop{Target: w.target(), Token: m.cfg.Token, Task: seen.Task, Attempt: seen.Attempt})
}

// adopt takes over a run that another owner or a late order started.
func (m *Machine) adopt(now time.Time, t *task, w *worker, seen RunReport) *run {
	r := &run{task: t, attempt: seen.Attempt, worker: w, state: running, sent: now, acked: now, percentAt: now, pace: 100}
	surplus := t.done || t.step.occ.job.state.Ended() || len(t.runs) > 0 && !t.step.spec.Copies
	m.attach(r)
	t.lastRun = max(t.lastRun, seen.Attempt)
	t.known = true
	m.decide("run-adopted", "listed by the worker", t, w, seen.Attempt)
	if surplus {
		m.stop(r, "the task is done or runs elsewhere")
	}
	return r
}

func (m *Machine) attach(r *run) {
	r.task.runs = append(r.task.runs, r)
	r.worker.runs = append(r.worker.runs, r)
	r.worker.taken = r.worker.taken.Plus(r.task.step.takes())
	r.task.step.perWorker[r.worker.ID]++
}

func (m *Machine) observe(now time.Time, r *run, seen RunReport) {
	if r.state == starting || r.state == unsettled {
		r.state, r.acked = running, now
	}
	if seen.Percent != r.percent {
		r.percent, r.percentAt = seen.Percent, now
	}
	r.load = seen.Load
	if seen.Saved != "" {
		r.task.saved = seen.Saved
	}
	if j := r.task.step.occ.job; j.state == workload.Queued {
		j.state, j.dirty = workload.Running, true
	}
}

// missing settles a run that the worker does not list.
func (m *Machine) missing(now time.Time, w *worker, r *run, e HoldAnswered) {
	switch {
	case !r.acked.IsZero() && r.acked.Before(e.Sent):
		m.decide("run-vanished", "the worker lists neither the run nor its end", r.task, w, r.attempt)
	case r.acked.IsZero() && r.state != starting && e.Report.Clock > r.deadline && r.sent.Before(e.Sent):
		m.decide("run-not-started", "its deadline has passed at the worker", r.task, w, r.attempt)
	case !r.stopAcked.IsZero() && r.stopAcked.Before(e.Sent):
		// The stop came first and forbids the run.
	case r.state == unsettled && !e.Sent.Before(r.unanswered):
		// A stop settles the run at once; its deadline is more than a second away.
		m.stop(r, "its start had no answer, and the worker does not list it")
		return
	default:
		return
	}
	m.drop(now, r)
}

func (m *Machine) started(now time.Time, e StartAnswered) {
	w := m.live(e.Worker)
	t := m.task(e.Task)
	if w == nil || t == nil {
		return
	}
	r := t.find(w, e.Attempt)
	if r == nil || r.state != starting && r.state != stopping {
		return
	}
	m.changed = true
	if e.Result != Unknown && e.Result != NotDelivered {
		w.silences = 0
	}
	switch e.Result {
	case OK:
		r.acked = now
		if r.state == starting {
			r.state, r.percentAt = running, now
		}
		if j := t.step.occ.job; j.state == workload.Queued {
			j.state, j.dirty = workload.Running, true
		}
		return
	case Fenced:
		m.depose(w)
		return
	case Unknown:
		w.unanswered()
		if r.state == starting {
			r.state, r.unanswered = unsettled, now
		}
		m.decide("start-unsettled", "no answer", t, w, e.Attempt)
		w.nextHold = now
		return
	case OtherLife:
		m.endLife(now, w, "a start was answered by another life")
		return
	case OldRun:
		t.lastRun = max(t.lastRun, e.Attempt) + 1
	case NoRoom, Late:
		w.noRoom = now.Add(retryAfterRefusal)
		w.nextHold = now
	case NoTicket:
		delete(t.step.tickets, w.ID)
	case NotDelivered:
		w.suspect = true
		w.nextHold = now
	case Unhealthy:
		w.out = now.Add(quarantineFirst)
	case Invalid:
		t.readyAt = now.Add(time.Second)
	}
	m.decide("start-refused", e.Result.String(), t, w, e.Attempt)
	m.drop(now, r)
}

// stop orders the end of a run. An order that has been sent is repeated only
// by watchRuns.
func (m *Machine) stop(r *run, why string) {
	if r.state == stopping {
		return
	}
	r.state, r.stopReason = stopping, why
	r.stopSent = time.Time{}
	m.sendStop(r)
}

func (m *Machine) sendStop(r *run) {
	m.decide("stop-run", r.stopReason, r.task, r.worker, r.attempt)
	m.emit(Stop{Target: r.worker.target(), Token: m.cfg.Token, Task: r.task.id, Attempt: r.attempt})
}

func (m *Machine) stopped(now time.Time, e StopAnswered) {
	w, t := m.live(e.Worker), m.task(e.Task)
	if w == nil {
		return
	}
	switch e.Result {
	case Fenced:
		m.depose(w)
		return
	case OtherLife:
		m.endLife(now, w, "a stop was answered by another life")
		return
	}
	if t == nil {
		return
	}
	r := t.find(w, e.Attempt)
	if r == nil {
		return
	}
	r.stopSent = now
	switch e.Result {
	case OK:
		r.stopAcked, w.silences = now, 0
		w.nextHold = times.Earlier(w.nextHold, now.Add(holdGap))
	case Unknown:
		w.unanswered()
	case NotDelivered:
		w.suspect = true
	}
}
