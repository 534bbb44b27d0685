package machine

import (
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// advanceJob emits the next action for the job: a read if its row may have
// changed, a write if the row differs from the desired one, or a call to the
// worker. Before the row leaves a run, the worker is told to stop it, which shows
// how it ended. At most one of each is in flight per job.
func (m *Machine) advanceJob(now time.Time, j *job) {
	if j.desired.Cancel && !j.desired.State.Ended() && !j.pool.scheduler.Has(j.id()) {
		m.endJob(j, structs.JobCancelled, "")
	}
	switch {
	case j.writing || j.reading:
	case now.Before(j.retryAt):
		m.scheduleWakeup(j, j.retryAt)
	case j.needsRead:
		j.reading = true
		m.emit(ReadJob{ID: j.id()})
	case j.leavesOpenRun():
		if !j.calling {
			m.startCall(j, Call{Kind: CallStop})
		}
	case j.desired != j.row:
		j.writing = true
		w := j.desired
		w.Holder = m.cfg.ID
		m.emit(WriteJob{Job: w})
	case j.row.State == structs.JobRunning && !j.calling:
		m.startNextCall(now, j)
	}
}

func (j *job) addCall(c Call) { j.pendingCalls = append(j.pendingCalls, c) }

// startNextCall emits the next call for the run that the row names: a pending
// one, or a renewal of the task's lease if it is due.
func (m *Machine) startNextCall(now time.Time, j *job) {
	if len(j.pendingCalls) == 0 {
		if !j.started || now.Before(j.renewAt) {
			return
		}
		j.addCall(Call{Kind: CallRenew})
	}
	c := j.pendingCalls[0]
	j.pendingCalls = j.pendingCalls[1:]
	m.startCall(j, c)
}

// startCall emits a call for the run that the row names.
func (m *Machine) startCall(j *job, c Call) {
	c.Job, c.Worker, c.Token, c.Lease = j.id(), j.row.Worker, j.row.Token, m.cfg.TaskLease
	if c.Kind == CallStart {
		s := j.row.Spec
		c.MilliCores, c.MemoryMB, c.Accelerators = s.MilliCores, s.MemoryMB, s.Accelerators
		c.Declared, c.Progress = s.RunTime, j.row.Progress
		j.requestedToken = c.Token
	}
	j.calling = true
	m.emit(c)
}

// handleWriteResult processes the result of a write.
func (m *Machine) handleWriteResult(now time.Time, e WriteResult) {
	j := m.jobs[e.Job.Spec.ID]
	if j == nil || !j.writing || j.row.Version != e.Job.Version {
		return // the pool was dropped while the write was in flight
	}
	j.writing = false
	m.markDirty(j)
	switch e.Outcome {
	case OutcomeDone:
		e.Job.Version = e.Version
		j.row = e.Job
		j.desired.Version, j.desired.Holder = e.Version, e.Job.Holder
		if j.row.State.Ended() {
			m.removeJob(j)
		}
	case OutcomeNotApplied:
		j.retryAt = now.Add(m.cfg.RetryDelay)
	default:
		j.needsRead = true
	}
}

// handleReadResult processes a row that was read after a conflict, an unknown
// outcome or a fenced call.
func (m *Machine) handleReadResult(now time.Time, e ReadResult) {
	j := m.jobs[e.ID]
	if j == nil || !j.reading {
		return
	}
	j.reading = false
	m.markDirty(j)
	switch {
	case e.Failed:
		j.retryAt = now.Add(m.cfg.RetryDelay)
		return
	case e.Job == nil:
		m.removeJob(j)
		return
	}
	j.needsRead = false
	if e.Job.Version == j.row.Version { // the write had no effect and will be repeated
		if j.fencedToken == j.row.Token {
			j.closedToken = j.row.Token // the worker refuses every start with this token
			m.requeueUnstarted(now, j)
		}
		return
	}
	intended := j.desired
	intended.Version, intended.Holder, intended.Cancel = e.Job.Version, e.Job.Holder, e.Job.Cancel
	if intended == *e.Job { // the write took effect, or another holder wrote the same row
		cancelChanged := j.desired.Cancel != e.Job.Cancel
		j.row, j.desired = *e.Job, *e.Job
		if j.row.State.Ended() {
			m.removeJob(j)
		} else if cancelChanged {
			m.applyCancel(j)
		}
		return
	}
	m.applyRow(now, j, *e.Job)
}

// schedulePool runs the pool's scheduler if something changed or the placement
// interval has passed, and applies the resulting commands.
func (m *Machine) schedulePool(now time.Time, p *pool) {
	if !p.dirty && now.Before(p.nextPlacement) {
		return
	}
	p.dirty, p.nextPlacement = false, now.Add(placementInterval)
	for _, c := range p.scheduler.Place(now, m.cfg.MaxStarts) {
		if j := m.jobs[c.Job]; j != nil {
			m.applyCommand(now, j, c)
		}
		if m.pools[p.name] != p {
			return // applying the command dropped the pool
		}
	}
}

// placementInterval is the maximum time between two scheduling passes. It
// bounds how late the scheduler notices expired task leases, ended quarantines
// and jobs that have aged.
const placementInterval = 250 * time.Millisecond

// applyCommand updates the desired row or the pending calls of the job.
func (m *Machine) applyCommand(now time.Time, j *job, c placement.Command) {
	m.markDirty(j)
	switch c.Kind {
	case placement.CommandStart:
		if c.Token <= j.row.Token {
			m.dropPool(j.pool) // a later lease holder has written the row
			return
		}
		m.leases[j.pool.name].lastIssued = c.Token
		j.desired.State, j.desired.Worker, j.desired.Token = structs.JobRunning, c.Worker, c.Token
		j.desired.Starts++
		j.started, j.peakUsage, j.renewAt, j.startAttempts = false, placement.Size{}, time.Time{}, 0
		j.pendingCalls = []Call{{Kind: CallStart}}
	case placement.CommandCheckpoint, placement.CommandStop:
		m.stopRun(now, j, c)
	case placement.CommandThrottle:
		j.addCall(Call{Kind: CallThrottle, MilliCores: j.row.Spec.MilliCores / 2})
	case placement.CommandRestore:
		j.addCall(Call{Kind: CallRestore, MilliCores: j.row.Spec.MilliCores})
	case placement.CommandFailed:
		m.endJob(j, structs.JobFailed, c.Reason)
	case placement.CommandRefused:
		m.refuse(j, c.Reason)
	}
}

// stopRun requests the end of a run. A run that no worker was asked to start
// ends immediately.
func (m *Machine) stopRun(now time.Time, j *job, c placement.Command) {
	if j.requestedToken != j.desired.Token {
		m.handleRunEnd(now, j, placement.Report{Kind: placement.ReportStopped, Job: c.Job, Token: c.Token})
		return
	}
	kind := CallStop
	if c.Kind == placement.CommandCheckpoint {
		kind = CallCheckpoint
	}
	j.pendingCalls = []Call{{Kind: kind}}
}
