package machine

import (
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// startTries is how often a start that the worker did not take is repeated
// before the job goes to another worker.
const startTries = 3

// called takes the result of a call in.
func (m *Machine) called(now time.Time, e Called) {
	j := m.jobs[e.Call.Job]
	if j == nil || !j.calling {
		return
	}
	j.calling = false
	m.touch(j)
	if e.Call.Token != j.row.Token || j.row.State != structs.JobRunning {
		return // an older run
	}
	switch e.Outcome {
	case Done:
		m.observeCall(now, j, e)
	case Fenced:
		j.lost, j.fenced = true, true
	case NoRoom:
		m.noRoom(now, j, e.Call)
	case Missing:
		if e.Call.Kind == CallStart {
			m.bounce(now, j)
		} else {
			m.ended(now, j, placement.Report{Kind: placement.ReportStopped, Job: j.id(), Token: e.Call.Token})
		}
	default:
		m.repeat(now, j, e)
	}
}

// repeat makes a call again later. All calls are idempotent for one token.
func (m *Machine) repeat(now time.Time, j *job, e Called) {
	if e.Call.Kind == CallStart && e.Outcome == NotMade {
		if j.tries++; j.tries >= startTries {
			m.bounce(now, j)
			return
		}
	}
	j.retryAt = now.Add(m.cfg.Retry)
	if j.want.Token == e.Call.Token && !j.stopPending() {
		j.pending = append([]Call{{Kind: e.Call.Kind, MilliCores: e.Call.MilliCores}}, j.pending...)
	}
}

func (j *job) stopPending() bool {
	return len(j.pending) > 0 && (j.pending[0].Kind == CallStop || j.pending[0].Kind == CallCheckpoint)
}

func (m *Machine) noRoom(now time.Time, j *job, c Call) {
	if c.Kind == CallStart {
		m.bounce(now, j)
	}
}

func (m *Machine) observeCall(now time.Time, j *job, e Called) {
	if e.Run.State == RunRunning {
		switch e.Call.Kind {
		case CallStart, CallRenew:
			j.started, j.renewAt = true, e.Sent.Add(m.cfg.Lease/3)
			m.wakeAt(j, j.renewAt)
		case CallThrottle:
			m.report(now, j, placement.Report{Kind: placement.ReportThrottled, Job: j.id(), Token: e.Run.Token})
		case CallStop, CallCheckpoint: // must not happen; ask again
			m.repeat(now, j, e)
		}
	}
	m.observeRun(now, j, e.Run)
}

// usage takes the lagging usage report in. Runs with another token than that
// of the row say nothing about the job.
func (m *Machine) usage(now time.Time, e UsageSeen) {
	m.reading = false
	if e.Failed {
		return
	}
	for _, r := range e.Runs {
		if j := m.jobs[r.Job]; j != nil {
			m.observeRun(now, j, r)
		}
	}
}

// observeRun takes in what a worker says of a run. Only the run that the row
// names counts; each of its states but running is final.
func (m *Machine) observeRun(now time.Time, j *job, r Run) {
	if r.Token != j.row.Token || j.row.State != structs.JobRunning || j.want.State.Ended() {
		return
	}
	report := placement.Report{Job: j.id(), Token: r.Token, Used: j.peak, Ran: r.Ran, Progress: r.Checkpoint}
	switch r.State {
	case RunRunning:
		used := placement.Size{MilliCores: max(r.MilliCores, j.peak.MilliCores), MemoryMB: max(r.MemoryMB, j.peak.MemoryMB)}
		j.peak = used
		report.Kind, report.Used = placement.ReportRunning, used
		m.report(now, j, report)
	case RunDone:
		report.Kind = placement.ReportFinished
		m.ended(now, j, report)
	case RunFailed:
		report.Kind = placement.ReportFailed
		m.ended(now, j, report)
	default:
		report.Kind = placement.ReportCheckpointed
		m.ended(now, j, report)
	}
}

// report hands a report to the scheduler. It refuses those of a run that it
// has given up.
func (m *Machine) report(now time.Time, j *job, r placement.Report) bool {
	return j.pool.sched.Report(r, now) == nil
}

// ended takes the end of the run that the row names in.
func (m *Machine) ended(now time.Time, j *job, r placement.Report) {
	m.touch(j)
	known := m.report(now, j, r)
	j.pool.dirty = true
	switch {
	case r.Kind == placement.ReportFinished:
		if !known {
			j.pool.sched.Drop(j.id())
		}
		m.end(j, structs.JobDone, "")
		return
	case j.want.Token != r.Token || j.want.State != structs.JobRunning:
		return // a later run is decided already
	}
	if r.Kind == placement.ReportFailed {
		j.want.Failures++
	}
	if r.Progress > j.want.Progress {
		j.want.Progress = r.Progress
	}
	m.unplace(j)
}

// bounce takes a job back from a worker that did not take it.
func (m *Machine) bounce(now time.Time, j *job) {
	j.fenced = false
	m.touch(j)
	j.pool.dirty = true
	if j.pool.sched.Bounce(j.id(), j.row.Token, now) && j.want.Token == j.row.Token {
		m.unplace(j)
	}
}

func (m *Machine) unplace(j *job) {
	j.want.State, j.want.Worker = structs.JobQueued, ""
	j.pending, j.started = nil, false
}
