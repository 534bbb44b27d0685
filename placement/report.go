package placement

import (
	"container/heap"
	"fmt"
	"time"
)

// Report handles a worker's message about a task. It returns ErrFenced if the
// token is not the job's current one, or if the job is not running.
func (s *Scheduler) Report(r Report, now time.Time) error {
	j := s.jobs[r.Job]
	if j == nil || j.worker == nil || j.token != r.Token {
		return fmt.Errorf("job %s, token %d: %w", r.Job, r.Token, ErrFenced)
	}
	switch r.Kind {
	case ReportRunning:
		j.expires = now.Add(s.opt.TaskLease)
		s.growAllocation(j, r.Used)
	case ReportThrottled:
		s.applyThrottle(j)
	case ReportCheckpointed:
		j.progress = r.Progress
		s.handleStopped(j)
	case ReportStopped:
		s.handleStopped(j)
	case ReportFinished:
		s.handleFinished(j, r)
	case ReportFailed:
		s.countFailure(j, j.worker, now)
		s.retryOrFail(j, now, "the task failed")
	default:
		return fmt.Errorf("job %s: unknown report kind %q", r.Job, r.Kind)
	}
	return nil
}

// growAllocation raises the allocation to the reported use, so that no job is
// placed on capacity that is already in use.
func (s *Scheduler) growAllocation(j *job, used Size) {
	more := used.componentMax(j.alloc).Minus(j.alloc)
	more.Accelerators = 0
	if more == (Size{}) || j.run.throttledBy != (Size{}) {
		return
	}
	w := j.worker
	j.alloc = j.alloc.Plus(more)
	w.free = w.free.Minus(more)
	if j.run.preemptible {
		w.preemptible = w.preemptible.Plus(more)
	}
	w.group.update(w)
	j.team.inUse = j.team.inUse.Plus(more)
}

// release frees the resources of the job's run.
func (s *Scheduler) release(j *job) {
	w := j.worker
	w.free = w.free.Plus(j.alloc)
	if j.run.preemptible {
		w.preemptible = w.preemptible.Minus(j.alloc)
	}
	for i, t := range w.tasks {
		if t == j {
			w.tasks[i] = w.tasks[len(w.tasks)-1]
			w.tasks = w.tasks[:len(w.tasks)-1]
			break
		}
	}
	j.team.running--
	j.team.inUse = j.team.inUse.Minus(j.alloc)
	j.worker, j.alloc = nil, Size{}
	w.group.update(w)
	s.restoreThrottled(w)
	s.noteFreed(w)
}

func (s *Scheduler) handleFinished(j *job, r Report) {
	w := j.worker
	used := r.Used
	if j.run.throttledBy != (Size{}) || j.progress > 0 {
		r.Ran = 0 // a throttled or resumed run is not comparable with the declared run time
	}
	s.corrections.observe(&j.Job, w.group.Name, used, r.Ran)
	w.failureStreak, w.quarantineStreak, w.probation = 0, 0, false
	s.release(j)
	delete(s.jobs, j.ID)
}

// handleStopped queues a job again whose task was ordered to stop, unless the job
// was cancelled.
func (s *Scheduler) handleStopped(j *job) {
	cancelled := j.run.cancelled
	s.release(j)
	if cancelled {
		delete(s.jobs, j.ID)
		return
	}
	j.preemptions++
	s.enqueue(j)
}

// retryOrFail queues a job again after a run that failed or was lost, or fails the
// job if it has no attempts left. Lost runs count as well, because the job may be
// the cause of its workers' failures.
func (s *Scheduler) retryOrFail(j *job, now time.Time, reason string) {
	w, cancelled := j.worker, j.run.cancelled
	s.release(j)
	if cancelled {
		delete(s.jobs, j.ID)
		return
	}
	j.failedRuns++
	if j.failedRuns >= j.MaxAttempts {
		delete(s.jobs, j.ID)
		s.commands = append(s.commands, Command{Kind: CommandFailed, Job: j.ID, Worker: w.id, Token: j.token,
			Reason: fmt.Sprintf("%s; %d of %d attempts used", reason, j.failedRuns, j.MaxAttempts)})
		return
	}
	s.avoid(j, w, now.Add(s.opt.InitialQuarantine))
	s.enqueue(j)
}

// Limits of quarantines. The share of quarantined workers is bounded, so that a
// faulty kind of job cannot take the whole fleet out of use.
const (
	quarantineAfter       = 3 // consecutive failures
	maxQuarantinedShare   = 0.25
	maxQuarantineDuration = time.Hour
)

// countFailure counts a failure of the worker and quarantines the worker at the
// limit. It does nothing if two earlier runs of the job failed as well, which
// makes the job the likely cause.
func (s *Scheduler) countFailure(j *job, w *worker, now time.Time) {
	if j.failedRuns >= 2 {
		return
	}
	w.failureStreak++
	if w.failureStreak < quarantineAfter && !w.probation {
		return
	}
	if w.bucket < 0 || float64(s.quarantined+1) > maxQuarantinedShare*float64(len(s.workers)) {
		return
	}
	duration := min(s.opt.InitialQuarantine<<min(w.quarantineStreak, 10), maxQuarantineDuration)
	w.quarantineStreak++
	w.group.remove(w)
	s.quarantined++
	heap.Push(&s.timers, timer{at: now.Add(duration), worker: w})
}

// endQuarantine puts a worker on probation: it gets one task at a time until one
// succeeds, and a failure before that quarantines it again.
func (s *Scheduler) endQuarantine(w *worker) {
	s.quarantined--
	if w.removed {
		return
	}
	w.probation, w.failureStreak = true, 0
	s.addToIndex(w)
}

// Cancel ends jobs. Waiting jobs are removed at once. Running ones are ordered to
// stop; they end with the worker's report or with their lease. Cancel returns the
// number of given jobs that were waiting or running.
func (s *Scheduler) Cancel(ids ...string) int {
	n := 0
	for _, id := range ids {
		j := s.jobs[id]
		if j == nil {
			continue
		}
		n++
		if j.worker == nil {
			s.removeWaiting(j)
			continue
		}
		j.run.cancelled = true
		s.sendStop(j, "cancelled")
	}
	return n
}

func (s *Scheduler) removeWaiting(j *job) {
	s.removeReservation(j)
	j.queue.markDequeued(j)
	delete(s.jobs, j.ID)
}

func (s *Scheduler) sendStop(j *job, reason string) {
	if j.run.stopPending {
		return
	}
	j.run.stopPending = true
	s.markNotPreemptible(j)
	s.send(CommandStop, j, reason)
}

// markNotPreemptible excludes a task from preemption by urgent jobs.
func (s *Scheduler) markNotPreemptible(j *job) {
	if j.run.preemptible {
		j.run.preemptible = false
		j.worker.preemptible = j.worker.preemptible.Minus(j.alloc)
	}
}

// timer fires at the end of a lease or of an avoidance, or of a quarantine if
// worker is set.
type timer struct {
	at     time.Time
	job    *job
	token  uint64
	worker *worker
}

type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// fireTimers handles leases, avoidances and quarantines that have ended. A renewal does not
// touch the timer of its lease; the timer is set again when it fires early.
func (s *Scheduler) fireTimers(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		t := heap.Pop(&s.timers).(timer)
		switch {
		case t.worker != nil:
			s.endQuarantine(t.worker)
		case t.job.worker == nil:
			t.job.endAvoidances(now)
		case t.job.token != t.token:
		case t.job.expires.After(now):
			heap.Push(&s.timers, timer{at: t.job.expires, job: t.job, token: t.token})
		default:
			s.retryOrFail(t.job, now, "the lease expired")
		}
	}
}
