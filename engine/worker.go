package engine

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// Timing of holds and orders.
const (
	// holdWait is how long a worker with runs delays its answer to wait for an
	// end. It bounds the age of what is known of the runs there.
	holdWait = 800 * time.Millisecond
	// holdGap lets ends that come close together share one answer.
	holdGap = 20 * time.Millisecond
	// holdSpread is added to holdGap for each worker with runs, so that the holds
	// of a large pool at its peak do not take up the processor of a small VM: at
	// most some 1,500 a second.
	holdSpread = 600 * time.Microsecond
	// idleHoldEvery is the time between holds of a worker without runs.
	idleHoldEvery = 2 * time.Second
	// holdRetry is the time between holds of a worker that does not answer.
	holdRetry = 300 * time.Millisecond
	// startWithin is how long after its sending a start may be carried out. It
	// is longer than any regular delay, and short enough that a start without
	// an answer does not keep its task waiting.
	startWithin = 1500 * time.Millisecond
	// retryAfterRefusal spaces attempts after a refusal that placement did not expect.
	retryAfterRefusal = 100 * time.Millisecond
)

// Quarantine of workers that fail what they start.
const (
	quarantineFirst = 2 * time.Second
	quarantineMost  = 16 * time.Second
	// failuresInRow is how many runs have to fail without one that ended well
	// in between. A single failure may be the task's own fault.
	failuresInRow = 2
)

// worker is what is known of one life of a worker.
type worker struct {
	workload.Worker
	listed   bool
	gone     bool // this life has ended
	synced   bool // has answered a hold with this owner's token
	engaged  bool // its id is in the stored load row
	runs     []*run
	taken    placement.Size // by the runs
	clock    int64          // worker's clock in ms, as of clockAt
	clockAt  time.Time      // when the answer with it arrived
	deadline int64          // greatest one sent
	leaseEnd time.Time      // when all runs must have lapsed, by our clock
	seen     int            // greatest number of an end taken in
	storable int            // ends up to this number are stored
	holding  bool
	nextHold time.Time
	lastHold time.Time // sending of the last hold that was answered
	reported bool      // the owner's row says that its machine is released
	suspect  bool      // calls go unanswered
	silences int       // orders without an answer since the last answer
	noRoom   time.Time // refused for want of room; nothing is started until then

	failures   int // in a row
	blames     map[string]bool
	quarantine time.Duration
	out        time.Time // end of the quarantine
}

// engages reports whether the worker belongs into the load row: it has runs,
// or may get some. A successor waits for the workers of the row, so one that
// left without work must not stay there.
func (w *worker) engages(m *Machine) bool {
	return w.synced && (len(w.runs) > 0 || w.listed && !w.gone && !w.Draining && !m.release[w.Machine])
}

func (w *worker) target() Target { return Target{Life: w.Life, Addr: w.Addr} }

// now estimates the worker's clock; the estimate is never ahead of it by more
// than the clocks' drift.
func (w *worker) now(now time.Time) int64 {
	return w.clock + int64(float64(now.Sub(w.clockAt).Milliseconds())*(1-clockSkew))
}

// extend notes that an order with the given deadline was sent.
func (w *worker) extend(now time.Time, deadline int64) {
	if deadline <= w.deadline {
		return
	}
	w.deadline = deadline
	left := time.Duration(deadline-w.clock) * time.Millisecond
	w.leaseEnd = w.clockAt.Add(stretchLease(left))
}

func (w *worker) free() placement.Size { return w.Capacity.Minus(w.taken) }

// takes returns what a task of the step takes of a worker's capacity. Fill
// tasks take no processor time that counts.
func (s *step) takes() placement.Size {
	size := s.spec.Size
	if s.spec.Fills {
		size.MilliCores = 0
	}
	return size
}

func (w *worker) has(label string) bool { return slices.Contains(w.Labels, label) }

func (m *Machine) seeWorkers(now time.Time, list []workload.Worker) {
	for _, w := range m.workers {
		w.listed = false
	}
	for _, seen := range list {
		w, ok := m.workers[seen.ID]
		var former *worker
		if ok && w.Born != seen.Born && seen.Born != 0 {
			m.decide("worker-reborn", fmt.Sprintf("a life that began at %d is registered", seen.Born), nil, w, 0)
			m.dropRunsOfLife(now, w)
			former, ok = w, false
		}
		if !ok {
			w = &worker{nextHold: now, blames: map[string]bool{}}
			m.workers[seen.ID] = w
		}
		if ok && seen.Draining != w.Draining {
			m.decide("worker-draining", fmt.Sprintf("draining %t, %s left", seen.Draining, seen.Remaining), nil, w, 0)
		}
		if ok && seen.Born == 0 {
			seen.Born = w.Born // not told this time
		}
		w.Worker, w.listed = seen, true
		if former != nil {
			m.inherit(now, w, former)
		}
	}
	m.changed = true
	m.sortWorkers()
}

func (m *Machine) sortWorkers() {
	m.list = m.list[:0]
	for _, w := range m.workers {
		m.list = append(m.list, w)
	}
	slices.SortFunc(m.list, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
}

// dropGone forgets workers that are not registered any more and cannot run
// anything.
func (m *Machine) dropGone(now time.Time) {
	removed := false
	for _, w := range m.list {
		if w.listed && !w.gone || len(w.runs) > 0 || w.holding || now.Before(w.leaseEnd) && !w.gone {
			continue
		}
		if w.gone && w.listed {
			continue // stays as a mark that this life has ended
		}
		delete(m.workers, w.ID)
		removed = true
	}
	if removed {
		m.sortWorkers()
	}
}

// holdDue orders the holds whose time has come. One hold at a time is under
// way for each worker.
func (m *Machine) holdDue(now time.Time) {
	for _, w := range m.list {
		if w.holding || w.gone || !w.listed && len(w.runs) == 0 {
			continue
		}
		if now.Before(w.nextHold) {
			m.wakeAt(w.nextHold)
			continue
		}
		m.hold(now, w)
	}
}

func (m *Machine) hold(now time.Time, w *worker) {
	h := Hold{Target: w.target(), Token: m.cfg.Token, Seen: w.storable}
	// A worker that does not answer gets no longer lease: what it runs must
	// lapse at some time, so that it can be started elsewhere.
	if w.synced && !w.suspect {
		h.Deadline = w.now(now) + m.cfg.Lease.Milliseconds()
		w.extend(now, h.Deadline)
		if len(w.runs) > 0 && !m.needsNews(w) {
			h.Wait = holdWait
		}
	}
	w.holding = true
	m.emit(h)
}

// needsNews reports whether a run at the worker can be settled only by an
// answer that does not wait.
func (m *Machine) needsNews(w *worker) bool {
	for _, r := range w.runs {
		// A run that was stopped before it came never ends.
		if r.state == unsettled || r.state == stopping && r.acked.IsZero() && !r.stopAcked.IsZero() {
			return true
		}
	}
	return false
}

// silencesAllowed is how many orders in a row may go without an answer before
// nothing more is started at a worker. One may be lost on its way.
const silencesAllowed = 1

// unanswered notes that an order got no answer.
func (w *worker) unanswered() {
	w.silences++
	w.suspect = w.suspect || w.silences > silencesAllowed
}

func (m *Machine) live(l workload.Life) *worker {
	w, ok := m.workers[l.ID]
	if !ok || w.Born != l.Born {
		return nil
	}
	return w
}

func (m *Machine) held(now time.Time, e HoldAnswered) {
	w := m.live(e.Worker)
	if w == nil {
		return
	}
	w.holding = false
	m.changed = true
	switch e.Result {
	case OK:
	case Fenced:
		m.depose(w)
		return
	case OtherLife:
		m.endLife(now, w, "another worker answers at its address")
		return
	default:
		if !w.suspect {
			m.decide("worker-silent", e.Result.String(), nil, w, 0)
		}
		w.suspect = true
		w.nextHold = now.Add(holdRetry)
		return
	}
	if e.Report.Born != 0 && w.Born != 0 && e.Report.Born != w.Born {
		m.decide("worker-gone", "the worker has started again", nil, w, 0)
		w.gone = true
		m.dropRunsOfLife(now, w)
		return
	}
	if w.suspect {
		m.decide("worker-answers", "", nil, w, 0)
	}
	first := !w.synced
	w.suspect, w.silences, w.synced = false, 0, true
	w.clock, w.clockAt, w.lastHold = e.Report.Clock, now, e.Sent
	if w.deadline > 0 {
		left := time.Duration(w.deadline-w.clock) * time.Millisecond
		w.leaseEnd = now.Add(stretchLease(max(0, left)))
	}
	if first {
		delete(m.former, w.ID)
	}
	m.takeEnds(now, w, e.Report.Ended)
	m.takeRunning(now, w, e)
	switch {
	case first || m.needsNews(w):
		w.nextHold = now.Add(holdGap)
	case len(w.runs) > 0 || w.seen > w.storable:
		w.nextHold = now.Add(holdGap + time.Duration(m.busyWorkers())*holdSpread)
	default:
		w.nextHold = now.Add(idleHoldEvery)
	}
}

// busyWorkers returns the number of workers with runs.
func (m *Machine) busyWorkers() int {
	n := 0
	for _, w := range m.list {
		if len(w.runs) > 0 {
			n++
		}
	}
	return n
}

func (m *Machine) depose(w *worker) {
	m.deposed = true
	m.emit(Deposed{Worker: w.ID})
}

// endLife gives up everything at a worker that no longer exists.
func (m *Machine) endLife(now time.Time, w *worker, why string) {
	m.decide("worker-gone", why, nil, w, 0)
	w.gone = true
	m.dropRuns(now, w)
}

// dropRuns frees the tasks of all runs at a worker where nothing runs.
func (m *Machine) dropRuns(now time.Time, w *worker) {
	for len(w.runs) > 0 {
		m.drop(now, w.runs[0])
	}
	m.changed = true
}

// mayFollow reports whether a run may be in the worker's next life. An order
// names the worker by its id, which stays when it starts again: a start that was
// sent since the last answer of the old life may have been carried out by the new
// one.
func (r *run) mayFollow() bool { return r.acked.IsZero() || r.sent.After(r.worker.lastHold) }

// dropRunsOfLife gives up the runs that ended with a life of a worker.
func (m *Machine) dropRunsOfLife(now time.Time, w *worker) {
	for _, r := range slices.Clone(w.runs) {
		if !r.mayFollow() {
			m.drop(now, r)
		}
	}
	m.changed = true
}

// inherit passes the runs that are left of a worker's former life to the new
// one, whose holds settle them.
func (m *Machine) inherit(now time.Time, w, former *worker) {
	if len(former.runs) == 0 {
		return
	}
	// The deadlines of the starts were on the former life's clock, so each may
	// still begin, and then has a whole lease.
	w.leaseEnd = now.Add(2 * stretchLease(m.cfg.Lease))
	w.runs, former.runs = former.runs, nil
	for _, r := range w.runs {
		r.worker, r.state, r.unanswered, r.deadline = w, unsettled, now, math.MaxInt64
		r.acked, r.stopSent, r.stopAcked = time.Time{}, time.Time{}, time.Time{}
		w.taken = w.taken.Plus(r.task.step.takes())
	}
}

// drop forgets a run that has ended or never began.
func (m *Machine) drop(now time.Time, r *run) {
	t, w := r.task, r.worker
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.taken = w.taken.Minus(t.step.takes())
	if n := t.step.perWorker[w.ID]; n > 1 {
		t.step.perWorker[w.ID] = n - 1
	} else {
		delete(t.step.perWorker, w.ID)
	}
	m.changed = true
}
