package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// urgency is the first criterion of the placement order: all steps of one
// urgency are placed before any of the next.
type urgency int

const (
	serving    urgency = iota // long-running tasks, whose users are always waiting
	onTime                    // can still meet the job's objective
	late                      // can still end within lateFactor times the objective
	overdue                   // can't end within that time any more
	bestEffort                // long-running tasks that use only CPU time that others leave idle
)

var urgencyNames = [...]string{"serves", "in-time", "late", "hopeless", "fills"}

// String returns the urgency's name.
func (u urgency) String() string { return urgencyNames[u] }

// lateFactor is the multiple of the objective up to which an end counts as
// late.
const lateFactor = 3

// candidate is a step with tasks to place, and what its place in the order
// depends on.
type candidate struct {
	step         *step
	urgency      urgency
	priority     int
	latestStart  time.Time // latest start that meets the objective
	precedence   float64   // see precedence; the smallest comes first
	arrivalOrder int       // position among candidates in the order of arrival
}

// placeAgainAt requests a placement pass at a time at which a pause ends.
func (m *Scheduler) placeAgainAt(t time.Time) {
	if m.pauseEnd.IsZero() || t.Before(m.pauseEnd) {
		m.pauseEnd = t
	}
}

// checkPauses requests a placement pass if a pause has ended.
func (m *Scheduler) checkPauses(now time.Time) {
	switch {
	case m.pauseEnd.IsZero():
	case now.Before(m.pauseEnd):
		m.wakeAt(m.pauseEnd)
	default:
		m.pauseEnd, m.needsPlacement = time.Time{}, true
	}
}

// place starts waiting tasks on workers with free capacity.
func (m *Scheduler) place(now time.Time) {
	m.checkPauses(now)
	defer m.checkPauses(now) // of pauses that the pass finds
	if !m.needsPlacement || m.paused {
		return
	}
	if now.Before(m.nextPlacement) {
		m.wakeAt(m.nextPlacement)
		return
	}
	m.dropEndedJobs()
	m.needsPlacement, m.shortfall, m.lateShortfall, m.unplacedSteps = false, 0, 0, 0
	var unplaceable []placement.Size
	clear(m.reserved)
	list := m.candidates(now)
	m.nextPlacement = now.Add(time.Duration(len(list)) * placementGapPerStep)
	m.waitingSteps = len(list)
	for _, c := range list {
		s := c.step
		if s.spec.Gang {
			m.unplacedSteps++
			m.placeGang(now, s)
			continue
		}
		unconstrained := s.spec.MaxPerWorker == 0 && s.spec.Label == "" && s.occ.job.queue.Policy == nil && !s.spec.BestEffort
		// Constraints only reduce the workers that a step may use.
		needsRoom := unconstrained || s.occ.job.queue.Policy == nil && !s.spec.LongRunning && !s.spec.BestEffort
		if needsRoom && slices.ContainsFunc(unplaceable, func(r placement.Size) bool { return r.Fits(s.spec.Size) }) {
			m.addShortfall(now, c)
			m.unplacedSteps++
			continue
		}
		placed, result := m.placeStep(now, s)
		if placed > 0 {
			m.logPlacement(now, c, placed)
		}
		if result != noRoom {
			if result == retriesLater {
				m.unplacedSteps++
			}
			continue
		}
		m.addShortfall(now, c)
		m.unplacedSteps++
		if c.urgency == serving {
			m.reserveWorker(now, s)
		}
		if unconstrained {
			unplaceable = append(unplaceable, s.spec.Size)
		}
	}
	clear(m.candidateBuffer) // the buffer must not keep jobs that have ended
}

// placementGapPerStep is the minimum time between two placement passes per
// waiting step. A pass takes about half a microsecond per step, and long queues
// must not use up the CPU of a small VM.
const placementGapPerStep = 15 * time.Microsecond

// addShortfall adds the CPU demand of the step's waiting tasks to the
// shortfall.
func (m *Scheduler) addShortfall(now time.Time, c *candidate) {
	if c.urgency == bestEffort {
		return
	}
	lacking := 0
	if m.allIdleCanStart(now, c.step) {
		lacking = c.step.idleTasks * c.step.spec.Size.MilliCores
	} else {
		for _, t := range c.step.tasks {
			if m.canStart(now, t) {
				lacking += c.step.spec.Size.MilliCores
			}
		}
	}
	m.shortfall += lacking
	if c.urgency == late || c.urgency == overdue {
		m.lateShortfall += lacking
	}
}

// candidates returns the steps with waiting tasks in placement order.
func (m *Scheduler) candidates(now time.Time) []*candidate {
	list := m.candidateBuffer[:0]
	for _, j := range m.arrivalOrder {
		if j.state.Ended() {
			continue
		}
		for _, o := range j.openOccurrences {
			for _, s := range o.steps {
				if s.idleTasks > 0 && s.ready() && m.hasStartable(now, s) {
					c := m.newCandidate(now, s)
					c.arrivalOrder = len(list)
					list = append(list, c)
				}
			}
		}
	}
	m.candidateBuffer = list
	sorted := m.candidateOrder[:0]
	for i := range list {
		sorted = append(sorted, &list[i])
	}
	slices.SortFunc(sorted, compareCandidates)
	m.candidateOrder = sorted
	return sorted
}

func (m *Scheduler) hasStartable(now time.Time, s *step) bool {
	if m.allIdleCanStart(now, s) {
		return s.idleTasks > 0
	}
	found := false
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 {
			continue
		}
		if now.Before(t.notBefore) {
			m.placeAgainAt(t.notBefore)
			continue
		}
		found = found || m.canStart(now, t)
	}
	return found
}

func (m *Scheduler) newCandidate(now time.Time, s *step) candidate {
	j := s.occ.job
	c := candidate{step: s, priority: j.queue.Priority}
	objective := s.occ.objective()
	c.latestStart = objective.Add(-s.criticalPath)
	c.precedence = s.occ.precedence()
	switch {
	case s.spec.LongRunning && s.spec.BestEffort:
		c.urgency = bestEffort
	case s.spec.LongRunning:
		c.urgency = serving
	case !now.After(c.latestStart):
		c.urgency = onTime
	case now.Before(s.occ.due.Add(lateFactor * objective.Sub(s.occ.due)).Add(-s.criticalPath)):
		c.urgency = late
	default:
		c.urgency = overdue
		// No order makes these jobs useful to their callers, but none of them may
		// wait without end.
		c.precedence = -now.Sub(s.occ.due).Seconds()
	}
	return c
}

// stepResult is the outcome of the placement of a step.
type stepResult int

const (
	allPlaced    stepResult = iota
	retriesLater            // there is room only where the waiting tasks have just failed
	noRoom                  // tasks wait for room
)

// placeStep starts the waiting tasks of a step. It returns the number of tasks
// started and what became of the others.
func (m *Scheduler) placeStep(now time.Time, s *step) (placed int, result stepResult) {
	for _, t := range s.tasks {
		if !m.canStart(now, t) {
			continue
		}
		w, hasRoom := m.pickWorker(now, s, t)
		switch {
		case w != nil:
			m.startRun(now, t, w, 0)
			s.reservationLogged = false
			placed++
		case hasRoom:
			result = retriesLater
		default:
			return placed, noRoom
		}
	}
	return placed, result
}

// logPlacement logs the criteria by which tasks of a step were started.
func (m *Scheduler) logPlacement(now time.Time, c *candidate, placed int) {
	m.emit(Decision{
		What: "step-placed", Job: c.step.occ.job.submission.ID, Task: workload.StepName(c.step.occ.job.submission.ID, c.step.occ.number, c.step.index),
		Why: fmt.Sprintf("%d tasks, urgency %s, slack %d ms, %d candidates", placed, c.urgency, c.latestStart.Sub(now).Milliseconds(), m.waitingSteps),
	})
}

// usable reports whether tasks may be started at the worker now.
func (m *Scheduler) usable(now time.Time, w *worker) bool {
	return !m.inQuarantine(now, w) && m.isAvailable(now, w)
}

// isAvailable reports whether tasks may be started at the worker now, apart from its
// quarantine.
func (m *Scheduler) isAvailable(now time.Time, w *worker) bool {
	if pause := times.Later(w.noRoomUntil, w.unhealthyUntil); pause.After(now) {
		m.placeAgainAt(pause)
		return false
	}
	if m.leaseEnded && now.Sub(w.lastHoldSent) > overrunFreshness {
		return false // the answer to the next hold makes it usable
	}
	return w.registered && w.synced && w.inLoadRow && !w.gone && !w.suspect && !w.Draining && !m.toRelease[w.Machine]
}

// pickWorker returns the worker for a task, or nil. Finite and long-running
// tasks are packed, so that machines become free for other pools. Best-effort
// tasks go to the worker with the most CPU left. hasRoom is set if a worker has room
// for the task, but the task has failed there a short time ago.
func (m *Scheduler) pickWorker(now time.Time, s *step, t *task) (best *worker, hasRoom bool) {
	var bestScore int
	needs := s.demand()
	suspects := false
	for _, w := range m.sortedWorkers {
		suspects = suspects || w.suspected
		if !m.mayTake(now, s, w) {
			continue
		}
		free := w.free()
		if !needs.Fits(free) {
			continue
		}
		if !m.mayRetryAt(now, t, w) {
			hasRoom = true
			continue
		}
		score := m.score(now, s, t, w, free)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil && suspects && m.onlySuspectsAllowed(now, s) {
		best = m.pickProbe(now, s, t)
	}
	return best, hasRoom
}

// mayTake reports whether the worker, if it has room, may take a task of the step now.
func (m *Scheduler) mayTake(now time.Time, s *step, w *worker) bool {
	return m.usable(now, w) && m.stepAllows(now, s, w) && (s.spec.LongRunning || !m.reserved[w])
}

// stepAllows reports whether the step's constraints allow one more task at the
// worker.
func (m *Scheduler) stepAllows(now time.Time, s *step, w *worker) bool {
	if s.spec.MaxPerWorker > 0 && s.runsPerWorker[w.ID] >= s.spec.MaxPerWorker {
		return false
	}
	if s.spec.Label != "" && !w.hasLabel(s.spec.Label) {
		return false
	}
	if s.occ.job.queue.Policy != nil {
		return m.policyAllows(now, s, w)
	}
	return true
}

// Weights of the criteria in score, in thousandths of a core.
// weightLongRunning applies to each long-running task at the worker, in place
// of the free capacity. Each of the others outweighs a worker's whole capacity
// and all smaller weights.
const (
	weightLongRunning = 1_000
	weightRelease     = 500_000
	weightRack        = 1_000_000
	weightSucceeded   = 2_000_000
	weightFailures    = 5_000_000
	weightUnanswered  = 5_000_000
	weightAvoid       = 20_000_000
)

// unansweredPenaltyTime is how long after a call without an answer a worker gets only
// tasks for which no other one has room. A start without an answer holds up its task
// until its deadline, after which most jobs are late.
const unansweredPenaltyTime = 3 * time.Second

func (m *Scheduler) score(now time.Time, s *step, t *task, w *worker, free placement.Size) int {
	score := -free.MilliCores
	if s.spec.BestEffort {
		score = free.MilliCores
	}
	if s.spec.LongRunning && !s.spec.BestEffort {
		score = weightLongRunning * m.longRunningRuns(w)
		if m.upcomingRelease[w.Machine] {
			score -= weightRelease
		}
	}
	if s.spec.DataRack != "" && w.hasLabel(s.spec.DataRack) {
		score += weightRack
	}
	if now.Sub(w.lastUnanswered) < unansweredPenaltyTime {
		score -= weightUnanswered
	}
	if len(w.failures) > 0 && now.Sub(w.lastFailure) < failurePenaltyTime {
		score -= weightFailures
	}
	if t.failures > 0 && now.Sub(w.lastSuccess) < failureMemory {
		score += weightSucceeded
	}
	if f := s.failures[w]; f != nil && slices.Contains(f.tasks, t) {
		score -= weightAvoid
	}
	return score
}

// longRunningRuns returns the number of runs of long-running tasks at the
// worker.
func (m *Scheduler) longRunningRuns(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// attemptsPerOwner separates the attempt numbers of successive owners: those of
// the owner with token n start above (n-1)*attemptsPerOwner, because its
// predecessor's last starts may not be in the store.
const attemptsPerOwner = 1000

// startRun orders a worker to start a task. If attempt is 0, the task's next
// attempt number is used.
func (m *Scheduler) startRun(now time.Time, t *task, w *worker, attempt int) {
	if attempt == 0 {
		attempt = m.nextAttempt(t)
	}
	t.lastAttempt = attempt
	r := &run{
		task: t, attempt: attempt, worker: w, state: starting, startSent: now, lastProgress: now, speedLimit: 100,
		startDeadline: w.estimateClock(now) + startTimeout.Milliseconds(),
	}
	w.recordDeadline(now, r.startDeadline)
	if len(w.runs) == 0 {
		// The next hold of an idle worker may be long ahead, and only holds tell the end of
		// a run.
		w.nextHold = times.Earlier(w.nextHold, now.Add(m.busyHoldGap()))
	}
	m.addRun(r)
	j := t.step.occ.job
	m.emit(Start{
		Target: w.target(), Token: m.cfg.Token, Task: t.id, Attempt: attempt, Spec: j.submission.Spec,
		Deadline: r.startDeadline, Checkpoint: t.checkpoint, Ticket: t.step.tickets[w.ID].value, SendBy: now.Add(startTimeout),
	})
}

func (m *Scheduler) nextAttempt(t *task) int {
	return max(t.lastAttempt, int(m.cfg.Token-1)*attemptsPerOwner) + 1
}

// placeGang starts all tasks of a gang or none of them.
func (m *Scheduler) placeGang(now time.Time, s *step) {
	attempt := 0
	for _, t := range s.tasks {
		if !m.canStart(now, t) {
			return
		}
		attempt = max(attempt, m.nextAttempt(t))
	}
	chosen := m.gangWorkers(now, s)
	if chosen == nil {
		return
	}
	checkpoint := ""
	for _, t := range s.tasks {
		checkpoint = cmp.Or(checkpoint, t.checkpoint)
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		m.startRun(now, t, chosen[i], attempt)
	}
}

// gangWorkers returns a worker for each task of a gang, or nil if they do not
// all fit. It avoids workers at which the gang has failed or that are suspected.
func (m *Scheduler) gangWorkers(now time.Time, s *step) []*worker {
	if chosen := m.gangWorkersAmong(now, s, func(w *worker) bool { return !w.suspected && s.failures[w] == nil }); chosen != nil {
		return chosen
	}
	return m.gangWorkersAmong(now, s, func(w *worker) bool { return true })
}

// gangWorkersAmong returns a worker for each task of a gang among those that are allowed,
// or nil if they do not all fit. It prefers one rack, and waits for one if the step asks
// for it and there is time left.
func (m *Scheduler) gangWorkersAmong(now time.Time, s *step, allowed func(*worker) bool) []*worker {
	var all []*worker
	racks := map[string][]*worker{}
	var names []string
	for _, w := range m.sortedWorkers {
		if !allowed(w) || !m.mayTake(now, s, w) {
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
		if chosen := assignGang(s, racks[name]); chosen != nil {
			return chosen
		}
	}
	if s.spec.OneRack && now.Before(s.occ.objective().Add(-s.criticalPath)) {
		return nil // a rack may still get enough free capacity in time
	}
	return assignGang(s, all)
}

func assignGang(s *step, workers []*worker) []*worker {
	var chosen []*worker
	needs := s.demand()
	for _, w := range workers {
		free := w.free()
		for atWorker := s.runsPerWorker[w.ID]; len(chosen) < len(s.tasks) && needs.Fits(free); atWorker++ {
			if s.spec.MaxPerWorker > 0 && atWorker >= s.spec.MaxPerWorker {
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
