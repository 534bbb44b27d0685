package placement

import (
	"math"
	"sort"
	"time"
)

// Policy is the rule by which a worker is chosen for a job.
type Policy int

// Policies. PolicyCompact is the default; the others are baselines and the
// candidates that were measured against it.
const (
	PolicyCompact  Policy = iota // tightest fit, on the type with the fewest accelerators and processors that fits
	PolicyFirstFit               // first worker in order of arrival that fits
	PolicyBestFit                // the worker with the least room left, over all workers
	PolicyFastest                // tightest fit, on the type with the shortest expected run time that has room
	PolicyPairs                  // types in the order of their distance from the best job and type pair; worse pairs after all other jobs have tried better ones
)

// String returns the policy's name.
func (p Policy) String() string {
	return [...]string{"compact", "first-fit", "best-fit", "fastest", "pairs"}[p]
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
		return s.firstFit(j, need)
	case PolicyBestFit:
		return s.bestFit(j, need)
	case PolicyPairs:
		order := s.ranked(j)
		if pass < len(order) {
			return order[pass].find(j, need)
		}
		return nil
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

func (s *Scheduler) firstFit(j *job, need Size) *worker {
	for _, w := range s.workers {
		if w.bucket >= 0 && w.accepts(j, need) {
			return w
		}
	}
	return nil
}

func (s *Scheduler) bestFit(j *job, need Size) *worker {
	var best *worker
	left := math.Inf(1)
	for _, w := range s.workers {
		if w.bucket < 0 || !w.accepts(j, need) {
			continue
		}
		if l := room(w, need); l < left {
			best, left = w, l
		}
	}
	return best
}

// room is the sum of the fractions of the worker that stay free.
func room(w *worker, need Size) float64 {
	c, f := w.kind.Capacity, w.free.minus(need)
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

// ranked returns the types that can hold the job, best first. The order is
// kept with the job until the learned run times have been renewed.
func (s *Scheduler) ranked(j *job) []*group {
	if j.order != nil && j.orderedAt == s.learnedAt {
		return j.order
	}
	var fit []*group
	for _, g := range s.groups {
		if j.Size.Fits(g.Capacity) {
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
