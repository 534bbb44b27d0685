package bench

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// replay feeds a workload to the placement package: submissions at their
// times, and the reports that follow from the package's own commands.
type replay struct {
	w       *workload
	s       *placement.Scheduler
	now     time.Duration
	events  replayEvents
	seq     int
	byID    map[string]int
	runs    []replayRun
	workers map[string]*replayWorker
	res     replayResult
	cost    []time.Duration // of each call of Place
}

// replayRun is the state of one job.
type replayRun struct {
	token    uint64
	worker   *replayWorker
	start    time.Duration
	rate     float64 // run time on this worker over wall time
	done     time.Duration
	saved    time.Duration // as a share of the whole run time
	first    time.Duration // first start
	started  bool
	finished bool
	seq      int // of the valid end event
}

type replayWorker struct {
	id     string
	kind   int
	actual placement.Size
}

type replayResult struct {
	delays       map[structs.Class][]time.Duration // from submission to the first start, of the second half of the trace
	makespan     time.Duration
	kilowattH    float64
	price        float64
	finished     int
	stops        int
	saves        int
	throttles    int
	restarts     int
	overcommits  int     // starts after which actual memory exceeds the worker
	busy         float64 // share of core time used in the second half of the trace
	placeP99     time.Duration
	placeMean    time.Duration
	placePerJob  time.Duration
	lastSubmit   time.Duration
	coreSecUsed  float64
	coreCapacity float64
}

type eventWhat int

const (
	eventSubmit eventWhat = iota
	eventEnd
	eventSaved
	eventThrottled
	eventStopped
	eventTick
)

type replayEvent struct {
	at   time.Duration
	what eventWhat
	job  int
	seq  int
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Delays of workers that are not measured here: a throttle takes effect in
// 50 ms, a stop in 200 ms.
const (
	throttleDelay = 50 * time.Millisecond
	stopDelay     = 200 * time.Millisecond
	tickEvery     = time.Second
)

func runReplay(w *workload, opt placement.Options) *replayResult {
	opt.TaskLease = 1000 * time.Hour // workers do not fail in this experiment
	r := &replay{w: w, s: placement.New(opt, 0), byID: make(map[string]int, len(w.jobs)),
		runs: make([]replayRun, len(w.jobs)), workers: map[string]*replayWorker{}}
	r.res.delays = map[structs.Class][]time.Duration{}
	for i, t := range w.fleet() {
		id := fmt.Sprint("w", i)
		r.workers[id] = &replayWorker{id: id, kind: t}
		r.s.AddWorker(id, workerTypes[t].WorkerType)
		r.res.coreCapacity += float64(workerTypes[t].Capacity.MilliCores)
	}
	for i := range w.jobs {
		r.byID[w.jobs[i].ID] = i
		r.push(w.jobs[i].at, eventSubmit, i)
		r.res.lastSubmit = max(r.res.lastSubmit, w.jobs[i].at)
	}
	r.push(tickEvery, eventTick, 0)
	r.loop()
	return r.result()
}

func (r *replay) push(at time.Duration, what eventWhat, job int) int {
	r.seq++
	heap.Push(&r.events, replayEvent{at: at, what: what, job: job, seq: r.seq})
	return r.seq
}

func (r *replay) loop() {
	for len(r.events) > 0 && r.res.finished < len(r.w.jobs) {
		r.now = r.events[0].at
		for len(r.events) > 0 && r.events[0].at == r.now {
			r.handle(heap.Pop(&r.events).(replayEvent))
		}
		began := time.Now()
		commands := r.s.Place(epoch.Add(r.now), math.MaxInt)
		r.cost = append(r.cost, time.Since(began))
		for _, c := range commands {
			r.obey(c)
		}
	}
}

func (r *replay) handle(e replayEvent) {
	at := epoch.Add(r.now)
	j, run := &r.w.jobs[e.job], &r.runs[e.job]
	report := placement.Report{Job: j.ID, Token: run.token}
	switch e.what {
	case eventTick:
		r.push(r.now+tickEvery, eventTick, 0)
		return
	case eventSubmit:
		job := j.Job
		job.Submitted = at
		if err := r.s.Submit(job, at); err != nil {
			r.res.finished++
		}
		return
	case eventEnd:
		if run.worker == nil || run.seq != e.seq {
			return
		}
		report.Kind, report.Used, report.Ran = placement.ReportFinished, j.actual, r.now-run.start
		r.leave(e.job)
		run.finished = true
		r.res.finished++
		r.res.makespan = max(r.res.makespan, r.now)
	case eventThrottled:
		if run.worker == nil {
			return
		}
		report.Kind = placement.ReportThrottled
		r.setRate(e.job, run.rate/2)
	case eventSaved, eventStopped:
		if run.worker == nil {
			return
		}
		report.Kind = placement.ReportStopped
		if e.what == eventSaved {
			report.Kind = placement.ReportCheckpointed
			r.account(e.job)
			run.saved = run.done
			report.Progress = run.saved
		}
		r.leave(e.job)
		r.res.restarts++
	}
	_ = r.s.Report(report, at)
}

func (r *replay) obey(c placement.Command) {
	i := r.byID[c.Job]
	run := &r.runs[i]
	switch c.Kind {
	case placement.CommandStart:
		r.startRun(i, c)
	case placement.CommandCheckpoint:
		r.res.saves++
		r.push(r.now+r.w.jobs[i].save, eventSaved, i)
	case placement.CommandThrottle:
		r.res.throttles++
		r.push(r.now+throttleDelay, eventThrottled, i)
	case placement.CommandStop:
		r.res.stops++
		r.push(r.now+stopDelay, eventStopped, i)
	case placement.CommandRestore:
		r.setRate(i, run.rate*2)
	case placement.CommandFailed, placement.CommandRefused:
		r.res.finished++
	}
}

// startRun begins a run. If the actual use of processors exceeds the worker,
// the run is slower in proportion; its neighbours are left as they are.
func (r *replay) startRun(i int, c placement.Command) {
	j, run, w := &r.w.jobs[i], &r.runs[i], r.workers[c.Worker]
	if !run.started {
		run.started, run.first = true, r.now
		if j.at >= r.res.lastSubmit/2 {
			r.res.delays[j.Class] = append(r.res.delays[j.Class], r.now-j.at)
		}
	}
	run.token, run.worker, run.start, run.done = c.Token, w, r.now, run.saved
	w.actual.MilliCores += j.actual.MilliCores
	w.actual.MemoryMB += j.actual.MemoryMB
	capacity := workerTypes[w.kind].Capacity
	if w.actual.MemoryMB > capacity.MemoryMB {
		r.res.overcommits++
	}
	run.rate = math.Min(1, float64(capacity.MilliCores)/float64(w.actual.MilliCores))
	r.schedule(i)
}

// account adds the progress of the run up to now.
func (r *replay) account(i int) {
	run := &r.runs[i]
	ran := r.now - run.start
	run.done += time.Duration(float64(ran) * run.rate)
	t := &workerTypes[run.worker.kind]
	part := float64(r.w.jobs[i].actual.MilliCores) / float64(t.Capacity.MilliCores)
	r.res.kilowattH += ran.Hours() * t.Watts * part / 1000
	r.res.price += ran.Hours() * t.Price * part
	from, until := max(run.start, r.res.lastSubmit/2), min(r.now, r.res.lastSubmit)
	if until > from {
		r.res.coreSecUsed += (until - from).Seconds() * float64(r.w.jobs[i].actual.MilliCores) * run.rate
	}
	run.start = r.now
}

func (r *replay) setRate(i int, rate float64) {
	if r.runs[i].worker == nil {
		return
	}
	r.account(i)
	r.runs[i].rate = rate
	r.schedule(i)
}

func (r *replay) schedule(i int) {
	run := &r.runs[i]
	left := r.w.jobs[i].runtime[run.worker.kind] - run.done
	run.seq = r.push(r.now+max(time.Millisecond, time.Duration(float64(left)/run.rate)), eventEnd, i)
}

func (r *replay) leave(i int) {
	run, j := &r.runs[i], &r.w.jobs[i]
	r.account(i)
	run.worker.actual.MilliCores -= j.actual.MilliCores
	run.worker.actual.MemoryMB -= j.actual.MemoryMB
	run.worker = nil
}

func (r *replay) result() *replayResult {
	res := &r.res
	for _, d := range res.delays {
		slices.Sort(d)
	}
	sum := time.Duration(0)
	for _, c := range r.cost {
		sum += c
	}
	slices.Sort(r.cost)
	res.placeP99 = percentile(r.cost, 0.99)
	res.placeMean = sum / time.Duration(max(1, len(r.cost)))
	res.placePerJob = sum / time.Duration(max(1, len(r.w.jobs)))
	if res.lastSubmit > 0 {
		res.busy = res.coreSecUsed / (res.coreCapacity * (res.lastSubmit / 2).Seconds())
	}
	return res
}

func percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
