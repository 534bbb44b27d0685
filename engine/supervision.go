package engine

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// Supervision of runs.
const (
	// progressTimeout is the minimum time without progress after which a finite
	// task is stopped.
	progressTimeout = 1500 * time.Millisecond
	// progressTimeoutPart extends progressTimeout for long tasks: it is the part
	// of the task's estimate that may pass without progress.
	progressTimeoutPart = 0.25
	// startupTimeout is how long a long-running task may take until it is ready to
	// serve.
	startupTimeout = 3 * time.Second
	// supervisionInterval is the time between two checks of all runs.
	supervisionInterval = 50 * time.Millisecond
	// stopRetryInterval is the time after which a stop order without effect is
	// repeated, in addition to the worker's kill grace time.
	stopRetryInterval = 300 * time.Millisecond
)

// superviseRuns stops runs that make no progress, and repeats stop orders.
func (m *Scheduler) superviseRuns(now time.Time) {
	if now.Before(m.nextSupervision) {
		m.wakeAt(m.nextSupervision)
		return
	}
	m.nextSupervision = now.Add(supervisionInterval)
	for _, w := range m.sortedWorkers {
		for i := 0; i < len(w.runs); i++ {
			r := w.runs[i]
			switch r.state {
			case stopping:
				m.retryStop(now, r)
			case running:
				m.checkProgress(now, r)
				m.creditServing(now, r)
			}
		}
	}
}

func (m *Scheduler) retryStop(now time.Time, r *run) {
	if r.stopAnswered.IsZero() {
		return // the last stop order has no outcome yet
	}
	retryAt := r.stopAnswered.Add(stopRetryInterval)
	if !r.stopAcked.IsZero() {
		retryAt = retryAt.Add(m.cfg.KillGrace)
	}
	if now.Before(retryAt) {
		m.wakeAt(retryAt)
		return
	}
	r.stopAnswered = time.Time{}
	m.sendStop(r)
}

func (m *Scheduler) checkProgress(now time.Time, r *run) {
	if r.worker.suspect || r.task.step.occ.job.state.Ended() {
		return
	}
	s := r.task.step
	var limit time.Duration
	switch {
	case s.spec.LongRunning && s.spec.BestEffort, s.spec.Gang, r.speedLimit < 100, r.percent >= 100:
		return
	case s.spec.LongRunning:
		limit = startupTimeout
	default:
		limit = max(progressTimeout, time.Duration(progressTimeoutPart*float64(s.spec.Estimate)))
	}
	// Progress is known only as of the last answered hold.
	stalledFor := r.worker.lastHoldSent.Sub(r.lastProgress)
	if stalledFor < limit {
		m.wakeAt(now.Add(limit - stalledFor))
		return
	}
	m.recordTaskFailure(now, r.task, r.worker, r.startSent)
	m.stopRun(r, "no progress for "+stalledFor.Round(time.Millisecond).String())
}

// Throttling of best-effort tasks, by the ratio of the tail latency of serving
// tasks at the same worker to its target. The speed limit falls to 0 at once when
// the target is exceeded and otherwise changes in steps, since a missed target
// costs more than the work that best-effort tasks could do in the meantime.
const (
	throttleThreshold   = 0.85 // of the target
	unthrottleThreshold = 0.55 // of the target
	throttleStep        = 25   // percent
)

// adjustThrottling sets the speed limits of best-effort tasks from the tail
// latencies of the serving tasks at the same worker.
func (m *Scheduler) adjustThrottling() {
	for _, w := range m.sortedWorkers {
		if w.bestEffortRuns == 0 || w.suspect || w.lastHoldSent.IsZero() || w.holdPending {
			continue
		}
		worstRatio := 0.0
		for _, r := range w.runs {
			if target := r.task.step.spec.TailTarget; target > 0 && r.state == running && !r.task.step.spec.BestEffort {
				worstRatio = max(worstRatio, float64(r.load)/float64(target.Milliseconds()))
			}
		}
		for _, r := range w.runs {
			if !r.task.step.spec.BestEffort || r.state != running {
				continue
			}
			limit := r.speedLimit
			switch {
			case worstRatio > 1:
				limit = 0
			case worstRatio > throttleThreshold:
				limit = max(0, limit-throttleStep)
			case worstRatio < unthrottleThreshold:
				limit = min(100, limit+throttleStep)
			}
			if limit != r.speedLimit {
				r.speedLimit = limit
				m.emit(Throttle{Target: w.target(), Token: m.cfg.Token, Task: r.task.id, Attempt: r.attempt, Percent: limit})
			}
		}
	}
}

// handleThrottleAnswer processes the result of a throttle order. If it failed, the
// limit is determined and ordered again after the next hold.
func (m *Scheduler) handleThrottleAnswer(e ThrottleAnswered) {
	w, t := m.findWorker(e.Worker), m.task(e.Task)
	if w == nil || t == nil {
		return
	}
	if e.Result == Fenced {
		m.markSuperseded(w)
		return
	}
	if r := t.findRun(w, e.Attempt); r != nil && e.Result != OK && r.speedLimit == e.Percent {
		r.speedLimit = 100 // the limit in force is unknown; assume full speed
	}
}

// OpenQueues returns the sorted keys of the queues through which the jobs that have not
// ended were submitted.
func (m *Scheduler) OpenQueues() []string {
	var list []string
	for _, j := range m.arrivalOrder {
		if !j.state.Ended() && !slices.Contains(list, j.key.Queue) {
			list = append(list, j.key.Queue)
		}
	}
	slices.Sort(list)
	return list
}

// Waiting returns, by queue, the number of jobs without a schedule of which no
// task has started.
func (m *Scheduler) Waiting() map[string]int {
	counts := map[string]int{}
	for _, j := range m.arrivalOrder {
		if j.state == workload.Queued && j.submission.Repeat.Count == 0 {
			counts[j.submission.Queue.Name]++
		}
	}
	return counts
}

// Batch is the state to store in one transaction.
type Batch struct {
	Jobs      map[string]workload.Progress
	Engaged   []EngagedWorker              // all workers that have or may get runs, for the load row
	lastEnds  map[workload.Incarnation]int // number of the last end of each worker that the batch covers
	inLoadRow map[string]int64             // start times of the workers in the load row, by ID
	tasks     int                          // in Jobs
	jobs      []*job
}

// HasJobEnds reports whether the end of a job is to be stored, for which
// callers are waiting.
func (m *Scheduler) HasJobEnds() bool {
	return slices.ContainsFunc(m.endedJobs, func(j *job) bool { return j.dirty })
}

// LoadRowUrgent reports whether the load row must be written at once, for a new
// worker that can't be used before, or for a machine that is free to be
// released.
func (m *Scheduler) LoadRowUrgent() bool {
	for _, w := range m.sortedWorkers {
		if w.belongsInLoadRow(m) && !w.inLoadRow || m.isReleased(w) && !w.releaseReported {
			return true
		}
	}
	return false
}

// LoadGrown reports whether the load has grown so much since the last load row
// that the fleet's owner should learn of it before the next renewal.
func (m *Scheduler) LoadGrown() bool { return m.load() > m.storedLoad+loadReportStep }

// loadReportStep is the growth of the load, in thousandths of a core, after
// which it is reported at once. It is a fraction of a typical machine.
const loadReportStep = 8000

// load returns the capacity that the pool's tasks use and lack, in thousandths
// of a core.
func (m *Scheduler) load() int {
	load := m.shortfall
	for _, w := range m.sortedWorkers {
		load += w.used.MilliCores
	}
	return load
}

// Dirty reports whether any jobs have changes to store.
func (m *Scheduler) Dirty() bool {
	for _, j := range m.arrivalOrder {
		if j.dirty {
			return true
		}
	}
	return false
}

// maxBatchTasks is the number of tasks after which a batch takes no further job. The
// store accepts 1 MB in one call, and a task takes about 90 bytes, which base64 makes
// 120.
const maxBatchTasks = 5000

// Collect returns the state to store, with at most limit jobs, and with the
// content of the load row if withLoad is set. A Stored event must report the
// outcome of the batch before Collect is called again.
func (m *Scheduler) Collect(limit int, withLoad bool) *Batch {
	b := &Batch{Jobs: map[string]workload.Progress{}, lastEnds: make(map[workload.Incarnation]int, len(m.sortedWorkers))}
	m.collectJobs(b, limit, true)
	m.collectJobs(b, limit, false)
	for _, w := range m.sortedWorkers {
		if n := w.lastCollectedEnd(); n > w.lastEndStored {
			b.lastEnds[w.Incarnation] = n
		}
	}
	if withLoad {
		m.collectWorkers(b)
	}
	return b
}

// collectJobs adds jobs with changes to the batch, until it is full: with ended
// those that have ended, for which callers are waiting, otherwise the others.
func (m *Scheduler) collectJobs(b *Batch, limit int, ended bool) {
	for _, j := range m.arrivalOrder {
		if len(b.jobs) == limit || b.tasks >= maxBatchTasks {
			return
		}
		if !j.dirty || j.state.Ended() != ended {
			continue
		}
		progress := j.progress()
		b.tasks += len(progress.Tasks)
		b.Jobs[j.submission.ID] = progress
		b.jobs = append(b.jobs, j)
		j.dirty, j.storing = false, true
	}
}

// lastCollectedEnd returns the number up to which the changes that the worker's
// ends made are in the store or in the batch that is being collected.
func (w *worker) lastCollectedEnd() int {
	last := w.lastEndSettled()
	for _, e := range w.unstoredEnds {
		if e.job.dirty {
			last = min(last, e.number-1)
		}
	}
	return last
}

// markEndsStored records that the worker's ends up to n are in the store.
func (w *worker) markEndsStored(n int) {
	w.lastEndStored = max(w.lastEndStored, n)
	w.unstoredEnds = slices.DeleteFunc(w.unstoredEnds, func(e unstoredEnd) bool { return e.number <= w.lastEndStored })
}

// collectWorkers adds the workers that may have runs of this owner or of the
// former one.
func (m *Scheduler) collectWorkers(b *Batch) {
	b.inLoadRow = make(map[string]int64, len(m.sortedWorkers))
	m.storedLoad = m.load()
	for _, w := range m.sortedWorkers {
		w.releaseReported = m.isReleased(w)
		w.inLoadRow = w.inLoadRow && w.belongsInLoadRow(m)
		if w.belongsInLoadRow(m) {
			b.Engaged = append(b.Engaged, EngagedWorker{ID: w.ID, Born: w.Born, Machine: w.Machine})
			b.inLoadRow[w.ID] = w.Born
		}
	}
	for id, former := range m.formerWorkers {
		if _, ok := b.inLoadRow[id]; !ok {
			b.Engaged = append(b.Engaged, EngagedWorker{ID: id, Born: former.born, Machine: former.machine})
		}
	}
}

func (m *Scheduler) handleStored(e Stored) {
	for _, j := range e.Batch.jobs {
		j.storing = false
		j.dirty = j.dirty || !e.OK
	}
	if !e.OK {
		return
	}
	m.needsPlacement = m.needsPlacement || len(m.endedJobs) > 0 // a pass drops ended jobs
	for incarnation, n := range e.Batch.lastEnds {
		if w := m.findWorker(incarnation); w != nil {
			w.markEndsStored(n)
		}
	}
	for id, born := range e.Batch.inLoadRow {
		if w, ok := m.workers[id]; ok && w.Born == born && !w.inLoadRow {
			w.inLoadRow, m.needsPlacement = true, true
		}
	}
}

// Status is the state of the pool as reported to the fleet's owner and in the
// state dump.
type Status struct {
	Shortfall      int             `json:"short,omitempty"`  // thousandths of a core that waiting tasks lack
	LateShortfall  int             `json:"lshort,omitempty"` // part of Shortfall of tasks whose jobs can't meet their objective any more
	LateUsed       int             `json:"lused,omitempty"`  // thousandths of a core that runs of such jobs take
	LongRunning    int             `json:"last,omitempty"`   // thousandths of a core that long-running tasks take
	Spread         int             `json:"spread,omitempty"` // number of machines that the long-running step with the widest spread needs
	Machines       []MachineStatus `json:"machines,omitempty"`
	ReleaseVersion uint64          `json:"release,omitempty"` // version of the fleet's row that Released refers to
	// LargestMachine is the greatest capacity of any machine whose worker has answered
	// this owner, in thousandths of a core.
	LargestMachine int `json:"per,omitempty"`
}

// MachineStatus is the load of a machine of the pool.
type MachineStatus struct {
	Machine     string `json:"m"`
	Worker      string `json:"w"`           // ID of its worker
	Used        int    `json:"u,omitempty"` // thousandths of a core
	Runs        int    `json:"r,omitempty"`
	LongRunning int    `json:"l,omitempty"` // runs of long-running tasks
	Usable      bool   `json:"ok,omitempty"`
	Released    bool   `json:"free,omitempty"` // it is to be released, and nothing runs or will be started on it
}

// isReleased reports whether a machine that is to be released has nothing
// running, gets no starts, and has no ends left to be stored.
func (m *Scheduler) isReleased(w *worker) bool {
	return m.toRelease[w.Machine] && (w.synced || m.takeoverComplete()) && !w.hasRuns() && w.lastEndProcessed <= w.lastEndStored
}

// widestSpread returns the number of machines that the open long-running step
// with the widest spread needs, or 0 if there is none with a limit per worker.
func (m *Scheduler) widestSpread() int {
	most := 0
	for _, j := range m.arrivalOrder {
		if j.state.Ended() {
			continue
		}
		for _, st := range j.submission.Steps {
			if st.LongRunning && st.MaxPerWorker > 0 {
				most = max(most, (st.Count+st.MaxPerWorker-1)/st.MaxPerWorker)
			}
		}
	}
	return most
}

// Status returns the state of the pool at now.
func (m *Scheduler) Status(now time.Time) Status {
	s := Status{ReleaseVersion: m.releaseVersion, Shortfall: m.shortfall, LateShortfall: m.lateShortfall, Spread: m.widestSpread()}
	for _, w := range m.sortedWorkers {
		if !w.registered || w.gone {
			continue
		}
		if w.synced { // a registration of another writer has no worker that answers
			s.LargestMachine = max(s.LargestMachine, w.Capacity.MilliCores)
		}
		for _, r := range w.runs {
			switch step := r.task.step; {
			case step.spec.LongRunning:
				s.LongRunning += step.demand().MilliCores
			case now.After(step.occ.objective()):
				s.LateUsed += step.demand().MilliCores
			}
		}
		s.Machines = append(s.Machines, MachineStatus{
			Machine: w.Machine, Worker: w.ID, Used: w.used.MilliCores, Runs: len(w.runs), LongRunning: m.longRunningRuns(w),
			Usable:   m.usable(now, w),
			Released: m.isReleased(w),
		})
	}
	return s
}
