package machine

import (
	"errors"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// job is a job that has not ended and whose pool's lease is held.
type job struct {
	pool    *pool
	row     structs.Job // as last read or written
	desired structs.Job // as the row should be; written when it differs

	writing        bool // a write of the row is in flight
	reading        bool // a read of the row is in flight
	needsRead      bool // the row may have changed and must be read first
	calling        bool // a call to the worker is in flight
	started        bool // the worker has confirmed the run
	pendingCalls   []Call
	renewAt        time.Time      // when the task's lease is renewed next
	retryAt        time.Time      // no action before this time
	peakUsage      placement.Size // of the current run
	dirty          bool           // is in Machine.dirty
	requestedToken uint64         // token of the last run that a worker was asked to start
	startAttempts  int            // start calls of this run that had no effect
	fencedToken    uint64         // last token that the worker rejected as too low
	closedToken    uint64         // token of the last run that has ended or can no longer be started
}

func (j *job) id() string { return j.row.Spec.ID }

// leavesOpenRun reports whether writing the desired row would give up the run
// that the row names although it may be running, may have ended as done, or may
// still be started by another holder or by a late call.
func (j *job) leavesOpenRun() bool {
	return j.row.State == structs.JobRunning && j.closedToken != j.row.Token &&
		(j.desired.State != structs.JobRunning || j.desired.Token != j.row.Token)
}

func (j *job) declaredJob() placement.Job {
	s := j.row.Spec
	return placement.Job{
		ID: s.ID, Team: s.Team, Kind: s.Kind, Class: s.Class,
		Size:    placement.Size{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
		Runtime: s.RunTime, Submitted: j.row.Submitted,
		Checkpoints: s.Checkpoints, Throttleable: s.Throttleable,
	}
}

// schedulerJob returns the job to submit to the scheduler. Its attempts are
// those that remain after the failures recorded in the row.
func (m *Machine) schedulerJob(j *job) placement.Job {
	p := j.declaredJob()
	limit := j.row.Spec.Attempts
	if limit <= 0 {
		limit = m.cfg.MaxAttempts
	}
	p.MaxAttempts = max(1, limit-j.row.Failures)
	return p
}

// mergeRow processes a row that was scanned or written by the API. It is
// ignored if its version is already known, or if a write or read of the row is
// in flight, whose result will show the change.
func (m *Machine) mergeRow(now time.Time, row structs.Job) {
	j := m.jobs[row.Spec.ID]
	switch {
	case j == nil:
		if p := m.pools[row.Spec.Pool]; p != nil && !row.State.Ended() {
			m.adopt(now, p, row)
		}
		return
	case row.Version <= j.row.Version || j.writing || j.reading:
		return
	}
	m.applyRow(now, j, row)
}

// applyRow replaces the state of a job by a row that was changed elsewhere.
func (m *Machine) applyRow(now time.Time, j *job, row structs.Job) {
	ignoringCancel := row
	ignoringCancel.Cancel, ignoringCancel.Version, ignoringCancel.Holder = j.row.Cancel, j.row.Version, j.row.Holder
	if ignoringCancel == j.row { // at most the cancel request is new
		j.row.Cancel, j.row.Version, j.row.Holder = row.Cancel, row.Version, row.Holder
		j.desired.Cancel, j.desired.Version, j.desired.Holder = row.Cancel, row.Version, row.Holder
		m.applyCancel(j)
		return
	}
	m.removeJob(j)
	if !row.State.Ended() {
		m.adopt(now, j.pool, row)
	}
}

// removeJob stops tracking a job that has ended or was changed elsewhere.
func (m *Machine) removeJob(j *job) {
	j.pool.scheduler.Drop(j.id())
	j.pool.dirty = true
	delete(j.pool.parked, j.id())
	delete(m.jobs, j.id())
}

// adopt starts tracking a job in the state that its row records.
func (m *Machine) adopt(now time.Time, p *pool, row structs.Job) {
	j := &job{pool: p, row: row, desired: row}
	m.jobs[j.id()] = j
	p.dirty = true
	if row.State == structs.JobRunning {
		p.scheduler.Adopt(m.schedulerJob(j), placement.Run{Worker: row.Worker, Token: row.Token, Progress: row.Progress}, now)
		// The previous holder may have written the row without calling the
		// worker. Start is idempotent.
		j.requestedToken, j.pendingCalls = row.Token, []Call{{Kind: CallStart}, {Kind: CallRenew}}
		m.preemptIfLeaving(j)
	} else {
		m.enqueue(now, j)
	}
	m.applyCancel(j)
	m.markDirty(j)
}

// enqueue submits a waiting job to the scheduler. A job that is too large for
// the pool's workers is parked until the fleet changes, or refused if no VM of
// the fleet can hold it.
func (m *Machine) enqueue(now time.Time, j *job) {
	if j == nil {
		return
	}
	j.pool.dirty = true
	err := j.pool.scheduler.Resume(m.schedulerJob(j), j.row.Progress, now)
	var refusal *placement.RefusalError
	if errors.As(err, &refusal) {
		m.refuse(j, refusal.Reason)
	}
}

// refuse parks a job that fits some VM of the fleet and refuses any other.
func (m *Machine) refuse(j *job, reason string) {
	if m.fitsAnyVM(&j.row.Spec) {
		j.pool.parked[j.id()] = true
		return
	}
	m.endJob(j, structs.JobRefused, reason)
}

// applyCancel cancels the job at the scheduler if its team has requested it.
func (m *Machine) applyCancel(j *job) {
	if !j.desired.Cancel || j.desired.State.Ended() {
		return
	}
	j.pool.scheduler.Cancel(j.id())
	j.pool.dirty = true
	m.markDirty(j)
}

func (m *Machine) endJob(j *job, state structs.JobState, reason string) {
	j.desired.State, j.desired.Reason, j.desired.Worker = state, reason, ""
	j.pendingCalls = nil
	delete(j.pool.parked, j.id())
	m.markDirty(j)
}
