package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// BenchmarkPeak measures one step of a pool with 85 workers and 500 waiting
// jobs in which one worker reports the end of a run.
func BenchmarkPeak(b *testing.B) {
	const workers, jobs = 85, 500
	r := newLargeHarness(workers)
	add := func(n int) {
		step := simpleStep(8)
		step.Size = placement.Size{MilliCores: 1500 + n%7*100, MemoryMB: 900}
		r.step(testJob(fmt.Sprintf("%016x", n), step))
	}
	for n := range jobs + workers*10/8 {
		add(n)
	}
	started := 0
	b.ResetTimer()
	for n := 0; b.Loop(); n++ {
		r.now = r.now.Add(time.Millisecond)
		s := r.starts[started]
		started++
		w := r.workers[s.Incarnation.ID]
		w.endRun(s.Task, s.Attempt, EndDone)
		r.step(r.answerHold(Hold{Target: s.Target}))
		if n%8 == 0 {
			add(jobs + 1000 + n)
		}
	}
}

// BenchmarkWideFailure measures how long an owner takes for the ends of a job of 600 tasks on
// 130 workers, of which every other task fails at each worker and the rest succeed.
func BenchmarkWideFailure(b *testing.B) {
	const workers = 130
	for b.Loop() {
		b.StopTimer()
		r := newLargeHarness(workers)
		step := simpleStep(workload.MaxTasks)
		step.Size.MilliCores = 3000
		r.step(testJob("j1", step))
		b.StartTimer()
		for handled := 0; handled < len(r.starts) && r.m.jobs["j1"] != nil && !r.m.jobs["j1"].state.Ended(); handled++ {
			s := r.starts[handled]
			how := EndDone
			if s.Task.Index%2 == 1 {
				how = EndFailed
			}
			r.now = r.now.Add(time.Millisecond)
			r.workers[s.Incarnation.ID].endRun(s.Task, s.Attempt, how)
			r.step(r.answerHold(Hold{Target: s.Target}))
		}
	}
}
