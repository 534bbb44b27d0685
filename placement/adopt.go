package placement

import (
	"container/heap"
	"slices"
	"time"
)

// Run describes a run that a previous holder of the pool's lease started.
type Run struct {
	Worker   string
	Token    uint64
	Progress time.Duration // saved by a checkpoint of an earlier run
}

// Adopt takes over a running job. If its worker is unknown, the job counts as
// running until a report arrives or its lease ends, since the worker may still
// run it. The token of the run has no influence on the tokens of later starts,
// which follow the lastToken given to New.
func (s *Scheduler) Adopt(j Job, r Run, now time.Time) {
	if s.jobs[j.ID] != nil {
		return
	}
	if j.MaxAttempts <= 0 {
		j.MaxAttempts = s.opt.MaxAttempts
	}
	t := s.team(j.Team)
	s.lastSequence++
	state := &job{Job: j, sequence: s.lastSequence, team: t, queue: &t.queues[levelOf(j.Class)], progress: r.Progress}
	s.jobs[j.ID] = state
	w := s.workersByID[r.Worker]
	if w == nil {
		w = &worker{id: r.Worker, group: newWorkerGroup(WorkerType{}), removed: true, bucket: -1}
	}
	state.token = r.Token
	s.occupy(state, w, s.correctedSize(state))
	if w.removed {
		s.markNotPreemptible(state) // preempting it would free no capacity
	}
	state.expires = now.Add(s.opt.TaskLease)
	heap.Push(&s.timers, timer{at: state.expires, job: state, token: state.token})
}

// Resume queues a job that has saved progress in a checkpoint. It returns the
// same errors as Submit.
func (s *Scheduler) Resume(j Job, progress time.Duration, now time.Time) error {
	if err := s.Submit(j, now); err != nil {
		return err
	}
	s.jobs[j.ID].progress = progress
	return nil
}

// Has reports whether the scheduler holds the job, waiting or running.
func (s *Scheduler) Has(id string) bool { return s.jobs[id] != nil }

// Drop removes a job without sending a command.
func (s *Scheduler) Drop(id string) {
	j := s.jobs[id]
	switch {
	case j == nil:
	case j.worker == nil:
		s.removeWaiting(j)
	default:
		s.release(j)
		delete(s.jobs, id)
	}
}

// Preempt orders the job's task to stop, with a checkpoint if it supports one, so
// that its worker can leave. The worker's report queues the job again.
func (s *Scheduler) Preempt(id, reason string) {
	j := s.jobs[id]
	if j == nil || j.worker == nil || j.run.checkpointPending || j.run.stopPending {
		return
	}
	if !j.Checkpoints {
		s.sendStop(j, reason)
		return
	}
	j.run.checkpointPending = true
	s.markNotPreemptible(j)
	s.send(CommandCheckpoint, j, reason)
}

// Requeue queues a job again that its worker did not accept. This counts neither
// as a failed run of the job nor as a failure of the worker. The job avoids the
// worker for refusalAvoidance. Requeue returns false if the token is
// not that of the current run.
func (s *Scheduler) Requeue(id string, token uint64, now time.Time) bool {
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
	s.avoid(j, w, now.Add(refusalAvoidance))
	s.enqueue(j)
	return true
}

// refusalAvoidance is how long a job avoids a worker that did not accept it. A
// worker that lacks room now may have it soon; with a longer time, a job that
// every worker has refused once waits although there is room.
const refusalAvoidance = time.Second

// avoidance is a worker that a job does not use until a time.
type avoidance struct {
	worker *worker
	until  time.Time
}

// avoid makes a job avoid a worker.
func (s *Scheduler) avoid(j *job, w *worker, until time.Time) {
	j.avoidWorkers = append(j.avoidWorkers, avoidance{w, until})
	heap.Push(&s.timers, timer{at: until, job: j, token: j.token})
}

// endAvoidances makes a waiting job try the workers again whose avoidance is over.
func (j *job) endAvoidances(now time.Time) {
	before := len(j.avoidWorkers)
	j.avoidWorkers = slices.DeleteFunc(j.avoidWorkers, func(a avoidance) bool { return !a.until.After(now) })
	j.queue.changed = j.queue.changed || len(j.avoidWorkers) < before
}
