package engine

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// Timing of holds and orders. A hold is the call that the pool's owner repeats at
// each worker: it extends the lease of the worker's runs and returns their state;
// see Hold.
const (
	// holdWait is how long a worker with runs may delay its answer to a hold
	// until a run ends. It bounds the age of what is known about its runs.
	holdWait = 800 * time.Millisecond
	// holdGap is the least time between a hold's answer and the next hold, so
	// that ends in quick succession share one answer.
	holdGap = 20 * time.Millisecond
	// holdGapPerBusyWorker is added to holdGap for each worker with runs. It
	// limits the holds of a large pool at peak load to about 1,500 per second, so
	// that they do not use up the CPU of a small VM.
	holdGapPerBusyWorker = 600 * time.Microsecond
	// idleHoldInterval is the time between holds of a worker without runs.
	idleHoldInterval = 2 * time.Second
	// overrunHoldWait and overrunHoldInterval replace holdWait and idleHoldInterval
	// after the end of the owner's lease.
	overrunHoldWait     = 400 * time.Millisecond
	overrunHoldInterval = 400 * time.Millisecond
	// overrunFreshness is the maximum age of a worker's last report with which
	// tasks are started there after the end of the owner's lease. A successor fences
	// the workers, but a worker that restarts forgets that.
	overrunFreshness = time.Second
	// holdTimeout is how long a hold may take in addition to its Wait.
	holdTimeout = 600 * time.Millisecond
	// holdRetryInterval is the time between holds of a worker that does not
	// answer.
	holdRetryInterval = 300 * time.Millisecond
	// firstHoldTimeout and firstHoldRetryInterval replace holdTimeout and
	// holdRetryInterval for the first hold of a worker that the former owner may have
	// used. They double with each attempt. The start of recovered tasks waits for these
	// workers, and a hold that need not wait is usually answered within 10 ms.
	firstHoldTimeout       = 150 * time.Millisecond
	firstHoldRetryInterval = 20 * time.Millisecond
	// startTimeout is how long after it was sent a start may be carried out. It
	// is longer than normal delays, and short enough that a start without an
	// answer does not keep its task waiting for long.
	startTimeout = 1500 * time.Millisecond
	// refusalRetryDelay is the delay before the next attempt after a refusal that
	// placement did not expect.
	refusalRetryDelay = 100 * time.Millisecond
	// unhealthyPause is how long a worker that has refused a start because it is
	// unhealthy gets no further one.
	unhealthyPause = 2 * time.Second
)

// worker is the state of one incarnation of a worker.
type worker struct {
	workload.Worker
	registered       bool // is among the pool's registered workers
	gone             bool // this incarnation has ended
	synced           bool // has answered a hold with this owner's token
	inLoadRow        bool // the load row in the store names it
	runs             []*run
	bestEffortRuns   int            // number of runs of best-effort tasks
	used             placement.Size // capacity that the runs take
	clockMs          int64          // reading of the worker's clock in ms, received at clockAt
	clockAt          time.Time
	deadline         int64       // latest deadline sent, in ms on the worker's clock
	leaseEnd         time.Time   // when the leases of all runs must have expired, by our clock
	lastEndProcessed int         // ends up to this number have been processed
	heldEnds         []EndReport // processed ends of unknown jobs, in the order of their numbers
	unknownRuns      []RunReport // reported runs of unknown jobs
	lastEndStored    int         // ends up to this number are in the store and can be acknowledged
	unstoredEnds     []unstoredEnd
	unconfirmedEnds  []*task // tasks of which it reported that a run is over, until it answers a later hold; see overrun.go
	lastEndAcked     int     // ends up to this number were acknowledged by an answered hold
	ackSent          int     // acknowledgement in the last hold
	holdPending      bool    // a hold has no answer yet
	nextHold         time.Time
	lastHoldSent     time.Time // when the last answered hold was sent
	leavingSince     time.Time // since when it is draining or to be released; zero: it is not
	releaseReported  bool      // the load row reports its machine as released
	suspect          bool      // does not answer calls; gets no starts and no lease extensions
	unansweredOrders int       // orders without an answer since the last answered call
	lastUnanswered   time.Time // when the last call was found to have no answer
	failedHolds      int       // holds without an answer since the last answered one
	unhealthyUntil   time.Time // no starts are sent until then, because the worker refused one as unhealthy
	noRoomUntil      time.Time // no starts are sent until then, because the worker refused one for lack of room

	failures          []*stepFailures // that no later success has taken back; see failures.go
	lastFailure       time.Time
	lastSuccess       time.Time
	underReview       bool          // is in Scheduler.toReview
	suspected         bool          // enough failures count against it
	failedOnProbation bool          // a run that it got after its quarantine has failed
	quarantine        time.Duration // length of its last quarantine while suspected
	quarantinedUntil  time.Time     // end of the quarantine
}

// unstoredEnd is an end that changed a job and is not known to be in the store.
type unstoredEnd struct {
	number int
	job    *job
}

// belongsInLoadRow reports whether the load row must name the worker because it
// has runs or may get some, or because ends of its runs are not stored yet. The
// load row is the pool's row in the store with the pool's status and these workers.
// A successor waits for the workers in the row, so one that has no work and gets
// none must not stay in it.
func (w *worker) belongsInLoadRow(m *Scheduler) bool {
	return w.hasRuns() || w.lastEndProcessed > w.lastEndStored || w.synced && w.registered && !w.gone && !w.Draining && !m.toRelease[w.Machine]
}

// hasRuns reports whether the worker may have runs, known ones or of unknown jobs.
func (w *worker) hasRuns() bool { return len(w.runs)+len(w.unknownRuns) > 0 }

func (w *worker) target() Target { return Target{Incarnation: w.Incarnation, Addr: w.Addr} }

// estimateClock returns an estimate of the worker's clock in ms. It exceeds the
// true value by no more than the drift between the clocks.
func (w *worker) estimateClock(now time.Time) int64 {
	return w.clockMs + int64(float64(now.Sub(w.clockAt).Milliseconds())*(1-maxClockSkew))
}

// recordDeadline records that an order with the given deadline was sent, which
// may extend the worker's lease.
func (w *worker) recordDeadline(now time.Time, deadline int64) {
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	left := time.Duration(deadline-w.clockMs) * time.Millisecond
	w.leaseEnd = w.clockAt.Add(maxLocalLease(left))
}

func (w *worker) free() placement.Size { return w.Capacity.Minus(w.used) }

// demand returns the capacity that a task of the step takes at a worker. The
// CPU use of best-effort tasks is not counted, since they use only what other
// tasks leave idle.
func (s *step) demand() placement.Size {
	size := s.spec.Size
	if s.spec.BestEffort {
		size.MilliCores = 0
	}
	return size
}

func (w *worker) hasLabel(label string) bool { return slices.Contains(w.Labels, label) }

func (m *Scheduler) updateWorkers(now time.Time, list []workload.Worker) {
	for _, w := range m.workers {
		w.registered = false
	}
	for _, registration := range list {
		w, ok := m.workers[registration.ID]
		var former *worker
		if ok && w.Born != registration.Born && registration.Born != 0 {
			m.logDecision("worker-reborn", fmt.Sprintf("a life that began at %d is registered", registration.Born), nil, w, 0)
			m.removeRunsBeforeRestart(now, w)
			former, ok = w, false
		}
		if !ok {
			w = &worker{nextHold: now}
			m.workers[registration.ID] = w
		}
		if ok && registration.Draining != w.Draining {
			m.logDecision("worker-draining", fmt.Sprintf("draining %t, %s left", registration.Draining, registration.Remaining), nil, w, 0)
		}
		if ok && registration.Born == 0 {
			registration.Born = w.Born // not reported this time
		}
		w.Worker, w.registered = registration, true
		if former != nil {
			m.transferRuns(now, w, former)
		}
	}
	m.needsPlacement = true
	m.sortWorkers()
}

func (m *Scheduler) sortWorkers() {
	m.sortedWorkers = m.sortedWorkers[:0]
	for _, w := range m.workers {
		m.sortedWorkers = append(m.sortedWorkers, w)
	}
	slices.SortFunc(m.sortedWorkers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
}

// removeGoneWorkers removes workers that are no longer registered and can't
// have any runs.
func (m *Scheduler) removeGoneWorkers(now time.Time) {
	removed := false
	for _, w := range m.sortedWorkers {
		if w.registered && !w.gone || w.hasRuns() || w.holdPending || now.Before(w.leaseEnd) && !w.gone {
			continue
		}
		if w.gone && w.registered {
			continue // kept to record that this incarnation has ended
		}
		delete(m.workers, w.ID)
		removed = true
	}
	if removed {
		m.sortWorkers()
	}
}

// sendDueHolds sends the holds that are due. Each worker has at most one hold
// in progress.
func (m *Scheduler) sendDueHolds(now time.Time) {
	for _, w := range m.sortedWorkers {
		if w.holdPending || w.gone || !w.registered && !w.hasRuns() {
			continue
		}
		due := w.nextHold
		if m.leaseEnded && w.synced && !w.suspect {
			due = times.Earlier(due, w.lastHoldSent.Add(overrunHoldInterval))
		}
		if now.Before(due) {
			m.wakeAt(due)
			continue
		}
		m.sendHold(now, w)
	}
}

func (m *Scheduler) sendHold(now time.Time, w *worker) {
	h := Hold{Target: w.target(), Token: m.cfg.Token, Timeout: holdTimeout, SendBy: now.Add(startTimeout)}
	if m.awaitsFirstAnswer(w) {
		h.Timeout = min(holdTimeout, firstHoldTimeout<<min(w.failedHolds, maxHoldDoublings))
	}
	// A worker that has restarted under its ID counts its ends from 1 again and would
	// forget ends that this owner has not seen. So an acknowledgement is not repeated
	// once it is answered, and not sent to a worker that does not answer.
	if w.lastEndStored > w.lastEndAcked && !w.suspect {
		h.StoredEnds = w.lastEndStored
	}
	w.ackSent = h.StoredEnds
	// The lease of a worker that does not answer is not extended, so that its
	// runs expire and their tasks can start elsewhere.
	if w.synced && !w.suspect {
		h.Deadline = w.estimateClock(now) + m.cfg.Lease.Milliseconds()
		w.recordDeadline(now, h.Deadline)
		if len(w.runs) > 0 && !m.needsPromptAnswer(w) {
			h.Wait = holdWait
			if m.leaseEnded {
				h.Wait = overrunHoldWait
			}
		}
	}
	w.holdPending = true
	m.emit(h)
}

// maxHoldDoublings keeps the shifts of hold times from overflowing.
const maxHoldDoublings = 8

// awaitsFirstAnswer reports whether the start of recovered tasks waits for the worker.
func (m *Scheduler) awaitsFirstAnswer(w *worker) bool {
	_, former := m.formerWorkers[w.ID]
	return former && !w.synced
}

// needsPromptAnswer reports whether the state of a run at the worker can be
// resolved only by a hold that is answered at once.
func (m *Scheduler) needsPromptAnswer(w *worker) bool {
	if len(w.unconfirmedEnds) > 0 {
		return true
	}
	for _, r := range w.runs {
		// A run that was stopped before its start arrived never reports an end.
		if r.state == unconfirmed || r.state == stopping && r.confirmedAt.IsZero() && !r.stopAcked.IsZero() {
			return true
		}
	}
	return false
}

// allowedUnanswered is how many orders in a row may stay unanswered, since a
// single one may be lost in transit. After more, no tasks are started at the
// worker until it answers a hold.
const allowedUnanswered = 1

// recordUnanswered records that an order got no answer.
func (w *worker) recordUnanswered(now time.Time) {
	w.lastUnanswered = now
	w.unansweredOrders++
	w.suspect = w.suspect || w.unansweredOrders > allowedUnanswered
}

func (m *Scheduler) findWorker(incarnation workload.Incarnation) *worker {
	w, ok := m.workers[incarnation.ID]
	if !ok || w.Born != incarnation.Born {
		return nil
	}
	return w
}

func (m *Scheduler) handleHoldAnswer(now time.Time, e HoldAnswered) {
	w := m.findWorker(e.Worker)
	if w == nil {
		return
	}
	w.holdPending = false
	// Steps that found no worker may depend on what only time changes, such as a
	// ticket that expires. Ends request a placement pass themselves.
	m.needsPlacement = m.needsPlacement || !w.synced || w.suspect || m.unplacedSteps > 0
	switch e.Result {
	case OK:
	case Fenced:
		m.markSuperseded(w)
		return
	case WrongWorker:
		m.markGone(now, w, "another worker answers at its address")
		return
	default:
		if !w.suspect {
			m.logDecision("worker-silent", e.Result.String(), nil, w, 0)
		}
		w.suspect = true
		w.nextHold = now.Add(holdRetryInterval)
		if m.awaitsFirstAnswer(w) {
			w.nextHold = now.Add(min(holdRetryInterval, firstHoldRetryInterval<<min(w.failedHolds, maxHoldDoublings)))
		}
		w.failedHolds++
		w.lastUnanswered = now
		return
	}
	if e.Report.Born != 0 && w.Born != 0 && e.Report.Born != w.Born {
		m.logDecision("worker-gone", "the worker has started again", nil, w, 0)
		w.gone = true
		m.removeRunsBeforeRestart(now, w)
		w.leaseEnd = m.leaseEndAfterRestart(now)
		return
	}
	if w.suspect {
		m.logDecision("worker-answers", "", nil, w, 0)
	}
	// Until the worker's ends are known completely, a task that it does not list as
	// running may have ended there.
	first := !w.synced && !e.Report.MoreEnds
	w.suspect, w.unansweredOrders, w.failedHolds, w.synced = false, 0, 0, w.synced || first
	w.lastEndAcked = max(w.lastEndAcked, w.ackSent)
	w.clockMs, w.clockAt, w.lastHoldSent = e.Report.Clock, now, e.Sent
	if w.deadline == 0 {
		// A former owner may have extended the lease by the longest time.
		w.recordDeadline(now, w.clockMs+m.cfg.Lease.Milliseconds())
	} else {
		left := time.Duration(w.deadline-w.clockMs) * time.Millisecond
		w.leaseEnd = now.Add(maxLocalLease(max(0, left)))
	}
	if first {
		delete(m.formerWorkers, w.ID)
	}
	m.confirmEnds(w)
	m.handleEnds(now, w, e.Report.Ended)
	m.reconcileRuns(now, w, e)
	switch {
	case len(w.unconfirmedEnds) > 0:
		w.nextHold = now
	case first || m.needsPromptAnswer(w):
		w.nextHold = now.Add(holdGap)
	case w.hasRuns() || w.lastEndProcessed > w.lastEndAcked:
		w.nextHold = now.Add(m.busyHoldGap())
	default:
		w.nextHold = now.Add(idleHoldInterval)
	}
}

// busyHoldGap returns the time between the holds of a worker with runs.
func (m *Scheduler) busyHoldGap() time.Duration {
	return holdGap + time.Duration(m.busyWorkers())*holdGapPerBusyWorker
}

// busyWorkers returns the number of workers with runs.
func (m *Scheduler) busyWorkers() int {
	n := 0
	for _, w := range m.sortedWorkers {
		if len(w.runs) > 0 {
			n++
		}
	}
	return n
}

func (m *Scheduler) markSuperseded(w *worker) {
	m.superseded = true
	m.emit(Superseded{Worker: w.ID})
}

// markGone marks the worker's incarnation as ended and drops all its runs.
func (m *Scheduler) markGone(now time.Time, w *worker, why string) {
	m.logDecision("worker-gone", why, nil, w, 0)
	w.gone = true
	m.removeRuns(now, w)
}

// removeRuns removes all runs of a worker where nothing can be running, which
// frees their tasks.
func (m *Scheduler) removeRuns(now time.Time, w *worker) {
	for len(w.runs) > 0 {
		m.giveUpRun(now, w.runs[0])
	}
	w.unknownRuns = nil
	m.needsPlacement = true
}

// giveUpRun removes a run that can't exist any more according to this owner's
// knowledge, without a report of the worker.
func (m *Scheduler) giveUpRun(now time.Time, r *run) {
	m.recordLostRun(r.task)
	m.removeRun(now, r)
}

// mayRunAfterRestart reports whether a run may exist in the worker's next
// incarnation. Orders name the worker by its ID, which a restart does not
// change, so a start sent since the last answer of the old incarnation may have
// been carried out by the new one.
func (r *run) mayRunAfterRestart() bool {
	return r.confirmedAt.IsZero() || r.startSent.After(r.worker.lastHoldSent)
}

// removeRunsBeforeRestart removes the runs that ended with the worker's
// previous incarnation.
func (m *Scheduler) removeRunsBeforeRestart(now time.Time, w *worker) {
	for _, r := range slices.Clone(w.runs) {
		if !r.mayRunAfterRestart() {
			m.giveUpRun(now, r)
		}
	}
	w.unknownRuns = nil
	m.needsPlacement = true
}

// leaseEndAfterRestart returns when runs must have expired that a restarted worker may
// have from its former incarnation's orders. The deadlines of the starts were on that
// one's clock, so each run may still begin and then last for a whole lease.
func (m *Scheduler) leaseEndAfterRestart(now time.Time) time.Time {
	return now.Add(2 * maxLocalLease(m.cfg.Lease))
}

// transferRuns moves the remaining runs of a worker's former incarnation to the
// new one, whose answers to holds resolve them.
func (m *Scheduler) transferRuns(now time.Time, w, former *worker) {
	if len(former.runs) == 0 {
		return
	}
	w.leaseEnd = m.leaseEndAfterRestart(now)
	w.runs, former.runs = former.runs, nil
	w.bestEffortRuns, former.bestEffortRuns = former.bestEffortRuns, 0
	for _, r := range w.runs {
		r.worker, r.state, r.timedOutAt, r.startDeadline = w, unconfirmed, now, math.MaxInt64
		r.confirmedAt, r.stopAnswered, r.stopAcked = time.Time{}, time.Time{}, time.Time{}
		w.used = w.used.Plus(r.task.step.demand())
	}
}

// removeRun removes a run that has ended or never began.
func (m *Scheduler) removeRun(now time.Time, r *run) {
	t, w := r.task, r.worker
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if t.isIdle() {
		t.step.idleTasks++
	}
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.used = w.used.Minus(t.step.demand())
	if t.step.spec.BestEffort {
		w.bestEffortRuns--
	}
	if n := t.step.runsPerWorker[w.ID]; n > 1 {
		t.step.runsPerWorker[w.ID] = n - 1
	} else {
		delete(t.step.runsPerWorker, w.ID)
	}
	m.needsPlacement = true
}
