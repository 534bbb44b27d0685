package placement

import (
	"math"
	"time"
)

// Parameters of the corrections.
const (
	learningRate            = 0.2 // minimum weight of the newest observation
	minObservations         = 3   // observations before a correction is used
	minObservationsToShrink = 8   // observations before memory is corrected downwards
	maxCorrection           = 16  // corrections are between 1/16 and 16
	// Safety margins in standard deviations. A task with too little memory
	// fails; one with too few processors is only slower, and a margin of 1 for
	// processors leaves 30% of them idle in the experiment of package bench.
	memoryMarginStdDevs = 1
	coresMarginStdDevs  = 0.2
	// Entries of one table, enough for 500 teams with 100 kinds each. A full
	// table accepts no new keys.
	maxEntries = 50_000
)

// logRatioEstimate is an exponentially weighted estimate of the logarithm of the
// ratio of actual to declared.
type logRatioEstimate struct{ mean, variance float64 }

func (e *logRatioEstimate) update(x float64, observations int) {
	rate := math.Max(learningRate, 1/float64(observations))
	d := x - e.mean
	e.mean += rate * d
	e.variance = (1 - rate) * (e.variance + rate*d*d)
}

// factor returns the ratio that lies the given number of standard deviations
// above the mean, bounded by maxCorrection.
func (e *logRatioEstimate) factor(stdDevs float64) float64 {
	f := math.Exp(e.mean + stdDevs*math.Sqrt(math.Max(0, e.variance)))
	return math.Min(maxCorrection, math.Max(1.0/maxCorrection, f))
}

// usageStats are the observations of one key.
type usageStats struct {
	observations           int
	cores, memory, runtime logRatioEstimate
}

// statsKey identifies a kind of job within a scope: a team for sizes, a worker
// type for run times. An empty scope or kind stands for all of them.
type statsKey struct{ scope, kind string }

// Corrections estimates how far the declared sizes of jobs of one team and kind,
// and their declared run times on one worker type, are from the actual ones.
type Corrections struct {
	sizes    map[statsKey]*usageStats // scope is the team
	runtimes map[statsKey]*usageStats // scope is the worker type
}

func newCorrections() *Corrections {
	return &Corrections{sizes: map[statsKey]*usageStats{}, runtimes: map[statsKey]*usageStats{}}
}

// statsFor returns the entry of a key. It adds a missing one, or returns nil if
// the table is full.
func statsFor(m map[statsKey]*usageStats, k statsKey) *usageStats {
	stats := m[k]
	if stats == nil && len(m) < maxEntries {
		stats = &usageStats{}
		m[k] = stats
	}
	return stats
}

// observe records the use and the run time of a finished task. Sizes are left
// out if the worker did not report the use, run times if ran is 0.
func (c *Corrections) observe(j *Job, workerType string, used Size, ran time.Duration) {
	if used.MilliCores > 0 && used.MemoryMB > 0 && j.Size.MilliCores > 0 && j.Size.MemoryMB > 0 {
		for _, k := range []statsKey{{j.Team, j.Kind}, {"", j.Kind}} {
			if stats := statsFor(c.sizes, k); stats != nil {
				stats.observations++
				stats.cores.update(logRatio(used.MilliCores, j.Size.MilliCores), stats.observations)
				stats.memory.update(logRatio(used.MemoryMB, j.Size.MemoryMB), stats.observations)
			}
		}
	}
	if ran > 0 && j.Runtime > 0 {
		for _, k := range []statsKey{{workerType, j.Kind}, {workerType, ""}} {
			if stats := statsFor(c.runtimes, k); stats != nil {
				stats.observations++
				stats.runtime.update(logRatio(int(ran), int(j.Runtime)), stats.observations)
			}
		}
	}
}

func logRatio(a, b int) float64 { return math.Log(float64(a) / float64(b)) }

// Size returns the corrected size of a job. Accelerators are whole devices and
// are not corrected.
func (c *Corrections) Size(j *Job) Size {
	stats := c.sizes[statsKey{j.Team, j.Kind}]
	if stats == nil || stats.observations < minObservations {
		stats = c.sizes[statsKey{"", j.Kind}]
	}
	if stats == nil || stats.observations < minObservations {
		return j.Size
	}
	memory := stats.memory.factor(memoryMarginStdDevs)
	if stats.observations < minObservationsToShrink {
		memory = math.Max(1, memory)
	}
	return Size{
		MilliCores:   max(1, int(float64(j.Size.MilliCores)*stats.cores.factor(coresMarginStdDevs))),
		MemoryMB:     max(1, int(float64(j.Size.MemoryMB)*memory)),
		Accelerators: j.Size.Accelerators,
	}
}

// Runtime returns the expected run time of a job on a worker type. Unlike a size
// it has no safety margin.
func (c *Corrections) Runtime(j *Job, workerType string) time.Duration {
	stats := c.runtimes[statsKey{workerType, j.Kind}]
	if stats == nil || stats.observations < minObservations {
		stats = c.runtimes[statsKey{workerType, ""}]
	}
	if stats == nil || stats.observations < minObservations {
		return j.Runtime
	}
	return time.Duration(float64(j.Runtime) * math.Exp(stats.runtime.mean))
}
