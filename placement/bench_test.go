package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

var benchTypes = []WorkerType{
	plainType, acceleratorType,
	{Name: "small", Capacity: Size{8000, 16000, 0}, Watts: 150, Price: 0.6},
	{Name: "memory", Capacity: Size{16000, 128000, 0}, Watts: 400, Price: 2},
}

func benchJob(rng *rand.Rand, n, teams int) Job {
	classes := []structs.Class{structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch}
	return Job{
		ID: fmt.Sprint("j", n), Team: fmt.Sprint("t", rng.IntN(teams)), Kind: fmt.Sprint("k", rng.IntN(20)),
		Class: classes[rng.IntN(3)], Runtime: time.Minute, Checkpoints: rng.IntN(2) == 0,
		Size: Size{500 * (1 + rng.IntN(12)), 1000 * (1 + rng.IntN(12)), rng.IntN(20) / 19},
	}
}

// BenchmarkPlace measures one submission, one call of Place and one finished task,
// on a fleet at 80% load, where no jobs wait, and at 120%, where some do.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{50, 500, 5000, 15000} {
		for _, teams := range []int{10, 500} {
			for _, policy := range []Policy{PolicyCompact, PolicyPairs, PolicyFirstFit, PolicyBestFit} {
				for _, load := range []int{80, 120} {
					name := fmt.Sprintf("workers=%d/teams=%d/%v/load=%d", workers, teams, policy, load)
					b.Run(name, func(b *testing.B) { benchPlace(b, workers, teams, load, policy) })
				}
			}
		}
	}
}

func benchPlace(b *testing.B, workers, teams, load int, policy Policy) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := New(Options{Policy: policy, TaskLease: 1000 * time.Hour}, 0)
	for i := range workers {
		s.AddWorker(fmt.Sprint("w", i), benchTypes[i%len(benchTypes)])
	}
	n, now, want := 0, t0, 0
	for ; want < s.total.MilliCores/100*load; n++ {
		j := benchJob(rng, n, teams)
		want += j.Size.MilliCores
		_ = s.Submit(j, now)
	}
	var running []Command
	for _, c := range s.Place(now, n) {
		if c.Kind == CommandStart {
			running = append(running, c)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		_ = s.Submit(benchJob(rng, n, teams), now)
		n++
		for _, c := range s.Place(now, 1) {
			if c.Kind == CommandStart {
				running = append(running, c)
			}
		}
		i := rng.IntN(len(running))
		_ = s.Report(Report{Kind: ReportFinished, Job: running[i].Job, Token: running[i].Token}, now)
		running[i] = running[len(running)-1]
		running = running[:len(running)-1]
	}
}
