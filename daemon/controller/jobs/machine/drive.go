package machine

import (
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// driveJob orders the next thing that the job needs: a reading if its row is
// not known, a write if the row differs from what it should be, or a call.
func (m *Machine) driveJob(now time.Time, j *job) {
	if j.want.Cancel && !j.want.State.Ended() && !j.pool.sched.Has(j.id()) {
		m.end(j, structs.JobCancelled, "")
	}
	switch {
	case j.writing || j.reading:
	case now.Before(j.retryAt):
		m.wakeAt(j, j.retryAt)
	case j.lost:
		j.reading = true
		m.emit(ReadJob{ID: j.id()})
	case j.want != j.row:
		j.writing = true
		w := j.want
		w.Holder = m.cfg.ID
		m.emit(Write{Job: w})
	case j.row.State == structs.JobRunning && !j.calling:
		m.callNext(now, j)
	}
}

func (j *job) pend(c Call) { j.pending = append(j.pending, c) }

// callNext makes the next call for the run that the row names.
func (m *Machine) callNext(now time.Time, j *job) {
	if len(j.pending) == 0 {
		if !j.started || now.Before(j.renewAt) {
			return
		}
		j.pend(Call{Kind: CallRenew})
	}
	c := j.pending[0]
	j.pending = j.pending[1:]
	c.Job, c.Worker, c.Token, c.Lease = j.id(), j.row.Worker, j.row.Token, m.cfg.Lease
	if c.Kind == CallStart {
		s := j.row.Spec
		c.MilliCores, c.MemoryMB, c.Accelerators = s.MilliCores, s.MemoryMB, s.Accelerators
		c.Declared, c.Progress = s.RunTime, j.row.Progress
		j.asked = c.Token
	}
	j.calling = true
	m.emit(c)
}

// written takes the result of a write in.
func (m *Machine) written(now time.Time, e Written) {
	j := m.jobs[e.Job.Spec.ID]
	if j == nil || !j.writing || j.row.Version != e.Job.Version {
		return // the pool was lost meanwhile
	}
	j.writing = false
	m.touch(j)
	switch e.Outcome {
	case Done:
		e.Job.Version = e.Version
		j.row = e.Job
		j.want.Version, j.want.Holder = e.Version, e.Job.Holder
		if j.row.State.Ended() {
			m.forget(j)
		}
	case NotMade:
		j.retryAt = now.Add(m.cfg.Retry)
	default:
		j.lost = true
	}
}

// readBack takes in what a row is after a conflict or a lost answer.
func (m *Machine) readBack(now time.Time, e Read) {
	j := m.jobs[e.ID]
	if j == nil || !j.reading {
		return
	}
	j.reading = false
	m.touch(j)
	switch {
	case e.Failed:
		j.retryAt = now.Add(m.cfg.Retry)
		return
	case e.Job == nil:
		m.forget(j)
		return
	}
	j.lost = false
	if e.Job.Version == j.row.Version { // the write took no effect; it is made again
		if j.fenced {
			m.bounce(now, j)
		}
		return
	}
	j.fenced = false
	mine := j.want
	mine.Version, mine.Holder, mine.Cancel = e.Job.Version, e.Job.Holder, e.Job.Cancel
	if mine == *e.Job { // the write took effect, or the other holder decided the same
		cancelled := j.want.Cancel != e.Job.Cancel
		j.row, j.want = *e.Job, *e.Job
		if j.row.State.Ended() {
			m.forget(j)
		} else if cancelled {
			m.cancel(j)
		}
		return
	}
	m.replace(now, j, *e.Job)
}

// place lets the scheduler of a pool decide, and takes its commands in.
func (m *Machine) place(now time.Time, p *pool) {
	if !p.dirty && now.Before(p.timers) {
		return
	}
	p.dirty, p.timers = false, now.Add(placeEvery)
	for _, c := range p.sched.Place(now, m.cfg.Starts) {
		if j := m.jobs[c.Job]; j != nil {
			m.command(now, j, c)
		}
		if m.pools[p.name] != p {
			return // the lease is lost
		}
	}
}

// Ends of leases and quarantines and the aging of jobs are looked at this
// often when nothing else happens.
const placeEvery = 250 * time.Millisecond

func (m *Machine) command(now time.Time, j *job, c placement.Command) {
	m.touch(j)
	switch c.Kind {
	case placement.CommandStart:
		if c.Token <= j.row.Token {
			m.dropPool(j.pool) // a later holder has written the row
			return
		}
		m.leases[j.pool.name].last = c.Token
		j.want.State, j.want.Worker, j.want.Token = structs.JobRunning, c.Worker, c.Token
		j.want.Starts++
		j.started, j.peak, j.renewAt, j.tries = false, placement.Size{}, time.Time{}, 0
		j.pending = []Call{{Kind: CallStart}}
	case placement.CommandCheckpoint, placement.CommandStop:
		m.stopRun(now, j, c)
	case placement.CommandThrottle:
		j.pend(Call{Kind: CallThrottle, MilliCores: j.row.Spec.MilliCores / 2})
	case placement.CommandRestore:
		j.pend(Call{Kind: CallRestore, MilliCores: j.row.Spec.MilliCores})
	case placement.CommandFailed:
		m.end(j, structs.JobFailed, c.Reason)
	case placement.CommandRefused:
		m.refuse(j, c.Reason)
	}
}

// stopRun orders the end of a run. A run that the worker was never asked to
// start ends at once.
func (m *Machine) stopRun(now time.Time, j *job, c placement.Command) {
	if j.asked != j.want.Token {
		m.ended(now, j, placement.Report{Kind: placement.ReportStopped, Job: c.Job, Token: c.Token})
		return
	}
	kind := CallStop
	if c.Kind == placement.CommandCheckpoint {
		kind = CallCheckpoint
	}
	j.pending = []Call{{Kind: kind}}
}
