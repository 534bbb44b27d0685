package engine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// failureDay is a day on which jobs fail wherever they run, workers fail all that they are
// given, or both. Small jobs of one queue, which the pool could run several times over,
// arrive all the time; one job of theirs lasts.
type failureDay struct {
	workers  int
	bad      int                                  // workers that fail all runs
	hopeless func(rng *rand.Rand) []workload.Step // steps of a hopeless job; nil: there are none
	number   int                                  // hopeless jobs
	queues   int                                  // queues through which they come
}

// Bounds of a day. They are the aims of the review: a small job of another caller that
// fits waits less than 3 s, and a worker that fails all that it is given draws no work.
const (
	maxWaitBesideHopeless = 3 * time.Second
	maxBadShare           = 0.05 // of all starts, for each such worker
)

// failureOutcome is what the callers of a day saw.
type failureOutcome struct {
	longestWait time.Duration // of an open small job without a run
	waitedAt    time.Duration
	waited      string
	starts      int // of tasks of small jobs
	badStarts   int // those of them at workers that fail all runs
	failed      int // small jobs that were shown as failed
	unfinished  int // small jobs that had not ended at the end of the day
	// longestHopeless is the longest time until a hopeless job was shown as failed.
	longestHopeless time.Duration
}

const (
	failureDayLength = 30 * time.Second
	smallJobs        = 80
	smallJobInterval = 240 * time.Millisecond
	smallRunTime     = 600 * time.Millisecond
)

// failureDayState is a day in progress.
type failureDayState struct {
	*harness
	rng      *rand.Rand
	bad      map[string]bool // workers
	hopeless map[string]bool // jobs
	ends     []func(now time.Time) bool
	outcome  failureOutcome
}

func (d failureDay) play(seed uint64) failureOutcome {
	s := &failureDayState{
		rng: rand.New(rand.NewPCG(seed, 1)), harness: newLargeHarness(d.workers),
		bad: map[string]bool{}, hopeless: map[string]bool{},
	}
	ids := slices.Sorted(maps.Keys(s.workers))
	for _, i := range s.rng.Perm(d.workers)[:d.bad] {
		s.bad[ids[i]] = true
	}

	arrivals := map[time.Duration][]JobAdded{}
	small := map[string]bool{}
	for i := range smallJobs {
		e := testJob(fmt.Sprintf("small-%d", i), simpleStep(2))
		e.Submission.Steps[0].Estimate = smallRunTime
		small[e.Submission.ID] = true
		at := time.Duration(i) * smallJobInterval
		arrivals[at] = append(arrivals[at], e)
	}
	lasting := testJob("lasting", longRunningStep(2, 1))
	arrivals[0] = append(arrivals[0], lasting)
	began := map[string]time.Duration{}
	for i := range d.number {
		at := time.Duration(s.rng.IntN(400)) * 20 * time.Millisecond
		e := testJob(fmt.Sprintf("hopeless-%d", i), d.hopeless(s.rng)...)
		q := &e.Submission.Queue
		q.Prefix = fmt.Sprintf("/%d/", i%d.queues)
		s.hopeless[e.Submission.ID], began[e.Submission.ID] = true, at
		arrivals[at] = append(arrivals[at], e)
	}
	begin := s.now
	waitingSince := map[string]time.Duration{}
	ended := map[string]bool{}
	for at := time.Duration(0); at < failureDayLength; at += 20 * time.Millisecond {
		s.now = begin.Add(at)
		s.ends = slices.DeleteFunc(s.ends, func(end func(time.Time) bool) bool { return end(s.now) })
		var events []Event
		for _, e := range arrivals[at] {
			events = append(events, e)
			if small[e.Submission.ID] || e.Submission.ID == "lasting" {
				waitingSince[e.Submission.ID] = at
			}
		}
		started := len(s.starts)
		s.step(events...)
		s.schedule(s.starts[started:])
		for _, e := range s.decisions {
			if e.What == "job-completed" || e.What == "job-failed" {
				ended[e.Job] = true
				delete(waitingSince, e.Job)
			}
			if e.What == "job-failed" && small[e.Job] {
				s.outcome.failed++
			}
			if e.What == "job-failed" && s.hopeless[e.Job] {
				s.outcome.longestHopeless = max(s.outcome.longestHopeless, at-began[e.Job])
			}
		}
		s.decisions = s.decisions[:0]
		for _, id := range slices.Sorted(maps.Keys(waitingSince)) {
			if s.m.jobs[id].hasRuns() {
				waitingSince[id] = at
			} else if wait := at - waitingSince[id]; wait > s.outcome.longestWait {
				s.outcome.longestWait, s.outcome.waitedAt, s.outcome.waited = wait, at, id
			}
		}
	}
	for id := range small {
		if !ended[id] {
			s.outcome.unfinished++
		}
	}
	return s.outcome
}

// schedule plans the ends of runs that have just begun.
func (s *failureDayState) schedule(starts []Start) {
	type gang struct {
		job     string
		attempt int
	}
	gangs := map[gang][]Start{}
	var order []gang
	for _, a := range starts {
		spec := &s.m.jobs[a.Task.Job].submission.Steps[a.Task.Step]
		if !s.hopeless[a.Task.Job] {
			s.outcome.starts++
			if s.bad[a.Incarnation.ID] {
				s.outcome.badStarts++
			}
		}
		if spec.Gang {
			key := gang{job: a.Task.Job, attempt: a.Attempt}
			if len(gangs[key]) == 0 {
				order = append(order, key)
			}
			gangs[key] = append(gangs[key], a)
			continue
		}
		switch fails := s.bad[a.Incarnation.ID]; {
		case fails:
			s.endAfter(s.failureTime(), a, EndFailed)
		case s.hopeless[a.Task.Job]:
			s.endAfter(spec.Estimate, a, EndFailed)
		case spec.LongRunning:
		default:
			s.endAfter(spec.Estimate, a, EndDone)
		}
	}
	for _, key := range order { // only hopeless jobs are gangs
		members := gangs[key]
		first := s.rng.IntN(len(members))
		estimate := s.m.jobs[members[0].Task.Job].submission.Steps[members[0].Task.Step].Estimate
		for i, a := range members {
			how := EndGangBroken
			if i == first {
				how = EndFailed
			}
			s.endAfter(estimate, a, how)
		}
	}
}

// failureTime is how long a run lasts at a worker that fails it.
func (s *failureDayState) failureTime() time.Duration {
	return time.Duration(50+s.rng.IntN(500)) * time.Millisecond
}

func (s *failureDayState) endAfter(d time.Duration, a Start, how EndReason) {
	at := s.now.Add(d)
	s.ends = append(s.ends, func(now time.Time) bool {
		if now.Before(at) {
			return false
		}
		s.workers[a.Incarnation.ID].endRun(a.Task, a.Attempt, how)
		return true
	})
}

// hopelessStep is a step of a job that can't be done.
func hopelessStep(count, milliCores int, runTime time.Duration) workload.Step {
	return workload.Step{Count: count, Size: placement.Size{MilliCores: milliCores, MemoryMB: 100}, Estimate: runTime}
}

// hopelessForms are the forms of hopeless jobs.
var hopelessForms = map[string]func(rng *rand.Rand) []workload.Step{
	"wide": func(rng *rand.Rand) []workload.Step {
		return []workload.Step{hopelessStep(24, 2000, 600*time.Millisecond)}
	},
	"narrow": func(rng *rand.Rand) []workload.Step {
		return []workload.Step{hopelessStep(1, 1000, time.Duration(100+rng.IntN(900))*time.Millisecond)}
	},
	"slow": func(rng *rand.Rand) []workload.Step {
		return []workload.Step{hopelessStep(1+rng.IntN(8), 1000, time.Duration(1000+rng.IntN(4000))*time.Millisecond)}
	},
	"long-running": func(rng *rand.Rand) []workload.Step {
		step := hopelessStep(1+rng.IntN(4), 1000, time.Duration(50+rng.IntN(1500))*time.Millisecond)
		step.LongRunning, step.MaxPerWorker = true, 1
		return []workload.Step{step}
	},
	"gang": func(rng *rand.Rand) []workload.Step {
		step := hopelessStep(2+rng.IntN(10), 2000, time.Duration(200+rng.IntN(1000))*time.Millisecond)
		step.Gang = true
		return []workload.Step{step}
	},
}

// anyHopelessForm draws one of the forms.
func anyHopelessForm(rng *rand.Rand) []workload.Step {
	names := slices.Sorted(maps.Keys(hopelessForms))
	return hopelessForms[names[rng.IntN(len(names))]](rng)
}

// allHopelessForms returns the forms and a mixture of them.
func allHopelessForms() map[string]func(*rand.Rand) []workload.Step {
	all := maps.Clone(hopelessForms)
	all["mixed"] = anyHopelessForm
	return all
}

const failureSeeds = 20

// playFailures plays a day with several seeds in a test of its own.
func playFailures(t *testing.T, name string, d failureDay) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		d.check(t)
	})
}

// check plays the day with several seeds and requires that its bounds hold.
func (d failureDay) check(t *testing.T) {
	var worst failureOutcome
	worstShare := 0.0
	for seed := range uint64(failureSeeds) {
		o := d.play(seed)
		if o.longestWait > worst.longestWait {
			worst.longestWait = o.longestWait
		}
		worst.longestHopeless = max(worst.longestHopeless, o.longestHopeless)
		share := 0.0
		if d.bad > 0 {
			share = float64(o.badStarts) / float64(o.starts) / float64(d.bad)
		}
		worstShare = max(worstShare, share)
		if o.longestWait >= maxWaitBesideHopeless || share > maxBadShare || o.failed+o.unfinished > 0 {
			t.Errorf("seed %d: %s had nothing running for %s at %s, %.3f of %d starts at each bad worker, %d small jobs failed, %d unfinished",
				seed, o.waited, o.longestWait, o.waitedAt, share, o.starts, o.failed, o.unfinished)
		}
	}
	t.Logf("longest wait %s, largest share of a bad worker %.3f, hopeless jobs ended after %s", worst.longestWait, worstShare, worst.longestHopeless)
}

// Jobs that fail wherever they run put all workers of a pool in quarantine, and the jobs of
// other callers waited for up to 16 s beside idle workers.
func TestHopelessJobsHoldUpNoOthers(t *testing.T) {
	for form, steps := range allHopelessForms() {
		for _, number := range []int{1, 2, 12} {
			for _, queues := range []int{1, 3} {
				name := fmt.Sprintf("%d %s from %d queues", number, form, queues)
				playFailures(t, name, failureDay{workers: 4, hopeless: steps, number: number, queues: queues})
			}
		}
	}
}

// Guards against workers that fail all that they are given and draw the work of a pool, so
// that jobs use up their attempts.
func TestBadWorkersDrawNoWork(t *testing.T) {
	for _, c := range []struct{ workers, bad int }{{4, 1}, {4, 2}, {4, 3}, {9, 1}, {9, 4}} {
		playFailures(t, fmt.Sprintf("%d of %d workers bad", c.bad, c.workers), failureDay{workers: c.workers, bad: c.bad})
	}
}

// Guards against hopeless jobs that hide bad workers, or the reverse.
func TestBadWorkersBesideHopelessJobs(t *testing.T) {
	for form, steps := range allHopelessForms() {
		for _, c := range []struct{ workers, bad, number int }{{4, 1, 2}, {9, 2, 6}} {
			name := fmt.Sprintf("%d of %d workers bad, %d %s", c.bad, c.workers, c.number, form)
			playFailures(t, name, failureDay{workers: c.workers, bad: c.bad, hopeless: steps, number: c.number, queues: 2})
		}
	}
}

// failRuns ends all runs of a job at the worker as failed.
func (r *harness) failRuns(worker, job string) {
	w := r.workers[worker]
	for _, run := range slices.Clone(w.running) {
		if run.Task.Job == job {
			w.endRun(run.Task, run.Attempt, EndFailed)
		}
	}
}

// One hopeless job of 24 tasks put all four workers of a pool in quarantine for 16 s.
func TestHopelessJobQuarantinesNoWorker(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"), newWorker("c"), newWorker("d"))
	r.step(testJob("hopeless", hopelessStep(24, 2500, time.Second)))
	require.Len(t, r.starts, 24)
	for range testQueue.MaxAttempts {
		for id := range r.workers {
			r.failRuns(id, "hopeless")
		}
		r.advance(200 * time.Millisecond)
	}
	require.Equal(t, 1, r.countDecisions("job-failed"))
	require.Zero(t, r.countDecisions("worker-quarantined"))
	r.starts = nil
	r.step(testJob("small", simpleStep(2)))
	require.Len(t, r.starts, 2)
}

// Guards against a quarantine that outlasts its reason: the jobs that failed at a worker
// fail elsewhere too.
func TestQuarantineEndsWhenItsJobsFailElsewhere(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", simpleStep(1)), testJob("j2", simpleStep(1)))
	r.failRuns("a", "j1")
	r.failRuns("a", "j2")
	r.advance(100 * time.Millisecond)
	require.Equal(t, 1, r.countDecisions("worker-quarantined"))
	require.Len(t, r.workers["b"].running, 2, "both go on at the other worker")
	r.failRuns("b", "j1")
	r.advance(100 * time.Millisecond)
	require.Equal(t, 1, r.countDecisions("worker-cleared"))
	require.False(t, r.m.workers["a"].suspected)
}

// Guards against a pool that idles because all of its workers are suspected.
func TestSuspectedWorkerIsTriedIfThereIsNoOther(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)), testJob("j2", simpleStep(1)))
	r.failRuns("a", "j1")
	r.failRuns("a", "j2")
	r.advance(100 * time.Millisecond)
	require.True(t, r.m.workers["a"].suspected)
	r.starts = nil
	r.step(testJob("j3", simpleStep(2)))
	r.advance(probeInterval)
	require.Len(t, r.starts, 1, "one run at a time")
	r.workers["a"].endRun(r.starts[0].Task, r.starts[0].Attempt, EndDone)
	r.advance(100 * time.Millisecond)
	require.False(t, r.m.workers["a"].suspected)
	require.Len(t, r.starts, 4, "the worker takes all that waits")
}

// Guards against a worker that takes a full load of tasks, and fails them, each time that
// its quarantine ends.
func TestWorkerOnProbationGetsOneRunAtATime(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("full", simpleStep(16)))
	r.advance(20 * time.Millisecond)
	r.step(testJob("j1", simpleStep(1)), testJob("j2", simpleStep(1)))
	good, bad := r.workers[r.starts[0].Incarnation.ID], r.workers[r.starts[16].Incarnation.ID]
	require.Len(t, bad.running, 2)
	r.failRuns(bad.ID, "j1")
	r.failRuns(bad.ID, "j2")
	r.advance(100 * time.Millisecond)
	require.True(t, r.m.workers[bad.ID].suspected)
	for _, quarantine := range []time.Duration{minQuarantine, 2 * minQuarantine, 4 * minQuarantine} {
		r.step(testJob("more"+quarantine.String(), simpleStep(10)))
		r.advance(quarantine - 500*time.Millisecond)
		require.Empty(t, bad.running, "in quarantine for %s", quarantine)
		r.advance(time.Second)
		require.Len(t, bad.running, 1, "on probation after %s", quarantine)
		r.failRuns(bad.ID, bad.running[0].Task.Job)
		r.advance(40 * time.Millisecond)
	}
	require.Len(t, good.running, 16)
}

// A gang of which another member failed each time was started again for as long as each of
// its members had attempts left, 4 x 8 times here.
func TestGangFailsWithItsAttempts(t *testing.T) {
	gang := simpleStep(8)
	gang.Gang = true
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("j1", gang))
	for n := 1; n <= testQueue.MaxAttempts; n++ {
		require.Len(t, r.starts, 8*n)
		attempt := r.starts[len(r.starts)-1].Attempt
		for _, s := range slices.Clone(r.starts[8*(n-1):]) {
			how := EndGangBroken
			if s.Task.Index == n || s.Task.Index == n+1 {
				how = EndFailed // two members of one attempt are one failure
			}
			r.workers[s.Incarnation.ID].endRun(s.Task, attempt, how)
		}
		r.advance(200 * time.Millisecond)
	}
	require.Equal(t, 1, r.countDecisions("job-failed"))
	require.Len(t, r.starts, 8*testQueue.MaxAttempts)
}

// Guards against a gang whose failed attempts are counted anew by each owner.
func TestNextOwnerCountsTheFailedAttemptsOfAGang(t *testing.T) {
	gang := simpleStep(2)
	gang.Gang = true
	job := testJob("j1", gang)
	job.Recovered, job.Progress = true, &workload.Progress{State: workload.Running, Tasks: []workload.TaskProgress{
		{Index: 0, Failures: 2, CountedFailures: []int{1, 2}, LastAttempt: 3}, {Index: 1, Failures: 1, CountedFailures: []int{3}, LastAttempt: 3},
	}}
	r := newHarness(t, 2, nil, newWorker("a"))
	r.step(job)
	require.Len(t, r.starts, 2)
	r.workers["a"].endRun(r.starts[0].Task, r.starts[0].Attempt, EndFailed)
	r.advance(200 * time.Millisecond)
	require.Equal(t, 1, r.countDecisions("job-failed"))
}

// A task that waits for a time, such as the end of a pause after a failure, requested a
// placement pass in each step until then. A pass walks all jobs, and an owner takes
// thousands of steps a second.
func TestWaitingForATimeNeedsNoPlacementPasses(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)))
	r.failRuns("a", "j1")
	r.advance(100 * time.Millisecond)
	require.Len(t, r.starts, 1)
	require.False(t, r.m.needsPlacement)
	for r.now.Before(time.Unix(1000, 0).Add(failedStartPause + 200*time.Millisecond)) {
		r.step()
		require.False(t, r.m.Wake().IsZero())
		r.now = r.m.Wake()
	}
	require.Len(t, r.starts, 2, "started in time, without another event")
}

// A run that had begun before its worker's quarantine and failed after it was taken for a
// failure on probation, and the quarantine was repeated with twice its length.
func TestRunFromBeforeTheQuarantineIsNoProbation(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"))
	r.step(testJob("j1", simpleStep(1)), testJob("j2", simpleStep(1)), testJob("j3", simpleStep(1)))
	r.failRuns("a", "j1")
	r.failRuns("a", "j2")
	r.advance(100 * time.Millisecond)
	require.Equal(t, 1, r.countDecisions("worker-quarantined"))
	r.workers["a"].startResult = Unhealthy // it gets no runs meanwhile
	r.advance(minQuarantine + 500*time.Millisecond)
	r.failRuns("a", "j3")
	r.advance(100 * time.Millisecond)
	require.Equal(t, 1, r.countDecisions("worker-quarantined"))
}

// Guards against a hopeless long-running job that is started again and again without a
// pause, since its tasks have no limit of attempts.
func TestHopelessLongRunningTaskIsStartedLessAndLess(t *testing.T) {
	r := newHarness(t, 1, nil, newWorker("a"), newWorker("b"))
	r.step(testJob("hopeless", longRunningStep(1, 0)))
	for range 200 {
		r.failRuns("a", "hopeless")
		r.failRuns("b", "hopeless")
		r.advance(100 * time.Millisecond)
	}
	require.LessOrEqual(t, len(r.starts), 15, "in 20 s")
	require.GreaterOrEqual(t, len(r.starts), 20/3, "it must not wait for 3 s")
}
