package placement

import (
	"math"
	"sort"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Policy selects how a worker is chosen for a job.
type Policy int

// Policies. PolicyPairs is the default; the others are baselines.
const (
	// PolicyPairs scores each pair of a job and a worker type by its normalized
	// Euclidean distance from the best values of time, energy and price, and
	// takes the tightest fit within a type. Pass n of Place tries the n-th best
	// type of each job, so that a job uses a worse type only after all other
	// jobs have tried their better ones. Urgent jobs try all types in the first
	// pass. Score and passes follow M. D'Amico and J. Corbalan, "Energy-Aware
	// Multi-Cluster Job Scheduling Policy for Heterogeneous HPC" (EAMC).
	// docs/measurements.md has the figures behind this default.
	PolicyPairs    Policy = iota
	PolicyCompact         // tightest fit, on the type with the fewest accelerators, then processors, that fits
	PolicyFirstFit        // the first worker that fits, in the order in which workers were added
	PolicyBestFit         // the worker with the least free capacity after placement, over all types
	PolicyFastest         // tightest fit, on the type with the shortest expected run time that has room
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"pairs", "compact", "first-fit", "best-fit", "fastest"}[p]
}

// passes returns the number of passes over the queues in one call of Place.
func (s *Scheduler) passes() int {
	if s.opt.Policy == PolicyPairs {
		return max(1, len(s.groups))
	}
	return 1
}

// findWorker returns a worker for the job in the given pass, or nil.
func (s *Scheduler) findWorker(j *job, need Size, pass int) *worker {
	switch s.opt.Policy {
	case PolicyFirstFit:
		return s.scanWorkers(j, need, nil)
	case PolicyBestFit:
		return s.scanWorkers(j, need, func(w, current *worker) bool { return remainingShare(w, need) < remainingShare(current, need) })
	case PolicyPairs:
		order := s.rankedGroups(j)
		switch {
		case pass >= len(order):
			return nil
		case j.Class == structs.ClassUrgent:
			return findInOrder(order, j, need) // urgent jobs do not wait for other jobs to try better types
		}
		return order[pass].find(j, need)
	case PolicyFastest:
		return findInOrder(s.rankedGroups(j), j, need)
	default:
		return findInOrder(s.compact, j, need)
	}
}

// findInOrder returns a worker of the first group that has a fitting one, or nil.
func findInOrder(order []*workerGroup, j *job, need Size) *worker {
	for _, g := range order {
		if w := g.find(j, need); w != nil {
			return w
		}
	}
	return nil
}

// scanWorkers looks at the workers in the order in which they were added and
// returns the fitting one that better prefers, or the first if better is nil.
func (s *Scheduler) scanWorkers(j *job, need Size, better func(w, current *worker) bool) *worker {
	if s.knownNotToFit(need) {
		return nil
	}
	var best *worker
	for _, w := range s.workers {
		if w.bucket < 0 || !w.accepts(j, need) || (best != nil && !better(w, best)) {
			continue
		}
		best = w
		if better == nil {
			return best
		}
	}
	if best == nil && len(j.avoidWorkers) == 0 {
		for _, g := range s.groups {
			g.failedSearches.add(need)
		}
	}
	return best
}

// knownNotToFit reports whether a search of every group is known to fail.
func (s *Scheduler) knownNotToFit(need Size) bool {
	for _, g := range s.groups {
		if need.Fits(g.Capacity) && !g.failedSearches.covers(need) {
			return false
		}
	}
	return true
}

// remainingShare returns the sum, over the dimensions, of the fraction of the
// worker's capacity that stays free after placing need.
func remainingShare(w *worker, need Size) float64 {
	c, f := w.group.Capacity, w.free.Minus(need)
	sum := float64(f.MilliCores)/float64(c.MilliCores) + float64(f.MemoryMB)/float64(c.MemoryMB)
	if c.Accelerators > 0 {
		sum += float64(f.Accelerators) / float64(c.Accelerators)
	}
	return sum
}

// sortByCapacity returns the groups with the fewest accelerators first, then with
// the fewest processors.
func sortByCapacity(groups []*workerGroup) []*workerGroup {
	out := append([]*workerGroup(nil), groups...)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i].Capacity, out[j].Capacity
		if a.Accelerators != b.Accelerators {
			return a.Accelerators < b.Accelerators
		}
		return a.MilliCores < b.MilliCores
	})
	return out
}

// rankedGroups returns the worker types that can hold the job's corrected size,
// best first. The ranking is cached in the job until the next refresh.
func (s *Scheduler) rankedGroups(j *job) []*workerGroup {
	if j.rankedGroups != nil && j.rankedAt == s.refreshedAt {
		return j.rankedGroups
	}
	var fit []*workerGroup
	for _, g := range s.groups {
		if j.correctedSize.Fits(g.Capacity) {
			fit = append(fit, g)
		}
	}
	score := make(map[*workerGroup]float64, len(fit))
	if s.opt.Policy == PolicyFastest {
		for _, g := range fit {
			score[g] = s.corrections.Runtime(&j.Job, g.Name).Seconds()
		}
	} else {
		s.scoreDistances(j, fit, score)
	}
	sort.SliceStable(fit, func(a, b int) bool { return score[fit[a]] < score[fit[b]] })
	j.rankedGroups, j.rankedAt = fit, s.refreshedAt
	return fit
}

// scoreDistances scores each pair of the job and a type by its Euclidean distance
// from the best value of each metric (time, energy, cost). Each metric is
// normalized by its range over the pairs.
func (s *Scheduler) scoreDistances(j *job, fit []*workerGroup, score map[*workerGroup]float64) {
	metrics := make([][3]float64, len(fit))
	lo := [3]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	var hi [3]float64
	for i, g := range fit {
		t := s.corrections.Runtime(&j.Job, g.Name)
		part := dominantShare(j.correctedSize, g.Capacity)
		metrics[i] = [3]float64{t.Seconds(), t.Seconds() * g.Watts * part, t.Hours() * g.Price * part}
		for m, v := range metrics[i] {
			lo[m], hi[m] = math.Min(lo[m], v), math.Max(hi[m], v)
		}
	}
	for i, g := range fit {
		sum := 0.0
		for m, v := range metrics[i] {
			if hi[m] > lo[m] {
				d := (v - lo[m]) / (hi[m] - lo[m])
				sum += d * d
			}
		}
		score[g] = math.Sqrt(sum)
	}
}

// dominantShare returns the greatest fraction that s takes of any dimension of
// the capacity.
func dominantShare(s, capacity Size) float64 {
	share := 0.0
	if capacity.MilliCores > 0 {
		share = math.Max(share, float64(s.MilliCores)/float64(capacity.MilliCores))
	}
	if capacity.MemoryMB > 0 {
		share = math.Max(share, float64(s.MemoryMB)/float64(capacity.MemoryMB))
	}
	if capacity.Accelerators > 0 {
		share = math.Max(share, float64(s.Accelerators)/float64(capacity.Accelerators))
	}
	return share
}

// refreshInterval is how long a job's corrected size and ranking of types are
// cached.
const refreshInterval = 10 * time.Second
