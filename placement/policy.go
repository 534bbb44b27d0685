package placement

import (
	"math"
	"sort"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Policy is the rule by which a worker is chosen for a job.
type Policy int

// Policies. PolicyPairs is the default; the others are baselines.
const (
	// PolicyPairs tries worker types in the order of their normalized
	// Euclidean distance (time, energy, price) from the best pair of the job
	// and a type, and the tightest fit within a type. A worse pair is not
	// excluded: it is tried after all other jobs have tried better ones, except
	// for urgent jobs, which try all of theirs at once. The score and the later
	// trial at lower priority follow M. D'Amico and J. Corbalan, "Energy-Aware
	// Multi-Cluster Job Scheduling Policy for Heterogeneous HPC" (EAMC).
	// docs/measurements.md has the figures for which it was taken.
	PolicyPairs    Policy = iota
	PolicyCompact         // tightest fit, on the type with the fewest accelerators and processors that fits
	PolicyFirstFit        // first worker in order of arrival that fits
	PolicyBestFit         // the worker with the least room left, over all workers
	PolicyFastest         // tightest fit, on the type with the shortest expected run time that has room
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"pairs", "compact", "first-fit", "best-fit", "fastest"}[p]
}

// passes returns how many passes over the queues one round makes.
func (s *Scheduler) passes() int {
	if s.opt.Policy == PolicyPairs {
		return max(1, len(s.groups))
	}
	return 1
}

// find returns a worker for the job in the given pass, or nil.
func (s *Scheduler) find(j *job, need Size, pass int) *worker {
	switch s.opt.Policy {
	case PolicyFirstFit:
		return s.scan(j, need, nil)
	case PolicyBestFit:
		return s.scan(j, need, func(w, than *worker) bool { return room(w, need) < room(than, need) })
	case PolicyPairs:
		order := s.ranked(j)
		switch {
		case pass >= len(order):
			return nil
		case j.Class == structs.ClassUrgent:
			return findIn(order, j, need) // urgent work does not wait for better pairs of other jobs
		}
		return order[pass].find(j, need)
	case PolicyFastest:
		return findIn(s.ranked(j), j, need)
	default:
		return findIn(s.compact, j, need)
	}
}

func findIn(order []*group, j *job, need Size) *worker {
	for _, g := range order {
		if w := g.find(j, need); w != nil {
			return w
		}
	}
	return nil
}

// scan looks at all workers in order of arrival and returns the one that
// better prefers, or the first one if better is nil.
func (s *Scheduler) scan(j *job, need Size, better func(w, than *worker) bool) *worker {
	if s.knownFull(need) {
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
	if best == nil && len(j.failedOn) == 0 {
		for _, g := range s.groups {
			g.full.note(need)
		}
	}
	return best
}

func (s *Scheduler) knownFull(need Size) bool {
	for _, g := range s.groups {
		if need.Fits(g.Capacity) && !g.full.covers(need) {
			return false
		}
	}
	return true
}

// room is the sum of the fractions of the worker that stay free.
func room(w *worker, need Size) float64 {
	c, f := w.kind.Capacity, w.free.Minus(need)
	sum := float64(f.MilliCores)/float64(c.MilliCores) + float64(f.MemoryMB)/float64(c.MemoryMB)
	if c.Accelerators > 0 {
		sum += float64(f.Accelerators) / float64(c.Accelerators)
	}
	return sum
}

func sortCompact(groups []*group) []*group {
	out := append([]*group(nil), groups...)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i].Capacity, out[j].Capacity
		if a.Accelerators != b.Accelerators {
			return a.Accelerators < b.Accelerators
		}
		return a.MilliCores < b.MilliCores
	})
	return out
}

// ranked returns the types that can hold the job's corrected size, best first. The order is
// kept with the job until the learned run times have been renewed.
func (s *Scheduler) ranked(j *job) []*group {
	if j.order != nil && j.orderedAt == s.learnedAt {
		return j.order
	}
	var fit []*group
	for _, g := range s.groups {
		if j.need.Fits(g.Capacity) {
			fit = append(fit, g)
		}
	}
	score := make(map[*group]float64, len(fit))
	if s.opt.Policy == PolicyFastest {
		for _, g := range fit {
			score[g] = s.learn.Runtime(&j.Job, g.Name).Seconds()
		}
	} else {
		s.distances(j, fit, score)
	}
	sort.SliceStable(fit, func(a, b int) bool { return score[fit[a]] < score[fit[b]] })
	j.order, j.orderedAt = fit, s.learnedAt
	return fit
}

// distances scores each pair of the job and a type by its Euclidean distance
// from the best value of each metric (time, energy, cost), each normalized by
// the range of that metric over the pairs.
func (s *Scheduler) distances(j *job, fit []*group, score map[*group]float64) {
	metrics := make([][3]float64, len(fit))
	lo := [3]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	var hi [3]float64
	for i, g := range fit {
		t := s.learn.Runtime(&j.Job, g.Name)
		part := dominant(j.need, g.Capacity)
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

// dominant is the greatest fraction that the size takes of a capacity.
func dominant(s, of Size) float64 {
	d := 0.0
	if of.MilliCores > 0 {
		d = math.Max(d, float64(s.MilliCores)/float64(of.MilliCores))
	}
	if of.MemoryMB > 0 {
		d = math.Max(d, float64(s.MemoryMB)/float64(of.MemoryMB))
	}
	if of.Accelerators > 0 {
		d = math.Max(d, float64(s.Accelerators)/float64(of.Accelerators))
	}
	return d
}

// rankLifetime is how long a job keeps its order of types.
const rankLifetime = 10 * time.Second
