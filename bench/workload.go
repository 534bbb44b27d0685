package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// jobKinds is how many kinds of jobs the teams share.
const jobKinds = 24

// workerTypes are the types of the generated fleet with their part of it.
var workerTypes = []struct {
	placement.WorkerType
	part float64
}{
	{placement.WorkerType{Name: "plain", Capacity: placement.Size{MilliCores: 16000, MemoryMB: 32000}, Watts: 300, Price: 1}, 0.5},
	{placement.WorkerType{Name: "old", Capacity: placement.Size{MilliCores: 8000, MemoryMB: 16000}, Watts: 250, Price: 0.7}, 0.2},
	{placement.WorkerType{Name: "memory", Capacity: placement.Size{MilliCores: 16000, MemoryMB: 128000}, Watts: 380, Price: 1.8}, 0.2},
	{placement.WorkerType{Name: "accelerated", Capacity: placement.Size{MilliCores: 32000, MemoryMB: 64000, Accelerators: 4}, Watts: 900, Price: 4}, 0.1},
}

// traceJob is a job with what it really uses.
type traceJob struct {
	placement.Job
	at      time.Duration
	actual  placement.Size
	runtime [4]time.Duration // by worker type
	save    time.Duration    // a checkpoint takes this long
}

// workload is a generated trace of jobs.
type workload struct {
	workers int
	teams   int
	jobs    []traceJob
}

type kindModel struct {
	cores, memory float64    // actual means
	speed         [4]float64 // by worker type
	accelerated   bool
}

// newWorkload generates about as many jobs as bring the fleet to the load (1
// is full) over the length, judged by actual use at mean speed. Declared
// sizes and run times are off by a factor of each team and kind (log-normal,
// sigma 0.7) and by noise of each job (sigma 0.3). With burst, all jobs are
// submitted at the start.
func newWorkload(workers, teams int, load float64, length time.Duration, burst bool, seed uint64) *workload {
	rng := rand.New(rand.NewPCG(seed, uint64(workers)))
	kinds := make([]kindModel, jobKinds)
	for i := range kinds {
		kinds[i] = newKind(rng, i)
	}
	w := &workload{workers: workers, teams: teams}
	cores := 0.0
	for _, t := range workerTypes {
		cores += t.part * float64(workers*t.Capacity.MilliCores)
	}
	budget := cores * load * length.Seconds()
	bias := map[[2]int]float64{}
	for n := 0; budget > 0; n++ {
		team, kind := rng.IntN(teams), rng.IntN(jobKinds)
		b, ok := bias[[2]int{team, kind}]
		if !ok {
			b = math.Exp(0.7 * rng.NormFloat64())
			bias[[2]int{team, kind}] = b
		}
		j := newTraceJob(rng, n, team, kind, &kinds[kind], b)
		speed := 0.0 // mean over the processors of the fleet
		for i, t := range workerTypes {
			speed += t.part * float64(workers*t.Capacity.MilliCores) / cores / j.runtime[i].Seconds()
		}
		budget -= float64(j.actual.MilliCores) / speed
		w.jobs = append(w.jobs, j)
	}
	for i := range w.jobs {
		if !burst {
			w.jobs[i].at = time.Duration(float64(i) / float64(len(w.jobs)) * float64(length))
		}
	}
	return w
}

func newKind(rng *rand.Rand, i int) kindModel {
	k := kindModel{cores: 500 + 3500*rng.Float64(), memory: 500 + 5500*rng.Float64(), accelerated: i == 0}
	for t, base := range []float64{1, 0.6, 1.05, 1.4} {
		k.speed[t] = base * math.Exp(0.25*rng.NormFloat64())
	}
	return k
}

func newTraceJob(rng *rand.Rand, n, team, kind int, k *kindModel, bias float64) traceJob {
	// Cut at two sigma: a single outlier would otherwise decide the makespan.
	noise := func(sigma float64) float64 {
		return math.Exp(sigma * math.Max(-2, math.Min(2, rng.NormFloat64())))
	}
	class, seconds := structs.ClassUrgent, 4.0
	switch u := rng.Float64(); {
	case u > 0.85:
		class, seconds = structs.ClassBatch, 60
	case u > 0.5:
		class, seconds = structs.ClassStandard, 15
	}
	j := traceJob{save: time.Duration(float64(800*time.Millisecond) * noise(0.5))}
	j.actual = placement.Size{MilliCores: min(8000, int(k.cores*noise(0.2))+1), MemoryMB: min(16000, int(k.memory*noise(0.2))+1)}
	if k.accelerated {
		j.actual.Accelerators = 1
	}
	work := seconds * noise(0.6)
	for t := range j.runtime {
		j.runtime[t] = time.Duration(work / k.speed[t] * float64(time.Second))
	}
	off := bias * noise(0.3)
	j.Job = placement.Job{
		ID: fmt.Sprint("j", n), Team: fmt.Sprint("team", team), Kind: fmt.Sprint("kind", kind), Class: class,
		Size: placement.Size{
			MilliCores:   min(8000, int(float64(j.actual.MilliCores)*off)+1),
			MemoryMB:     min(16000, int(float64(j.actual.MemoryMB)*off)+1),
			Accelerators: j.actual.Accelerators,
		},
		Runtime:     time.Duration(work * off * float64(time.Second)),
		Checkpoints: class == structs.ClassBatch && rng.Float64() < 0.7, Throttleable: class == structs.ClassBatch && rng.Float64() < 0.5,
	}
	return j
}

// fleet returns the types of the workers in order of their index.
func (w *workload) fleet() []int {
	types := make([]int, w.workers)
	acc := make([]float64, len(workerTypes))
	for i := range types {
		best := 0
		for t := range acc {
			acc[t] += workerTypes[t].part
			if acc[t] > acc[best] {
				best = t
			}
		}
		acc[best]--
		types[i] = best
	}
	return types
}
