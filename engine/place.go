package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// urgency groups steps: all of one group are placed before any of the next.
type urgency int

const (
	serves   urgency = iota // lasting tasks: their users wait all the time
	inTime                  // can still meet the objective
	late                    // can end within three times the objective
	hopeless                // only has to end at some time
	fills                   // lasting tasks that use what others leave
)

var urgencyNames = [...]string{"serves", "in-time", "late", "hopeless", "fills"}

// String returns the urgency's name.
func (u urgency) String() string { return urgencyNames[u] }

// lateFactor is how many times the objective an end still counts as late.
const lateFactor = 3

// candidate is a step with tasks to place.
type candidate struct {
	step     *step
	urgency  urgency
	priority int
	latest   time.Time // latest start that meets the objective
	work     float64   // core-seconds that the occurrence has left
	order    int       // of arrival
}

// place starts waiting tasks on workers with room.
func (m *Machine) place(now time.Time) {
	if !m.changed || m.paused {
		return
	}
	if now.Before(m.placeAt) {
		m.wakeAt(m.placeAt)
		return
	}
	m.forget()
	m.changed, m.short = false, 0
	var refused []placement.Size
	clear(m.reserved)
	list := m.candidates(now)
	m.placeAt = now.Add(time.Duration(len(list)) * placePerCandidate)
	m.waitingSteps = len(list)
	for _, c := range list {
		s := c.step
		if s.spec.Gang {
			m.placeGang(now, s)
			continue
		}
		plain := s.spec.MaxPerWorker == 0 && s.spec.Label == "" && s.occ.job.queue.Policy == nil && !s.spec.Fills
		if plain && slices.ContainsFunc(refused, func(r placement.Size) bool { return r.Fits(s.spec.Size) }) {
			m.addShort(now, c)
			continue
		}
		placed, all := m.placeStep(now, s)
		if placed > 0 {
			m.explain(now, c, placed)
		}
		if all {
			continue
		}
		m.addShort(now, c)
		if c.urgency == serves {
			m.reserve(s)
		}
		if plain {
			refused = append(refused, s.spec.Size)
		}
	}
}

// reserve keeps a worker free of further finite tasks until a lasting task
// fits there; else small tasks would take up each room that becomes free.
func (m *Machine) reserve(s *step) {
	var best *worker
	for _, w := range m.list {
		if m.reserved[w] || !m.couldTake(s, w) {
			continue
		}
		if best == nil || w.free().MilliCores > best.free().MilliCores {
			best = w
		}
	}
	if best != nil {
		m.reserved[best] = true
	}
}

// couldTake reports whether a worker has room for a lasting task beside the
// lasting ones that it has.
func (m *Machine) couldTake(s *step, w *worker) bool {
	if !w.listed || !w.synced || !w.engaged || w.gone || w.suspect || w.Draining || m.release[w.Machine] {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.perWorker[w.ID] >= s.spec.MaxPerWorker || s.spec.Label != "" && !w.has(s.spec.Label) {
		return false
	}
	room := w.Capacity
	for _, r := range w.runs {
		if r.task.step.spec.Lasting {
			room = room.Minus(r.task.step.takes())
		}
	}
	return s.takes().Fits(room)
}

// placePerCandidate is the time between two passes of placement for each step
// that waits. A pass takes about half a microsecond for each; long queues must
// not take up the processor of a small VM.
const placePerCandidate = 15 * time.Microsecond

// addShort counts the processor time that a step's waiting tasks lack.
func (m *Machine) addShort(now time.Time, c candidate) {
	if c.urgency == fills {
		return
	}
	for _, t := range c.step.tasks {
		if m.waiting(now, t) {
			m.short += c.step.spec.Size.MilliCores
		}
	}
}

// candidates returns the steps with waiting tasks in the order in which they
// are placed.
func (m *Machine) candidates(now time.Time) []candidate {
	var list []candidate
	for _, j := range m.order {
		if j.state.Ended() {
			continue
		}
		for _, o := range j.live {
			for _, s := range o.steps {
				if s.left > 0 && s.ready() && m.anyWaiting(now, s) {
					c := m.rank(now, s)
					c.order = len(list)
					list = append(list, c)
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.priority, b.priority), cmp.Compare(a.work, b.work), a.latest.Compare(b.latest), cmp.Compare(a.order, b.order))
	})
	return list
}

func (m *Machine) anyWaiting(now time.Time, s *step) bool {
	found := false
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 {
			continue
		}
		if now.Before(t.readyAt) {
			m.wakeAt(t.readyAt)
			m.changed = true
			continue
		}
		found = found || m.waiting(now, t)
	}
	return found
}

func (m *Machine) rank(now time.Time, s *step) candidate {
	j := s.occ.job
	c := candidate{step: s, priority: j.queue.Priority}
	objective := s.occ.objective()
	c.latest = objective.Add(-s.remaining)
	c.work = s.occ.work()
	switch {
	case s.spec.Lasting && s.spec.Fills:
		c.urgency = fills
	case s.spec.Lasting:
		c.urgency = serves
	case !now.After(c.latest):
		c.urgency = inTime
	case now.Before(s.occ.due.Add(lateFactor * objective.Sub(s.occ.due)).Add(-s.remaining)):
		c.urgency = late
	default:
		c.urgency = hopeless
	}
	return c
}

// placeStep starts the waiting tasks of a step. It returns how many, and
// whether each found a worker.
func (m *Machine) placeStep(now time.Time, s *step) (placed int, all bool) {
	for _, t := range s.tasks {
		if !m.waiting(now, t) {
			continue
		}
		w := m.pick(now, s, t)
		if w == nil {
			return placed, false
		}
		m.start(now, t, w, 0)
		placed++
	}
	return placed, true
}

// explain logs what decided that tasks of a step were started.
func (m *Machine) explain(now time.Time, c candidate, placed int) {
	m.emit(Decision{
		What: "step-placed", Job: c.step.occ.job.sub.ID, Task: workload.StepName(c.step.occ.job.sub.ID, c.step.occ.k, c.step.index),
		Why: fmt.Sprintf("%d tasks, urgency %s, slack %d ms, %d candidates", placed, c.urgency, c.latest.Sub(now).Milliseconds(), m.waitingSteps),
	})
}

// usable reports whether starts may go to the worker now.
func (m *Machine) usable(now time.Time, w *worker) bool {
	if w.noRoom.After(now) {
		m.wakeAt(w.noRoom)
		m.changed = true
		return false
	}
	if w.out.After(now) {
		m.wakeAt(w.out)
		m.changed = true
		return false
	}
	return w.listed && w.synced && w.engaged && !w.gone && !w.suspect && !w.Draining && !m.release[w.Machine]
}

// pick returns the worker for a task, or nil. Finite tasks and lasting ones
// are packed, so that other machines become free for other pools; fill tasks
// go where most is left for them.
func (m *Machine) pick(now time.Time, s *step, t *task) *worker {
	var best *worker
	var bestScore int
	needs := s.takes()
	for _, w := range m.list {
		if !m.usable(now, w) || !m.allows(now, s, w) || m.reserved[w] && !s.spec.Lasting {
			continue
		}
		free := w.free()
		if !needs.Fits(free) {
			continue
		}
		score := m.score(s, t, w, free)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// allows reports whether the step's own conditions hold for one more task at
// the worker.
func (m *Machine) allows(now time.Time, s *step, w *worker) bool {
	if s.spec.MaxPerWorker > 0 && s.perWorker[w.ID] >= s.spec.MaxPerWorker {
		return false
	}
	if s.spec.Label != "" && !w.has(s.spec.Label) {
		return false
	}
	if s.occ.job.queue.Policy != nil {
		return m.mayRun(now, s, w)
	}
	return true
}

// Weights of score, in thousandths of a core. Each outweighs a worker's whole
// capacity, in the order of their size.
const (
	weightLasting = 1_000
	weightDue     = 500_000
	weightRack    = 1_000_000
	weightAvoid   = 10_000_000
)

func (m *Machine) score(s *step, t *task, w *worker, free placement.Size) int {
	score := -free.MilliCores
	if s.spec.Fills {
		score = free.MilliCores
	}
	if s.spec.Lasting && !s.spec.Fills {
		score = weightLasting * m.lastingAt(w)
		if m.due[w.Machine] {
			score -= weightDue
		}
	}
	if s.spec.DataRack != "" && w.has(s.spec.DataRack) {
		score += weightRack
	}
	if t.avoid == w.ID {
		score -= weightAvoid
	}
	return score
}

// lastingAt returns how many lasting tasks run at the worker.
func (m *Machine) lastingAt(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.spec.Lasting {
			n++
		}
	}
	return n
}

// runsPerTerm separates the numbers of runs of successive owners, since an
// owner's last starts may not be in the store.
const runsPerTerm = 1000

// start orders a run. attempt 0 takes the task's next number.
func (m *Machine) start(now time.Time, t *task, w *worker, attempt int) {
	if attempt == 0 {
		attempt = m.nextAttempt(t)
	}
	t.lastRun = attempt
	r := &run{
		task: t, attempt: attempt, worker: w, state: starting, sent: now, percentAt: now, pace: 100,
		deadline: w.now(now) + startWithin.Milliseconds(),
	}
	w.extend(now, r.deadline)
	m.attach(r)
	j := t.step.occ.job
	m.emit(Start{
		Target: w.target(), Token: m.cfg.Token, Task: t.id, Attempt: attempt, Spec: j.sub.Spec,
		Deadline: r.deadline, Saved: t.saved, Ticket: t.step.tickets[w.ID].value,
	})
}

func (m *Machine) nextAttempt(t *task) int {
	return max(t.lastRun, int(m.cfg.Token-1)*runsPerTerm) + 1
}

// placeGang starts all tasks of a gang, or none.
func (m *Machine) placeGang(now time.Time, s *step) {
	attempt := 0
	for _, t := range s.tasks {
		if !m.waiting(now, t) {
			return
		}
		attempt = max(attempt, m.nextAttempt(t))
	}
	chosen := m.gangWorkers(now, s)
	if chosen == nil {
		return
	}
	saved := ""
	for _, t := range s.tasks {
		saved = cmp.Or(saved, t.saved)
	}
	for i, t := range s.tasks {
		t.saved = saved
		m.start(now, t, chosen[i], attempt)
	}
}

// gangWorkers returns a worker for each task of a gang, on one rack if that
// is asked for and possible, or nil.
func (m *Machine) gangWorkers(now time.Time, s *step) []*worker {
	var all []*worker
	racks := map[string][]*worker{}
	var names []string
	for _, w := range m.list {
		if !m.usable(now, w) || !m.allows(now, s, w) {
			continue
		}
		all = append(all, w)
		if racks[w.Rack()] == nil {
			names = append(names, w.Rack())
		}
		racks[w.Rack()] = append(racks[w.Rack()], w)
	}
	slices.Sort(names)
	for _, name := range names {
		if chosen := fillGang(s, racks[name]); chosen != nil {
			return chosen
		}
	}
	if s.spec.OneRack && now.Before(s.occ.objective().Add(-s.remaining)) {
		return nil // one rack may become free in time
	}
	return fillGang(s, all)
}

func fillGang(s *step, workers []*worker) []*worker {
	var chosen []*worker
	needs := s.takes()
	for _, w := range workers {
		free := w.free()
		for here := s.perWorker[w.ID]; len(chosen) < len(s.tasks) && needs.Fits(free); here++ {
			if s.spec.MaxPerWorker > 0 && here >= s.spec.MaxPerWorker {
				break
			}
			chosen = append(chosen, w)
			free = free.Minus(needs)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}

// mostAdvised bounds the workers named in one call to the placement policy.
const mostAdvised = 30

// mayRun reports whether the placement policy allows the step at the worker,
// and asks it if it has not been asked.
func (m *Machine) mayRun(now time.Time, s *step, w *worker) bool {
	if tk, ok := s.tickets[w.ID]; ok && now.Before(tk.expires) {
		return tk.value != ""
	}
	if s.asked {
		return false
	}
	a := Advise{Job: s.occ.job.sub.ID, Occurrence: s.occ.k, Step: s.index}
	for _, other := range m.list {
		if tk, ok := s.tickets[other.ID]; ok && now.Before(tk.expires) || !m.usable(now, other) {
			continue
		}
		if len(a.Workers) < mostAdvised {
			a.Workers = append(a.Workers, other.ID)
		}
	}
	s.asked = true
	m.emit(a)
	return false
}

// ticketMargin is left of a ticket's validity for the start to arrive.
const ticketMargin = 200 * time.Millisecond

func (m *Machine) advised(now time.Time, e AdviceAnswered) {
	j, ok := m.jobs[e.Job]
	if !ok {
		return
	}
	for _, o := range j.live {
		if o.k != e.Occurrence || e.Step >= len(o.steps) {
			continue
		}
		s := o.steps[e.Step]
		s.asked, m.changed = false, true
		if !e.OK {
			m.wakeAt(now.Add(retryAfterRefusal))
			return
		}
		for _, id := range e.Asked {
			valid := e.Valid - ticketMargin
			s.tickets[id] = ticket{value: e.Tickets[id], expires: now.Add(valid)}
		}
	}
}

// Waiting returns the number of jobs of each queue of which no task has
// started.
func (m *Machine) Waiting() map[string]int {
	counts := map[string]int{}
	for _, j := range m.order {
		if j.state == workload.Queued && j.sub.Repeat.Count == 0 {
			counts[j.sub.Queue.Name]++
		}
	}
	return counts
}
