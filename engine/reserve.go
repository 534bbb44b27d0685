package engine

import (
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// reserveWorker keeps one worker free of further finite tasks until a
// long-running task fits there. Otherwise small finite tasks would take all
// capacity as soon as it becomes free.
func (m *Scheduler) reserveWorker(now time.Time, s *step) {
	var best *worker
	for _, w := range m.sortedWorkers {
		if m.reserved[w] || !m.lacksOnlyRoom(now, s, w) {
			continue
		}
		if best == nil || w.free().MilliCores > best.free().MilliCores {
			best = w
		}
	}
	if best == nil {
		return
	}
	m.reserved[best] = true
	if !s.reservationLogged {
		s.reservationLogged = true
		job := s.occ.job.submission.ID
		m.emit(Decision{What: "worker-reserved", Job: job, Task: workload.StepName(job, s.occ.number, s.index), Worker: best.ID, Why: "a long-running task waits for room"})
	}
}

// lacksOnlyRoom reports whether the step's next task could be started at the worker if
// the finite tasks there ended. A worker that the step can't use for another reason would
// be kept free in vain, and an unknown answer of the placement policy is such a reason.
func (m *Scheduler) lacksOnlyRoom(now time.Time, s *step, w *worker) bool {
	if w.suspected || w.quarantinedUntil.After(now) || w.unhealthyUntil.After(now) || s.occ.job.queue.Policy != nil && !s.hasRecentTicket(now, w) {
		return false
	}
	return m.hasRoomForLongRunning(s, w)
}

// hasRoomForLongRunning reports whether a worker could take a long-running
// task beside the long-running tasks that it already has, if its finite tasks
// ended.
func (m *Scheduler) hasRoomForLongRunning(s *step, w *worker) bool {
	if !w.registered || !w.synced || !w.inLoadRow || w.gone || w.suspect || w.Draining || m.toRelease[w.Machine] {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.runsPerWorker[w.ID] >= s.spec.MaxPerWorker || s.spec.Label != "" && !w.hasLabel(s.spec.Label) {
		return false
	}
	room := w.Capacity
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning {
			room = room.Minus(r.task.step.demand())
		}
	}
	return s.demand().Fits(room)
}
