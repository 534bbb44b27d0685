package placement

import (
	"container/heap"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// backfill is how many waiting jobs of a queue are tried when the first does
// not fit. A large job that is passed over for long gets a reservation.
const backfill = 8

// Levels of urgency; a lower level goes first.
const (
	levelUrgent = iota
	levelStandard
	levelBatch
	levels
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

// queue holds the waiting jobs of one team and class, oldest first. Jobs that
// started or were cancelled stay in the slice until the front passes them or
// they are the majority.
type queue struct {
	team    *team
	level   int
	jobs    []waiting
	dead    int
	active  bool           // in the scheduler's list of queues
	fresh   bool           // the jobs to try may have changed since it was last served
	blocked bool           // nothing fitted when it was last served
	needs   [backfill]Size // of the jobs tried then
	tried   int

	// What the queue is ordered by in a pass.
	rank  int
	share float64
	first uint64
}

// waiting is a place in a queue. It is dead once the job has left it, even if
// the job is queued again later.
type waiting struct {
	job    *job
	ticket int
}

func (w waiting) alive() bool { return w.job.queued && w.job.ticket == w.ticket }

type team struct {
	structs.Team
	queues  [levels]queue
	running int
	use     Size
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

// push adds a job in order of submission: a job that is queued again goes
// before younger ones.
func (q *queue) push(j *job) {
	i := len(q.jobs)
	for i > 0 && q.jobs[i-1].job.Submitted.After(j.Submitted) {
		i--
	}
	j.queued = true
	q.fresh = q.fresh || i-q.dead < backfill
	j.ticket++
	q.jobs = slices.Insert(q.jobs, i, waiting{j, j.ticket})
}

// head returns the oldest waiting job, or nil.
func (q *queue) head() *job {
	q.trim()
	if len(q.jobs) == 0 {
		return nil
	}
	return q.jobs[0].job
}

func (q *queue) trim() {
	if q.dead > len(q.jobs)/2 {
		q.jobs = slices.DeleteFunc(q.jobs, func(w waiting) bool { return !w.alive() })
		q.dead = 0
	}
	for len(q.jobs) > 0 && !q.jobs[0].alive() {
		q.jobs[0] = waiting{}
		q.jobs = q.jobs[1:]
		q.dead--
	}
}

// take marks a job as no longer waiting.
func (q *queue) take(j *job) {
	j.queued, q.fresh = false, true
	q.dead++
}

// drop removes the job at a position near the front.
func (q *queue) drop(i int) {
	copy(q.jobs[1:i+1], q.jobs[:i])
	q.jobs[0] = waiting{}
	q.jobs = q.jobs[1:]
}

// urgency returns the queue's level at the given time: waiting raises a job
// by one level for each step.
func (q *queue) urgency(head *job, now time.Time, step time.Duration) int {
	return max(0, q.level-int(now.Sub(head.Submitted)/step))
}

// order is the heap of the queues that one pass serves: the most urgent first,
// then that of the team with the least use for its weight, then the oldest.
type order []*queue

func (o order) Len() int { return len(o) }
func (o order) Less(i, j int) bool {
	a, b := o[i], o[j]
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.share != b.share {
		return a.share < b.share
	}
	return a.first < b.first
}
func (o order) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o *order) Push(x any)   { *o = append(*o, x.(*queue)) }
func (o *order) Pop() any {
	old := *o
	q := old[len(old)-1]
	*o = old[:len(old)-1]
	return q
}

// collect returns the queues to serve in a pass. It leaves out those that
// found no room since a worker last had more of it, and drops empty ones from
// the active list.
func (s *Scheduler) collect(now time.Time) *order {
	s.gain.renew()
	o := s.order[:0]
	kept := s.active[:0]
	for _, q := range s.active {
		if s.hopeless(q) {
			kept = append(kept, q)
			continue
		}
		if !s.rank(q, now) {
			q.active = false
			continue
		}
		kept = append(kept, q)
		if q.team.overQuota() {
			q.blocked = false // it may miss room that is gained until the team is below its quota
			continue
		}
		o = append(o, q)
	}
	clear(s.active[len(kept):])
	s.active, s.order = kept, o
	heap.Init(&s.order)
	return &s.order
}

// hopeless reports whether serving the queue is known to start nothing:
// nothing fitted when it was last served, and no worker that has more room
// since then has enough for the jobs that were tried.
func (s *Scheduler) hopeless(q *queue) bool {
	if !q.blocked || q.fresh || s.sweep || s.gain.all {
		return false
	}
	room := s.gain.free
	if q.level == levelUrgent {
		room = s.gain.room
	}
	for _, need := range q.needs[:q.tried] {
		if need.Fits(room) {
			return false
		}
	}
	return true
}

// prune takes hopeless queues out of a pass after starts have used up room.
func (s *Scheduler) prune() {
	s.gain.renew()
	s.order = slices.DeleteFunc(s.order, s.hopeless)
	heap.Init(&s.order)
}

// rank renews what a queue is ordered by. It returns false if no job waits.
func (s *Scheduler) rank(q *queue, now time.Time) bool {
	head := q.head()
	if head == nil {
		return false
	}
	q.rank = q.urgency(head, now, s.opt.AgeStep)
	q.share = dominant(q.team.use, s.total) / q.team.Weight
	q.first = head.number
	return true
}

// servePass starts jobs of the queues in order until limit or until nothing
// more fits. It returns the number of jobs started.
func (s *Scheduler) servePass(now time.Time, pass, limit int) int {
	started, renewed := 0, 0
	last := pass == s.passes()-1
	o := s.collect(now)
	for o.Len() > 0 && started < limit {
		q := (*o)[0]
		share := q.share
		switch {
		case q.team.overQuota() || !s.rank(q, now):
			q.blocked = false
			heap.Pop(o)
		case q.share > share: // another queue of the team was served
			heap.Fix(o, 0)
		case s.serve(q, now, pass):
			started++
			if s.rank(q, now) {
				heap.Fix(o, 0)
			} else {
				heap.Pop(o)
			}
		default:
			if last {
				q.blocked, q.fresh = true, false
			}
			heap.Pop(o)
			if renewed < started {
				renewed = started
				s.prune()
			}
		}
	}
	for _, q := range *o { // not served because of the limit
		q.blocked = false
	}
	return started
}
