package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/internal/times"
)

// A failed run may be the fault of its worker or of its job. Three observations tell them
// apart:
//
//   - A worker that completes a run which it began no earlier than a failed one is able to
//     run tasks, so the failure says nothing about it.
//   - A step whose tasks fail at several workers and succeed nowhere is at fault itself,
//     however wide it is.
//   - If the tasks of a step, which are identical, succeed elsewhere, the failures are the
//     worker's, but for a single task that fails at other workers too.
//
// As long as none of them has been made, a failure counts against the worker once for each
// job. A worker against which enough failures count is quarantined, until an observation
// takes them back. After its quarantine it is on probation: it gets one run at a time until
// one succeeds.

const (
	// quarantineBlame is the number of failures that quarantines a worker. A single one
	// may be the fault of the task.
	quarantineBlame = 2
	// The quarantine of a worker begins with minQuarantine and doubles each time that it
	// fails a run on probation.
	minQuarantine = 2 * time.Second
	maxQuarantine = 16 * time.Second
	// failureMemory is how long a failure counts. It is longer than the longest
	// quarantine, so that a worker that fails at long intervals stays on probation.
	failureMemory = 2 * maxQuarantine
	// failurePenaltyTime is how long after a failure, whosever fault it was, a worker gets
	// only tasks for which no other has room, unless it completes a run meanwhile.
	failurePenaltyTime = 3 * time.Second
	// failedStartPause is how long a task is not started again where it has failed. It
	// gives other workers time to get room, so that a worker that fails everything at once
	// does not use up the attempts of a task.
	failedStartPause = time.Second
	// servingProof is how long a long-running task must have served to count as a success.
	servingProof = 2 * time.Second
	// maxRestartDelay and minRestartDelay bound the delay before a long-running task that
	// has failed several times in a row is started again. It has no limit of attempts, and
	// each of them takes capacity from others.
	maxRestartDelay = 2 * time.Second
	minRestartDelay = 250 * time.Millisecond
)

// stepFailures are the failures of a step's tasks at one worker.
type stepFailures struct {
	step      *step
	tasks     []*task
	lastStart time.Time // when the latest of the failed runs was ordered; zero: unknown
	lastAt    time.Time // when the latest failure was reported
}

// recordTaskFailure records that a run of the task, ordered at started, has failed at the
// worker or makes no progress there.
func (m *Scheduler) recordTaskFailure(now time.Time, t *task, w *worker, started time.Time) {
	s := t.step
	f := s.failures[w]
	if f == nil {
		if s.failures == nil {
			s.failures = map[*worker]*stepFailures{}
		}
		f = &stepFailures{step: s}
		s.failures[w] = f
	}
	if !slices.Contains(f.tasks, t) {
		f.tasks = append(f.tasks, t)
		t.failedWorkers++
	}
	f.lastStart, f.lastAt = times.Later(f.lastStart, started), now
	if !slices.Contains(w.failures, f) {
		w.failures = append(w.failures, f)
	}
	w.lastFailure = now
	w.failedOnProbation = w.failedOnProbation || w.suspected && !started.Before(w.quarantinedUntil)
	m.reviewWorkersOf(s)
}

// recordSuccess records that a run of a step, ordered at started, has succeeded at the
// worker.
func (m *Scheduler) recordSuccess(now time.Time, s *step, w *worker, started time.Time) {
	w.lastSuccess = now
	if len(w.failures) > 0 {
		w.failures = slices.DeleteFunc(w.failures, func(f *stepFailures) bool { return !f.lastStart.After(started) })
		m.requestReview(w)
	}
	if !slices.Contains(s.succeededAt, w) && len(s.succeededAt) < enoughSuccesses {
		s.succeededAt = append(s.succeededAt, w)
	}
	m.reviewWorkersOf(s)
}

// enoughSuccesses is the number of workers at which a step is known to have succeeded, so
// that for each worker another one is among them.
const enoughSuccesses = 2

// succeededElsewhere reports whether a task of the step has succeeded at another worker.
func (s *step) succeededElsewhere(w *worker) bool {
	return slices.ContainsFunc(s.succeededAt, func(o *worker) bool { return o != w })
}

// isHopeless reports whether the step fails wherever it runs, as far as is known.
func (s *step) isHopeless() bool { return len(s.failures) > 1 && len(s.succeededAt) == 0 }

// blame returns how many failures of the step count against the worker w, and whether that
// is because the step has succeeded elsewhere.
func (f *stepFailures) blame(w *worker) (n int, proved bool) {
	if !f.step.succeededElsewhere(w) {
		if len(f.step.failures) > 1 {
			return 0, false
		}
		return 1, false
	}
	for _, t := range f.tasks {
		if t.done || t.failedWorkers == 1 {
			n++
		}
	}
	if f.step.spec.LongRunning {
		n = min(n, 1) // its tasks may fail at any time by themselves
	}
	return n, true
}

// blame returns how many failures count against the worker, and the number of jobs that
// they belong to.
func (w *worker) blame(now time.Time) (blame, jobs int) {
	w.failures = slices.DeleteFunc(w.failures, func(f *stepFailures) bool { return now.Sub(f.lastAt) > failureMemory })
	var counted []*job
	for _, f := range w.failures {
		n, proved := f.blame(w)
		if n == 0 {
			continue
		}
		known := slices.Contains(counted, f.step.occ.job)
		if !known {
			counted = append(counted, f.step.occ.job)
		}
		if proved || !known {
			blame += n
		}
	}
	return blame, len(counted)
}

// reviewWorkersOf requests a review of all workers at which the step has failed.
func (m *Scheduler) reviewWorkersOf(s *step) {
	for w := range s.failures {
		m.requestReview(w)
	}
}

func (m *Scheduler) requestReview(w *worker) {
	if !w.underReview {
		w.underReview = true
		m.toReview = append(m.toReview, w)
	}
}

// reviewWorkers quarantines workers and lifts quarantines. It runs after all reports of a
// call of Step have been processed, since a later one may take an earlier one back.
func (m *Scheduler) reviewWorkers(now time.Time) {
	slices.SortFunc(m.toReview, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }) // decisions in a fixed order
	for _, w := range m.toReview {
		blame, jobs := w.blame(now)
		switch {
		case blame < quarantineBlame:
			if w.suspected {
				m.logDecision("worker-cleared", fmt.Sprintf("%d failures are left that count against it", blame), nil, w, 0)
				w.suspected, w.quarantine, w.quarantinedUntil, m.needsPlacement = false, 0, time.Time{}, true
			}
		case !w.suspected || w.failedOnProbation:
			w.suspected = true
			w.quarantine = min(maxQuarantine, max(minQuarantine, 2*w.quarantine))
			w.quarantinedUntil = now.Add(w.quarantine)
			m.logDecision("worker-quarantined", fmt.Sprintf("%d failures of %d jobs, for %s", blame, jobs, w.quarantine), nil, w, 0)
		}
		w.underReview, w.failedOnProbation = false, false
	}
	clear(m.toReview)
	m.toReview = m.toReview[:0]
}

// inQuarantine reports whether the worker gets no runs because of its failures.
func (m *Scheduler) inQuarantine(now time.Time, w *worker) bool {
	if w.quarantinedUntil.After(now) {
		m.placeAgainAt(w.quarantinedUntil)
		return true
	}
	return w.suspected && w.hasProbe() // its end requests a placement pass
}

// hasProbe reports whether the worker runs something that it got on probation.
func (w *worker) hasProbe() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.startSent.After(w.lastFailure) })
}

// probeInterval is the minimum time between the last failure of a worker in quarantine and
// a run that it gets because there is no other worker.
const probeInterval = time.Second

// onlySuspectsAllowed reports whether each worker that may ever run a task of the step is
// suspected. They are tried one run at a time then, since waiting for the end of their
// quarantines would help nobody.
func (m *Scheduler) onlySuspectsAllowed(now time.Time, s *step) bool {
	return !slices.ContainsFunc(m.sortedWorkers, func(w *worker) bool {
		return !w.suspected && s.demand().Fits(w.Capacity) && m.isAvailable(now, w) && m.stepAllows(now, s, w)
	})
}

// pickProbe returns a suspected worker that may be tried with the task, or nil.
func (m *Scheduler) pickProbe(now time.Time, s *step, t *task) *worker {
	for _, w := range m.sortedWorkers {
		if !w.suspected || w.hasProbe() || !s.demand().Fits(w.free()) || !m.isAvailable(now, w) || !m.stepAllows(now, s, w) || !m.mayRetryAt(now, t, w) {
			continue
		}
		if at := w.lastFailure.Add(probeInterval); now.Before(at) {
			m.placeAgainAt(at)
			continue
		}
		return w
	}
	return nil
}

// mayRetryAt reports whether the task, if it has failed, may be started at the worker
// again. Other tasks of the step wait with it as long as no other worker has shown whether
// the step is at fault.
func (m *Scheduler) mayRetryAt(now time.Time, t *task, w *worker) bool {
	f := t.step.failures[w]
	if f == nil || t.step.spec.LongRunning && t.failuresInRow <= 1 {
		return true // a long-running task may fail at any time by itself
	}
	until := f.lastAt.Add(failedStartPause)
	unexplained := len(t.step.failures) == 1 && len(t.step.succeededAt) == 0
	if !now.Before(until) || !unexplained && !slices.Contains(f.tasks, t) {
		return true
	}
	m.placeAgainAt(until)
	return false
}

// delayRestart delays the next start of a long-running task that has failed several times
// in a row.
func (t *task) delayRestart(now time.Time) {
	t.failuresInRow++
	if t.failuresInRow == 1 {
		return
	}
	delay := min(maxRestartDelay, minRestartDelay<<min(t.failuresInRow-2, 8))
	t.notBefore = now.Add(delay)
	t.step.allFrom = times.Later(t.step.allFrom, t.notBefore)
}

// creditServing counts a long-running task that has served for a while as a success.
func (m *Scheduler) creditServing(now time.Time, r *run) {
	if r.credited || r.readyAt.IsZero() || now.Sub(r.readyAt) < servingProof {
		return
	}
	r.credited, r.task.failuresInRow = true, 0
	m.recordSuccess(now, r.task.step, r.worker, r.startSent)
}
