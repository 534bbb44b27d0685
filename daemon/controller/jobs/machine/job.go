package machine

import (
	"errors"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// job is a job that has not ended, of a pool whose lease is held.
type job struct {
	pool *pool
	row  structs.Job // as last read or written
	want structs.Job

	writing bool // a write is under way
	reading bool // a reading of the row is under way
	lost    bool // the row must be read before anything else
	calling bool // a call to the worker is under way
	started bool // the worker has confirmed the run
	pending []Call
	renewAt time.Time
	retryAt time.Time // not before then after a failure
	peak    placement.Size
	touched bool
	asked   uint64 // token of the last run that a worker was asked for
	tries   int    // starts of this run that were not made
	fenced  bool   // the worker refused the token of the row
}

func (j *job) id() string { return j.row.Spec.ID }

func (j *job) declared() placement.Job {
	s := j.row.Spec
	return placement.Job{
		ID: s.ID, Team: s.Team, Kind: s.Kind, Class: s.Class,
		Size:    placement.Size{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
		Runtime: s.RunTime, Submitted: j.row.Submitted,
		Checkpoints: s.Checkpoints, Throttleable: s.Throttleable,
	}
}

// placed returns the job as the scheduler gets it: failures that the row
// counts are taken off the attempts that remain.
func (m *Machine) placed(j *job) placement.Job {
	p := j.declared()
	limit := j.row.Spec.Attempts
	if limit <= 0 {
		limit = m.cfg.Attempts
	}
	p.Attempts = max(1, limit-j.row.Failures)
	return p
}

// merge takes a row in that was read. A version that is known already, or
// that an own write is about to replace, changes nothing.
func (m *Machine) merge(now time.Time, row structs.Job) {
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
	m.replace(now, j, row)
}

// replace takes a row in that another process wrote.
func (m *Machine) replace(now time.Time, j *job, row structs.Job) {
	same := row
	same.Cancel, same.Version, same.Holder = j.row.Cancel, j.row.Version, j.row.Holder
	if same == j.row { // only the wish to cancel is new
		j.row.Cancel, j.row.Version, j.row.Holder = row.Cancel, row.Version, row.Holder
		j.want.Cancel, j.want.Version, j.want.Holder = row.Cancel, row.Version, row.Holder
		m.cancel(j)
		return
	}
	m.forget(j)
	if !row.State.Ended() {
		m.adopt(now, j.pool, row)
	}
}

// forget drops a job that ended or that another process changed.
func (m *Machine) forget(j *job) {
	j.pool.sched.Drop(j.id())
	j.pool.dirty = true
	delete(j.pool.parked, j.id())
	delete(m.jobs, j.id())
}

// adopt takes over a job from its row.
func (m *Machine) adopt(now time.Time, p *pool, row structs.Job) {
	j := &job{pool: p, row: row, want: row}
	m.jobs[j.id()] = j
	p.dirty = true
	if row.State == structs.JobRunning {
		p.sched.Adopt(m.placed(j), placement.Run{Worker: row.Worker, Token: row.Token, Progress: row.Progress}, now)
		// The holder before may not have made the call; it is idempotent.
		j.asked, j.pending = row.Token, []Call{{Kind: CallStart}, {Kind: CallRenew}}
		m.vacateJob(j)
	} else {
		m.enqueue(now, j)
	}
	m.cancel(j)
	m.touch(j)
}

// enqueue gives a waiting job to the scheduler. A job that the pool cannot
// hold waits for another fleet or is refused if no VM at all can hold it.
func (m *Machine) enqueue(now time.Time, j *job) {
	if j == nil {
		return
	}
	j.pool.dirty = true
	err := j.pool.sched.Resume(m.placed(j), j.row.Progress, now)
	var refusal *placement.RefusalError
	if errors.As(err, &refusal) {
		m.refuse(j, refusal.Reason)
	}
}

func (m *Machine) refuse(j *job, reason string) {
	if m.fleetFits(&j.row.Spec) {
		j.pool.parked[j.id()] = true
		return
	}
	m.end(j, structs.JobRefused, reason)
}

// cancel carries out the team's wish to end the job.
func (m *Machine) cancel(j *job) {
	if !j.want.Cancel || j.want.State.Ended() {
		return
	}
	j.pool.sched.Cancel(j.id())
	j.pool.dirty = true
	m.touch(j)
}

func (m *Machine) end(j *job, state structs.JobState, reason string) {
	j.want.State, j.want.Reason, j.want.Worker = state, reason, ""
	j.pending = nil
	delete(j.pool.parked, j.id())
	m.touch(j)
}
