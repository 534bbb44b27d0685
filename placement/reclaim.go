package placement

import (
	"sort"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

const (
	// Workers with enough preemptible capacity that are compared before the
	// cheapest is chosen.
	maxReclaimCandidates = 16
	// Jobs that fit nowhere get a worker reserved only while fewer than one
	// worker in this many is reserved; one is always allowed.
	workersPerReservation = 50
)

// handleUnplaced reclaims capacity for a job that fits on no worker, refuses the
// job, reserves a worker for it, or leaves it waiting.
func (s *Scheduler) handleUnplaced(j *job, now time.Time) {
	waited := now.Sub(j.Submitted)
	switch {
	case j.Class == structs.ClassUrgent && s.reclaimFor(j, now):
	case waited < s.opt.ReserveAfter:
	case s.unplaceableReason(&j.Job) != "":
		reason := s.unplaceableReason(&j.Job)
		s.removeWaiting(j)
		s.send(CommandRefused, j, reason)
	case len(s.reservations) < max(1, len(s.workers)/workersPerReservation):
		s.reserveWorker(j)
	}
}

// reclaimFor reserves the worker on which preemption costs least, and orders its
// batch tasks to throttle, checkpoint or stop. It returns false if no worker has
// enough preemptible capacity.
func (s *Scheduler) reclaimFor(j *job, now time.Time) bool {
	need := s.correctedSize(j)
	if s.failedReclaims.covers(need) {
		return false
	}
	var best *worker
	var bestPlan reclaimPlan
	candidates := 0
	for i := range s.workers {
		w := s.workers[(s.reclaimCursor+i)%len(s.workers)]
		if w.bucket < 0 || w.probation || w.reservedFor != nil || !need.Fits(w.free.Plus(w.preemptible)) || len(j.avoidWorkers) > 0 && !allowedOn(j, w) {
			continue
		}
		if p, ok := planReclaim(w, need); ok && (best == nil || p.cost < bestPlan.cost) {
			best, bestPlan = w, p
		}
		if candidates++; candidates == maxReclaimCandidates {
			s.reclaimCursor = (s.reclaimCursor + i + 1) % len(s.workers)
			break
		}
	}
	if best == nil {
		if len(j.avoidWorkers) == 0 {
			s.failedReclaims.add(need)
		}
		return false
	}
	s.addReservation(j, best)
	j.reclaimDeadline = now.Add(s.opt.ReclaimTimeout)
	s.applyReclaimPlan(bestPlan, j)
	return true
}

// allowedOn reports whether the worker is not one that the job avoids.
func allowedOn(j *job, w *worker) bool {
	for _, avoid := range j.avoidWorkers {
		if avoid.worker == w {
			return false
		}
	}
	return true
}

// reclaimPlan lists the batch tasks of a worker to throttle and to stop. cost is
// the sum of the cost constants over these tasks.
type reclaimPlan struct {
	throttle, stop []*job
	cost           int
}

// Cost of preempting one task: a throttle loses least, a stop without a
// checkpoint loses all progress.
const (
	costThrottle   = 1
	costCheckpoint = 4
	costStop       = 16
)

// planReclaim returns a plan that frees enough of the worker for need. It
// throttles tasks if only processors are short and that suffices; otherwise it
// stops tasks, first those that save their progress. It returns false if all
// preemptible tasks together do not free enough.
func planReclaim(w *worker, need Size) (reclaimPlan, bool) {
	deficit := need.Minus(w.free)
	if deficit.MemoryMB <= 0 && deficit.Accelerators <= 0 {
		if p, ok := planThrottle(w, deficit.MilliCores); ok {
			return p, true
		}
	}
	victims := make([]*job, 0, len(w.tasks))
	for _, t := range w.tasks {
		if t.run.preemptible {
			victims = append(victims, t)
		}
	}
	sort.SliceStable(victims, func(a, b int) bool {
		if victims[a].Checkpoints != victims[b].Checkpoints {
			return victims[a].Checkpoints
		}
		return victims[a].sequence > victims[b].sequence // the job submitted last loses least progress
	})
	var p reclaimPlan
	for _, t := range victims {
		if deficit.MilliCores <= 0 && deficit.MemoryMB <= 0 && deficit.Accelerators <= 0 {
			break
		}
		deficit = deficit.Minus(t.alloc)
		p.stop = append(p.stop, t)
		if t.Checkpoints {
			p.cost += costCheckpoint
		} else {
			p.cost += costStop
		}
	}
	return p, deficit.Fits(Size{})
}

// planThrottle returns a plan that frees deficit millicores by throttling alone.
// A throttled task gives up half of its processors.
func planThrottle(w *worker, deficit int) (reclaimPlan, bool) {
	var p reclaimPlan
	for _, t := range w.tasks {
		if deficit <= 0 {
			break
		}
		if t.run.preemptible && t.Throttleable && !t.run.throttlePending && t.run.throttledBy == (Size{}) {
			deficit -= t.alloc.MilliCores / 2
			p.throttle = append(p.throttle, t)
			p.cost += costThrottle
		}
	}
	return p, deficit <= 0
}

// applyReclaimPlan sends the commands of a plan that makes room for j.
func (s *Scheduler) applyReclaimPlan(p reclaimPlan, j *job) {
	for _, t := range p.throttle {
		t.run.throttlePending = true
		half := t.alloc
		half.MilliCores -= half.MilliCores / 2
		s.commands = append(s.commands, Command{Kind: CommandThrottle, Job: t.ID, Worker: t.worker.id, Token: t.token,
			Size: half, Expires: t.expires, Reason: "room for " + j.ID})
	}
	for _, t := range p.stop {
		if !t.Checkpoints {
			s.sendStop(t, "room for "+j.ID)
			continue
		}
		t.run.checkpointPending = true
		s.markNotPreemptible(t)
		s.send(CommandCheckpoint, t, "room for "+j.ID)
	}
}

// applyThrottle frees half of the processors of a task whose worker has
// confirmed the throttle.
func (s *Scheduler) applyThrottle(j *job) {
	if !j.run.throttlePending {
		return
	}
	half := Size{MilliCores: j.alloc.MilliCores / 2}
	j.run.throttlePending, j.run.throttledBy = false, half
	s.resizeAllocation(j, Size{}.Minus(half))
	s.noteFreed(j.worker)
}

// restoreThrottled ends the throttles of tasks whose processors are free again,
// unless the worker is reserved for a job.
func (s *Scheduler) restoreThrottled(w *worker) {
	if w.reservedFor != nil || w.removed {
		return
	}
	for _, t := range w.tasks {
		if t.run.throttledBy != (Size{}) && t.run.throttledBy.Fits(w.free) {
			more := t.run.throttledBy
			t.run.throttledBy = Size{}
			s.resizeAllocation(t, more)
			s.send(CommandRestore, t, "")
		}
	}
}

func (s *Scheduler) resizeAllocation(j *job, by Size) {
	w := j.worker
	j.alloc = j.alloc.Plus(by)
	w.free = w.free.Minus(by)
	if j.run.preemptible {
		w.preemptible = w.preemptible.Plus(by)
	}
	w.group.update(w)
	j.team.inUse = j.team.inUse.Plus(by)
}

// reserveWorker reserves the worker with the most free processors for a job that
// has waited long. Otherwise smaller jobs would take the capacity as soon as it
// becomes free.
func (s *Scheduler) reserveWorker(j *job) {
	need := s.correctedSize(j)
	var best *worker
	for _, w := range s.workers {
		if w.bucket < 0 || w.reservedFor != nil || w.probation || !need.Fits(w.group.Capacity) || !allowedOn(j, w) {
			continue
		}
		if best == nil || w.free.MilliCores > best.free.MilliCores {
			best = w
		}
	}
	if best != nil {
		s.addReservation(j, best)
	}
}

func (s *Scheduler) addReservation(j *job, w *worker) {
	j.reservedWorker, j.reclaimDeadline, w.reservedFor = w, time.Time{}, j
	s.reservations = append(s.reservations, j)
}

func (s *Scheduler) removeReservation(j *job) {
	if j.reservedWorker == nil {
		return
	}
	j.reservedWorker.reservedFor = nil
	s.noteFreed(j.reservedWorker)
	j.reservedWorker = nil
	for i, reserved := range s.reservations {
		if reserved == j {
			s.reservations = append(s.reservations[:i], s.reservations[i+1:]...)
			break
		}
	}
}

// startReserved starts the jobs that fit on their reserved workers by now.
// Throttles and checkpoints that are not confirmed by the deadline become stops;
// if a stop is not confirmed either, the task ends with its lease.
func (s *Scheduler) startReserved(now time.Time, limit int) int {
	started := 0
	for i := 0; i < len(s.reservations) && started < limit; {
		j := s.reservations[i]
		w := j.reservedWorker
		switch {
		case w.removed || w.bucket < 0:
			s.removeReservation(j)
			continue
		case !j.team.overQuota() && w.accepts(j, s.correctedSize(j)):
			j.queue.markDequeued(j)
			s.start(j, w, now)
			started++
			continue
		case !j.reclaimDeadline.IsZero() && now.After(j.reclaimDeadline):
			j.reclaimDeadline = time.Time{}
			s.stopPendingVictims(w, j)
		}
		i++
	}
	return started
}

// stopPendingVictims stops the tasks of a worker that have not confirmed a
// throttle or a checkpoint for j.
func (s *Scheduler) stopPendingVictims(w *worker, j *job) {
	for _, t := range w.tasks {
		if t.run.checkpointPending || t.run.throttlePending {
			t.run.throttlePending = false
			s.sendStop(t, "took too long to make room for "+j.ID)
		}
	}
}
