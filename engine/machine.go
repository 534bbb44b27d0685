// Package engine decides what the workers of one pool run. It is a state
// machine: submissions, reports of workers and the time go in, orders come
// out. The owner of the pool's lease drives one machine; every order carries
// the lease's token, so that a worker refuses an owner that has been
// succeeded.
//
// What must outlive the owner is handed out by Collect and confirmed by
// Stored: an end of a run is acknowledged to its worker, and a job counts as
// ended, only after that.
package engine

import (
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// Config is what a machine is made with. Durations come from the platform's
// bounds unless said otherwise.
type Config struct {
	Pool        string
	Token       uint64        // of the lease; grows with each owner
	Lease       time.Duration // of runs at a worker, from each hold
	FormerLease time.Duration // after a takeover, until all that the former owner ordered has lapsed
	KillGrace   time.Duration // that a stop takes at most
}

// Machine decides for one pool. It is used from one goroutine.
type Machine struct {
	cfg            Config
	wall           int64 // Unix ms of this step
	queues         map[string]workload.Queue
	jobs           map[string]*job
	order          []*job // by arrival
	ended          map[string]workload.JobState
	workers        map[string]*worker
	list           []*worker // by id
	release        map[string]bool
	releaseVersion uint64
	due            map[string]bool      // machines that will have to be released
	reserved       map[*worker]bool     // kept free for lasting tasks in this pass
	former         map[string]time.Time // engaged workers of the former owner; when their leases lapse
	short          int                  // thousandths of a core that waiting tasks lack
	told           int                  // load in the stored load row, thousandths of a core
	changed        bool                 // placement may find something new to do
	waitingSteps   int                  // in the last placement
	placeAt        time.Time            // no placement before
	watchAt        time.Time            // no look at all runs before
	movesFrom      time.Time            // no lasting task is moved by choice before
	paused         bool                 // nothing is started
	deposed        bool
	wake           time.Time
	out            []Action
}

// Engaged is a worker that may have runs of the pool's owner.
type Engaged struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

// clockSkew is by how much a worker's clock may be slow, relative to ours.
const clockSkew = 0.02

// lapseSlack covers the time between a worker's reading of its clock and the
// arrival of the answer, and timers that fire late.
const lapseSlack = 100 * time.Millisecond

// New returns a machine of a new owner. former lists the workers that the
// owner before may have engaged: until each of them has answered this owner,
// or its lease must have lapsed, tasks of recovered jobs that are not known
// to run are not started.
func New(now time.Time, cfg Config, former []Engaged) *Machine {
	m := &Machine{
		cfg: cfg, queues: map[string]workload.Queue{}, jobs: map[string]*job{},
		ended: map[string]workload.JobState{}, workers: map[string]*worker{},
		release: map[string]bool{}, reserved: map[*worker]bool{}, former: map[string]time.Time{},
	}
	if len(former) > 0 {
		// Stops of the former owner may still be under way.
		m.movesFrom = now.Add(cfg.KillGrace + stopRepeat)
	}
	lapse := now.Add(stretchLease(cfg.FormerLease))
	for _, e := range former {
		m.former[e.ID] = lapse
	}
	return m
}

// stretchLease returns how long a lease of d can last by our clock.
func stretchLease(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+clockSkew)) + lapseSlack
}

// Step takes events in and returns what to do. now comes from one monotonic
// clock; wall is the time of day in Unix ms, used for scheduled jobs only.
func (m *Machine) Step(now time.Time, wall int64, events ...Event) []Action {
	m.out, m.wall, m.wake = nil, wall, time.Time{}
	for _, e := range events {
		m.apply(now, e)
	}
	if m.deposed {
		return m.out
	}
	m.lapse(now)
	m.openDue(now)
	m.endJobs(now)
	m.watchRuns(now)
	m.evacuate(now)
	m.place(now)
	m.adjustPace()
	m.holdDue(now)
	return m.out
}

// Pause stops placement, or lets it go on. Runs are held and their ends taken
// in all the same.
func (m *Machine) Pause(paused bool) {
	m.changed = m.changed || m.paused && !paused
	m.paused = paused
}

// Wake returns when Step wants to be called without an event; the zero time
// if never.
func (m *Machine) Wake() time.Time { return m.wake }

func (m *Machine) wakeAt(t time.Time) {
	if m.wake.IsZero() || t.Before(m.wake) {
		m.wake = t
	}
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) decide(what, why string, t *task, w *worker, attempt int) {
	d := Decision{What: what, Why: why, Attempt: attempt}
	if t != nil {
		d.Job, d.Task = t.id.Job, t.id.String()
	}
	if w != nil {
		d.Worker = w.ID
	}
	m.emit(d)
}

func (m *Machine) apply(now time.Time, e Event) {
	switch e := e.(type) {
	case JobSeen:
		m.seeJob(now, e)
	case CancelSeen:
		m.cancel(e.Job)
	case QueuesSeen:
		m.seeQueues(e.Queues)
	case WorkersSeen:
		m.seeWorkers(now, e.Workers)
	case ReleaseSeen:
		m.release, m.due, m.releaseVersion, m.changed = e.Machines, e.Due, e.Version, true
	case HoldAnswered:
		m.held(now, e)
	case StartAnswered:
		m.started(now, e)
	case StopAnswered:
		m.stopped(now, e)
	case PaceAnswered:
		m.paced(e)
	case AdviceAnswered:
		m.advised(now, e)
	case Stored:
		m.stored(e)
	}
}

func (m *Machine) seeQueues(queues []workload.Queue) {
	clear(m.queues)
	for _, q := range queues {
		m.queues[q.Name] = q
	}
	for _, j := range m.order {
		if q, ok := m.queues[j.sub.Queue.Name]; ok {
			j.queue = q
		}
	}
	m.changed = true
}

func (m *Machine) seeJob(now time.Time, e JobSeen) {
	id := e.Submission.ID
	if _, known := m.jobs[id]; known {
		return
	}
	if _, known := m.ended[id]; known {
		return
	}
	if e.Progress != nil && e.Progress.State.Ended() {
		m.ended[id] = e.Progress.State
		return
	}
	queue, ok := m.queues[e.Submission.Queue.Name]
	if !ok {
		// The queue was removed after the job was accepted, or is newer than the
		// configuration that this process knows.
		queue = e.Submission.Queue
	}
	j := newJob(now, m.wall, e, queue)
	m.jobs[id] = j
	m.order = append(m.order, j)
	m.changed = true
}

func (m *Machine) cancel(id string) {
	j, ok := m.jobs[id]
	if !ok || j.state.Ended() {
		return
	}
	m.endJob(j, workload.Cancelled, "cancelled by the caller")
}

// endJob gives the job its final state and stops what still runs.
func (m *Machine) endJob(j *job, state workload.JobState, why string) {
	j.state, j.endedAt, j.dirty = state, m.wall, true
	m.emit(Decision{What: "job-" + string(state), Job: j.sub.ID, Why: why})
	for _, o := range j.live {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					m.stop(r, "job "+string(state))
				}
			}
		}
	}
	m.changed = true
}

// openDue creates the occurrences whose time has come.
func (m *Machine) openDue(now time.Time) {
	for _, j := range m.order {
		if j.state.Ended() {
			continue
		}
		for j.next < j.occurrences() {
			due := j.dueAt(j.next)
			if due > m.wall {
				m.wakeAt(now.Add(time.Duration(due-m.wall) * time.Millisecond))
				break
			}
			if j.finished[j.next] {
				j.next++
				continue
			}
			j.open(now)
			m.changed = true
		}
	}
}

// endJobs closes occurrences and jobs whose tasks are all done.
func (m *Machine) endJobs(now time.Time) {
	for _, j := range m.order {
		if j.state.Ended() {
			continue
		}
		for i := 0; i < len(j.live); {
			if j.live[i].open > 0 {
				i++
				continue
			}
			j.finished[j.live[i].k] = true
			j.live = append(j.live[:i], j.live[i+1:]...)
			for j.finished[j.first] {
				delete(j.finished, j.first)
				j.first++
			}
			j.dirty = true
		}
		if j.first == j.occurrences() {
			m.endJob(j, workload.Completed, "all tasks are done")
		}
	}
}

// forget drops a job whose end is stored and of which nothing runs.
func (m *Machine) forget() {
	kept := m.order[:0]
	for _, j := range m.order {
		if j.state.Ended() && !j.dirty && !j.flushing && !j.active() {
			m.ended[j.sub.ID] = j.state
			delete(m.jobs, j.sub.ID)
			continue
		}
		kept = append(kept, j)
	}
	clear(m.order[len(kept):])
	m.order = kept
}

// active reports whether runs of the job are left.
func (j *job) active() bool {
	for _, o := range j.live {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// task returns the task with the given id, creating no occurrence.
func (m *Machine) task(id workload.TaskID) *task {
	j, ok := m.jobs[id.Job]
	if !ok {
		return nil
	}
	for _, o := range j.live {
		if o.k == id.Occurrence && id.Step < len(o.steps) && id.Index < len(o.steps[id.Step].tasks) {
			return o.steps[id.Step].tasks[id.Index]
		}
	}
	return nil
}

// settled reports whether no worker of the former owner can run something
// that this owner does not know of.
func (m *Machine) settled() bool { return len(m.former) == 0 }

// lapse gives up what must have ended by the workers' clocks.
func (m *Machine) lapse(now time.Time) {
	for id, at := range m.former {
		if now.Before(at) {
			m.wakeAt(at)
			continue
		}
		delete(m.former, id)
		m.changed = true
	}
	for _, w := range m.list {
		if len(w.runs) == 0 || w.leaseEnd.IsZero() {
			continue
		}
		if now.Before(w.leaseEnd) {
			m.wakeAt(w.leaseEnd)
			continue
		}
		m.decide("worker-lapsed", "no hold was answered within the lease", nil, w, 0)
		m.dropRuns(now, w)
	}
	m.dropGone(now)
}
