package placement

import (
	"container/heap"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// backfillDepth is the number of jobs at the front of a queue that are tried
// until one fits. Backfilling does not starve a large job: it gets a reservation
// after Options.ReserveAfter.
const backfillDepth = 8

// Priority levels; a lower level goes first.
const (
	levelUrgent = iota
	levelStandard
	levelBatch
	levelCount
)

func levelOf(c structs.Class) int {
	switch c {
	case structs.ClassUrgent:
		return levelUrgent
	case structs.ClassBatch:
		return levelBatch
	}
	return levelStandard
}

// queue holds the waiting jobs of one team and class, oldest first. Entries of
// jobs that have left the queue are removed lazily: when they reach the front, or
// all at once when they are more than half.
type queue struct {
	team       *team
	level      int
	jobs       []queueEntry
	staleCount int                 // entries that are not current
	active     bool                // in the scheduler's list of queues
	changed    bool                // the first jobs may have changed since the queue was last served
	blocked    bool                // none of the tried jobs fitted when the queue was last served
	triedSizes [backfillDepth]Size // corrected sizes of the jobs tried then
	triedCount int

	// Sort keys of queueHeap.
	agedLevel     int
	weightedShare float64
	headSequence  uint64
}

// queueEntry is an entry of a queue. It is stale once the job has left the queue,
// even if the job is queued again later under a new generation.
type queueEntry struct {
	job        *job
	generation int
}

func (e queueEntry) current() bool { return e.job.queued && e.job.queueGeneration == e.generation }

type team struct {
	structs.Team
	queues  [levelCount]queue
	running int
	inUse   Size
}

func newTeam(t structs.Team) *team {
	if t.Weight <= 0 {
		t.Weight = 1
	}
	tm := &team{Team: t}
	for l := range tm.queues {
		tm.queues[l] = queue{team: tm, level: l}
	}
	return tm
}

func (t *team) overQuota() bool { return t.Jobs > 0 && t.running >= t.Jobs }

// push inserts a job by submission time, so that a job that is queued again
// precedes jobs that were submitted later.
func (q *queue) push(j *job) {
	i := len(q.jobs)
	for i > 0 && q.jobs[i-1].job.Submitted.After(j.Submitted) {
		i--
	}
	j.queued = true
	q.changed = q.changed || i-q.staleCount < backfillDepth
	j.queueGeneration++
	q.jobs = slices.Insert(q.jobs, i, queueEntry{j, j.queueGeneration})
}

// head returns the oldest waiting job, or nil.
func (q *queue) head() *job {
	q.dropStale()
	if len(q.jobs) == 0 {
		return nil
	}
	return q.jobs[0].job
}

func (q *queue) dropStale() {
	if q.staleCount > len(q.jobs)/2 {
		q.jobs = slices.DeleteFunc(q.jobs, func(e queueEntry) bool { return !e.current() })
		q.staleCount = 0
	}
	for len(q.jobs) > 0 && !q.jobs[0].current() {
		q.jobs[0] = queueEntry{}
		q.jobs = q.jobs[1:]
		q.staleCount--
	}
}

// markDequeued marks a job as no longer waiting. Its entry becomes stale.
func (q *queue) markDequeued(j *job) {
	j.queued, q.changed = false, true
	q.staleCount++
}

// removeAt removes the entry at index i. Its cost grows with i, so it is meant
// for entries near the front.
func (q *queue) removeAt(i int) {
	copy(q.jobs[1:i+1], q.jobs[:i])
	q.jobs[0] = queueEntry{}
	q.jobs = q.jobs[1:]
}

// levelAfterAging returns the priority level of the queue's first job: each
// interval of waiting raises it by one level.
func (q *queue) levelAfterAging(head *job, now time.Time, interval time.Duration) int {
	return max(0, q.level-int(now.Sub(head.Submitted)/interval))
}

// queueHeap is the priority queue of the queues that a pass serves. It orders by
// level after aging, then by the team's dominant share divided by its weight,
// then by the submission order of the first job.
type queueHeap []*queue

func (h queueHeap) Len() int { return len(h) }
func (h queueHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.agedLevel != b.agedLevel {
		return a.agedLevel < b.agedLevel
	}
	if a.weightedShare != b.weightedShare {
		return a.weightedShare < b.weightedShare
	}
	return a.headSequence < b.headSequence
}
func (h queueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *queueHeap) Push(x any)   { *h = append(*h, x.(*queue)) }
func (h *queueHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	*h = old[:len(old)-1]
	return q
}

// collectQueues returns the queues to serve in a pass. It omits queues for which
// cannotPlace holds and those of teams at their quota, and removes empty queues
// from the active list.
func (s *Scheduler) collectQueues(now time.Time) *queueHeap {
	s.freed.recompute()
	queues := s.passQueues[:0]
	kept := s.activeQueues[:0]
	for _, q := range s.activeQueues {
		if s.cannotPlace(q) {
			kept = append(kept, q)
			continue
		}
		if !s.updateSortKeys(q, now) {
			q.active = false
			continue
		}
		kept = append(kept, q)
		if q.team.overQuota() {
			q.blocked = false // it does not see capacity that is freed while the team is at its quota
			continue
		}
		queues = append(queues, q)
	}
	clear(s.activeQueues[len(kept):])
	s.activeQueues, s.passQueues = kept, queues
	heap.Init(&s.passQueues)
	return &s.passQueues
}

// cannotPlace reports whether serving the queue is known to start no job: none
// fitted when it was last served, and since then no worker has freed enough
// capacity for any of the jobs that were tried.
func (s *Scheduler) cannotPlace(q *queue) bool {
	if !q.blocked || q.changed || s.serveAll || s.freed.overflow {
		return false
	}
	available := s.freed.maxFree
	if q.level == levelUrgent {
		available = s.freed.maxReclaimable
	}
	for _, need := range q.triedSizes[:q.triedCount] {
		if need.Fits(available) {
			return false
		}
	}
	return true
}

// pruneUnplaceable removes the queues for which cannotPlace holds from the pass,
// after starts have used up freed capacity.
func (s *Scheduler) pruneUnplaceable() {
	s.freed.recompute()
	s.passQueues = slices.DeleteFunc(s.passQueues, s.cannotPlace)
	heap.Init(&s.passQueues)
}

// updateSortKeys recomputes the sort keys of a queue. It returns false if the
// queue is empty.
func (s *Scheduler) updateSortKeys(q *queue, now time.Time) bool {
	head := q.head()
	if head == nil {
		return false
	}
	q.agedLevel = q.levelAfterAging(head, now, s.opt.AgingInterval)
	q.weightedShare = dominantShare(q.team.inUse, s.total) / q.team.Weight
	q.headSequence = head.sequence
	return true
}

// servePass starts jobs in the order of queueHeap until limit jobs have started or
// no more fit. It returns the number of jobs started.
func (s *Scheduler) servePass(now time.Time, pass, limit int) int {
	started, startedAtPrune := 0, 0
	last := pass == s.passes()-1
	queues := s.collectQueues(now)
	for queues.Len() > 0 && started < limit {
		q := (*queues)[0]
		share := q.weightedShare
		switch {
		case q.team.overQuota() || !s.updateSortKeys(q, now):
			q.blocked = false
			heap.Pop(queues)
		case q.weightedShare > share: // the team's share grew because another of its queues was served
			heap.Fix(queues, 0)
		case s.serve(q, now, pass):
			started++
			if s.updateSortKeys(q, now) {
				heap.Fix(queues, 0)
			} else {
				heap.Pop(queues)
			}
		default:
			if last {
				q.blocked, q.changed = true, false
			}
			heap.Pop(queues)
			if startedAtPrune < started {
				startedAtPrune = started
				s.pruneUnplaceable()
			}
		}
	}
	for _, q := range *queues { // left over because the limit was reached
		q.blocked = false
	}
	return started
}
