package engine

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// job is the state of a job that has not been stored as ended.
type job struct {
	sub       workload.Submission
	queue     workload.Queue // as last known; its limits apply even after the queue is removed
	state     workload.JobState
	recovered bool
	arrived   time.Time
	live      []*occurrence
	next      int // occurrence to create next
	first     int // occurrences before it have ended
	finished  map[int]bool
	dirty     bool
	flushing  bool
	endedAt   int64 // Unix ms
	marks     []workload.TaskMark
}

// occurrence is one repetition of the steps of a job.
type occurrence struct {
	job   *job
	k     int
	due   time.Time
	steps []*step
	open  int // steps that are not done
}

// step is the state of a step of an occurrence.
type step struct {
	occ       *occurrence
	index     int
	spec      *workload.Step
	tasks     []*task
	left      int           // tasks that are not done
	remaining time.Duration // longest chain of estimates from this step on
	perWorker map[string]int
	tickets   map[string]ticket
	asked     bool // a call for advice is under way
}

type ticket struct {
	value   string
	expires time.Time
}

// task is the state of a task.
type task struct {
	step    *step
	id      workload.TaskID
	done    bool
	fails   int
	counted []int // runs whose failure is counted: ends may be listed again, and in any order
	lastRun int
	saved   string
	runs    []*run
	readyAt time.Time
	avoid   string // worker of the last failed run
	known   bool   // this owner has seen it run, so no worker can run it unknown to this owner
}

// runState is what is known of a run.
type runState int

const (
	starting  runState = iota // the order is under way
	unsettled                 // the order has no answer: the run may start until its deadline
	running
	stopping
)

// run is one run of a task at a worker.
type run struct {
	task       *task
	attempt    int
	worker     *worker
	state      runState
	deadline   int64 // of the start, on the worker's clock
	sent       time.Time
	acked      time.Time // start answered or seen running
	unanswered time.Time // when the start was given up as without an answer
	percent    int
	percentAt  time.Time // when percent last changed
	load       int
	pace       int
	stopSent   time.Time
	stopAcked  time.Time
	stopReason string
}

func newJob(now time.Time, wall int64, e JobSeen, queue workload.Queue) *job {
	j := &job{
		sub: e.Submission, queue: queue, state: workload.Queued, recovered: e.Recovered,
		arrived: now, finished: map[int]bool{},
	}
	if age := time.Duration(wall-e.Submission.Accepted) * time.Millisecond; e.Recovered && age > 0 {
		j.arrived = now.Add(-age)
	}
	if p := e.Progress; p != nil {
		j.state, j.next, j.first, j.endedAt = p.State, p.Next, p.Next, p.Ended
		j.marks = p.Tasks
	}
	return j
}

// occurrences returns how often the steps run.
func (j *job) occurrences() int { return max(1, j.sub.Repeat.Count) }

// dueAt returns the Unix time in ms from which an occurrence may start.
func (j *job) dueAt(k int) int64 {
	if j.sub.Repeat.Count == 0 {
		return 0
	}
	return j.sub.Repeat.Start + int64(k)*j.sub.Repeat.Period
}

// open creates occurrence j.next.
func (j *job) open(now time.Time) *occurrence {
	o := &occurrence{job: j, k: j.next, due: now, open: len(j.sub.Steps)}
	if j.sub.Repeat.Count == 0 {
		o.due = j.arrived
	}
	j.next++
	for i := range j.sub.Steps {
		spec := &j.sub.Steps[i]
		s := &step{occ: o, index: i, spec: spec, left: spec.Count, perWorker: map[string]int{}, tickets: map[string]ticket{}}
		for n := range spec.Count {
			s.tasks = append(s.tasks, &task{step: s, id: workload.TaskID{Job: j.sub.ID, Occurrence: o.k, Step: i, Index: n}})
		}
		o.steps = append(o.steps, s)
	}
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.remaining += s.spec.Estimate
		for _, before := range s.spec.After {
			o.steps[before].remaining = max(o.steps[before].remaining, s.remaining)
		}
	}
	j.live = append(j.live, o)
	j.applyMarks(o)
	return o
}

// applyMarks takes in what an earlier owner stored about an occurrence.
func (j *job) applyMarks(o *occurrence) {
	for _, m := range j.marks {
		if m.Occurrence != o.k || m.Step >= len(o.steps) || m.Index >= len(o.steps[m.Step].tasks) {
			continue
		}
		t := o.steps[m.Step].tasks[m.Index]
		t.fails, t.counted, t.lastRun, t.saved = m.Failed, slices.Clone(m.Counted), m.Run, m.Saved
		if m.Done {
			t.finish()
		}
	}
}

// mostCounted bounds the counted runs of a task that may fail without limit. An
// end that is older than so many others has been acknowledged long ago.
const mostCounted = 32

// count notes that the failure of a run is counted.
func (t *task) count(attempt int) {
	if len(t.counted) == mostCounted {
		t.counted = slices.Delete(t.counted, 0, 1)
	}
	t.counted = append(t.counted, attempt)
}

// finish marks the task as done.
func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.step.left--
	if t.step.left == 0 {
		t.step.occ.open--
	}
}

// ready reports whether the steps before s are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if s.occ.steps[before].left > 0 {
			return false
		}
	}
	return true
}

// waiting reports whether the task may be started now.
func (m *Machine) waiting(now time.Time, t *task) bool {
	if t.done || len(t.runs) > 0 || now.Before(t.readyAt) {
		return false
	}
	return t.known || !t.step.occ.job.recovered || m.settled()
}

// objective returns the time by which the occurrence should have ended.
func (o *occurrence) objective() time.Time {
	var chain time.Duration
	for _, s := range o.steps {
		chain = max(chain, s.remaining)
	}
	return o.due.Add(time.Duration(float64(chain)*o.job.queue.Stretch) + o.job.queue.Target)
}

// find returns the run with the given number at a worker.
func (t *task) find(w *worker, attempt int) *run {
	for _, r := range t.runs {
		if r.worker == w && r.attempt == attempt {
			return r
		}
	}
	return nil
}

// progress returns what is to be kept of the job.
func (j *job) progress() workload.Progress {
	p := workload.Progress{State: j.state, Ended: j.endedAt, Next: j.first}
	if j.state.Ended() {
		return p
	}
	for _, o := range j.live {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.done || t.fails > 0 || t.saved != "" || t.lastRun > 1 {
					p.Tasks = append(p.Tasks, workload.TaskMark{
						Occurrence: o.k, Step: s.index, Index: t.id.Index,
						Done: t.done, Failed: t.fails, Counted: slices.Clone(t.counted), Run: t.lastRun, Saved: t.saved,
					})
				}
			}
		}
	}
	return p
}

// work returns the estimate of what the occurrence has left to do, in
// core-seconds.
func (o *occurrence) work() float64 {
	sum := 0.0
	for _, s := range o.steps {
		sum += float64(s.left) * s.spec.Estimate.Seconds() * float64(s.spec.Size.MilliCores) / 1000
	}
	return sum
}
