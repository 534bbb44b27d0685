package placement

import (
	"container/heap"
	"fmt"
	"time"
)

// Report takes a worker's message about a task. It returns ErrFenced if the
// token is not the job's current one, or if the job has ended.
func (s *Scheduler) Report(r Report, now time.Time) error {
	j := s.jobs[r.Job]
	if j == nil || j.worker == nil || j.token != r.Token {
		return fmt.Errorf("job %s, token %d: %w", r.Job, r.Token, ErrFenced)
	}
	switch r.Kind {
	case ReportRunning:
		j.expires = now.Add(s.opt.Lease)
		s.grow(j, r.Used)
	case ReportThrottled:
		s.throttled(j)
	case ReportCheckpointed:
		j.progress = r.Progress
		s.stopped(j)
	case ReportStopped:
		s.stopped(j)
	case ReportFinished:
		s.finished(j, r)
	case ReportFailed:
		s.blame(j, j.worker, now)
		s.retry(j, now, "the task failed")
	default:
		return fmt.Errorf("job %s: unknown report kind %q", r.Job, r.Kind)
	}
	return nil
}

// grow takes a use above the allocation into account, so that no further job
// is placed into room that is not there.
func (s *Scheduler) grow(j *job, used Size) {
	more := used.atLeast(j.alloc).Minus(j.alloc)
	more.Accelerators = 0
	if more == (Size{}) || j.run.throttled != (Size{}) {
		return
	}
	w := j.worker
	j.alloc = j.alloc.Plus(more)
	w.free = w.free.Minus(more)
	if j.run.batch {
		w.batch = w.batch.Plus(more)
	}
	w.kind.update(w)
	j.team.use = j.team.use.Plus(more)
}

// release gives the job's resources back.
func (s *Scheduler) release(j *job) {
	w := j.worker
	w.free = w.free.Plus(j.alloc)
	if j.run.batch {
		w.batch = w.batch.Minus(j.alloc)
	}
	for i, t := range w.tasks {
		if t == j {
			w.tasks[i] = w.tasks[len(w.tasks)-1]
			w.tasks = w.tasks[:len(w.tasks)-1]
			break
		}
	}
	j.team.running--
	j.team.use = j.team.use.Minus(j.alloc)
	j.worker, j.alloc = nil, Size{}
	w.kind.update(w)
	s.restore(w)
	s.freed(w)
}

func (s *Scheduler) finished(j *job, r Report) {
	w := j.worker
	used := r.Used
	if j.run.throttled != (Size{}) || j.progress > 0 {
		r.Ran = 0 // not comparable with the declared run time
	}
	s.learn.observe(&j.Job, w.kind.Name, used, r.Ran)
	w.streak, w.quarantines, w.probation = 0, 0, false
	s.release(j)
	delete(s.jobs, j.ID)
}

// stopped handles the end of a task that was ordered to stop.
func (s *Scheduler) stopped(j *job) {
	cancelled := j.run.cancelled
	s.release(j)
	if cancelled {
		delete(s.jobs, j.ID)
		return
	}
	j.preemptions++
	s.enqueue(j)
}

// retry queues a job again after a run that failed or was lost, or ends it at
// its limit. A lost run counts as well: a job may be what breaks its workers.
func (s *Scheduler) retry(j *job, now time.Time, why string) {
	w, cancelled := j.worker, j.run.cancelled
	s.release(j)
	if cancelled {
		delete(s.jobs, j.ID)
		return
	}
	j.attempts++
	if j.attempts >= j.Attempts {
		delete(s.jobs, j.ID)
		s.out = append(s.out, Command{Kind: CommandFailed, Job: j.ID, Worker: w.id, Token: j.token,
			Reason: fmt.Sprintf("%s; %d of %d attempts used", why, j.attempts, j.Attempts)})
		return
	}
	j.failedOn = append(j.failedOn, w)
	j.avoidUntil = now.Add(s.opt.Quarantine)
	s.enqueue(j)
}

// Failures that quarantine a worker, and the fraction of workers that may be
// in quarantine at once: a bad kind of job must not empty the fleet.
const (
	streakLimit    = 3
	quarantineMost = 0.25
	maxQuarantine  = time.Hour
)

// blame counts a failure against the worker unless two earlier runs of the job
// failed as well, which makes the job the likely cause.
func (s *Scheduler) blame(j *job, w *worker, now time.Time) {
	if j.attempts >= 2 {
		return
	}
	w.streak++
	if w.streak < streakLimit && !w.probation {
		return
	}
	if w.bucket < 0 || float64(s.quarantined+1) > quarantineMost*float64(len(s.workers)) {
		return
	}
	d := min(s.opt.Quarantine<<min(w.quarantines, 10), maxQuarantine)
	w.quarantines++
	w.kind.remove(w)
	s.quarantined++
	heap.Push(&s.timers, timer{at: now.Add(d), worker: w})
}

// admit ends a quarantine. The worker gets one task at a time until one
// succeeds, and goes back at once if it fails.
func (s *Scheduler) admit(w *worker) {
	s.quarantined--
	if w.gone {
		return
	}
	w.probation, w.streak = true, 0
	s.enter(w)
}

// Cancel ends jobs. Waiting jobs end at once; running ones are ordered to
// stop and end with the worker's report or with their lease. It returns the
// number of jobs that were known.
func (s *Scheduler) Cancel(ids ...string) int {
	n := 0
	for _, id := range ids {
		j := s.jobs[id]
		if j == nil {
			continue
		}
		n++
		if j.worker == nil {
			s.forget(j)
			continue
		}
		j.run.cancelled = true
		s.stop(j, "cancelled")
	}
	return n
}

// forget removes a waiting job.
func (s *Scheduler) forget(j *job) {
	s.dropHold(j)
	j.queue.take(j)
	delete(s.jobs, j.ID)
}

func (s *Scheduler) stop(j *job, reason string) {
	if j.run.stopping {
		return
	}
	j.run.stopping = true
	s.unlist(j)
	s.send(CommandStop, j, reason)
}

// unlist takes a task out of those that can make room for urgent work.
func (s *Scheduler) unlist(j *job) {
	if j.run.batch {
		j.run.batch = false
		j.worker.batch = j.worker.batch.Minus(j.alloc)
	}
}

// timer is the end of a lease or of a quarantine.
type timer struct {
	at     time.Time
	job    *job
	token  uint64
	worker *worker
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// expire handles leases and quarantines that have ended. A lease that was
// renewed gets a new timer only when the old one fires.
func (s *Scheduler) expire(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		t := heap.Pop(&s.timers).(timer)
		switch {
		case t.worker != nil:
			s.admit(t.worker)
		case t.job.worker == nil || t.job.token != t.token:
		case t.job.expires.After(now):
			heap.Push(&s.timers, timer{at: t.job.expires, job: t.job, token: t.token})
		default:
			s.retry(t.job, now, "the lease expired")
		}
	}
}
