package placement

import (
	"container/heap"
	"fmt"
	"time"
)

// Record is the state of a job that must survive the process: what a new
// holder of the pool's lease needs to go on.
type Record struct {
	Job         Job
	Attempts    int // runs that failed or were lost
	Preemptions int
	Progress    time.Duration
	Token       uint64    // of the last start; 0 if there was none
	Worker      string    // empty while the job waits
	Size        Size      // held on the worker
	Expires     time.Time // of the lease on the worker
	Cancelled   bool
}

// Record returns the state of a job that has not ended.
func (s *Scheduler) Record(id string) (Record, bool) {
	j := s.jobs[id]
	if j == nil {
		return Record{}, false
	}
	r := Record{Job: j.Job, Attempts: j.attempts, Preemptions: j.preemptions, Progress: j.progress, Token: j.token}
	if j.worker != nil {
		r.Worker, r.Size, r.Expires, r.Cancelled = j.worker.id, j.alloc, j.expires, j.run.cancelled
	}
	return r, true
}

// Recover adds a job from its record. Workers are added before. A task keeps
// its token, so reports of its worker are accepted, and at least a whole lease
// from now: it may have been renewed after the record was written. Throttles
// and stops in progress are forgotten; the next need for room orders them
// again.
func (s *Scheduler) Recover(r Record, now time.Time) error {
	if s.jobs[r.Job.ID] != nil {
		return &RefusalError{Job: r.Job.ID, Reason: "a job with this identifier has not ended"}
	}
	if r.Worker != "" && r.Token == 0 {
		return fmt.Errorf("job %s: a task on worker %s without a token", r.Job.ID, r.Worker)
	}
	t := s.team(r.Job.Team)
	s.number++
	j := &job{Job: r.Job, number: s.number, team: t, queue: &t.queues[levelOf(r.Job.Class)],
		attempts: r.Attempts, preemptions: r.Preemptions, progress: r.Progress, token: r.Token}
	if j.Attempts <= 0 {
		j.Attempts = s.opt.Attempts
	}
	s.jobs[j.ID] = j
	s.token = max(s.token, r.Token)
	if r.Worker == "" {
		s.enqueue(j)
		return nil
	}
	w := s.byID[r.Worker]
	if w == nil { // it left the fleet and may still run the task
		w = &worker{id: r.Worker, kind: newGroup(WorkerType{}), gone: true, bucket: -1}
	}
	s.occupy(j, w, r.Size)
	j.expires = r.Expires
	if least := now.Add(s.opt.Lease); j.expires.Before(least) {
		j.expires = least
	}
	heap.Push(&s.timers, timer{at: j.expires, job: j, token: j.token})
	if r.Cancelled {
		j.run.cancelled = true
		s.stop(j, "cancelled")
	}
	return nil
}

// occupy gives a job resources of a worker.
func (s *Scheduler) occupy(j *job, w *worker, size Size) {
	j.worker, j.alloc = w, size
	j.run = runState{batch: levelOf(j.Class) == levelBatch && j.preemptions < s.opt.Preemptions}
	w.free = w.free.minus(size)
	w.tasks = append(w.tasks, j)
	if j.run.batch {
		w.batch = w.batch.plus(size)
		s.moreBatch(w)
	}
	w.kind.update(w)
	j.team.running++
	j.team.use = j.team.use.plus(size)
}
