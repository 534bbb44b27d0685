package engine

import (
	"cmp"
	"slices"
	"time"
)

// maxReleaseWait is the maximum remaining run time with which a finite task
// with checkpoints is left to finish at a worker that is to be released. A task
// with more is stopped and continues elsewhere.
const maxReleaseWait = 2 * time.Second

// departure says how soon a worker has to be empty.
type departure int

const (
	staying  departure = iota
	upcoming           // its machine must be released later
	released           // its machine is to be released
	draining           // the worker ends
)

func (m *Scheduler) departureOf(w *worker) departure {
	switch {
	case w.Draining:
		return draining
	case m.toRelease[w.Machine]:
		return released
	case m.upcomingRelease[w.Machine]:
		return upcoming
	}
	return staying
}

// evacuate stops runs that must move off workers that have to be empty now or later.
// Workers that have to be empty first go first: the long-running tasks of a step move
// one by one, and in another order a worker could wait for those of all others. For the
// same reason these tasks move off machines that must be released later, as long as
// nothing more urgent moves.
func (m *Scheduler) evacuate(now time.Time) {
	early := !now.Before(m.nextEarlyMoves)
	if early {
		m.nextEarlyMoves = now.Add(supervisionInterval)
	}
	leaving := m.leavingWorkers[:0]
	for _, w := range m.sortedWorkers {
		switch m.departureOf(w) {
		case staying, upcoming:
			w.leavingSince = time.Time{}
			if !early || !m.upcomingRelease[w.Machine] {
				continue
			}
		default:
			if w.leavingSince.IsZero() {
				w.leavingSince = now
			}
		}
		if len(w.runs) > 0 {
			leaving = append(leaving, w)
		}
	}
	m.leavingWorkers = leaving
	slices.SortStableFunc(leaving, func(a, b *worker) int {
		if c := cmp.Compare(m.departureOf(b), m.departureOf(a)); c != 0 {
			return c
		}
		return a.leavingSince.Compare(b.leavingSince)
	})
	for _, w := range leaving {
		for i := 0; i < len(w.runs); i++ {
			r := w.runs[i]
			if r.state != running || r.task.step.occ.job.state.Ended() {
				continue
			}
			if m.mustMove(now, w, r) {
				m.stopRun(r, "the worker leaves or is released")
			}
		}
	}
	clear(leaving) // the buffer must not keep workers that are gone
}

func (m *Scheduler) mustMove(now time.Time, w *worker, r *run) bool {
	s := r.task.step
	if s.spec.LongRunning {
		switch {
		case w.Draining:
			return true
		case now.Before(m.noMovesBefore):
			return false
		case !m.toRelease[w.Machine] && !m.hasFreeRoomToStay(now, s):
			return false // the move can wait until there is room
		}
		return m.mayInterrupt(r)
	}
	if !w.Draining && !m.toRelease[w.Machine] {
		return false
	}
	left := time.Duration(float64(s.spec.Estimate) * float64(100-r.percent) / 100)
	if w.Draining {
		return s.spec.Checkpoints && left > w.Remaining
	}
	return s.spec.Checkpoints && left > maxReleaseWait
}

// mayInterrupt reports whether a long-running task may be stopped: its step's
// disruption budget allows it, and another worker can take the task.
func (m *Scheduler) mayInterrupt(r *run) bool {
	s := r.task.step
	budget := max(1, s.spec.DisruptionBudget)
	for _, t := range s.tasks {
		if t != r.task && !m.isServing(t) {
			budget--
		}
	}
	return budget > 0 && m.hasRoomElsewhere(s, r.worker)
}

// isServing reports whether a run of a long-running task is ready to serve at a
// worker that answers. After a takeover the worker must have been asked since the former
// owner's stop orders have ended: it may have stopped the run for it.
func (m *Scheduler) isServing(t *task) bool {
	for _, r := range t.runs {
		if r.state == running && r.percent >= 100 && !r.worker.suspect && !r.worker.lastHoldSent.Before(m.noMovesBefore) {
			return true
		}
	}
	return false
}

// hasRoomElsewhere reports whether a worker other than except could take a
// long-running task once finite tasks there have ended.
func (m *Scheduler) hasRoomElsewhere(s *step, except *worker) bool {
	for _, w := range m.sortedWorkers {
		if w != except && m.hasRoomForLongRunning(s, w) {
			return true
		}
	}
	return false
}

// hasFreeRoomToStay reports whether a worker whose machine need not be released has room
// for a long-running task at present.
func (m *Scheduler) hasFreeRoomToStay(now time.Time, s *step) bool {
	for _, w := range m.sortedWorkers {
		if !m.upcomingRelease[w.Machine] && s.demand().Fits(w.free()) && m.usable(now, w) && m.stepAllows(now, s, w) {
			return true
		}
	}
	return false
}
