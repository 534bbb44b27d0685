package machine

import (
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// maxStartAttempts is the number of start calls without effect after which a
// job goes to another worker.
const maxStartAttempts = 3

// handleCallResult processes the result of a call to a worker.
func (m *Machine) handleCallResult(now time.Time, e CallResult) {
	j := m.jobs[e.Call.Job]
	if j == nil || !j.calling {
		return
	}
	j.calling = false
	m.markDirty(j)
	if e.Call.Token != j.row.Token || j.row.State != structs.JobRunning {
		return // the call was for an earlier run
	}
	switch e.Outcome {
	case OutcomeDone:
		m.applyCallResult(now, j, e)
	case OutcomeFenced:
		j.needsRead, j.fencedToken = true, e.Call.Token
	case OutcomeNoCapacity:
		m.handleNoCapacity(now, j, e.Call)
	case OutcomeNotFound:
		if e.Call.Kind == CallStop {
			j.closedToken = e.Call.Token // the worker refuses later starts
		}
		if e.Call.Kind == CallStart {
			m.requeueUnstarted(now, j)
		} else {
			m.handleRunEnd(now, j, placement.Report{Kind: placement.ReportStopped, Job: j.id(), Token: e.Call.Token})
		}
	default:
		m.retryCall(now, j, e)
	}
}

// retryCall repeats a call after the retry delay, or returns the job to the
// queue after maxStartAttempts start calls without effect. Calls are idempotent
// for a given token.
func (m *Machine) retryCall(now time.Time, j *job, e CallResult) {
	if e.Call.Kind == CallStart && e.Outcome == OutcomeNotApplied {
		if j.startAttempts++; j.startAttempts >= maxStartAttempts {
			m.requeueUnstarted(now, j)
			return
		}
	}
	j.retryAt = now.Add(m.cfg.RetryDelay)
	if j.leavesOpenRun() {
		// The next run waits for this call; its lease has not begun.
		m.report(now, j, placement.Report{Kind: placement.ReportRunning, Job: j.id(), Token: j.desired.Token})
		return
	}
	if j.desired.Token == e.Call.Token && !j.hasPendingStop() {
		j.pendingCalls = append([]Call{{Kind: e.Call.Kind, MilliCores: e.Call.MilliCores}}, j.pendingCalls...)
	}
}

func (j *job) hasPendingStop() bool {
	return len(j.pendingCalls) > 0 && (j.pendingCalls[0].Kind == CallStop || j.pendingCalls[0].Kind == CallCheckpoint)
}

func (m *Machine) handleNoCapacity(now time.Time, j *job, c Call) {
	if c.Kind == CallStart {
		m.requeueUnstarted(now, j)
	}
}

func (m *Machine) applyCallResult(now time.Time, j *job, e CallResult) {
	if e.Run.State == RunRunning {
		switch e.Call.Kind {
		case CallStart, CallRenew:
			j.started, j.renewAt = true, e.Sent.Add(m.cfg.TaskLease/3)
			m.scheduleWakeup(j, j.renewAt)
		case CallThrottle:
			m.report(now, j, placement.Report{Kind: placement.ReportThrottled, Job: j.id(), Token: e.Run.Token})
		case CallStop, CallCheckpoint: // not expected after a stop; repeat the call
			m.retryCall(now, j, e)
		}
	}
	m.applyRunState(now, j, e.Run)
}

// handleUsage processes the usage report, which lags behind the workers. Runs
// whose token is not the row's are ignored.
func (m *Machine) handleUsage(now time.Time, e UsageResult) {
	m.readingUsage = false
	if e.Failed {
		return
	}
	for _, r := range e.Runs {
		if j := m.jobs[r.Job]; j != nil {
			m.applyRunState(now, j, r)
		}
	}
}

// applyRunState processes the state of a run as its worker reports it. Only the
// run that the row names is considered. Every state except running is final.
func (m *Machine) applyRunState(now time.Time, j *job, r Run) {
	if r.Token != j.row.Token || j.row.State != structs.JobRunning || j.desired.State == structs.JobDone {
		return
	}
	if r.State != RunRunning {
		j.closedToken = r.Token
	}
	report := placement.Report{Job: j.id(), Token: r.Token, Used: j.peakUsage, Ran: r.Ran, Progress: r.Checkpoint}
	switch r.State {
	case RunRunning:
		used := placement.Size{MilliCores: max(r.MilliCores, j.peakUsage.MilliCores), MemoryMB: max(r.MemoryMB, j.peakUsage.MemoryMB)}
		j.peakUsage = used
		report.Kind, report.Used = placement.ReportRunning, used
		m.report(now, j, report)
	case RunDone:
		report.Kind = placement.ReportFinished
		m.handleRunEnd(now, j, report)
	case RunFailed:
		report.Kind = placement.ReportFailed
		m.handleRunEnd(now, j, report)
	default:
		report.Kind = placement.ReportCheckpointed
		m.handleRunEnd(now, j, report)
	}
}

// report passes a report to the scheduler and returns whether it was accepted:
// the scheduler rejects reports about runs that it no longer tracks.
func (m *Machine) report(now time.Time, j *job, r placement.Report) bool {
	return j.pool.scheduler.Report(r, now) == nil
}

// handleRunEnd processes the end of the run that the row names.
func (m *Machine) handleRunEnd(now time.Time, j *job, r placement.Report) {
	m.markDirty(j)
	accepted := m.report(now, j, r)
	j.pool.dirty = true
	j.desired.Progress = max(j.desired.Progress, r.Progress)
	switch {
	case r.Kind == placement.ReportFinished:
		if !accepted {
			j.pool.scheduler.Drop(j.id())
		}
		j.desired.Token, j.desired.Starts = j.row.Token, j.row.Starts // a later run was not started
		m.endJob(j, structs.JobDone, "")
		return
	case j.desired.Token != r.Token || j.desired.State != structs.JobRunning:
		return // the scheduler has already decided on a later run
	}
	if r.Kind == placement.ReportFailed {
		j.desired.Failures++
	}
	m.requeue(j)
}

// requeueUnstarted returns a job to the queue whose worker did not accept its
// run.
func (m *Machine) requeueUnstarted(now time.Time, j *job) {
	m.markDirty(j)
	j.pool.dirty = true
	if j.pool.scheduler.Requeue(j.id(), j.row.Token, now) && j.desired.Token == j.row.Token {
		m.requeue(j)
	}
}

// requeue makes the job wait again, without a worker or pending calls.
func (m *Machine) requeue(j *job) {
	j.desired.State, j.desired.Worker = structs.JobQueued, ""
	j.pendingCalls, j.started = nil, false
}
