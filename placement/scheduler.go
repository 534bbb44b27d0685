package placement

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// job is the state of a waiting or running job.
type job struct {
	Job
	sequence        uint64 // order in which jobs were added
	team            *team
	queue           *queue
	correctedSize   Size      // cached result of Scheduler.correctedSize
	correctedAt     time.Time // refreshedAt of the cached result
	queued          bool
	queueGeneration int
	failedRuns      int // runs that failed or whose lease expired
	preemptions     int
	avoidWorkers    []avoidance
	progress        time.Duration
	rankedGroups    []*workerGroup // cached result of Scheduler.rankedGroups
	rankedAt        time.Time      // refreshedAt of the cached result

	token   uint64
	worker  *worker // nil while the job waits
	alloc   Size
	expires time.Time
	run     runState

	reservedWorker  *worker   // nil if none is reserved
	reclaimDeadline time.Time // zero if no tasks have to release capacity
}

// runState is the state of the current run of a job.
type runState struct {
	preemptible       bool // may be preempted by an urgent job; counted in worker.preemptible
	throttledBy       Size // part of the allocation that a throttle has freed
	throttlePending   bool // a throttle was ordered and is not confirmed yet
	checkpointPending bool // a checkpoint was ordered
	stopPending       bool // a stop was ordered
	cancelled         bool
}

// Scheduler places jobs. It is not safe for concurrent use.
type Scheduler struct {
	opt          Options
	corrections  *Corrections
	groups       []*workerGroup
	compact      []*workerGroup // the groups in the order of PolicyCompact
	workers      []*worker
	workersByID  map[string]*worker
	total        Size
	teams        map[string]*team
	jobs         map[string]*job
	activeQueues []*queue
	reservations []*job
	passQueues   queueHeap // of the current pass

	lastSequence, lastToken uint64
	freed                   freedCapacity
	serveAll                bool      // this call of Place tries all queues, since refreshed sizes and waiting times may change the result
	refreshedAt             time.Time // start of the current refreshInterval; older sizes and rankings are recomputed
	quarantined             int
	reclaimCursor           int         // index of the worker at which reclaimFor starts
	failedReclaims          failedSizes // sizes for which no worker has enough preemptible capacity
	timers                  timerHeap
	commands                []Command
}

// New returns a scheduler. The tokens of its starts are greater than lastToken,
// which a new holder of the pool's lease determines from the job rows.
func New(opt Options, lastToken uint64) *Scheduler {
	return &Scheduler{
		opt: opt.withDefaults(), corrections: newCorrections(), lastToken: lastToken,
		workersByID: map[string]*worker{}, teams: map[string]*team{}, jobs: map[string]*job{},
	}
}

// SetTeam adds or changes a team. A team that has not been set has weight 1 and
// no quota.
func (s *Scheduler) SetTeam(t structs.Team) {
	tm := s.team(t.Name)
	tm.Team = t
	if tm.Weight <= 0 {
		tm.Weight = 1
	}
}

func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = newTeam(structs.Team{Name: name})
		s.teams[name] = t
	}
	return t
}

// AddWorker adds a worker without tasks. It does nothing if a worker with this
// ID exists.
func (s *Scheduler) AddWorker(id string, t WorkerType) {
	if s.workersByID[id] != nil {
		return
	}
	g := s.group(t)
	w := &worker{id: id, group: g, free: g.Capacity}
	s.workersByID[id] = w
	s.workers = append(s.workers, w)
	s.total = s.total.Plus(g.Capacity)
	g.workerCount++
	s.addToIndex(w)
}

func (s *Scheduler) group(t WorkerType) *workerGroup {
	for _, g := range s.groups {
		if g.WorkerType == t {
			return g
		}
	}
	g := newWorkerGroup(t)
	s.groups = append(s.groups, g)
	s.compact = sortByCapacity(s.groups)
	return g
}

// addToIndex makes a worker available to searches.
func (s *Scheduler) addToIndex(w *worker) {
	w.group.insert(w)
	s.noteFreed(w)
}

// noteFreed records that a worker has more free capacity, which may make failed
// searches succeed.
func (s *Scheduler) noteFreed(w *worker) {
	w.group.failedSearches.removeFitting(w.free)
	s.noteReclaimable(w)
}

// noteReclaimable records that a worker has more free or preemptible capacity.
func (s *Scheduler) noteReclaimable(w *worker) {
	s.failedReclaims.removeFitting(w.free.Plus(w.preemptible))
	s.freed.add(w)
}

// RemoveWorker removes a worker that has left the fleet. Its jobs are queued again
// only when their leases have expired, because until then the worker may still
// run them.
func (s *Scheduler) RemoveWorker(id string) {
	w := s.workersByID[id]
	if w == nil {
		return
	}
	delete(s.workersByID, id)
	for i, other := range s.workers {
		if other == w {
			s.workers = append(s.workers[:i], s.workers[i+1:]...)
			break
		}
	}
	w.removed = true
	w.group.remove(w)
	w.group.workerCount--
	s.total = s.total.Minus(w.group.Capacity)
}

// Submit queues a job, or returns a *RefusalError if it can never run.
func (s *Scheduler) Submit(j Job, now time.Time) error {
	if s.jobs[j.ID] != nil {
		return &RefusalError{Job: j.ID, Reason: "a job with this identifier has not ended"}
	}
	if reason := s.unplaceableReason(&j); reason != "" {
		return &RefusalError{Job: j.ID, Reason: reason}
	}
	if j.Submitted.IsZero() {
		j.Submitted = now
	}
	if j.MaxAttempts <= 0 {
		j.MaxAttempts = s.opt.MaxAttempts
	}
	t := s.team(j.Team)
	s.lastSequence++
	state := &job{Job: j, sequence: s.lastSequence, team: t, queue: &t.queues[levelOf(j.Class)]}
	s.jobs[j.ID] = state
	s.enqueue(state)
	return nil
}

// unplaceableReason returns why the job can never run, or "" if it may.
func (s *Scheduler) unplaceableReason(j *Job) string {
	if j.Size.MilliCores <= 0 || j.Size.MemoryMB <= 0 || j.Size.Accelerators < 0 {
		return fmt.Sprintf("declared size of %v is not positive", j.Size)
	}
	var largest Size
	known := false
	for _, g := range s.groups {
		if g.workerCount == 0 {
			continue
		}
		if j.Size.Fits(g.Capacity) {
			return ""
		}
		known = true
		largest = largest.componentMax(g.Capacity)
	}
	switch {
	case !known:
		return "" // no workers are known yet
	case j.Size.MilliCores > largest.MilliCores:
		return fmt.Sprintf("needs %d millicores, the largest worker has %d", j.Size.MilliCores, largest.MilliCores)
	case j.Size.MemoryMB > largest.MemoryMB:
		return fmt.Sprintf("needs %d MB of memory, the largest worker has %d", j.Size.MemoryMB, largest.MemoryMB)
	case j.Size.Accelerators > largest.Accelerators:
		return fmt.Sprintf("needs %d accelerators, the largest worker has %d", j.Size.Accelerators, largest.Accelerators)
	}
	return fmt.Sprintf("no type of worker has %d millicores, %d MB and %d accelerators together",
		j.Size.MilliCores, j.Size.MemoryMB, j.Size.Accelerators)
}

func (s *Scheduler) enqueue(j *job) {
	j.queue.push(j)
	if !j.queue.active {
		j.queue.active = true
		s.activeQueues = append(s.activeQueues, j.queue)
	}
}

// Place starts at most limit jobs and returns all commands since the last call.
// It first handles leases and quarantines that have ended.
func (s *Scheduler) Place(now time.Time, limit int) []Command {
	s.fireTimers(now)
	if now.Sub(s.refreshedAt) >= refreshInterval {
		s.refreshedAt = now
		s.serveAll = true
	}
	started := s.startReserved(now, limit)
	for pass := range s.passes() {
		started += s.servePass(now, pass, limit-started)
	}
	s.freed.reset()
	s.serveAll = false
	out := s.commands
	s.commands = nil
	return out
}

// serve starts the first job that fits among the first backfillDepth waiting jobs
// of a queue. It returns false if none fits.
func (s *Scheduler) serve(q *queue, now time.Time, pass int) bool {
	last := pass == s.passes()-1
	tried := 0
	for i, entry := range q.jobs {
		if !entry.current() {
			continue
		}
		j := entry.job
		need := s.correctedSize(j)
		q.triedSizes[tried] = need
		if w := s.findWorker(j, need, pass); w != nil {
			q.removeAt(i)
			s.start(j, w, now)
			return true
		}
		if last && j.reservedWorker == nil {
			s.handleUnplaced(j, now)
		}
		if tried++; tried == backfillDepth {
			break
		}
	}
	q.triedCount = tried
	return false
}

// correctedSize returns the job's corrected size. If that fits no worker type but
// the declared size does, it is cut to the capacity of a type that the declared
// size fits: a wrong correction must not make a job impossible to place.
func (s *Scheduler) correctedSize(j *job) Size {
	if j.correctedSize != (Size{}) && j.correctedAt == s.refreshedAt {
		return j.correctedSize
	}
	// Workers are avoided for a limited time: a job that fits only a few would
	// otherwise run out of them.
	j.endAvoidances(s.refreshedAt)
	need := s.corrections.Size(&j.Job)
	if s.opt.ReserveDeclaredSize {
		need = need.componentMax(j.Size)
	}
	fits := false
	var fitting Size
	for _, g := range s.groups {
		if j.Size.Fits(g.Capacity) {
			fits = fits || need.Fits(g.Capacity)
			fitting = g.Capacity
		}
	}
	if !fits && fitting != (Size{}) {
		need = need.componentMin(fitting)
	}
	j.correctedSize, j.correctedAt = need, s.refreshedAt
	return need
}

func (s *Scheduler) start(j *job, w *worker, now time.Time) {
	s.removeReservation(j)
	j.queued = false
	s.lastToken++
	j.token = s.lastToken
	s.occupy(j, w, j.correctedSize)
	j.expires = now.Add(s.opt.TaskLease)
	heap.Push(&s.timers, timer{at: j.expires, job: j, token: j.token})
	s.send(CommandStart, j, "")
}

// occupy allocates resources of a worker to a job.
func (s *Scheduler) occupy(j *job, w *worker, size Size) {
	j.worker, j.alloc = w, size
	j.run = runState{preemptible: levelOf(j.Class) == levelBatch && j.preemptions < s.opt.MaxPreemptions}
	w.free = w.free.Minus(size)
	w.tasks = append(w.tasks, j)
	if j.run.preemptible {
		w.preemptible = w.preemptible.Plus(size)
		s.noteReclaimable(w)
	}
	w.group.update(w)
	j.team.running++
	j.team.inUse = j.team.inUse.Plus(size)
}

func (s *Scheduler) send(kind CommandKind, j *job, reason string) {
	c := Command{Kind: kind, Job: j.ID, Token: j.token, Size: j.alloc, Expires: j.expires, Progress: j.progress, Reason: reason}
	if j.worker != nil {
		c.Worker = j.worker.id
	}
	s.commands = append(s.commands, c)
}

// Waiting returns the number of jobs in the queues.
func (s *Scheduler) Waiting() int { return len(s.jobs) - s.Running() }

// Running returns the number of jobs that hold resources of a worker.
func (s *Scheduler) Running() int {
	n := 0
	for _, t := range s.teams {
		n += t.running
	}
	return n
}

// Quarantined returns the number of workers in quarantine.
func (s *Scheduler) Quarantined() int { return s.quarantined }
