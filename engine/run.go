package engine

import (
	"fmt"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/workload"
)

// handleEnds processes the ends that have not been processed yet.
func (m *Scheduler) handleEnds(now time.Time, w *worker, ends []EndReport) {
	for _, e := range ends {
		if e.Number <= w.lastEndProcessed {
			continue
		}
		w.lastEndProcessed = e.Number
		if m.unknownJob(e.Task.Job) {
			w.heldEnds = append(w.heldEnds, e)
			continue
		}
		if t := m.reportedTask(now, e.Task); t != nil {
			m.handleEnd(now, w, t, e)
		}
	}
}

func (m *Scheduler) handleEnd(now time.Time, w *worker, t *task, e EndReport) {
	j := t.step.occ.job
	r := t.findRun(w, e.Attempt)
	w.unstoredEnds = append(w.unstoredEnds, unstoredEnd{number: e.Number, job: j})
	t.lastAttempt = max(t.lastAttempt, e.Attempt)
	var started time.Time
	if r != nil {
		started = r.startSent
		m.removeRun(now, r)
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	j.dirty = true
	if t.done || j.state.Ended() {
		return
	}
	if e.Reason != EndDone {
		m.recordReportedEnd(t, w)
	}
	switch e.Reason {
	case EndDone:
		m.handleDone(now, t, w, started)
	case EndFailed:
		if !slices.Contains(t.countedFailures, e.Attempt) {
			t.recordFailure(e.Attempt)
			m.handleFailure(now, t, w, e.Attempt, started)
		}
	default:
		m.logDecision("run-ended", string(e.Reason), t, w, e.Attempt)
	}
}

// handleDone handles the end of a run that was ordered at started; zero: unknown.
func (m *Scheduler) handleDone(now time.Time, t *task, w *worker, started time.Time) {
	if t.step.spec.Gang {
		for _, member := range t.step.tasks {
			member.markDone()
		}
	}
	t.markDone()
	if t.step.openTasks == 0 {
		m.needsPlacement = true // steps that depend on this one
		m.toClose = append(m.toClose, t.step.occ.job)
	}
	m.recordSuccess(now, t.step, w, started)
	for _, other := range t.runs {
		m.stopRun(other, "another run is done")
	}
}

// handleFailure handles the failure of a run that was ordered at started; zero: unknown.
func (m *Scheduler) handleFailure(now time.Time, t *task, w *worker, attempt int, started time.Time) {
	j := t.step.occ.job
	t.failures++
	m.logDecision("run-failed", fmt.Sprintf("failure %d of the task", t.failures), t, w, attempt)
	if n := t.failedAttempts(); !t.step.spec.LongRunning && n >= max(1, j.queue.MaxAttempts) {
		m.endJob(j, workload.Failed, fmt.Sprintf("task %s failed %d times", t.id, n))
	}
	if t.step.spec.LongRunning {
		t.delayRestart(now)
	}
	m.recordTaskFailure(now, t, w, started)
}

// reconcileRuns compares the runs that the worker reports with those that this
// owner has recorded.
func (m *Scheduler) reconcileRuns(now time.Time, w *worker, e HoldAnswered) {
	reported := make(map[*run]bool, len(w.runs))
	formerUnknown := w.unknownRuns
	w.unknownRuns = nil
	for _, report := range e.Report.Running {
		if m.unknownJob(report.Task.Job) {
			w.unknownRuns = append(w.unknownRuns, report)
			continue
		}
		if r := m.reconcileRun(now, w, report); r != nil {
			reported[r] = true
		}
	}
	if e.Report.MoreEnds {
		w.keepUnlisted(formerUnknown, e.Report)
		return
	}
	for _, r := range slices.Clone(w.runs) {
		if !reported[r] {
			m.reconcileMissing(now, w, r, e)
		}
	}
}

// stopUnwanted stops a run of a job that has ended or does not exist.
func (m *Scheduler) stopUnwanted(w *worker, report RunReport) {
	m.emit(Decision{What: "run-unwanted", Job: report.Task.Job, Task: report.Task.String(), Worker: w.ID, Attempt: report.Attempt, Why: "its job has ended"})
	m.emit(Stop{Target: w.target(), Token: m.cfg.Token, Task: report.Task, Attempt: report.Attempt})
}

// adoptRun records a run that a former owner or a late order started.
func (m *Scheduler) adoptRun(now time.Time, t *task, w *worker, report RunReport) *run {
	r := &run{task: t, attempt: report.Attempt, worker: w, state: running, startSent: now, confirmedAt: now, lastProgress: now, speedLimit: 100}
	surplus := t.done || t.step.occ.job.state.Ended() || len(t.runs) > 0 && !t.step.spec.Speculative
	m.addRun(r)
	t.lastAttempt = max(t.lastAttempt, report.Attempt)
	t.runAdopted = true
	m.logDecision("run-adopted", "listed by the worker", t, w, report.Attempt)
	if surplus {
		m.stopRun(r, "the task is done or runs elsewhere")
	}
	return r
}

func (m *Scheduler) addRun(r *run) {
	if r.task.isIdle() {
		r.task.step.idleTasks--
	}
	r.task.runs = append(r.task.runs, r)
	r.task.step.occ.begun = true
	r.worker.runs = append(r.worker.runs, r)
	r.worker.used = r.worker.used.Plus(r.task.step.demand())
	if r.task.step.spec.BestEffort {
		r.worker.bestEffortRuns++
	}
	r.task.step.runsPerWorker[r.worker.ID]++
}

func (m *Scheduler) updateRun(now time.Time, r *run, report RunReport) {
	if r.state == starting || r.state == unconfirmed {
		r.state, r.confirmedAt = running, now
	}
	if report.Percent != r.percent {
		r.percent, r.lastProgress = report.Percent, now
	}
	if r.readyAt.IsZero() && r.percent >= 100 {
		r.readyAt = now
	}
	r.load = report.Load
	if report.Checkpoint != "" {
		r.task.checkpoint = report.Checkpoint
	}
	if j := r.task.step.occ.job; j.state == workload.Queued {
		j.state, j.dirty = workload.Running, true
	}
}

// reconcileMissing resolves the state of a run that the worker does not report.
func (m *Scheduler) reconcileMissing(now time.Time, w *worker, r *run, e HoldAnswered) {
	switch {
	case !r.confirmedAt.IsZero() && r.confirmedAt.Before(e.Sent):
		m.logDecision("run-vanished", "the worker lists neither the run nor its end", r.task, w, r.attempt)
	case r.confirmedAt.IsZero() && r.state != starting && e.Report.Clock > r.startDeadline && r.startSent.Before(e.Sent):
		m.logDecision("run-not-started", "its deadline has passed at the worker", r.task, w, r.attempt)
	case !r.stopAcked.IsZero() && r.stopAcked.Before(e.Sent):
		// The stop arrived before the start and forbids the run.
	case r.state == unconfirmed && !e.Sent.Before(r.timedOutAt):
		// A stop resolves the run at once, whereas its deadline may be more than a
		// second away.
		m.stopRun(r, "its start had no answer, and the worker does not list it")
		return
	default:
		return
	}
	m.recordReportedEnd(r.task, w)
	m.removeRun(now, r)
}

func (m *Scheduler) handleStartAnswer(now time.Time, e StartAnswered) {
	w := m.findWorker(e.Worker)
	t := m.task(e.Task)
	if w == nil || t == nil {
		return
	}
	r := t.findRun(w, e.Attempt)
	if r == nil || r.state != starting && r.state != stopping {
		return
	}
	if e.Result != Unknown && e.Result != NotDelivered {
		w.unansweredOrders = 0
	}
	m.needsPlacement = m.needsPlacement || e.Result != OK
	switch e.Result {
	case OK:
		r.confirmedAt = now
		if r.state == starting {
			r.state, r.lastProgress = running, now
		}
		if j := t.step.occ.job; j.state == workload.Queued {
			j.state, j.dirty = workload.Running, true
		}
		return
	case Fenced:
		m.markSuperseded(w)
		return
	case Unknown:
		w.recordUnanswered(now)
		if r.state == starting {
			r.state, r.timedOutAt = unconfirmed, now
		}
		m.logDecision("start-unsettled", "no answer", t, w, e.Attempt)
		w.nextHold = now
		return
	case WrongWorker:
		m.markGone(now, w, "a start was answered by another life")
		return
	case OldRun:
		t.lastAttempt = max(t.lastAttempt, e.Attempt) + 1
	case NoRoom, Late:
		w.noRoomUntil = now.Add(refusalRetryDelay)
		w.nextHold = now
	case NoTicket:
		delete(t.step.tickets, w.ID)
	case NotDelivered:
		w.suspect = true
		w.nextHold = now
	case Unhealthy:
		w.unhealthyUntil = now.Add(unhealthyPause)
	case Invalid:
		t.notBefore = now.Add(time.Second)
		t.step.allFrom = t.notBefore
	}
	m.logDecision("start-refused", e.Result.String(), t, w, e.Attempt)
	m.removeRun(now, r)
}

// stopRun orders the worker to stop a run. Only superviseRuns repeats the
// order.
func (m *Scheduler) stopRun(r *run, why string) {
	if r.state == stopping {
		return
	}
	r.state, r.stopReason = stopping, why
	r.stopAnswered = time.Time{}
	m.sendStop(r)
}

func (m *Scheduler) sendStop(r *run) {
	m.logDecision("stop-run", r.stopReason, r.task, r.worker, r.attempt)
	m.emit(Stop{Target: r.worker.target(), Token: m.cfg.Token, Task: r.task.id, Attempt: r.attempt})
}

func (m *Scheduler) handleStopAnswer(now time.Time, e StopAnswered) {
	w, t := m.findWorker(e.Worker), m.task(e.Task)
	if w == nil {
		return
	}
	switch e.Result {
	case Fenced:
		m.markSuperseded(w)
		return
	case WrongWorker:
		m.markGone(now, w, "a stop was answered by another life")
		return
	}
	if t == nil {
		return
	}
	r := t.findRun(w, e.Attempt)
	if r == nil {
		return
	}
	r.stopAnswered = now
	switch e.Result {
	case OK:
		r.stopAcked, w.unansweredOrders = now, 0
		w.nextHold = times.Earlier(w.nextHold, now.Add(holdGap))
	case Unknown:
		w.recordUnanswered(now)
	case NotDelivered:
		w.suspect = true
	}
}
