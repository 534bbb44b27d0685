package engine

import "slices"

// After the end of its lease an owner goes on for some seconds, because an outage of the
// store must not end running work. If it is alone cut off from the store, it has a
// successor meanwhile. Three rules keep the two from running the same task:
//
//   - A worker that has answered the successor refuses the former owner's orders.
//   - The successor starts a task that was submitted before its term only after all
//     workers of the former owner have answered it, or after it has adopted a run of the
//     task and that run has ended.
//   - The former owner starts a task whose run has ended since then only if no successor
//     can have adopted that run. A report of the end does not show this: the worker checks
//     the token of a hold when it arrives, and may answer it only after it has answered a
//     successor. If the worker accepts a further hold, no successor had reached it before
//     the run ended, and each will find the run among the ends.

// freedTask says which runs a task lost after the owner's lease had ended, of which a
// successor may know.
type freedTask struct {
	overrun    int       // number of the overrun in which it lost them
	lost       bool      // one was given up without a report of its worker
	reportedBy []*worker // workers that reported the end of one and have not answered a later hold
}

// SetLeaseValid tells whether the owner's lease is valid. After its end there may be a
// successor, which knows of runs and extends the leases of workers that do not answer
// this owner. If the lease is valid again, there was none.
func (m *Scheduler) SetLeaseValid(valid bool) {
	if !valid && !m.leaseEnded {
		m.overruns++
	}
	m.needsPlacement = m.needsPlacement || m.leaseEnded && valid
	m.leaseEnded = !valid
}

// freedInOverrun returns the record of the runs that the task has lost in this overrun.
func (m *Scheduler) freedInOverrun(t *task) *freedTask {
	if t.freed == nil || t.freed.overrun != m.overruns {
		t.freed = &freedTask{overrun: m.overruns}
	}
	return t.freed
}

// recordLostRun records that a run of the task was given up without a report of its
// worker. A successor may have extended its lease.
func (m *Scheduler) recordLostRun(t *task) {
	if m.leaseEnded {
		m.freedInOverrun(t).lost = true
	}
}

// recordReportedEnd records that the worker has reported that a run of the task is over.
func (m *Scheduler) recordReportedEnd(t *task, w *worker) {
	if !m.leaseEnded {
		return
	}
	freed := m.freedInOverrun(t)
	if !slices.Contains(freed.reportedBy, w) {
		freed.reportedBy = append(freed.reportedBy, w)
		w.unconfirmedEnds = append(w.unconfirmedEnds, t)
		m.logDecision("end-unconfirmed", "the lease has ended, so the worker has to answer another hold first", t, w, 0)
	}
}

// confirmEnds records that the worker has accepted a hold that was sent after it had
// reported the ends in unconfirmedEnds.
func (m *Scheduler) confirmEnds(w *worker) {
	for _, t := range w.unconfirmedEnds {
		t.freed.reportedBy = slices.DeleteFunc(t.freed.reportedBy, func(o *worker) bool { return o == w })
		m.needsPlacement = true
	}
	w.unconfirmedEnds = nil
}

// successorMayStart reports whether a successor may have adopted a run of the task, and
// so may start it too.
func (m *Scheduler) successorMayStart(t *task) bool {
	if !m.leaseEnded || t.freed == nil || t.freed.overrun != m.overruns {
		return false
	}
	return t.freed.lost || len(t.freed.reportedBy) > 0
}
