package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// job is the state of a job whose end is not stored yet.
type job struct {
	submission          workload.Submission
	key                 workload.JobKey
	queue               workload.Queue // last known configuration; its limits apply even after the queue is removed
	state               workload.JobState
	recovered           bool // submitted before this owner took over the pool
	arrived             time.Time
	openOccurrences     []*occurrence           // created and not ended
	nextOccurrence      int                     // number of the occurrence to create next
	firstOpen           int                     // all occurrences before this one have ended
	finishedOccurrences map[int]bool            // numbers of the occurrences from firstOpen on that have ended
	dirty               bool                    // has changes that no batch contains
	storing             bool                    // is part of the batch being stored
	dropped             bool                    // has been removed from the scheduler
	endedAt             int64                   // Unix ms
	storedProgress      []workload.TaskProgress // progress of the tasks as stored by a former owner
}

// occurrence is one repetition of the steps of a job.
type occurrence struct {
	job       *job
	number    int
	due       time.Time
	steps     []*step
	openSteps int           // steps that are not done
	chain     time.Duration // longest chain of estimates of its steps
	begun     bool          // a task has had a run
	draw      float64       // exponentially distributed, of mean 1; see precedence
}

// step is the state of one step of an occurrence.
type step struct {
	occ               *occurrence
	index             int
	spec              *workload.Step
	tasks             []*task
	openTasks         int                       // tasks that are not done
	idleTasks         int                       // tasks that are not done and have no run
	allFrom           time.Time                 // latest notBefore of its tasks
	criticalPath      time.Duration             // longest chain of estimates that starts with this step
	runsPerWorker     map[string]int            // by worker ID
	tickets           map[string]ticket         // by worker ID
	advicePending     bool                      // a call to the placement policy is in progress
	failures          map[*worker]*stepFailures // see failures.go
	succeededAt       []*worker                 // workers at which a task has succeeded, at most enoughSuccesses
	reservationLogged bool                      // since its last start, a log line says that a worker is kept free for it
}

// ticket is the answer of the placement policy for a step at a worker. An empty
// value means that the step may not run there.
type ticket struct {
	value   string
	expires time.Time
}

type task struct {
	step            *step
	id              workload.TaskID
	done            bool
	failures        int
	countedFailures []int  // attempts whose failure has been counted, since ends may be reported repeatedly and in any order
	lastAttempt     int    // greatest attempt number so far
	checkpoint      string // newest checkpoint of any run
	runs            []*run
	notBefore       time.Time  // earliest time of the next start
	failedWorkers   int        // number of workers at which it has failed or made no progress
	failuresInRow   int        // of a long-running task that has not served in between
	freed           *freedTask // runs that it lost after the owner's lease had ended; nil: none
	runAdopted      bool       // this owner has adopted a run of it, so no unknown run can exist at another worker; see overrun.go
}

// runState is the recorded state of a run.
type runState int

const (
	starting    runState = iota // the start was sent and has no result yet
	unconfirmed                 // the start got no answer, so the run may begin until its deadline
	running
	stopping
)

// run is one attempt of a task at a worker.
type run struct {
	task          *task
	attempt       int
	worker        *worker
	state         runState
	startDeadline int64 // latest start in ms on the worker's clock
	startSent     time.Time
	confirmedAt   time.Time // when the start was answered or the run first reported; zero if neither
	timedOutAt    time.Time // when the start was found to have no answer
	percent       int       // progress as last reported
	lastProgress  time.Time // when percent last changed
	readyAt       time.Time // when percent was first seen to be 100
	credited      bool      // has counted as a success of its worker while it runs
	load          int       // as last reported: tail latency in ms if the task serves requests, otherwise thousandths of a core used
	speedLimit    int       // limit that was ordered last, as a percentage of full speed
	stopAnswered  time.Time // when the outcome of the last stop arrived; zero while one is in progress
	stopAcked     time.Time // when the worker confirmed the stop
	stopReason    string
}

func newJob(now time.Time, wallMs int64, e JobAdded, queue workload.Queue) *job {
	j := &job{
		submission: e.Submission, key: e.Submission.Key(), queue: queue, state: workload.Queued, recovered: e.Recovered,
		arrived: now, finishedOccurrences: map[int]bool{},
	}
	if age := time.Duration(wallMs-e.Submission.Accepted) * time.Millisecond; e.Recovered && age > 0 {
		j.arrived = now.Add(-age)
	}
	if p := e.Progress; p != nil {
		j.state, j.nextOccurrence, j.firstOpen, j.endedAt = p.State, p.NextOccurrence, p.NextOccurrence, p.Ended
		j.storedProgress = p.Tasks
		for _, number := range p.LaterEnded {
			j.finishedOccurrences[number] = true
		}
		for _, t := range p.Tasks {
			// The former owner's clock may be ahead of this one's.
			if j.submission.Repeat.Count > 0 && j.mayOpenEarly(t.Occurrence) {
				j.openEarly(now, wallMs, t.Occurrence)
			}
		}
	}
	return j
}

// occurrenceCount returns how many times the steps run.
func (j *job) occurrenceCount() int { return max(1, j.submission.Repeat.Count) }

// dueAt returns the Unix time in ms from which an occurrence may start.
func (j *job) dueAt(number int) int64 {
	if j.submission.Repeat.Count == 0 {
		return 0
	}
	return j.submission.Repeat.Start + int64(number)*j.submission.Repeat.Period
}

// maxOpenSpan is the maximum number of occurrences from the first open one to the
// last. It bounds what is recorded of those in between that have ended.
const maxOpenSpan = 1000

// mayOpenNext reports whether a further occurrence may be open. One always may; more
// of them must not have so many tasks that their progress exceeds a row of the store.
func (j *job) mayOpenNext() bool {
	tasks := 0
	for i := range j.submission.Steps {
		tasks += j.submission.Steps[i].Count
	}
	open := len(j.openOccurrences)
	return open == 0 || (open+1)*tasks <= workload.MaxTasks && j.nextOccurrence-j.firstOpen < maxOpenSpan
}

// openNext creates the occurrence with number j.nextOccurrence.
func (j *job) openNext(now time.Time) {
	due := now
	if j.submission.Repeat.Count == 0 {
		due = j.arrived
	}
	j.open(j.nextOccurrence, due)
	j.nextOccurrence++
}

// openEarly creates an occurrence that a former owner has started, and that is not due
// by this process's clock or has not been opened yet.
func (j *job) openEarly(now time.Time, wallMs int64, number int) {
	due := j.arrived
	if j.submission.Repeat.Count > 0 {
		due = now.Add(time.Duration(j.dueAt(number)-wallMs) * time.Millisecond)
	}
	j.open(number, due)
}

// mayOpenEarly reports whether the occurrence exists, has not ended and is not
// open yet.
func (j *job) mayOpenEarly(number int) bool {
	return !j.state.Ended() && number >= j.nextOccurrence && number < j.occurrenceCount() && !j.finishedOccurrences[number] && j.openOccurrence(number) == nil
}

// openOccurrence returns the open occurrence with the given number, or nil.
func (j *job) openOccurrence(number int) *occurrence {
	for _, o := range j.openOccurrences {
		if o.number == number {
			return o
		}
	}
	return nil
}

// open creates an occurrence.
func (j *job) open(number int, due time.Time) {
	o := &occurrence{job: j, number: number, due: due, openSteps: len(j.submission.Steps), draw: exponentialDraw(j.submission, number)}
	for i := range j.submission.Steps {
		spec := &j.submission.Steps[i]
		s := &step{occ: o, index: i, spec: spec, openTasks: spec.Count, idleTasks: spec.Count, runsPerWorker: map[string]int{}, tickets: map[string]ticket{}}
		for n := range spec.Count {
			s.tasks = append(s.tasks, &task{step: s, id: workload.TaskID{Job: j.submission.ID, Occurrence: o.number, Step: i, Index: n}})
		}
		o.steps = append(o.steps, s)
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.criticalPath += s.spec.Estimate
		for _, dependency := range s.spec.After {
			o.steps[dependency].criticalPath = max(o.steps[dependency].criticalPath, s.criticalPath)
		}
	}
	for _, s := range o.steps {
		o.chain = max(o.chain, s.criticalPath)
	}
	j.openOccurrences = append(j.openOccurrences, o)
	j.restoreProgress(o)
}

// restoreProgress restores the stored progress of an occurrence's tasks.
func (j *job) restoreProgress(o *occurrence) {
	for _, m := range j.storedProgress {
		if m.Occurrence != o.number || m.Step >= len(o.steps) || m.Index >= len(o.steps[m.Step].tasks) {
			continue
		}
		t := o.steps[m.Step].tasks[m.Index]
		t.failures, t.countedFailures, t.lastAttempt, t.checkpoint = m.Failures, slices.Clone(m.CountedFailures), m.LastAttempt, m.Checkpoint
		if m.Done {
			t.markDone()
		}
	}
}

// maxCountedFailures bounds the attempts remembered for a task that may fail
// without limit. The end of an older attempt has long been acknowledged and is
// not reported again.
const maxCountedFailures = 32

// maxStoredFailures bounds the attempts that are stored of a long-running task, which
// may fail without limit, so that the progress of a large job fits a row. After a
// change of owner, an end that is reported again counts towards the quarantine of its
// worker once more, and nothing else depends on it.
const maxStoredFailures = 3

// storedFailures returns the counted failures that are stored with the task.
func (t *task) storedFailures() []int {
	list := t.countedFailures
	if t.step.spec.LongRunning {
		list = list[max(0, len(list)-maxStoredFailures):]
	}
	return slices.Clone(list)
}

// recordFailure remembers that the failure of an attempt has been counted.
func (t *task) recordFailure(attempt int) {
	if len(t.countedFailures) == maxCountedFailures {
		t.countedFailures = slices.Delete(t.countedFailures, 0, 1)
	}
	t.countedFailures = append(t.countedFailures, attempt)
}

// failedAttempts returns how many attempts of the task have failed. The members of a gang
// have their attempts in common: each in which one has failed counts once.
func (t *task) failedAttempts() int {
	if !t.step.spec.Gang {
		return t.failures
	}
	attempts := map[int]bool{}
	for _, member := range t.step.tasks {
		for _, attempt := range member.countedFailures {
			attempts[attempt] = true
		}
	}
	return len(attempts)
}

// isIdle reports whether the task is not done and has no run.
func (t *task) isIdle() bool { return !t.done && len(t.runs) == 0 }

func (t *task) markDone() {
	if t.done {
		return
	}
	if t.isIdle() {
		t.step.idleTasks--
	}
	t.done = true
	t.step.occ.begun = true
	t.step.openTasks--
	if t.step.openTasks == 0 {
		t.step.occ.openSteps--
	}
}

// ready reports whether all steps that s depends on are done.
func (s *step) ready() bool {
	for _, dependency := range s.spec.After {
		if s.occ.steps[dependency].openTasks > 0 {
			return false
		}
	}
	return true
}

// canStart reports whether the task has no run and may be started now.
func (m *Scheduler) canStart(now time.Time, t *task) bool {
	if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.step.occ.job.dueAt(t.id.Occurrence) > m.wallMs {
		return false
	}
	if m.successorMayStart(t) {
		return false
	}
	return t.runAdopted || !t.step.occ.job.recovered || m.takeoverComplete()
}

// allIdleCanStart reports whether canStart holds for all idle tasks of the step, apart
// from those that a successor may start too.
func (m *Scheduler) allIdleCanStart(now time.Time, s *step) bool {
	return !now.Before(s.allFrom) && (!s.occ.job.recovered || m.takeoverComplete())
}

// objective returns the time by which the occurrence should have ended.
func (o *occurrence) objective() time.Time {
	return o.due.Add(time.Duration(float64(o.chain)*o.job.queue.Stretch) + o.job.queue.Target)
}

// findRun returns the task's run with the given attempt number at a worker, or
// nil.
func (t *task) findRun(w *worker, attempt int) *run {
	for _, r := range t.runs {
		if r.worker == w && r.attempt == attempt {
			return r
		}
	}
	return nil
}

// progress returns the state of the job that is to be stored.
func (j *job) progress() workload.Progress {
	p := workload.Progress{Queue: j.key.Queue, State: j.state, Ended: j.endedAt, NextOccurrence: j.firstOpen}
	if j.state.Ended() {
		return p
	}
	p.LaterEnded = slices.Sorted(maps.Keys(j.finishedOccurrences))
	for _, o := range j.openOccurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.done || t.failures > 0 || t.checkpoint != "" || t.lastAttempt > 1 {
					p.Tasks = append(p.Tasks, workload.TaskProgress{
						Occurrence: o.number, Step: s.index, Index: t.id.Index,
						Done: t.done, Failures: t.failures, CountedFailures: t.storedFailures(), LastAttempt: t.lastAttempt, Checkpoint: t.checkpoint,
					})
				}
			}
		}
	}
	return p
}

// remainingWork returns the estimated work that the occurrence has left, in
// core-seconds.
func (o *occurrence) remainingWork() float64 {
	sum := 0.0
	for _, s := range o.steps {
		sum += float64(s.openTasks) * s.spec.Estimate.Seconds() * float64(s.spec.Size.MilliCores) / 1000
	}
	return sum
}
