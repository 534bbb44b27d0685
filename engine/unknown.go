package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// A worker may report runs and ends of a job that this owner has not read, because
// its queue is newer than the owner's configuration. Such a run is neither stopped
// nor repeated, and such an end is not acknowledged, until the job has been found or
// is known not to exist.

// maxSearchedJobs limits the reads of one search, which takes one for each job and
// queue.
const maxSearchedJobs = 50

// searchRetryDelay is the delay before the next search after one failed.
const searchRetryDelay = 300 * time.Millisecond

// unknownJob reports whether the job is not known to exist or not to exist, and
// requests a search for it in that case.
func (m *Scheduler) unknownJob(id string) bool {
	if _, ok := m.jobs[id]; ok {
		return false
	}
	if _, ok := m.ended[id]; ok || m.absentJobs[id] {
		return false
	}
	m.jobsToFind[id] = true
	return true
}

// searchJobs requests a search for the unknown jobs that workers have reported.
func (m *Scheduler) searchJobs(now time.Time) {
	if m.searching || len(m.jobsToFind) == 0 {
		return
	}
	if now.Before(m.nextSearch) {
		m.wakeAt(m.nextSearch)
		return
	}
	m.searching = true
	ids := slices.Sorted(maps.Keys(m.jobsToFind))
	m.emit(FindJobs{IDs: ids[:min(len(ids), maxSearchedJobs)]})
}

func (m *Scheduler) handleJobsSearched(now time.Time, e JobsSearched) {
	m.searching = false
	if !e.OK {
		m.nextSearch = now.Add(searchRetryDelay)
		return
	}
	for _, id := range e.IDs {
		if m.unknownJob(id) {
			m.absentJobs[id] = true
			m.emit(Decision{What: "job-absent", Job: id, Why: "a worker reports it, but it was never submitted to the pool"})
		}
		delete(m.jobsToFind, id)
		maps.DeleteFunc(m.cancelledToFind, func(job workload.JobKey, _ bool) bool { return job.ID == id })
	}
}

// settleUnknown processes the held ends and runs of jobs that have been found since
// they were reported.
func (m *Scheduler) settleUnknown(now time.Time) {
	for _, w := range m.sortedWorkers {
		w.heldEnds = slices.DeleteFunc(w.heldEnds, func(e EndReport) bool {
			if m.unknownJob(e.Task.Job) {
				return false
			}
			if t := m.reportedTask(now, e.Task); t != nil {
				m.handleEnd(now, w, t, e)
			}
			return true
		})
		w.unknownRuns = slices.DeleteFunc(w.unknownRuns, func(report RunReport) bool {
			if m.unknownJob(report.Task.Job) {
				return false
			}
			m.reconcileRun(now, w, report)
			return true
		})
	}
}

// keepUnlisted keeps those of the runs of unknown jobs that an incomplete report lists
// neither as running nor as ended: they may have ended on a later page.
func (w *worker) keepUnlisted(runs []RunReport, report HoldReport) {
	for _, r := range runs {
		isRunning := func(o RunReport) bool { return o.Task == r.Task && o.Attempt == r.Attempt }
		isEnded := func(o EndReport) bool { return o.Task == r.Task && o.Attempt == r.Attempt }
		if !slices.ContainsFunc(report.Running, isRunning) && !slices.ContainsFunc(report.Ended, isEnded) {
			w.unknownRuns = append(w.unknownRuns, r)
		}
	}
}

// lastEndSettled returns the number up to which all ends have been processed.
func (w *worker) lastEndSettled() int {
	if len(w.heldEnds) > 0 {
		return w.heldEnds[0].Number - 1
	}
	return w.lastEndProcessed
}

// reconcileRun records a run that a worker reports, or stops it if its job has
// ended. It returns nil in the latter case.
func (m *Scheduler) reconcileRun(now time.Time, w *worker, report RunReport) *run {
	t := m.reportedTask(now, report.Task)
	if t == nil {
		m.stopUnwanted(w, report)
		return nil
	}
	r := t.findRun(w, report.Attempt)
	if r == nil {
		r = m.adoptRun(now, t, w, report)
	}
	m.updateRun(now, r, report)
	return r
}

// FindJobs asks for jobs that workers report and that this owner has not read. They
// must be returned as JobAdded, and the end of the search as JobsSearched.
type FindJobs struct{ IDs []string }

// JobsSearched reports the end of the search that FindJobs asked for. If OK is set,
// jobs that were not added do not exist.
type JobsSearched struct {
	IDs []string
	OK  bool
}

func (FindJobs) action()    {}
func (JobsSearched) event() {}
