package platform

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/store"
)

// Ended runs stay in the usage report for this long.
const runsKept = 10 * time.Minute

// A worker that fails every task does so after this time.
const failAfter = 50 * time.Millisecond

// tasks holds the workers and their runs. The state duty owns it. A run's
// progress is computed when it is asked for, at any time since its start, so
// that a lagging report needs no history of reports.
type tasks struct {
	workers  map[string]store.Worker
	ids      keyIndex          // of runs
	runs     map[string][]*run // of each task, in order of token
	onWorker map[string][]*run // perhaps running; ended ones are dropped when the worker is looked at
	tokens   map[string]uint64 // highest token seen for each task
	counts   TaskCounts
}

// TaskCounts are totals since the start.
type TaskCounts struct {
	Started int64 `json:"started"`
	Fenced  int64 `json:"fenced"` // calls with an old token
	// Overlaps counts starts of a task that another worker was still
	// running; leases and fencing make these harmless, not impossible.
	Overlaps int64 `json:"overlaps"`
}

// run is one placement of a task.
type run struct {
	task       store.Task
	real       time.Duration // work until the task is done
	usage      float64       // part of the given resources in use
	started    time.Time
	phases     []phase // in order of time; never empty
	leaseEnd   time.Time
	failAt     time.Time // zero if the run does not fail
	stopped    time.Time // zero if nobody stopped the run
	checkpoint time.Duration
}

// phase is a time of constant speed.
type phase struct {
	from       time.Time
	progress   time.Duration
	milliCores int
}

func newTasks() *tasks {
	return &tasks{
		workers:  make(map[string]store.Worker),
		runs:     make(map[string][]*run),
		onWorker: make(map[string][]*run),
		tokens:   make(map[string]uint64),
	}
}

// setWorkers replaces the workers. Runs on workers that are gone fail.
func (t *tasks) setWorkers(workers []store.Worker, now time.Time) {
	clear(t.workers)
	for _, w := range workers {
		t.workers[w.ID] = w
	}
	for id := range t.onWorker {
		if _, known := t.workers[id]; !known {
			t.fail(id, now)
		}
	}
}

// fail ends all runs on a worker that went down.
func (t *tasks) fail(worker string, now time.Time) {
	for _, r := range t.onWorker[worker] {
		if r.running(now) {
			r.failAt = now
		}
	}
	delete(t.onWorker, worker)
}

// traits draws how a task really behaves. They depend on the task alone: a
// task that runs long does so on every worker.
func traits(seed uint64, task store.Task, runSigma, usageSigma float64) (real time.Duration, usage float64) {
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

// speed returns the work done per time; a task without processors of its own
// runs at full speed.
func (r *run) speed(p phase) float64 {
	if r.task.MilliCores == 0 {
		return 1
	}
	return float64(p.milliCores) / float64(r.task.MilliCores)
}

func (r *run) progressIn(p phase, at time.Time) time.Duration {
	return min(r.real, p.progress+time.Duration(r.speed(p)*float64(at.Sub(p.from))))
}

// given returns the processors that the run has at the time.
func (r *run) given(at time.Time) int { return r.phaseAt(at).milliCores }

// endBy returns the state at the time and when it was reached. A run ends
// with whatever comes first.
func (r *run) endBy(at time.Time) (store.RunState, time.Time) {
	state, end := store.RunRunning, at
	first := func(s store.RunState, when time.Time) {
		if !when.IsZero() && !when.After(end) {
			state, end = s, when
		}
	}
	first(store.RunExpired, r.leaseEnd)
	first(store.RunStopped, r.stopped)
	p := r.phaseAt(at)
	if speed := r.speed(p); speed > 0 {
		first(store.RunDone, p.from.Add(time.Duration(float64(r.real-p.progress)/speed)))
	}
	first(store.RunFailed, r.failAt)
	return state, end
}

func (r *run) running(at time.Time) bool {
	state, _ := r.endBy(at)
	return state == store.RunRunning
}

// report describes the run as it was at the time.
func (r *run) report(at time.Time) store.Run {
	state, end := r.endBy(at)
	p := r.phaseAt(end)
	out := store.Run{
		Task: r.task.ID, Worker: r.task.Worker, Token: r.task.Token,
		State: state, Ran: end.Sub(r.started), Progress: r.progressIn(p, end),
		Checkpoint: r.checkpoint, MilliCores: p.milliCores,
	}
	if state == store.RunDone {
		out.Progress = r.real // rounding may leave it just below
	}
	if state == store.RunRunning {
		out.UsedMilliCores = int(float64(p.milliCores) * r.usage)
		out.UsedMemoryMB = int(float64(r.task.MemoryMB) * r.usage)
	}
	return out
}

// free returns what a worker has left at the time.
func (t *tasks) free(w store.Worker, now time.Time) store.Worker {
	alive := slices.DeleteFunc(t.onWorker[w.ID], func(r *run) bool { return !r.running(now) })
	t.onWorker[w.ID] = alive
	for _, r := range alive {
		w.MilliCores -= r.given(now)
		w.MemoryMB -= r.task.MemoryMB
		w.Accelerators -= r.task.Accelerators
	}
	return w
}

// find returns the run of a task with the token, or nil.
func (t *tasks) find(task string, token uint64) *run {
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

// start starts a run. real, usage and fails are the run's traits.
func (t *tasks) start(task store.Task, now time.Time, real time.Duration, usage float64, fails bool) (store.Run, error) {
	w, known := t.workers[task.Worker]
	if !known {
		return store.Run{}, store.ErrNotFound
	}
	if r := t.find(task.ID, task.Token); r != nil && r.task.Worker == task.Worker {
		return r.report(now), nil
	}
	switch {
	case task.Token <= t.tokens[task.ID]:
		t.counts.Fenced++
		return store.Run{}, store.ErrFenced
	case !fits(task, w):
		return store.Run{}, store.ErrNeverFits
	case !fits(task, t.free(w, now)):
		return store.Run{}, store.ErrNoRoom
	}
	if old := t.find(task.ID, t.tokens[task.ID]); old != nil && old.running(now) {
		t.counts.Overlaps++
	}
	t.tokens[task.ID] = task.Token
	t.counts.Started++
	r := &run{
		task: task, real: real, usage: usage, started: now,
		phases:   []phase{{from: now, progress: task.Progress, milliCores: task.MilliCores}},
		leaseEnd: now.Add(task.Lease), checkpoint: task.Progress,
	}
	if fails {
		r.failAt = now.Add(failAfter)
	}
	t.add(r)
	return r.report(now), nil
}

func (t *tasks) add(r *run) {
	if len(t.runs[r.task.ID]) == 0 {
		t.ids.insert(r.task.ID)
	}
	t.runs[r.task.ID] = append(t.runs[r.task.ID], r)
	t.onWorker[r.task.Worker] = append(t.onWorker[r.task.Worker], r)
}

// act checks the token and lets change alter a run that is still running.
func (t *tasks) act(h store.Hold, now time.Time, change func(r *run) error) (store.Run, error) {
	if h.Token < t.tokens[h.Task] {
		t.counts.Fenced++
		return store.Run{}, store.ErrFenced
	}
	r := t.find(h.Task, h.Token)
	if r == nil {
		return store.Run{}, store.ErrNotFound
	}
	if r.running(now) {
		if err := change(r); err != nil {
			return store.Run{}, err
		}
	}
	return r.report(now), nil
}

// throttle gives the run other processors, at most the declared ones.
func (t *tasks) throttle(r *run, milliCores int, now time.Time) error {
	more := milliCores - r.given(now)
	if more > 0 && more > t.free(t.workers[r.task.Worker], now).MilliCores {
		return store.ErrNoRoom
	}
	milliCores = min(milliCores, r.task.MilliCores)
	r.phases = append(r.phases, phase{from: now, progress: r.progressIn(r.phaseAt(now), now), milliCores: milliCores})
	return nil
}

// usage returns the runs as they were at the time, in order of task and
// token, and forgets those that ended long ago. All runs of a task are on one
// page, since the next page starts after a task.
func (t *tasks) usage(at time.Time, after string, limit int) []store.Run {
	out := []store.Run{}
	var forgotten []string
	t.ids.ascend(after, func(id string) bool {
		if id == after {
			return true
		}
		runs := slices.DeleteFunc(t.runs[id], func(r *run) bool {
			state, end := r.endBy(at)
			return state != store.RunRunning && at.Sub(end) > runsKept
		})
		t.runs[id] = runs
		if len(runs) == 0 {
			forgotten = append(forgotten, id)
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
	for _, id := range forgotten {
		delete(t.runs, id)
		t.ids.remove(id)
	}
	return out
}
