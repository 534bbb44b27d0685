package platform

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/store"
)

// endedRunRetention is how long ended runs stay in the usage report.
const endedRunRetention = 10 * time.Minute

// failDelay is the time after which a task fails on a worker in FailWorkers.
const failDelay = 50 * time.Millisecond

// taskTable holds the workers and their runs. Only the state duty accesses it. A
// run's progress is computed on demand for any time since its start, so a
// lagging report needs no history of reports.
type taskTable struct {
	workers      map[string]store.Worker
	taskIDs      keyIndex          // of tasks that have runs
	runs         map[string][]*run // by task, in order of token
	runsByWorker map[string][]*run // may contain ended runs, which available removes
	highestToken map[string]uint64 // by task; calls with a lower one are fenced
	counts       TaskCounts
}

// TaskCounts are totals since the start.
type TaskCounts struct {
	Started int64 `json:"started"`
	Fenced  int64 `json:"fenced"` // calls refused because of an old token
	// Overlaps counts starts of a task whose previous run was still running.
	// Leases and fencing make overlaps harmless but cannot rule them out.
	Overlaps int64 `json:"overlaps"`
}

// run is one execution of a task on a worker.
type run struct {
	task        store.Task
	workTime    time.Duration // actual run time at full speed
	usageFactor float64       // actual use of resources over the declared one
	started     time.Time
	phases      []phase // in order of time; never empty
	leaseEnd    time.Time
	failAt      time.Time // zero if the run does not fail
	stopped     time.Time // zero if the run was not stopped
	checkpoint  time.Duration
}

// phase is a period in which a run has constant speed.
type phase struct {
	from       time.Time
	progress   time.Duration // at the start of the phase
	milliCores int
}

func newTaskTable() *taskTable {
	return &taskTable{
		workers:      make(map[string]store.Worker),
		runs:         make(map[string][]*run),
		runsByWorker: make(map[string][]*run),
		highestToken: make(map[string]uint64),
	}
}

// setWorkers replaces the workers. Runs on removed workers fail.
func (t *taskTable) setWorkers(workers []store.Worker, now time.Time) {
	clear(t.workers)
	for _, w := range workers {
		t.workers[w.ID] = w
	}
	for id := range t.runsByWorker {
		if _, known := t.workers[id]; !known {
			t.failRuns(id, now)
		}
	}
}

// failRuns marks all running runs on a worker that went down as failed.
func (t *taskTable) failRuns(worker string, now time.Time) {
	for _, r := range t.runsByWorker[worker] {
		if r.isRunning(now) {
			r.failAt = now
		}
	}
	delete(t.runsByWorker, worker)
}

// sampleRunTimeAndUsage returns a task's actual run time and the factor between its
// actual and declared use of resources, drawn from log-normal distributions. For a
// given seed they depend only on the task, so a task that runs long does so on every
// worker.
func sampleRunTimeAndUsage(seed uint64, task store.Task, runSigma, usageSigma float64) (workTime time.Duration, usageFactor float64) {
	h := fnv.New64a()
	h.Write([]byte(task.ID))
	rng := rand.New(rand.NewPCG(seed, h.Sum64()))
	runFactor, useFactor := math.Exp(runSigma*rng.NormFloat64()), math.Exp(usageSigma*rng.NormFloat64())
	return max(time.Duration(float64(task.Declared)*runFactor), time.Millisecond), useFactor
}

func (r *run) phaseAt(at time.Time) phase {
	for i := len(r.phases) - 1; i > 0; i-- {
		if !r.phases[i].from.After(at) {
			return r.phases[i]
		}
	}
	return r.phases[0]
}

// speed returns the work done per unit of time, 1 at full speed. A task that
// declares no processors always runs at full speed.
func (r *run) speed(p phase) float64 {
	if r.task.MilliCores == 0 {
		return 1
	}
	return float64(p.milliCores) / float64(r.task.MilliCores)
}

func (r *run) progressAt(p phase, at time.Time) time.Duration {
	return min(r.workTime, p.progress+time.Duration(r.speed(p)*float64(at.Sub(p.from))))
}

// milliCoresAt returns the millicores that the run has at the given time.
func (r *run) milliCoresAt(at time.Time) int { return r.phaseAt(at).milliCores }

// stateAt returns the state at the given time and when it was reached. The
// earliest of expiry, stop, completion and failure ends a run.
func (r *run) stateAt(at time.Time) (store.RunState, time.Time) {
	state, end := store.RunRunning, at
	endIfReached := func(s store.RunState, when time.Time) {
		if !when.IsZero() && !when.After(end) {
			state, end = s, when
		}
	}
	endIfReached(store.RunExpired, r.leaseEnd)
	endIfReached(store.RunStopped, r.stopped)
	p := r.phaseAt(at)
	if speed := r.speed(p); speed > 0 {
		endIfReached(store.RunDone, p.from.Add(time.Duration(float64(r.workTime-p.progress)/speed)))
	}
	endIfReached(store.RunFailed, r.failAt)
	return state, end
}

func (r *run) isRunning(at time.Time) bool {
	state, _ := r.stateAt(at)
	return state == store.RunRunning
}

// report returns the run's report for the given time.
func (r *run) report(at time.Time) store.Run {
	state, end := r.stateAt(at)
	p := r.phaseAt(end)
	out := store.Run{
		Task: r.task.ID, Worker: r.task.Worker, Token: r.task.Token,
		State: state, Ran: end.Sub(r.started), Progress: r.progressAt(p, end),
		Checkpoint: r.checkpoint, MilliCores: p.milliCores,
	}
	if state == store.RunDone {
		out.Progress = r.workTime // rounding can make the computed progress slightly lower
	}
	if state == store.RunRunning {
		out.UsedMilliCores = int(float64(p.milliCores) * r.usageFactor)
		out.UsedMemoryMB = int(float64(r.task.MemoryMB) * r.usageFactor)
	}
	return out
}

// available returns the worker with the resources that are free now. It removes
// ended runs from runsByWorker.
func (t *taskTable) available(w store.Worker, now time.Time) store.Worker {
	running := slices.DeleteFunc(t.runsByWorker[w.ID], func(r *run) bool { return !r.isRunning(now) })
	t.runsByWorker[w.ID] = running
	for _, r := range running {
		w.MilliCores -= r.milliCoresAt(now)
		w.MemoryMB -= r.task.MemoryMB
		w.Accelerators -= r.task.Accelerators
	}
	return w
}

// findRun returns the run of the task with the given token, or nil.
func (t *taskTable) findRun(task string, token uint64) *run {
	for _, r := range t.runs[task] {
		if r.task.Token == token {
			return r
		}
	}
	return nil
}

func fits(task store.Task, w store.Worker) bool {
	return task.MilliCores <= w.MilliCores && task.MemoryMB <= w.MemoryMB && task.Accelerators <= w.Accelerators
}

// start starts a run of the task with the given actual run time and usage factor; if
// fails is true, the run fails after failDelay. It is idempotent for the same task,
// token and worker.
func (t *taskTable) start(task store.Task, now time.Time, workTime time.Duration, usageFactor float64, fails bool) (store.Run, error) {
	w, known := t.workers[task.Worker]
	if !known {
		return store.Run{}, store.ErrNotFound
	}
	if r := t.findRun(task.ID, task.Token); r != nil && r.task.Worker == task.Worker {
		return r.report(now), nil
	}
	switch {
	case task.Token <= t.highestToken[task.ID]:
		t.counts.Fenced++
		return store.Run{}, store.ErrFenced
	case !fits(task, w):
		return store.Run{}, store.ErrNeverFits
	case !fits(task, t.available(w, now)):
		return store.Run{}, store.ErrNoRoom
	}
	if old := t.findRun(task.ID, t.highestToken[task.ID]); old != nil && old.isRunning(now) {
		t.counts.Overlaps++
	}
	t.highestToken[task.ID] = task.Token
	t.counts.Started++
	r := &run{
		task: task, workTime: workTime, usageFactor: usageFactor, started: now,
		phases:   []phase{{from: now, progress: task.Progress, milliCores: task.MilliCores}},
		leaseEnd: now.Add(task.Lease), checkpoint: task.Progress,
	}
	if fails {
		r.failAt = now.Add(failDelay)
	}
	t.addRun(r)
	return r.report(now), nil
}

func (t *taskTable) addRun(r *run) {
	if len(t.runs[r.task.ID]) == 0 {
		t.taskIDs.insert(r.task.ID)
	}
	t.runs[r.task.ID] = append(t.runs[r.task.ID], r)
	t.runsByWorker[r.task.Worker] = append(t.runsByWorker[r.task.Worker], r)
}

// updateRun checks the token and calls update if the run is still running.
func (t *taskTable) updateRun(hold store.Hold, now time.Time, update func(r *run) error) (store.Run, error) {
	if hold.Token < t.highestToken[hold.Task] {
		t.counts.Fenced++
		return store.Run{}, store.ErrFenced
	}
	r := t.findRun(hold.Task, hold.Token)
	if r == nil {
		return store.Run{}, store.ErrNotFound
	}
	if r.isRunning(now) {
		if err := update(r); err != nil {
			return store.Run{}, err
		}
	}
	return r.report(now), nil
}

// refuseStarts makes the worker refuse starts of a run that is unknown.
func (t *taskTable) refuseStarts(hold store.Hold) {
	t.highestToken[hold.Task] = max(t.highestToken[hold.Task], hold.Token)
}

// throttle changes the run's millicores, to at most the declared ones.
func (t *taskTable) throttle(r *run, milliCores int, now time.Time) error {
	more := milliCores - r.milliCoresAt(now)
	if more > 0 && more > t.available(t.workers[r.task.Worker], now).MilliCores {
		return store.ErrNoRoom
	}
	milliCores = min(milliCores, r.task.MilliCores)
	r.phases = append(r.phases, phase{from: now, progress: r.progressAt(r.phaseAt(now), now), milliCores: milliCores})
	return nil
}

// usageReport returns the reports of the runs for the given time, in order of task
// and token, and removes runs that ended more than endedRunRetention before. All
// runs of a task are on one page, because the next page starts after a task.
func (t *taskTable) usageReport(at time.Time, after string, limit int) []store.Run {
	out := []store.Run{}
	var emptied []string
	t.taskIDs.ascend(after, func(id string) bool {
		if id == after {
			return true
		}
		runs := slices.DeleteFunc(t.runs[id], func(r *run) bool {
			state, end := r.stateAt(at)
			return state != store.RunRunning && at.Sub(end) > endedRunRetention
		})
		t.runs[id] = runs
		if len(runs) == 0 {
			emptied = append(emptied, id)
		}
		if len(out) > 0 && len(out)+len(runs) > limit {
			return false
		}
		for _, r := range runs {
			if !r.started.After(at) {
				out = append(out, r.report(at))
			}
		}
		return true
	})
	for _, id := range emptied {
		delete(t.runs, id)
		t.taskIDs.remove(id)
	}
	return out
}
