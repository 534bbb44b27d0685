package machine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// BenchmarkStep measures the steps that one job causes at 80% load: its
// submission, the result of its row write, the result of its start call, the
// end of another job and the result of that write. ns/step is the mean of the
// five steps.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{50, 500, 5000, 15000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkStep(b, workers) })
	}
}

type benchmarkRun struct {
	m         *Machine
	now       time.Time
	rng       *rand.Rand
	version   uint64
	submitted int
	running   []Call
}

func (r *benchmarkRun) step(e Event) {
	todo := []Event{e}
	for ; len(todo) > 0; todo = todo[1:] {
		for _, a := range r.m.Step(r.now, todo[0]) {
			r.version++
			switch a := a.(type) {
			case WriteJob:
				todo = append(todo, WriteResult{Job: a.Job, Version: r.version, Outcome: OutcomeDone})
			case Call:
				if a.Kind == CallStart {
					r.running = append(r.running, a)
				}
				todo = append(todo, CallResult{Call: a, Sent: r.now, Outcome: OutcomeDone, Run: Run{Job: a.Job, Token: a.Token, State: RunRunning}})
			}
		}
	}
}

func (r *benchmarkRun) submit() {
	r.submitted++
	r.version++
	cores := 1 + r.rng.IntN(6)
	classes := []structs.Class{structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch}
	r.step(JobChanged{structs.Job{Version: r.version, State: structs.JobQueued, Submitted: r.now, Spec: structs.JobSpec{
		ID: fmt.Sprint("j", r.submitted), Team: fmt.Sprint("t", r.rng.IntN(500)), Kind: fmt.Sprint("k", r.rng.IntN(20)),
		Class: classes[r.rng.IntN(3)], Pool: "p", MilliCores: 1000 * cores, MemoryMB: 1500 * cores, RunTime: time.Minute, Checkpoints: true,
	}}})
}

func (r *benchmarkRun) finish() {
	i := r.rng.IntN(len(r.running))
	c := r.running[i]
	r.running[i] = r.running[len(r.running)-1]
	r.running = r.running[:len(r.running)-1]
	r.step(UsageResult{Runs: []Run{{Job: c.Job, Token: c.Token, State: RunDone, Ran: time.Minute}}})
}

func benchmarkStep(b *testing.B, workers int) {
	r := &benchmarkRun{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), version: 10}
	r.m = New(Config{ID: "c1", TaskLease: 1000 * time.Hour, ScanInterval: time.Hour, UsageInterval: time.Hour, RetryDelay: time.Second, MaxStarts: 256, MaxAttempts: 3})
	view := &structs.FleetView{}
	for i := range workers {
		id := fmt.Sprintf("w%05d", i)
		view.VMs = append(view.VMs, structs.VM{ID: id, State: structs.VMLive, Cores: 16, MemoryMB: 32000})
		view.Owners = append(view.Owners, structs.Owner{VM: id, Pool: "p", State: structs.OwnerActive})
	}
	r.step(ConfigUpdated{&structs.Config{Generation: 1}})
	r.step(FleetUpdated{view})
	for v := range uint64(2) {
		r.step(ScanResult{Started: r.now, Leases: []LeaseRow{{Pool: "p", Holder: "c1", Token: 1, Version: v + 1, Duration: 1000 * time.Hour}}})
	}
	for range workers * 16 * 8 / 10 / 3 { // a job has 3.5 cores on average
		r.submit()
	}
	b.ReportAllocs()
	for b.Loop() {
		r.now = r.now.Add(time.Millisecond)
		r.submit()
		r.finish()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/5, "ns/step")
	b.ReportMetric(float64(len(r.m.jobs)), "jobs")
}
