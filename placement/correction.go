package placement

import (
	"math"
	"time"
)

// Parameters of the learned corrections.
const (
	learnRate   = 0.2 // weight of the newest observation
	learnAfter  = 3   // observations before a correction is used
	shrinkAfter = 8   // observations before memory is corrected downwards
	maxFactor   = 16  // corrections are between 1/16 and 16
	// Margins in standard deviations. A task without enough memory fails; one
	// without enough processors is only slower, and a margin of 1 there left
	// 30% of the processors idle in the experiment of package bench.
	memoryMargin = 1
	coresMargin  = 0.2
	// A full table learns nothing new; 500 teams with 100 kinds fit.
	maxLearned = 50_000
)

// ratio is the logarithm of used to declared, with its spread.
type ratio struct{ mean, variance float64 }

func (r *ratio) learn(x float64, n int) {
	rate := math.Max(learnRate, 1/float64(n))
	d := x - r.mean
	r.mean += rate * d
	r.variance = (1 - rate) * (r.variance + rate*d*d)
}

// factor is the given number of standard deviations above the mean.
func (r *ratio) factor(margin float64) float64 {
	f := math.Exp(r.mean + margin*math.Sqrt(math.Max(0, r.variance)))
	return math.Min(maxFactor, math.Max(1.0/maxFactor, f))
}

type learned struct {
	n                    int
	cores, memory, speed ratio
}

type learnKey struct{ team, kind string }

// Corrections learns how far declared sizes and run times of a team's jobs of
// one kind are from the actual ones. Run times are kept for each worker type.
type Corrections struct {
	sizes map[learnKey]*learned
	times map[learnKey]*learned // team is the worker type here
}

func newCorrections() *Corrections {
	return &Corrections{sizes: map[learnKey]*learned{}, times: map[learnKey]*learned{}}
}

func entry(m map[learnKey]*learned, k learnKey) *learned {
	l := m[k]
	if l == nil && len(m) < maxLearned {
		l = &learned{}
		m[k] = l
	}
	return l
}

// observe learns from a finished task. Used processors are compared only when
// the worker reported them.
func (c *Corrections) observe(j *Job, workerType string, used Size, ran time.Duration) {
	if used.MilliCores > 0 && used.MemoryMB > 0 && j.Size.MilliCores > 0 && j.Size.MemoryMB > 0 {
		for _, k := range []learnKey{{j.Team, j.Kind}, {"", j.Kind}} {
			if l := entry(c.sizes, k); l != nil {
				l.n++
				l.cores.learn(logRatio(used.MilliCores, j.Size.MilliCores), l.n)
				l.memory.learn(logRatio(used.MemoryMB, j.Size.MemoryMB), l.n)
			}
		}
	}
	if ran > 0 && j.Runtime > 0 {
		for _, k := range []learnKey{{workerType, j.Kind}, {workerType, ""}} {
			if l := entry(c.times, k); l != nil {
				l.n++
				l.speed.learn(logRatio(int(ran), int(j.Runtime)), l.n)
			}
		}
	}
}

func logRatio(a, b int) float64 { return math.Log(float64(a) / float64(b)) }

// Size returns the corrected size of a job. Accelerators are counted devices
// and are not corrected.
func (c *Corrections) Size(j *Job) Size {
	l := c.sizes[learnKey{j.Team, j.Kind}]
	if l == nil || l.n < learnAfter {
		l = c.sizes[learnKey{"", j.Kind}]
	}
	if l == nil || l.n < learnAfter {
		return j.Size
	}
	memory := l.memory.factor(memoryMargin)
	if l.n < shrinkAfter {
		memory = math.Max(1, memory)
	}
	return Size{
		MilliCores:   max(1, int(float64(j.Size.MilliCores)*l.cores.factor(coresMargin))),
		MemoryMB:     max(1, int(float64(j.Size.MemoryMB)*memory)),
		Accelerators: j.Size.Accelerators,
	}
}

// Runtime returns the expected run time of a job on a worker type, without
// the margin that sizes get.
func (c *Corrections) Runtime(j *Job, workerType string) time.Duration {
	l := c.times[learnKey{workerType, j.Kind}]
	if l == nil || l.n < learnAfter {
		l = c.times[learnKey{workerType, ""}]
	}
	if l == nil || l.n < learnAfter {
		return j.Runtime
	}
	return time.Duration(float64(j.Runtime) * math.Exp(l.speed.mean))
}
