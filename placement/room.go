package placement

import (
	"sort"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

const (
	// Workers with enough batch work that are compared before one is chosen.
	roomCompared = 16
	// At most one worker in this many is held for jobs that fit nowhere.
	holdOneIn = 50
)

// blocked decides what becomes of a job for which no worker has room.
func (s *Scheduler) blocked(j *job, now time.Time) {
	waited := now.Sub(j.Submitted)
	switch {
	case j.Class == structs.ClassUrgent && s.makeRoom(j, now):
	case waited < s.opt.ReserveAfter:
	case s.impossible(&j.Job) != "":
		reason := s.impossible(&j.Job)
		s.forget(j)
		s.send(CommandRefused, j, reason)
	case len(s.held) < max(1, len(s.workers)/holdOneIn):
		s.reserve(j)
	}
}

// makeRoom holds the worker where the least batch work has to give way, and
// orders that work to slow down or to stop.
func (s *Scheduler) makeRoom(j *job, now time.Time) bool {
	need := s.need(j)
	if s.noRoom.covers(need) {
		return false
	}
	var best *worker
	var bestPlan roomPlan
	seen := 0
	for i := range s.workers {
		w := s.workers[(s.cursor+i)%len(s.workers)]
		if w.bucket < 0 || w.probation || w.held != nil || !need.Fits(w.free.Plus(w.batch)) || len(j.failedOn) > 0 && !mayUse(j, w) {
			continue
		}
		if p, ok := planRoom(w, need); ok && (best == nil || p.cost < bestPlan.cost) {
			best, bestPlan = w, p
		}
		if seen++; seen == roomCompared {
			s.cursor = (s.cursor + i + 1) % len(s.workers)
			break
		}
	}
	if best == nil {
		if len(j.failedOn) == 0 {
			s.noRoom.note(need)
		}
		return false
	}
	s.hold(j, best)
	j.holdUntil = now.Add(s.opt.HoldFor)
	s.carryOut(bestPlan, j)
	return true
}

// mayUse reports whether the job has not failed on the worker.
func mayUse(j *job, w *worker) bool {
	for _, f := range j.failedOn {
		if f == w {
			return false
		}
	}
	return true
}

// roomPlan is the batch work of a worker that gives way. cost is the number
// of throttled tasks plus 4 for each saved and 16 for each stopped without
// saving: a throttle loses least, a stop loses all progress.
type roomPlan struct {
	throttle, stop []*job
	cost           int
}

const (
	costThrottle = 1
	costSave     = 4
	costStop     = 16
)

func planRoom(w *worker, need Size) (roomPlan, bool) {
	short := need.Minus(w.free)
	if short.MemoryMB <= 0 && short.Accelerators <= 0 {
		if p, ok := planThrottle(w, short.MilliCores); ok {
			return p, true
		}
	}
	victims := make([]*job, 0, len(w.tasks))
	for _, t := range w.tasks {
		if t.run.batch {
			victims = append(victims, t)
		}
	}
	sort.SliceStable(victims, func(a, b int) bool {
		if victims[a].Checkpoints != victims[b].Checkpoints {
			return victims[a].Checkpoints
		}
		return victims[a].number > victims[b].number // the youngest loses least
	})
	var p roomPlan
	for _, t := range victims {
		if short.MilliCores <= 0 && short.MemoryMB <= 0 && short.Accelerators <= 0 {
			break
		}
		short = short.Minus(t.alloc)
		p.stop = append(p.stop, t)
		if t.Checkpoints {
			p.cost += costSave
		} else {
			p.cost += costStop
		}
	}
	return p, short.Fits(Size{})
}

func planThrottle(w *worker, short int) (roomPlan, bool) {
	var p roomPlan
	for _, t := range w.tasks {
		if short <= 0 {
			break
		}
		if t.run.batch && t.Throttleable && !t.run.throttle && t.run.throttled == (Size{}) {
			short -= t.alloc.MilliCores / 2
			p.throttle = append(p.throttle, t)
			p.cost += costThrottle
		}
	}
	return p, short <= 0
}

func (s *Scheduler) carryOut(p roomPlan, j *job) {
	for _, t := range p.throttle {
		t.run.throttle = true
		half := t.alloc
		half.MilliCores -= half.MilliCores / 2
		s.out = append(s.out, Command{Kind: CommandThrottle, Job: t.ID, Worker: t.worker.id, Token: t.token,
			Size: half, Expires: t.expires, Reason: "room for " + j.ID})
	}
	for _, t := range p.stop {
		if !t.Checkpoints {
			s.stop(t, "room for "+j.ID)
			continue
		}
		t.run.saving = true
		s.unlist(t)
		s.send(CommandCheckpoint, t, "room for "+j.ID)
	}
}

// throttled gives back half of the processors of a task.
func (s *Scheduler) throttled(j *job) {
	if !j.run.throttle {
		return
	}
	half := Size{MilliCores: j.alloc.MilliCores / 2}
	j.run.throttle, j.run.throttled = false, half
	s.resize(j, Size{}.Minus(half))
	s.freed(j.worker)
}

// restore ends throttles on a worker that has room again.
func (s *Scheduler) restore(w *worker) {
	if w.held != nil || w.gone {
		return
	}
	for _, t := range w.tasks {
		if t.run.throttled != (Size{}) && t.run.throttled.Fits(w.free) {
			more := t.run.throttled
			t.run.throttled = Size{}
			s.resize(t, more)
			s.send(CommandRestore, t, "")
		}
	}
}

func (s *Scheduler) resize(j *job, by Size) {
	w := j.worker
	j.alloc = j.alloc.Plus(by)
	w.free = w.free.Minus(by)
	if j.run.batch {
		w.batch = w.batch.Plus(by)
	}
	w.kind.update(w)
	j.team.use = j.team.use.Plus(by)
}

// reserve holds the worker with the most free processors for a job that has
// waited long, so that smaller jobs stop taking its room.
func (s *Scheduler) reserve(j *job) {
	need := s.need(j)
	var best *worker
	for _, w := range s.workers {
		if w.bucket < 0 || w.held != nil || w.probation || !need.Fits(w.kind.Capacity) || !mayUse(j, w) {
			continue
		}
		if best == nil || w.free.MilliCores > best.free.MilliCores {
			best = w
		}
	}
	if best != nil {
		s.hold(j, best)
	}
}

func (s *Scheduler) hold(j *job, w *worker) {
	j.hold, j.holdUntil, w.held = w, time.Time{}, j
	s.held = append(s.held, j)
}

func (s *Scheduler) dropHold(j *job) {
	if j.hold == nil {
		return
	}
	j.hold.held = nil
	s.freed(j.hold)
	j.hold = nil
	for i, h := range s.held {
		if h == j {
			s.held = append(s.held[:i], s.held[i+1:]...)
			break
		}
	}
}

// startHeld starts the jobs for which room was made. A checkpoint that takes
// too long becomes a stop; the end of the task's lease bounds the wait.
func (s *Scheduler) startHeld(now time.Time, limit int) int {
	started := 0
	for i := 0; i < len(s.held) && started < limit; {
		j := s.held[i]
		w := j.hold
		switch {
		case w.gone || w.bucket < 0:
			s.dropHold(j)
			continue
		case !j.team.overQuota() && w.accepts(j, s.need(j)):
			j.queue.take(j)
			s.start(j, w, now)
			started++
			continue
		case !j.holdUntil.IsZero() && now.After(j.holdUntil):
			j.holdUntil = time.Time{}
			s.stopVictims(w, j)
		}
		i++
	}
	return started
}

func (s *Scheduler) stopVictims(w *worker, j *job) {
	for _, t := range w.tasks {
		if t.run.saving || t.run.throttle {
			t.run.throttle = false
			s.stop(t, "took too long to make room for "+j.ID)
		}
	}
}
