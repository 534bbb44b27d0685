package placement

import (
	"container/heap"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Run is a run that an earlier holder of the pool's lease started.
type Run struct {
	Worker   string
	Token    uint64
	Progress time.Duration // work that a checkpoint of an earlier run holds
}

// Adopt takes over a job that runs. Its worker may be unknown: the job then
// counts as running until a report or the end of its lease, since the worker
// may still run it.
func (s *Scheduler) Adopt(j Job, r Run, now time.Time) {
	if s.jobs[j.ID] != nil {
		return
	}
	if j.Attempts <= 0 {
		j.Attempts = s.opt.Attempts
	}
	t := s.team(j.Team)
	s.number++
	a := &job{Job: j, number: s.number, team: t, queue: &t.queues[levelOf(j.Class)], progress: r.Progress}
	s.jobs[j.ID] = a
	w := s.byID[r.Worker]
	if w == nil {
		w = &worker{id: r.Worker, kind: newGroup(WorkerType{}), gone: true, bucket: -1}
	}
	a.token, a.worker, a.alloc = r.Token, w, s.need(a)
	a.run = runState{batch: j.Class == structs.ClassBatch && !w.gone}
	a.expires = now.Add(s.opt.Lease)
	w.free = w.free.minus(a.alloc)
	w.tasks = append(w.tasks, a)
	if a.run.batch {
		w.batch = w.batch.plus(a.alloc)
		s.moreBatch(w)
	}
	w.kind.update(w)
	t.running++
	t.use = t.use.plus(a.alloc)
	heap.Push(&s.timers, timer{at: a.expires, job: a, token: a.token})
}

// Resume queues a job of which a checkpoint holds some work. It fails as
// Submit does.
func (s *Scheduler) Resume(j Job, progress time.Duration, now time.Time) error {
	if err := s.Submit(j, now); err != nil {
		return err
	}
	s.jobs[j.ID].progress = progress
	return nil
}

// Has reports whether the job has not ended.
func (s *Scheduler) Has(id string) bool { return s.jobs[id] != nil }

// Drop forgets a job without any command.
func (s *Scheduler) Drop(id string) {
	j := s.jobs[id]
	switch {
	case j == nil:
	case j.worker == nil:
		s.forget(j)
	default:
		s.release(j)
		delete(s.jobs, id)
	}
}

// Preempt saves a run's progress if it can and stops it, so that its worker
// can leave. The job is queued again by the worker's report.
func (s *Scheduler) Preempt(id, reason string) {
	j := s.jobs[id]
	if j == nil || j.worker == nil || j.run.saving || j.run.stopping {
		return
	}
	if !j.Checkpoints {
		s.stop(j, reason)
		return
	}
	j.run.saving = true
	s.unlist(j)
	s.send(CommandCheckpoint, j, reason)
}

// Bounce queues a job again whose worker did not take it. It counts neither
// as an attempt nor against the worker; the job goes elsewhere for a while.
func (s *Scheduler) Bounce(id string, token uint64, now time.Time) bool {
	j := s.jobs[id]
	if j == nil || j.worker == nil || j.token != token {
		return false
	}
	w := j.worker
	s.release(j)
	if j.run.cancelled {
		delete(s.jobs, id)
		return true
	}
	j.failedOn, j.avoidUntil = append(j.failedOn, w), now.Add(s.opt.Quarantine)
	s.enqueue(j)
	return true
}
