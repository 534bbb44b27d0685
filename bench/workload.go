package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// jobKinds is the number of job kinds, which all teams use.
const jobKinds = 24

// workerTypes are the worker types of the generated fleet.
var workerTypes = []struct {
	placement.WorkerType
	fleetShare float64 // fraction of the fleet's workers that are of this type
}{
	{placement.WorkerType{Name: "plain", Capacity: placement.Size{MilliCores: 16000, MemoryMB: 32000}, Watts: 300, Price: 1}, 0.5},
	{placement.WorkerType{Name: "old", Capacity: placement.Size{MilliCores: 8000, MemoryMB: 16000}, Watts: 250, Price: 0.7}, 0.2},
	{placement.WorkerType{Name: "memory", Capacity: placement.Size{MilliCores: 16000, MemoryMB: 128000}, Watts: 380, Price: 1.8}, 0.2},
	{placement.WorkerType{Name: "accelerated", Capacity: placement.Size{MilliCores: 32000, MemoryMB: 64000, Accelerators: 4}, Watts: 900, Price: 4}, 0.1},
}

// traceJob is a job with its actual resource use and run times.
type traceJob struct {
	placement.Job
	submitAt       time.Duration
	actual         placement.Size
	runtime        [4]time.Duration // by worker type
	checkpointTime time.Duration    // time that a checkpoint takes
}

// workload is a generated trace of jobs.
type workload struct {
	workers int
	teams   int
	jobs    []traceJob
}

// kindModel holds the parameters from which the jobs of one kind are generated.
type kindModel struct {
	milliCores, memoryMB float64    // means of the actual use
	speed                [4]float64 // relative speed by worker type
	accelerated          bool
}

// newWorkload generates jobs that together load the fleet for the length to about
// the given load (1 is full), calculated from their actual use at the fleet's mean
// speed. Declared sizes and run times differ from the actual ones by a factor for
// each team and kind (log-normal, sigma 0.7) and by noise for each job (sigma 0.3).
// If burst is true, all jobs are submitted at the start.
func newWorkload(workers, teams int, load float64, length time.Duration, burst bool, seed uint64) *workload {
	rng := rand.New(rand.NewPCG(seed, uint64(workers)))
	kinds := make([]kindModel, jobKinds)
	for i := range kinds {
		kinds[i] = newKindModel(rng, i)
	}
	w := &workload{workers: workers, teams: teams}
	cores := 0.0
	for _, t := range workerTypes {
		cores += t.fleetShare * float64(workers*t.Capacity.MilliCores)
	}
	workLeft := cores * load * length.Seconds()
	bias := map[[2]int]float64{}
	for n := 0; workLeft > 0; n++ {
		team, kind := rng.IntN(teams), rng.IntN(jobKinds)
		kindBias, ok := bias[[2]int{team, kind}]
		if !ok {
			kindBias = math.Exp(0.7 * rng.NormFloat64())
			bias[[2]int{team, kind}] = kindBias
		}
		j := newTraceJob(rng, n, team, kind, &kinds[kind], kindBias)
		speed := 0.0 // speed of the job, averaged over the processors of the fleet
		for i, t := range workerTypes {
			speed += t.fleetShare * float64(workers*t.Capacity.MilliCores) / cores / j.runtime[i].Seconds()
		}
		workLeft -= float64(j.actual.MilliCores) / speed
		w.jobs = append(w.jobs, j)
	}
	for i := range w.jobs {
		if !burst {
			w.jobs[i].submitAt = time.Duration(float64(i) / float64(len(w.jobs)) * float64(length))
		}
	}
	return w
}

func newKindModel(rng *rand.Rand, i int) kindModel {
	k := kindModel{milliCores: 500 + 3500*rng.Float64(), memoryMB: 500 + 5500*rng.Float64(), accelerated: i == 0}
	for t, base := range []float64{1, 0.6, 1.05, 1.4} {
		k.speed[t] = base * math.Exp(0.25*rng.NormFloat64())
	}
	return k
}

func newTraceJob(rng *rand.Rand, n, team, kind int, k *kindModel, bias float64) traceJob {
	// Cut off at two sigma, because a single outlier could determine the makespan.
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
	j := traceJob{checkpointTime: time.Duration(float64(800*time.Millisecond) * noise(0.5))}
	j.actual = placement.Size{MilliCores: min(8000, int(k.milliCores*noise(0.2))+1), MemoryMB: min(16000, int(k.memoryMB*noise(0.2))+1)}
	if k.accelerated {
		j.actual.Accelerators = 1
	}
	work := seconds * noise(0.6)
	for t := range j.runtime {
		j.runtime[t] = time.Duration(work / k.speed[t] * float64(time.Second))
	}
	factor := bias * noise(0.3)
	j.Job = placement.Job{
		ID: fmt.Sprint("j", n), Team: fmt.Sprint("team", team), Kind: fmt.Sprint("kind", kind), Class: class,
		Size: placement.Size{
			MilliCores:   min(8000, int(float64(j.actual.MilliCores)*factor)+1),
			MemoryMB:     min(16000, int(float64(j.actual.MemoryMB)*factor)+1),
			Accelerators: j.actual.Accelerators,
		},
		Runtime:     time.Duration(work * factor * float64(time.Second)),
		Checkpoints: class == structs.ClassBatch && rng.Float64() < 0.7, Throttleable: class == structs.ClassBatch && rng.Float64() < 0.5,
	}
	return j
}

// workerTypeIndexes returns the index in workerTypes of each worker's type. The
// types are interleaved in proportion to their fleetShare.
func (w *workload) workerTypeIndexes() []int {
	types := make([]int, w.workers)
	acc := make([]float64, len(workerTypes))
	for i := range types {
		best := 0
		for t := range acc {
			acc[t] += workerTypes[t].fleetShare
			if acc[t] > acc[best] {
				best = t
			}
		}
		acc[best]--
		types[i] = best
	}
	return types
}
