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

// replay runs a workload against the placement package in simulated time: it
// submits the jobs and simulates the workers, which carry out the package's
// commands and report back.
type replay struct {
	trace      *workload
	scheduler  *placement.Scheduler
	now        time.Duration
	events     replayEvents
	seq        int
	byID       map[string]int
	runs       []replayRun
	workers    map[string]*replayWorker
	res        replayResult
	placeTimes []time.Duration // wall-clock time of each call of Place
}

// replayRun is the state of one job.
type replayRun struct {
	token        uint64
	worker       *replayWorker
	start        time.Duration
	rate         float64       // progress per unit of time, 1 at full speed
	progress     time.Duration // work done, as run time on this worker at full speed
	checkpointed time.Duration // progress at the last checkpoint
	firstStart   time.Duration
	started      bool
	finished     bool
	endSeq       int // seq of the current end event; earlier ones are obsolete
}

type replayWorker struct {
	id        string
	typeIndex int
	used      placement.Size
}

type replayResult struct {
	delays               map[structs.Class][]time.Duration // from submission to the first start, for jobs of the second half of the trace
	makespan             time.Duration
	kilowattHours        float64
	price                float64
	finished             int
	stops                int
	checkpoints          int
	throttles            int
	restarts             int
	overcommits          int     // starts after which the memory in use exceeds the worker's
	busy                 float64 // fraction of the fleet's core time in use in the second half of the trace
	placeP99             time.Duration
	placeMean            time.Duration
	placePerJob          time.Duration
	lastSubmit           time.Duration
	milliCoreSecondsUsed float64
	milliCoreCapacity    float64
}

type eventKind int

const (
	eventSubmit eventKind = iota
	eventEnd
	eventCheckpointed
	eventThrottled
	eventStopped
	eventTick
)

type replayEvent struct {
	at   time.Duration
	kind eventKind
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

// Simulated delays until a worker has carried out a command, and the interval at
// which Place is called if no other event occurs.
const (
	throttleDelay = 50 * time.Millisecond
	stopDelay     = 200 * time.Millisecond
	tickInterval  = time.Second
)

func runReplay(trace *workload, options placement.Options) *replayResult {
	options.TaskLease = 1000 * time.Hour // workers do not fail in this experiment
	r := &replay{trace: trace, scheduler: placement.New(options, 0), byID: make(map[string]int, len(trace.jobs)),
		runs: make([]replayRun, len(trace.jobs)), workers: map[string]*replayWorker{}}
	r.res.delays = map[structs.Class][]time.Duration{}
	for i, typeIndex := range trace.workerTypeIndexes() {
		id := fmt.Sprint("w", i)
		r.workers[id] = &replayWorker{id: id, typeIndex: typeIndex}
		r.scheduler.AddWorker(id, workerTypes[typeIndex].WorkerType)
		r.res.milliCoreCapacity += float64(workerTypes[typeIndex].Capacity.MilliCores)
	}
	for i := range trace.jobs {
		r.byID[trace.jobs[i].ID] = i
		r.push(trace.jobs[i].submitAt, eventSubmit, i)
		r.res.lastSubmit = max(r.res.lastSubmit, trace.jobs[i].submitAt)
	}
	r.push(tickInterval, eventTick, 0)
	r.loop()
	return r.result()
}

func (r *replay) push(at time.Duration, kind eventKind, job int) int {
	r.seq++
	heap.Push(&r.events, replayEvent{at: at, kind: kind, job: job, seq: r.seq})
	return r.seq
}

func (r *replay) loop() {
	for len(r.events) > 0 && r.res.finished < len(r.trace.jobs) {
		r.now = r.events[0].at
		for len(r.events) > 0 && r.events[0].at == r.now {
			r.handle(heap.Pop(&r.events).(replayEvent))
		}
		start := time.Now()
		commands := r.scheduler.Place(epoch.Add(r.now), math.MaxInt)
		r.placeTimes = append(r.placeTimes, time.Since(start))
		for _, c := range commands {
			r.execute(c)
		}
	}
}

func (r *replay) handle(e replayEvent) {
	at := epoch.Add(r.now)
	j, run := &r.trace.jobs[e.job], &r.runs[e.job]
	report := placement.Report{Job: j.ID, Token: run.token}
	switch e.kind {
	case eventTick:
		r.push(r.now+tickInterval, eventTick, 0)
		return
	case eventSubmit:
		job := j.Job
		job.Submitted = at
		if err := r.scheduler.Submit(job, at); err != nil {
			r.res.finished++
		}
		return
	case eventEnd:
		if run.worker == nil || run.endSeq != e.seq {
			return
		}
		report.Kind, report.Used, report.Ran = placement.ReportFinished, j.actual, r.now-run.start
		r.endRun(e.job)
		run.finished = true
		r.res.finished++
		r.res.makespan = max(r.res.makespan, r.now)
	case eventThrottled:
		if run.worker == nil {
			return
		}
		report.Kind = placement.ReportThrottled
		r.setRate(e.job, run.rate/2)
	case eventCheckpointed, eventStopped:
		if run.worker == nil {
			return
		}
		report.Kind = placement.ReportStopped
		if e.kind == eventCheckpointed {
			report.Kind = placement.ReportCheckpointed
			r.accountProgress(e.job)
			run.checkpointed = run.progress
			report.Progress = run.checkpointed
		}
		r.endRun(e.job)
		r.res.restarts++
	}
	_ = r.scheduler.Report(report, at)
}

func (r *replay) execute(c placement.Command) {
	i := r.byID[c.Job]
	run := &r.runs[i]
	switch c.Kind {
	case placement.CommandStart:
		r.startRun(i, c)
	case placement.CommandCheckpoint:
		r.res.checkpoints++
		r.push(r.now+r.trace.jobs[i].checkpointTime, eventCheckpointed, i)
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

// startRun starts a run. If the processors in use exceed the worker's, the run is
// slower in proportion; other runs on the worker keep their speed.
func (r *replay) startRun(i int, c placement.Command) {
	j, run, w := &r.trace.jobs[i], &r.runs[i], r.workers[c.Worker]
	if !run.started {
		run.started, run.firstStart = true, r.now
		if j.submitAt >= r.res.lastSubmit/2 {
			r.res.delays[j.Class] = append(r.res.delays[j.Class], r.now-j.submitAt)
		}
	}
	run.token, run.worker, run.start, run.progress = c.Token, w, r.now, run.checkpointed
	w.used.MilliCores += j.actual.MilliCores
	w.used.MemoryMB += j.actual.MemoryMB
	capacity := workerTypes[w.typeIndex].Capacity
	if w.used.MemoryMB > capacity.MemoryMB {
		r.res.overcommits++
	}
	run.rate = math.Min(1, float64(capacity.MilliCores)/float64(w.used.MilliCores))
	r.scheduleEnd(i)
}

// accountProgress adds the progress, energy and price of the run up to now.
func (r *replay) accountProgress(i int) {
	run := &r.runs[i]
	ran := r.now - run.start
	run.progress += time.Duration(float64(ran) * run.rate)
	workerType := &workerTypes[run.worker.typeIndex]
	share := float64(r.trace.jobs[i].actual.MilliCores) / float64(workerType.Capacity.MilliCores)
	r.res.kilowattHours += ran.Hours() * workerType.Watts * share / 1000
	r.res.price += ran.Hours() * workerType.Price * share
	countFrom, countUntil := max(run.start, r.res.lastSubmit/2), min(r.now, r.res.lastSubmit)
	if countUntil > countFrom {
		r.res.milliCoreSecondsUsed += (countUntil - countFrom).Seconds() * float64(r.trace.jobs[i].actual.MilliCores) * run.rate
	}
	run.start = r.now
}

func (r *replay) setRate(i int, rate float64) {
	if r.runs[i].worker == nil {
		return
	}
	r.accountProgress(i)
	r.runs[i].rate = rate
	r.scheduleEnd(i)
}

func (r *replay) scheduleEnd(i int) {
	run := &r.runs[i]
	left := r.trace.jobs[i].runtime[run.worker.typeIndex] - run.progress
	run.endSeq = r.push(r.now+max(time.Millisecond, time.Duration(float64(left)/run.rate)), eventEnd, i)
}

func (r *replay) endRun(i int) {
	run, j := &r.runs[i], &r.trace.jobs[i]
	r.accountProgress(i)
	run.worker.used.MilliCores -= j.actual.MilliCores
	run.worker.used.MemoryMB -= j.actual.MemoryMB
	run.worker = nil
}

func (r *replay) result() *replayResult {
	res := &r.res
	for _, d := range res.delays {
		slices.Sort(d)
	}
	sum := time.Duration(0)
	for _, c := range r.placeTimes {
		sum += c
	}
	slices.Sort(r.placeTimes)
	res.placeP99 = percentile(r.placeTimes, 0.99)
	res.placeMean = sum / time.Duration(max(1, len(r.placeTimes)))
	res.placePerJob = sum / time.Duration(max(1, len(r.trace.jobs)))
	if res.lastSubmit > 0 {
		res.busy = res.milliCoreSecondsUsed / (res.milliCoreCapacity * (res.lastSubmit / 2).Seconds())
	}
	return res
}

func percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
