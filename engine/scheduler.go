// Package engine decides which tasks the workers of one pool run. It is a state
// machine without I/O: submissions, worker reports and the current time go in,
// and orders to workers come out. The holder of the pool's lease runs one
// instance. Every order carries the lease's token, so that workers reject
// orders of an owner that has been replaced.
//
// State that must survive the owner is returned by Collect, and the Stored
// event confirms that it is in the store. Only then is the end of a run
// acknowledged to its worker, and only then does a job count as ended.
package engine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// Config holds the settings of a Scheduler. Durations come from the platform's
// bounds unless noted otherwise.
type Config struct {
	Pool        string
	Token       uint64        // fencing token of the lease; grows with each owner
	Lease       time.Duration // how long a worker keeps its runs after a hold
	FormerLease time.Duration // after a takeover, time until every lease that the former owner granted has expired
	KillGrace   time.Duration // longest time that a stop takes
}

// Scheduler is the scheduling state machine of one pool. It is not safe for
// concurrent use.
type Scheduler struct {
	cfg             Config
	wallMs          int64 // Unix time in ms that was passed to the current call of Step
	queues          map[string]workload.Queue
	jobs            map[string]*job
	arrivalOrder    []*job                       // jobs in the order of their arrival
	unopened        []*job                       // jobs with occurrences that have not been created yet
	toClose         []*job                       // jobs that may have occurrences whose steps are all done
	endedJobs       []*job                       // jobs in jobs that have ended
	ended           map[string]workload.JobState // final states of jobs that are not in jobs any more
	absentJobs      map[string]bool              // jobs that a worker reported and that do not exist
	jobsToFind      map[string]bool              // unknown jobs that a worker reported
	cancelledToFind map[workload.JobKey]bool     // jobs with IDs in jobsToFind of which a cancellation has arrived
	searching       bool                         // FindJobs has no result yet
	nextSearch      time.Time                    // earliest time of the next search
	workers         map[string]*worker
	sortedWorkers   []*worker               // workers, sorted by ID
	toRelease       map[string]bool         // machines that the fleet's owner wants free of work
	releaseVersion  uint64                  // version of the fleet's row that toRelease comes from
	upcomingRelease map[string]bool         // machines that must be released later
	leavingWorkers  []*worker               // reused by evacuate
	toReview        []*worker               // workers whose failures have to be judged anew
	nextEarlyMoves  time.Time               // earliest time of the next moves off machines that must be released later
	reserved        map[*worker]bool        // workers kept free for long-running tasks during this placement pass
	formerWorkers   map[string]formerWorker // workers that the former owner may have used, by ID
	silentFormer    []string                // those of them that did not answer before their leases had expired
	tookOverAt      time.Time               // zero once the end of the wait for formerWorkers is logged
	shortfall       int                     // thousandths of a core that waiting tasks lack
	lateShortfall   int                     // part of shortfall of tasks whose jobs can't meet their objective any more
	storedLoad      int                     // load in the last load row written, in thousandths of a core
	needsPlacement  bool                    // something that placement depends on has changed
	waitingSteps    int                     // number of candidates in the last placement pass
	unplacedSteps   int                     // number of those of which the pass left tasks waiting
	candidateBuffer []candidate             // reused by the placement passes
	candidateOrder  []*candidate            // the candidates in candidateBuffer in placement order
	nextPlacement   time.Time               // earliest time of the next placement pass
	pauseEnd        time.Time               // when a placement pass is due because a pause ends; zero: none is
	nextSupervision time.Time               // earliest time of the next check of all runs
	noMovesBefore   time.Time               // until then no long-running task is moved off a machine to be released
	paused          bool                    // no task is started
	leaseEnded      bool                    // the owner's lease is not valid, so there may be a successor
	overruns        int                     // number of times that the lease has ended
	superseded      bool                    // a worker has seen the token of a later owner
	nextWake        time.Time               // time that Wake returns
	actions         []Action                // actions of the current call of Step
}

// formerWorker is a worker that may run something that the former owner started.
type formerWorker struct {
	machine string
	born    int64     // Unix ms of its start; 0: unknown
	expiry  time.Time // when its lease must have expired
}

// EngagedWorker names a worker that may have runs started by the pool's owner.
type EngagedWorker struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
	// Machine is the machine that the worker is a life of; "" if it is not known.
	Machine string `json:"m,omitempty"`
}

// maxClockSkew is the largest relative amount by which a worker's clock may run
// slower than ours.
const maxClockSkew = 0.02

// leaseExpirySlack covers the time between a worker reading its clock and the
// arrival of its answer, and timers that fire late.
const leaseExpirySlack = 100 * time.Millisecond

// New returns the state machine of a new owner. formerWorkers lists the workers
// that the previous owner may have used, and that may therefore still run tasks of
// recovered jobs. A task of a recovered job of which this owner has adopted no run
// is started only after each of these workers has answered this owner or its lease
// has certainly expired.
func New(now time.Time, cfg Config, formerWorkers []EngagedWorker) *Scheduler {
	m := &Scheduler{
		cfg: cfg, queues: map[string]workload.Queue{}, jobs: map[string]*job{},
		ended: map[string]workload.JobState{}, absentJobs: map[string]bool{}, jobsToFind: map[string]bool{}, cancelledToFind: map[workload.JobKey]bool{}, workers: map[string]*worker{},
		toRelease: map[string]bool{}, reserved: map[*worker]bool{}, formerWorkers: map[string]formerWorker{},
	}
	if len(formerWorkers) > 0 {
		m.tookOverAt = now
		// Stop orders of the former owner may still be in progress.
		m.noMovesBefore = now.Add(cfg.KillGrace + stopRetryInterval)
	}
	expiry := now.Add(maxLocalLease(cfg.FormerLease))
	for _, e := range formerWorkers {
		m.formerWorkers[e.ID] = formerWorker{machine: e.Machine, born: e.Born, expiry: expiry}
	}
	return m
}

// maxLocalLease returns the longest time by our clock that a lease of d can
// last on a worker's clock.
func maxLocalLease(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockSkew)) + leaseExpirySlack
}

// Step processes events and returns the resulting actions. now must always come
// from the same monotonic clock; wallMs is the Unix time in milliseconds and is
// used for scheduled jobs and recorded times.
func (m *Scheduler) Step(now time.Time, wallMs int64, events ...Event) []Action {
	m.actions, m.wallMs, m.nextWake = nil, wallMs, time.Time{}
	for _, e := range events {
		m.handleEvent(now, e)
	}
	if m.superseded {
		return m.actions
	}
	m.settleUnknown(now)
	m.expireLeases(now)
	m.logTakeover(now)
	m.openDueOccurrences(now)
	if m.closeFinished(now) {
		m.openDueOccurrences(now) // there may be room for the next ones
	}
	m.superviseRuns(now)
	m.reviewWorkers(now)
	m.evacuate(now)
	m.place(now)
	m.adjustThrottling()
	m.sendDueHolds(now)
	m.searchJobs(now)
	return m.actions
}

// Pause stops or resumes the start of tasks. Runs that exist are still held,
// and their ends are processed.
func (m *Scheduler) Pause(paused bool) {
	m.needsPlacement = m.needsPlacement || m.paused && !paused
	m.paused = paused
}

// Wake returns when Step must be called next even if no event arrives, or the
// zero time if that is not needed.
func (m *Scheduler) Wake() time.Time { return m.nextWake }

func (m *Scheduler) wakeAt(t time.Time) {
	if m.nextWake.IsZero() || t.Before(m.nextWake) {
		m.nextWake = t
	}
}

func (m *Scheduler) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Scheduler) logDecision(what, why string, t *task, w *worker, attempt int) {
	d := Decision{What: what, Why: why, Attempt: attempt}
	if t != nil {
		d.Job, d.Task = t.id.Job, t.id.String()
	}
	if w != nil {
		d.Worker = w.ID
	}
	m.emit(d)
}

func (m *Scheduler) handleEvent(now time.Time, e Event) {
	switch e := e.(type) {
	case JobAdded:
		m.addJob(now, e)
	case CancelRequested:
		m.cancelJob(e.Job)
	case QueuesUpdated:
		m.updateQueues(e.Queues)
	case WorkersUpdated:
		m.updateWorkers(now, e.Workers)
	case ReleaseUpdated:
		m.updateRelease(now, e)
	case MachinesRestarted:
		m.dropFormerWorkers(e)
	case HoldAnswered:
		m.handleHoldAnswer(now, e)
	case StartAnswered:
		m.handleStartAnswer(now, e)
	case StopAnswered:
		m.handleStopAnswer(now, e)
	case ThrottleAnswered:
		m.handleThrottleAnswer(e)
	case AdviceAnswered:
		m.handleAdvice(now, e)
	case JobsSearched:
		m.handleJobsSearched(now, e)
	case Stored:
		m.handleStored(e)
	}
}

func (m *Scheduler) updateQueues(queues []workload.Queue) {
	clear(m.queues)
	for _, q := range queues {
		m.queues[q.Name] = q
	}
	for _, j := range m.arrivalOrder {
		if q, ok := m.queues[j.submission.Queue.Name]; ok {
			j.queue = q
		}
	}
	m.needsPlacement = true
}

func (m *Scheduler) addJob(now time.Time, e JobAdded) {
	id := e.Submission.ID
	if _, known := m.jobs[id]; known {
		return
	}
	if _, known := m.ended[id]; known {
		return
	}
	if e.Progress != nil && e.Progress.State.Ended() {
		m.ended[id] = e.Progress.State
		delete(m.jobsToFind, id)
		return
	}
	queue, ok := m.queues[e.Submission.Queue.Name]
	if !ok {
		// The queue was removed after the job was accepted, or this process has not
		// received the configuration with it yet.
		queue = e.Submission.Queue
	}
	delete(m.jobsToFind, id)
	delete(m.absentJobs, id)
	j := newJob(now, m.wallMs, e, queue)
	m.jobs[id] = j
	m.arrivalOrder = append(m.arrivalOrder, j)
	m.unopened = append(m.unopened, j)
	m.toClose = append(m.toClose, j)
	m.needsPlacement = true
	if m.cancelledToFind[j.key] {
		delete(m.cancelledToFind, j.key)
		m.cancelJob(j.key)
	}
}

// cancelJob cancels a job of this pool. Cancellations of jobs of other pools, whose IDs
// may be equal, arrive too.
func (m *Scheduler) cancelJob(key workload.JobKey) {
	j, ok := m.jobs[key.ID]
	if !ok && m.jobsToFind[key.ID] {
		m.cancelledToFind[key] = true // the search may have read the job before
	}
	if !ok || j.key != key || j.state.Ended() {
		return
	}
	m.endJob(j, workload.Cancelled, "cancelled by the caller")
}

// Expects reports whether a cancellation of the job can have an effect: the job is open, or
// one with its ID is being looked up.
func (m *Scheduler) Expects(key workload.JobKey) bool {
	j, ok := m.jobs[key.ID]
	return ok && j.key == key || m.jobsToFind[key.ID]
}

// endJob sets the job's final state and stops its remaining runs.
func (m *Scheduler) endJob(j *job, state workload.JobState, why string) {
	j.state, j.endedAt, j.dirty = state, m.wallMs, true
	m.endedJobs = append(m.endedJobs, j)
	m.emit(Decision{What: "job-" + string(state), Job: j.submission.ID, Why: why})
	for _, o := range j.openOccurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					m.stopRun(r, "job "+string(state))
				}
			}
		}
	}
	m.needsPlacement = true
}

// openDueOccurrences creates the occurrences that are due, as far as their job may
// have more open ones.
func (m *Scheduler) openDueOccurrences(now time.Time) {
	m.unopened = slices.DeleteFunc(m.unopened, func(j *job) bool {
		if j.state.Ended() {
			return true
		}
		for j.nextOccurrence = max(j.nextOccurrence, j.firstOpen); j.nextOccurrence < j.occurrenceCount(); {
			due := j.dueAt(j.nextOccurrence)
			if due > m.wallMs {
				m.wakeAt(now.Add(time.Duration(due-m.wallMs) * time.Millisecond))
				return false
			}
			m.needsPlacement = true
			if j.finishedOccurrences[j.nextOccurrence] || j.openOccurrence(j.nextOccurrence) != nil {
				j.nextOccurrence++
				continue
			}
			if !j.mayOpenNext() {
				return false
			}
			j.openNext(now)
			m.toClose = append(m.toClose, j) // its stored progress may show that all tasks are done
		}
		return true
	})
}

// closeFinished closes occurrences, and then jobs, of which all tasks are done. It
// reports whether an occurrence was closed.
func (m *Scheduler) closeFinished(now time.Time) (closed bool) {
	for _, j := range m.toClose {
		if j.state.Ended() {
			continue
		}
		for i := 0; i < len(j.openOccurrences); {
			if j.openOccurrences[i].openSteps > 0 {
				i++
				continue
			}
			j.finishedOccurrences[j.openOccurrences[i].number] = true
			j.openOccurrences = append(j.openOccurrences[:i], j.openOccurrences[i+1:]...)
			for j.finishedOccurrences[j.firstOpen] {
				delete(j.finishedOccurrences, j.firstOpen)
				j.firstOpen++
			}
			j.dirty, closed = true, true
		}
		if j.firstOpen == j.occurrenceCount() {
			m.endJob(j, workload.Completed, "all tasks are done")
		}
	}
	clear(m.toClose)
	m.toClose = m.toClose[:0]
	return closed
}

// dropEndedJobs removes jobs that have ended, whose final state is stored and
// that have no runs left.
func (m *Scheduler) dropEndedJobs() {
	remaining := len(m.endedJobs)
	m.endedJobs = slices.DeleteFunc(m.endedJobs, func(j *job) bool {
		if j.dirty || j.storing || j.hasRuns() {
			return false
		}
		m.ended[j.submission.ID] = j.state
		delete(m.jobs, j.submission.ID)
		j.dropped = true
		return true
	})
	if len(m.endedJobs) < remaining {
		m.arrivalOrder = slices.DeleteFunc(m.arrivalOrder, func(j *job) bool { return j.dropped })
	}
}

// hasRuns reports whether the job still has runs at workers.
func (j *job) hasRuns() bool {
	for _, o := range j.openOccurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// task returns the task with the given ID, or nil if its occurrence is not
// open.
func (m *Scheduler) task(id workload.TaskID) *task {
	j, ok := m.jobs[id.Job]
	if !ok {
		return nil
	}
	if o := j.openOccurrence(id.Occurrence); o != nil && id.Step < len(o.steps) && id.Index < len(o.steps[id.Step].tasks) {
		return o.steps[id.Step].tasks[id.Index]
	}
	return nil
}

// reportedTask returns the task with the given ID, which a worker reports, or nil
// if its occurrence has ended. An occurrence that is not due by this process's
// clock is opened, because a former owner has started it.
func (m *Scheduler) reportedTask(now time.Time, id workload.TaskID) *task {
	if j, ok := m.jobs[id.Job]; ok && j.mayOpenEarly(id.Occurrence) {
		j.openEarly(now, m.wallMs, id.Occurrence)
	}
	return m.task(id)
}

// takeoverComplete reports whether no worker of the former owner can still run
// something that this owner does not know of.
func (m *Scheduler) takeoverComplete() bool { return len(m.formerWorkers) == 0 }

// maxLoggedWorkers is the number of workers that a log line names.
const maxLoggedWorkers = 5

// logTakeover logs the end of the wait for the workers of the former owner, which
// holds up the tasks of recovered jobs.
func (m *Scheduler) logTakeover(now time.Time) {
	if m.tookOverAt.IsZero() || !m.takeoverComplete() {
		return
	}
	why := fmt.Sprintf("after %d ms, %d workers of the former owner did not answer", now.Sub(m.tookOverAt).Milliseconds(), len(m.silentFormer))
	if len(m.silentFormer) > 0 {
		slices.Sort(m.silentFormer)
		why += ", among them " + strings.Join(m.silentFormer[:min(len(m.silentFormer), maxLoggedWorkers)], " ")
	}
	m.emit(Decision{What: "takeover-complete", Why: why})
	m.tookOverAt, m.silentFormer = time.Time{}, nil
}

// AwaitsFormerWorkers reports whether MachinesRestarted can end a wait.
func (m *Scheduler) AwaitsFormerWorkers() bool { return !m.takeoverComplete() }

// dropFormerWorkers stops waiting for workers whose machine has a later worker: a
// worker is one life of its machine, and its runs ended with it. If the later one has
// the same ID, it may have carried out a start that was meant for the former.
func (m *Scheduler) dropFormerWorkers(e MachinesRestarted) {
	for id, former := range m.formerWorkers {
		if newest := e.Newest[former.machine]; former.born != 0 && newest.Born > former.born && newest.ID != id {
			delete(m.formerWorkers, id)
			m.needsPlacement = true
		}
	}
}

// updateRelease replaces the machines that are to be released. A worker whose
// machine was released and no longer is has to answer again, because its machine may
// have been moved, and its registration may outlive it by some seconds. Otherwise
// the load row would name it, and a successor would wait for it.
func (m *Scheduler) updateRelease(now time.Time, e ReleaseUpdated) {
	for _, w := range m.sortedWorkers {
		if m.toRelease[w.Machine] && !e.Machines[w.Machine] && len(w.runs) == 0 {
			w.synced, w.nextHold = false, now
		}
	}
	m.toRelease, m.upcomingRelease, m.releaseVersion, m.needsPlacement = e.Machines, e.Upcoming, e.Version, true
}

// expireLeases drops the runs of workers whose lease must have expired by their
// own clock, and stops waiting for workers of the former owner once their
// leases have expired.
func (m *Scheduler) expireLeases(now time.Time) {
	for id, former := range m.formerWorkers {
		if m.leaseEnded {
			break // a successor may have extended them
		}
		if now.Before(former.expiry) {
			m.wakeAt(former.expiry)
			continue
		}
		delete(m.formerWorkers, id)
		m.silentFormer = append(m.silentFormer, id)
		m.needsPlacement = true
	}
	for _, w := range m.sortedWorkers {
		if !w.hasRuns() || w.leaseEnd.IsZero() {
			continue
		}
		if now.Before(w.leaseEnd) {
			m.wakeAt(w.leaseEnd)
			continue
		}
		m.logDecision("worker-lapsed", "no hold was answered within the lease", nil, w, 0)
		m.removeRuns(now, w)
	}
	m.removeGoneWorkers(now)
}
