package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// overload describes a peak of jobs of one queue that asks for more than the
// pool holds.
type overload struct {
	workers int
	factor  float64       // demand in the peak as a multiple of the pool's capacity
	peak    time.Duration // length of the peak, before and after which no jobs arrive
	steps   float64       // mean number of steps of a job
	width   float64       // mean number of tasks of a step
	work    time.Duration // mean run time of a task
	cores   float64       // mean number of cores of a task
	estOff  float64       // spread of the ratio of a task's run time and its estimate
}

// outcome is what the callers of an overload saw.
type outcome struct {
	inTime   shares  // jobs that ended within their objective
	served   shares  // jobs that ended within lateFactor times their objective
	worth    float64 // of all worth, the part of jobs in time, and 0.07 of that of late ones
	wasted   float64 // share of the work done that belongs to jobs that ended later still
	lateness time.Duration
}

// shares are shares of all jobs, of the largest tenth by work, and of the fifth
// below it.
type shares struct{ all, largest, next float64 }

// add adds outcome p, divided by n.
func (o *outcome) add(p outcome, n float64) {
	o.inTime.add(p.inTime, n)
	o.served.add(p.served, n)
	o.worth += p.worth / n
	o.wasted += p.wasted / n
	o.lateness += p.lateness / time.Duration(n)
}

func (s *shares) add(p shares, n float64) {
	s.all += p.all / n
	s.largest += p.largest / n
	s.next += p.next / n
}

// count counts one of n jobs, which has the given rank by work.
func (s *shares) count(rank, n int) {
	s.all += 1 / float64(n)
	switch {
	case rank >= n-n/10:
		s.largest += 1 / float64(n/10)
	case rank >= n-n/10-n/5:
		s.next += 1 / float64(n/5)
	}
}

type overloadJob struct {
	arrival   time.Duration
	added     JobAdded
	runTimes  []time.Duration // of the tasks, by step
	work      float64         // core-seconds
	objective time.Duration
	end       time.Duration
}

func logNormal(rng *rand.Rand, mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most, mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

func (c overload) draw(rng *rand.Rand) []*overloadJob {
	meanWork := c.steps * c.width * c.work.Seconds() * c.cores
	rate := c.factor * float64(c.workers) * 16 / meanWork
	var jobs []*overloadJob
	for at := time.Duration(0); at < c.peak; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		j := &overloadJob{arrival: at}
		var steps []workload.Step
		var chain time.Duration
		for s := range max(1, int(math.Round(logNormal(rng, c.steps, 0.4, 2.5*c.steps)))) {
			runTime := time.Duration(logNormal(rng, float64(c.work), 0.5, 2.5*float64(c.work)))
			size := placement.Size{MilliCores: int(1000 * logNormal(rng, c.cores, 0.45, 3*c.cores)), MemoryMB: 800}
			count := max(1, int(math.Round(logNormal(rng, c.width, 0.6, 4*c.width))))
			step := workload.Step{Count: count, Size: size, Estimate: time.Duration(float64(runTime) * logNormal(rng, 1, c.estOff, 3))}
			if s > 0 {
				step.After = []int{s - 1}
			}
			steps, j.runTimes = append(steps, step), append(j.runTimes, runTime)
			chain += runTime
			j.work += float64(count) * runTime.Seconds() * float64(size.MilliCores) / 1000
		}
		j.objective = time.Duration(testQueue.Stretch*float64(chain)) + testQueue.Target
		j.added = testJob(fmt.Sprintf("%016x", len(jobs)), steps...)
		jobs = append(jobs, j)
	}
	return jobs
}

type runEnd struct {
	at    time.Time
	start Start
}

// play runs the overload in a Scheduler with workers that answer at once.
func (c overload) play(seed uint64) outcome {
	jobs := c.draw(rand.New(rand.NewPCG(seed, 1)))
	r := newLargeHarness(c.workers)
	begin := r.now
	byID := map[string]*overloadJob{}
	for _, j := range jobs {
		byID[j.added.Submission.ID] = j
	}
	var ends []runEnd
	const tick = 20 * time.Millisecond
	for next, ended, at := 0, 0, time.Duration(0); ended < len(jobs); at += tick {
		r.now = begin.Add(at)
		ends = slices.DeleteFunc(ends, func(e runEnd) bool {
			if e.at.After(r.now) {
				return false
			}
			r.workers[e.start.Incarnation.ID].endRun(e.start.Task, e.start.Attempt, EndDone)
			return true
		})
		var events []Event
		for ; next < len(jobs) && jobs[next].arrival <= at; next++ {
			events = append(events, jobs[next].added)
		}
		started := len(r.starts)
		r.step(events...)
		for _, s := range r.starts[started:] {
			ends = append(ends, runEnd{at: r.now.Add(byID[s.Task.Job].runTimes[s.Task.Step]), start: s})
		}
		for _, d := range r.decisions {
			if d.What == "job-"+string(workload.Completed) {
				byID[d.Job].end = at
				ended++
			}
		}
		r.decisions = r.decisions[:0]
	}
	return judge(jobs)
}

func judge(jobs []*overloadJob) outcome {
	slices.SortFunc(jobs, func(a, b *overloadJob) int { return int(math.Copysign(1, a.work-b.work)) })
	var o outcome
	var mean, owed, done, wasted float64
	for _, j := range jobs {
		mean += j.work / float64(len(jobs))
	}
	for i, j := range jobs {
		worth := min(4, 0.3+0.7*j.work/mean)
		owed += worth
		took := j.end - j.arrival
		done += j.work
		o.lateness += max(0, took-j.objective) / time.Duration(len(jobs))
		switch {
		case took <= j.objective:
			o.inTime.count(i, len(jobs))
			o.served.count(i, len(jobs))
			o.worth += worth
		case took <= lateFactor*j.objective:
			o.served.count(i, len(jobs))
			o.worth += 0.07 * worth
		default:
			wasted += j.work
		}
	}
	o.worth, o.wasted = o.worth/owed, wasted/done
	return o
}

var overloads = map[string]overload{
	"quick":    {workers: 20, factor: 2, peak: 4 * time.Second, steps: 1.6, width: 8, work: 640 * time.Millisecond, cores: 1.5, estOff: 0.5},
	"calc":     {workers: 20, factor: 2, peak: 4 * time.Second, steps: 2, width: 8, work: 1700 * time.Millisecond, cores: 3.3, estOff: 0.9},
	"moderate": {workers: 20, factor: 1.3, peak: 4 * time.Second, steps: 1.6, width: 8, work: 640 * time.Millisecond, cores: 1.5, estOff: 0.5},
	"flood":    {workers: 20, factor: 5, peak: 8 * time.Second, steps: 1.6, width: 8, work: 640 * time.Millisecond, cores: 1.5, estOff: 0.5},
	"long":     {workers: 20, factor: 2, peak: 15 * time.Second, steps: 1.6, width: 8, work: 640 * time.Millisecond, cores: 1.5, estOff: 0.5},
}

// BenchmarkOverload reports who is served when a pool has too little: shares of
// the jobs in time, of the largest tenth by work and of the fifth below it, the
// worth in time, and the mean lateness.
func BenchmarkOverload(b *testing.B) {
	const seeds = 8
	for _, name := range []string{"moderate", "quick", "calc", "long", "flood"} {
		b.Run(name, func(b *testing.B) {
			var sum outcome
			for b.Loop() {
				sum = outcome{}
				for seed := range uint64(seeds) {
					sum.add(overloads[name].play(seed), seeds)
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(sum.inTime.all, "in-time")
			b.ReportMetric(sum.inTime.largest, "largest-tenth-in-time")
			b.ReportMetric(sum.inTime.next, "next-fifth-in-time")
			b.ReportMetric(sum.served.all, "served")
			b.ReportMetric(sum.served.largest, "largest-tenth-served")
			b.ReportMetric(sum.served.next, "next-fifth-served")
			b.ReportMetric(sum.worth, "worth")
			b.ReportMetric(sum.wasted, "wasted")
			b.ReportMetric(sum.lateness.Seconds(), "s-late")
		})
	}
}

// playSmall plays an overload of 10 workers with several seeds.
func playSmall(c overload, seeds int) (sum outcome) {
	c.workers = 10
	for seed := range seeds {
		sum.add(c.play(uint64(seed)), float64(seeds))
	}
	return sum
}

// Guards against an order of placement by which large jobs are late more than
// twice as often as all jobs in a short peak.
func TestLargeJobsAreInTimeInPeak(t *testing.T) {
	o := playSmall(overloads["quick"], 6).inTime
	require.GreaterOrEqual(t, o.largest, o.all/2, "largest tenth in time")
	require.GreaterOrEqual(t, o.next, o.all/2, "next fifth in time")
}

// Guards against an order of placement by which large jobs are not served in a
// long flood.
func TestLargeJobsAreServedInFlood(t *testing.T) {
	o := playSmall(overloads["flood"], 2).served
	require.GreaterOrEqual(t, o.largest, o.all/2, "largest tenth served")
	require.GreaterOrEqual(t, o.next, o.all/2, "next fifth served")
}
