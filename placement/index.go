package placement

import "math/bits"

// worker is the state of a worker.
type worker struct {
	id                string
	group             *workerGroup
	free              Size
	preemptible       Size // allocated to tasks that may be preempted by urgent jobs
	tasks             []*job
	reservedFor       *job // the only job that may start here; nil if any may
	removed           bool
	failureStreak     int  // failures since the last success
	quarantineStreak  int  // quarantines since the last success
	probation         bool // after a quarantine: one task at a time until one succeeds
	bucket, bucketPos int  // position in the group's index; bucket is -1 if the worker is not in it
}

// accepts reports whether the job may start on the worker with the size need.
func (w *worker) accepts(j *job, need Size) bool {
	if !need.Fits(w.free) || (w.reservedFor != nil && w.reservedFor != j) || (w.probation && len(w.tasks) > 0) {
		return false
	}
	for _, avoid := range j.avoidWorkers {
		if avoid.worker == w {
			return false
		}
	}
	return true
}

// workerGroup holds the workers of one type, indexed by their number of free
// whole processors. A bitmap marks the buckets that are not empty: a search
// starts at the smallest sufficient bucket and skips empty ones.
type workerGroup struct {
	WorkerType
	buckets        [][]*worker
	nonEmpty       []uint64 // bitmap: bit b is set if bucket b is not empty
	workerCount    int
	failedSearches failedSizes
}

const (
	milliPerCore = 1000
	// Workers of one bucket that are compared for the tightest memory fit.
	maxFitCandidates = 8
)

func newWorkerGroup(t WorkerType) *workerGroup {
	n := t.Capacity.MilliCores/milliPerCore + 1
	return &workerGroup{WorkerType: t, buckets: make([][]*worker, n), nonEmpty: make([]uint64, (n+63)/64)}
}

func (g *workerGroup) bucketOf(free Size) int {
	return min(max(free.MilliCores, 0)/milliPerCore, len(g.buckets)-1)
}

func (g *workerGroup) insert(w *worker) {
	b := g.bucketOf(w.free)
	w.bucket, w.bucketPos = b, len(g.buckets[b])
	g.buckets[b] = append(g.buckets[b], w)
	g.nonEmpty[b/64] |= 1 << (b % 64)
}

func (g *workerGroup) remove(w *worker) {
	if w.bucket < 0 {
		return
	}
	list := g.buckets[w.bucket]
	last := list[len(list)-1]
	list[w.bucketPos], last.bucketPos = last, w.bucketPos
	list[len(list)-1] = nil
	g.buckets[w.bucket] = list[:len(list)-1]
	if len(list) == 1 {
		g.nonEmpty[w.bucket/64] &^= 1 << (w.bucket % 64)
	}
	w.bucket = -1
}

// update moves the worker to the bucket that matches its free processors.
func (g *workerGroup) update(w *worker) {
	if w.bucket < 0 {
		return
	}
	if b := g.bucketOf(w.free); b != w.bucket {
		g.remove(w)
		g.insert(w)
	}
}

// nextBucket returns the first non-empty bucket at or after b, or -1.
func (g *workerGroup) nextBucket(b int) int {
	for i := b / 64; i < len(g.nonEmpty); i++ {
		word := g.nonEmpty[i]
		if i == b/64 {
			word &= ^uint64(0) << (b % 64)
		}
		if word != 0 {
			return i*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// find returns the worker with the least free memory among the first candidates
// of the smallest bucket that has a fitting worker, or nil if none fits.
func (g *workerGroup) find(j *job, need Size) *worker {
	if !need.Fits(g.Capacity) || g.failedSearches.covers(need) {
		return nil
	}
	for b := g.nextBucket(need.MilliCores / milliPerCore); b >= 0; b = g.nextBucket(b + 1) {
		var best *worker
		candidates := 0
		for _, w := range g.buckets[b] {
			if !w.accepts(j, need) {
				continue
			}
			if best == nil || w.free.MemoryMB < best.free.MemoryMB {
				best = w
			}
			if candidates++; candidates == maxFitCandidates {
				break
			}
		}
		if best != nil {
			return best
		}
		if b+1 >= len(g.buckets) {
			break
		}
	}
	if len(j.avoidWorkers) == 0 {
		g.failedSearches.add(need)
	}
	return nil
}
