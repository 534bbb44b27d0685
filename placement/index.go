package placement

import "math/bits"

// worker is the state of one worker.
type worker struct {
	id          string
	kind        *group
	free        Size
	batch       Size // held by tasks that may be stopped for urgent work
	tasks       []*job
	held        *job // the only job that may start here
	gone        bool
	streak      int  // failures since the last success
	quarantines int  // in a row
	probation   bool // one task at a time until one succeeds
	bucket, pos int  // place in the group's index; bucket -1 means not in it
}

// accepts reports whether a job of the given size may start on the worker.
func (w *worker) accepts(j *job, need Size) bool {
	if !need.Fits(w.free) || (w.held != nil && w.held != j) || (w.probation && len(w.tasks) > 0) {
		return false
	}
	for _, avoid := range j.failedOn {
		if avoid == w {
			return false
		}
	}
	return true
}

// group holds the workers of one type, indexed by free whole processors. A
// bitmap marks the buckets that are not empty, so a search goes from the
// smallest sufficient bucket upwards and looks only at workers with enough
// processors.
type group struct {
	WorkerType
	buckets [][]*worker
	mask    []uint64 // bit b is set if bucket b is not empty
	count   int
	full    fullSizes
}

const (
	milli = 1000
	// Candidates of one bucket that are compared for the tightest memory fit.
	compared = 8
)

func newGroup(t WorkerType) *group {
	n := t.Capacity.MilliCores/milli + 1
	return &group{WorkerType: t, buckets: make([][]*worker, n), mask: make([]uint64, (n+63)/64)}
}

func (g *group) bucketOf(free Size) int {
	return min(max(free.MilliCores, 0)/milli, len(g.buckets)-1)
}

func (g *group) insert(w *worker) {
	b := g.bucketOf(w.free)
	w.bucket, w.pos = b, len(g.buckets[b])
	g.buckets[b] = append(g.buckets[b], w)
	g.mask[b/64] |= 1 << (b % 64)
}

func (g *group) remove(w *worker) {
	if w.bucket < 0 {
		return
	}
	list := g.buckets[w.bucket]
	last := list[len(list)-1]
	list[w.pos], last.pos = last, w.pos
	list[len(list)-1] = nil
	g.buckets[w.bucket] = list[:len(list)-1]
	if len(list) == 1 {
		g.mask[w.bucket/64] &^= 1 << (w.bucket % 64)
	}
	w.bucket = -1
}

// update moves the worker to the bucket of its free processors.
func (g *group) update(w *worker) {
	if w.bucket < 0 {
		return
	}
	if b := g.bucketOf(w.free); b != w.bucket {
		g.remove(w)
		g.insert(w)
	}
}

// nextBucket returns the first bucket from b on that is not empty, or -1.
func (g *group) nextBucket(b int) int {
	for i := b / 64; i < len(g.mask); i++ {
		word := g.mask[i]
		if i == b/64 {
			word &= ^uint64(0) << (b % 64)
		}
		if word != 0 {
			return i*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// find returns the worker whose free processors fit the need most tightly,
// with the least free memory among the first candidates of that bucket.
func (g *group) find(j *job, need Size) *worker {
	if !need.Fits(g.Capacity) || g.full.covers(need) {
		return nil
	}
	for b := g.nextBucket(need.MilliCores / milli); b >= 0; b = g.nextBucket(b + 1) {
		var best *worker
		seen := 0
		for _, w := range g.buckets[b] {
			if !w.accepts(j, need) {
				continue
			}
			if best == nil || w.free.MemoryMB < best.free.MemoryMB {
				best = w
			}
			if seen++; seen == compared {
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
	if len(j.failedOn) == 0 {
		g.full.note(need)
	}
	return nil
}
