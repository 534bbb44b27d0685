package engine

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// Supervision of runs.
const (
	// stillAfter is how long a finite task may show no progress.
	stillAfter = 1500 * time.Millisecond
	// stillPart is the part of a task's estimate that it may show no progress.
	stillPart = 0.25
	// startupOf is how long a lasting task may take to be at work.
	startupOf = 3 * time.Second
	// watchEvery is the time between looks at all runs.
	watchEvery = 50 * time.Millisecond
	// stopRepeat is the time after which a stop without effect is repeated,
	// beyond the worker's grace.
	stopRepeat = 300 * time.Millisecond
	// releaseWithin is how long a finite task may go on at a worker that is to
	// be released.
	releaseWithin = 2 * time.Second
)

// watchRuns looks for runs that stand still, and repeats stops.
func (m *Machine) watchRuns(now time.Time) {
	if now.Before(m.watchAt) {
		m.wakeAt(m.watchAt)
		return
	}
	m.watchAt = now.Add(watchEvery)
	for _, w := range m.list {
		for i := 0; i < len(w.runs); i++ {
			r := w.runs[i]
			switch r.state {
			case stopping:
				m.watchStop(now, r)
			case running:
				m.watchRun(now, r)
			}
		}
	}
}

func (m *Machine) watchStop(now time.Time, r *run) {
	if r.stopSent.IsZero() {
		return // under way
	}
	again := r.stopSent.Add(stopRepeat)
	if !r.stopAcked.IsZero() {
		again = again.Add(m.cfg.KillGrace)
	}
	if now.Before(again) {
		m.wakeAt(again)
		return
	}
	r.stopSent = time.Time{}
	m.sendStop(r)
}

func (m *Machine) watchRun(now time.Time, r *run) {
	if r.worker.suspect || r.task.step.occ.job.state.Ended() {
		return
	}
	s := r.task.step
	var limit time.Duration
	switch {
	case s.spec.Lasting && s.spec.Fills, s.spec.Gang, r.pace < 100, r.percent >= 100:
		return
	case s.spec.Lasting:
		limit = startupOf
	default:
		limit = max(stillAfter, time.Duration(stillPart*float64(s.spec.Estimate)))
	}
	// What is known is as old as the last answered hold.
	still := r.worker.lastHold.Sub(r.percentAt)
	if still < limit {
		m.wakeAt(now.Add(limit - still))
		return
	}
	m.blame(now, r.worker, r.task)
	r.task.avoid = r.worker.ID
	m.stop(r, "no progress for "+still.Round(time.Millisecond).String())
}

// evacuate moves work away from workers that leave or are to be released.
func (m *Machine) evacuate(now time.Time) {
	for _, w := range m.list {
		if !w.Draining && !m.release[w.Machine] {
			continue
		}
		for i := 0; i < len(w.runs); i++ {
			r := w.runs[i]
			if r.state != running || r.task.step.occ.job.state.Ended() {
				continue
			}
			if m.mustLeave(now, w, r) {
				m.stop(r, "the worker leaves or is released")
			}
		}
	}
}

func (m *Machine) mustLeave(now time.Time, w *worker, r *run) bool {
	s := r.task.step
	if s.spec.Lasting {
		return w.Draining || !now.Before(m.movesFrom) && m.mayMiss(r)
	}
	left := time.Duration(float64(s.spec.Estimate) * float64(100-r.percent) / 100)
	if w.Draining {
		return s.spec.Checkpoints && left > w.Remaining
	}
	return s.spec.Checkpoints && left > releaseWithin
}

// mayMiss reports whether a lasting task may be stopped: its step's budget
// has room, and another worker can take it.
func (m *Machine) mayMiss(r *run) bool {
	s := r.task.step
	budget := max(1, s.spec.MayMiss)
	for _, t := range s.tasks {
		if t != r.task && !t.atWork() {
			budget--
		}
	}
	return budget > 0 && m.hasRoomElsewhere(s, r.worker)
}

// atWork reports whether a lasting task serves.
func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.state == running && r.percent >= 100 && !r.worker.suspect {
			return true
		}
	}
	return false
}

// hasRoomElsewhere reports whether another worker can take a lasting task,
// once finite tasks there have ended.
func (m *Machine) hasRoomElsewhere(s *step, except *worker) bool {
	for _, w := range m.list {
		if w != except && m.couldTake(s, w) {
			return true
		}
	}
	return false
}

// Pacing of fill tasks beside tasks that serve. The tail is compared with the
// target; pace falls fast and rises slowly, since a breach costs more than
// what the fill tasks do meanwhile.
const (
	paceDownAt = 0.85 // of the target
	paceUpAt   = 0.55 // of the target
	paceStep   = 25   // percent
)

// adjustPace orders the pace of fill tasks from the tails of the tasks that
// serve beside them.
func (m *Machine) adjustPace() {
	for _, w := range m.list {
		if w.suspect || w.lastHold.IsZero() || w.holding {
			continue
		}
		worst := 0.0
		for _, r := range w.runs {
			if target := r.task.step.spec.TailTarget; target > 0 && r.state == running && !r.task.step.spec.Fills {
				worst = max(worst, float64(r.load)/float64(target.Milliseconds()))
			}
		}
		for _, r := range w.runs {
			if !r.task.step.spec.Fills || r.state != running {
				continue
			}
			pace := r.pace
			switch {
			case worst > 1:
				pace = 0
			case worst > paceDownAt:
				pace = max(0, pace-paceStep)
			case worst < paceUpAt:
				pace = min(100, pace+paceStep)
			}
			if pace != r.pace {
				r.pace = pace
				m.emit(Pace{Target: w.target(), Token: m.cfg.Token, Task: r.task.id, Attempt: r.attempt, Percent: pace})
			}
		}
	}
}

// paced takes the answer to a pace order in. Without one the pace is ordered
// again at the next hold.
func (m *Machine) paced(e PaceAnswered) {
	w, t := m.live(e.Worker), m.task(e.Task)
	if w == nil || t == nil {
		return
	}
	if e.Result == Fenced {
		m.depose(w)
		return
	}
	if r := t.find(w, e.Attempt); r != nil && e.Result != OK && r.pace == e.Percent {
		r.pace = 100 // unknown: assume that it works at full speed
	}
}

// OpenQueues returns the queues of the jobs that have not ended.
func (m *Machine) OpenQueues() []workload.Queue {
	var list []workload.Queue
	for _, j := range m.order {
		q := &j.sub.Queue
		if !j.state.Ended() && !slices.ContainsFunc(list, func(o workload.Queue) bool { return o.Host == q.Host && o.Prefix == q.Prefix }) {
			list = append(list, *q)
		}
	}
	return list
}

// Batch is what the machine wants stored in one transaction.
type Batch struct {
	Jobs    map[string]workload.Progress
	Engaged []Engaged // all workers that may get or have runs, for the load row
	ends    map[workload.Life]int
	engaged map[string]int64
	jobs    []*job
}

// Urgent reports whether Collect has the end of a job, which callers wait for.
func (m *Machine) Urgent() bool {
	for _, j := range m.order {
		if j.dirty && j.state.Ended() {
			return true
		}
	}
	return false
}

// HasNews reports whether the load row should be written at once: for a new
// worker that can't be used before, or a released machine.
func (m *Machine) HasNews() bool {
	for _, w := range m.list {
		if w.engages(m) && !w.engaged || m.released(w) && !w.reported {
			return true
		}
	}
	return false
}

// LoadGrown reports whether the load has grown so much that the fleet's owner
// should be told before the next renewal.
func (m *Machine) LoadGrown() bool { return m.load() > m.told+loadStep }

// loadStep is by how much the load has to grow to be told at once, in
// thousandths of a core. It is a part of a typical machine.
const loadStep = 8000

// load returns what the pool's tasks use and lack, in thousandths of a core.
func (m *Machine) load() int {
	load := m.short
	for _, w := range m.list {
		load += w.taken.MilliCores
	}
	return load
}

// Dirty reports whether Collect has jobs to store.
func (m *Machine) Dirty() bool {
	for _, j := range m.order {
		if j.dirty {
			return true
		}
	}
	return false
}

// Collect returns what is to be stored, with at most limit jobs. withLoad says
// that the load row is written too. At most one batch is under way.
func (m *Machine) Collect(limit int, withLoad bool) *Batch {
	b := &Batch{Jobs: map[string]workload.Progress{}, ends: make(map[workload.Life]int, len(m.list))}
	whole := true
	for _, j := range m.order {
		if !j.dirty {
			continue
		}
		if len(b.jobs) == limit {
			whole = false
			break
		}
		b.Jobs[j.sub.ID] = j.progress()
		b.jobs = append(b.jobs, j)
		j.dirty, j.flushing = false, true
	}
	for _, w := range m.list {
		if whole {
			b.ends[w.Life] = w.seen
		}
	}
	if withLoad {
		m.collectEngaged(b)
	}
	return b
}

// collectEngaged lists the workers that may have runs of this owner or of the
// former one.
func (m *Machine) collectEngaged(b *Batch) {
	b.engaged = make(map[string]int64, len(m.list))
	m.told = m.load()
	for _, w := range m.list {
		w.reported = m.released(w)
		w.engaged = w.engaged && w.engages(m)
		if w.engages(m) {
			b.Engaged = append(b.Engaged, Engaged{ID: w.ID, Born: w.Born})
			b.engaged[w.ID] = w.Born
		}
	}
	for id := range m.former {
		if _, ok := b.engaged[id]; !ok {
			b.Engaged = append(b.Engaged, Engaged{ID: id})
		}
	}
}

func (m *Machine) stored(e Stored) {
	for _, j := range e.Batch.jobs {
		j.flushing = false
		j.dirty = j.dirty || !e.OK
	}
	if !e.OK {
		return
	}
	for life, n := range e.Batch.ends {
		if w := m.live(life); w != nil {
			w.storable = max(w.storable, n)
		}
	}
	for id, born := range e.Batch.engaged {
		if w, ok := m.workers[id]; ok && w.Born == born && !w.engaged {
			w.engaged, m.changed = true, true
		}
	}
}

// Status is what the owner tells the fleet's owner and the callers' side.
type Status struct {
	Short    int             `json:"short,omitempty"`  // thousandths of a core that waiting tasks lack
	Lasting  int             `json:"last,omitempty"`   // thousandths of a core that lasting tasks take
	Spread   int             `json:"spread,omitempty"` // machines that the lasting step with the widest spread needs
	Machines []MachineStatus `json:"machines,omitempty"`
	Release  uint64          `json:"release,omitempty"` // version of the fleet's row that Released answers
	// PerMachine is the greatest capacity of a machine, in thousandths of a core.
	PerMachine int `json:"per,omitempty"`
}

// MachineStatus is the load of a machine of the pool.
type MachineStatus struct {
	Machine  string `json:"m"`
	Worker   string `json:"w"`           // its worker's id
	Used     int    `json:"u,omitempty"` // thousandths of a core
	Runs     int    `json:"r,omitempty"`
	Lasting  int    `json:"l,omitempty"` // of the runs
	Usable   bool   `json:"ok,omitempty"`
	Released bool   `json:"free,omitempty"` // nothing runs or will be started on it
}

// released reports whether nothing runs or will be started on a machine that
// is to be released, and no end is left to be stored.
func (m *Machine) released(w *worker) bool {
	return m.release[w.Machine] && (w.synced || m.settled()) && len(w.runs) == 0 && w.seen <= w.storable
}

// spread returns the number of machines that the open lasting step with the
// widest spread needs, 0 if none is spread.
func (m *Machine) spread() int {
	most := 0
	for _, j := range m.order {
		if j.state.Ended() {
			continue
		}
		for _, st := range j.sub.Steps {
			if st.Lasting && st.MaxPerWorker > 0 {
				most = max(most, (st.Count+st.MaxPerWorker-1)/st.MaxPerWorker)
			}
		}
	}
	return most
}

// Status returns the present state.
func (m *Machine) Status(now time.Time) Status {
	s := Status{Release: m.releaseVersion, Short: m.short, Spread: m.spread()}
	for _, w := range m.list {
		if !w.listed || w.gone {
			continue
		}
		s.PerMachine = max(s.PerMachine, w.Capacity.MilliCores)
		for _, r := range w.runs {
			if r.task.step.spec.Lasting {
				s.Lasting += r.task.step.takes().MilliCores
			}
		}
		s.Machines = append(s.Machines, MachineStatus{
			Machine: w.Machine, Worker: w.ID, Used: w.taken.MilliCores, Runs: len(w.runs), Lasting: m.lastingAt(w),
			Usable:   m.usable(now, w),
			Released: m.released(w),
		})
	}
	return s
}
