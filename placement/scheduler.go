package placement

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// job is the state of a job that has not ended.
type job struct {
	Job
	number      uint64 // order of submission
	team        *team
	queue       *queue
	need        Size // corrected size
	neededAt    time.Time
	queued      bool
	ticket      int
	attempts    int // runs that failed or were lost
	preemptions int
	failedOn    []*worker // not used for the job until avoidUntil
	avoidUntil  time.Time
	progress    time.Duration
	order       []*group
	orderedAt   time.Time

	token   uint64
	worker  *worker // set while the job holds resources
	alloc   Size
	expires time.Time
	run     runState

	hold      *worker // the worker where room is made for the job
	holdUntil time.Time
}

// runState is what is known about the current run of a job.
type runState struct {
	batch     bool // may be stopped for urgent work; counted in worker.batch
	throttled Size // taken away by a throttle
	throttle  bool // a throttle was ordered and is not confirmed
	saving    bool // a checkpoint was ordered
	stopping  bool // a stop was ordered
	cancelled bool
}

// Scheduler places jobs. It is used from one goroutine.
type Scheduler struct {
	opt     Options
	learn   *Corrections
	groups  []*group
	compact []*group // groups in the order of PolicyCompact
	workers []*worker
	byID    map[string]*worker
	total   Size
	teams   map[string]*team
	jobs    map[string]*job
	active  []*queue
	held    []*job
	order   order // of the current pass

	number, token uint64
	gain          gain
	sweep         bool      // Place looks at all queues, for jobs whose wait changed their standing
	learnedAt     time.Time // when sizes and orders of types were last renewed
	quarantined   int
	cursor        int       // where the search for room starts
	noRoom        fullSizes // sizes for which no batch work can give way
	timers        timers
	out           []Command
}

// New returns a scheduler. Tokens are greater than lastToken, which a new
// holder of the pool's lease reads from the job rows.
func New(opt Options, lastToken uint64) *Scheduler {
	return &Scheduler{
		opt: opt.withDefaults(), learn: newCorrections(), token: lastToken,
		byID: map[string]*worker{}, teams: map[string]*team{}, jobs: map[string]*job{},
	}
}

// SetTeam adds or changes a team. A team that was never set has weight 1 and
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

// AddWorker adds an empty worker. It has no effect if the worker is known.
func (s *Scheduler) AddWorker(id string, t WorkerType) {
	if s.byID[id] != nil {
		return
	}
	g := s.group(t)
	w := &worker{id: id, kind: g, free: g.Capacity}
	s.byID[id] = w
	s.workers = append(s.workers, w)
	s.total = s.total.Plus(g.Capacity)
	g.count++
	s.enter(w)
}

func (s *Scheduler) group(t WorkerType) *group {
	for _, g := range s.groups {
		if g.WorkerType == t {
			return g
		}
	}
	g := newGroup(t)
	s.groups = append(s.groups, g)
	s.compact = sortCompact(s.groups)
	return g
}

// enter puts a worker into the index.
func (s *Scheduler) enter(w *worker) {
	w.kind.insert(w)
	s.freed(w)
}

// freed notes that a worker has more room: searches that failed for lack of
// it are made again.
func (s *Scheduler) freed(w *worker) {
	w.kind.full.released(w.free)
	s.moreBatch(w)
}

// moreBatch notes that more work of a worker can give way to urgent work.
func (s *Scheduler) moreBatch(w *worker) {
	s.noRoom.released(w.free.Plus(w.batch))
	s.gain.note(w)
}

// RemoveWorker takes a worker that left the fleet out of use. Its tasks keep
// their leases: they are queued again when these have expired, because until
// then the worker may still run them.
func (s *Scheduler) RemoveWorker(id string) {
	w := s.byID[id]
	if w == nil {
		return
	}
	delete(s.byID, id)
	for i, other := range s.workers {
		if other == w {
			s.workers = append(s.workers[:i], s.workers[i+1:]...)
			break
		}
	}
	w.gone = true
	w.kind.remove(w)
	w.kind.count--
	s.total = s.total.Minus(w.kind.Capacity)
}

// Submit queues a job, or returns a *RefusalError if it can never run.
func (s *Scheduler) Submit(j Job, now time.Time) error {
	if s.jobs[j.ID] != nil {
		return &RefusalError{Job: j.ID, Reason: "a job with this identifier has not ended"}
	}
	if reason := s.impossible(&j); reason != "" {
		return &RefusalError{Job: j.ID, Reason: reason}
	}
	if j.Submitted.IsZero() {
		j.Submitted = now
	}
	if j.Attempts <= 0 {
		j.Attempts = s.opt.Attempts
	}
	t := s.team(j.Team)
	s.number++
	state := &job{Job: j, number: s.number, team: t, queue: &t.queues[levelOf(j.Class)]}
	s.jobs[j.ID] = state
	s.enqueue(state)
	return nil
}

// impossible says why no worker can ever run the job, or "".
func (s *Scheduler) impossible(j *Job) string {
	if j.Size.MilliCores <= 0 || j.Size.MemoryMB <= 0 || j.Size.Accelerators < 0 {
		return fmt.Sprintf("declared size of %v is not positive", j.Size)
	}
	var most Size
	known := false
	for _, g := range s.groups {
		if g.count == 0 {
			continue
		}
		if j.Size.Fits(g.Capacity) {
			return ""
		}
		known = true
		most = most.atLeast(g.Capacity)
	}
	switch {
	case !known:
		return "" // no fleet is known yet
	case j.Size.MilliCores > most.MilliCores:
		return fmt.Sprintf("needs %d millicores, the largest worker has %d", j.Size.MilliCores, most.MilliCores)
	case j.Size.MemoryMB > most.MemoryMB:
		return fmt.Sprintf("needs %d MB of memory, the largest worker has %d", j.Size.MemoryMB, most.MemoryMB)
	case j.Size.Accelerators > most.Accelerators:
		return fmt.Sprintf("needs %d accelerators, the largest worker has %d", j.Size.Accelerators, most.Accelerators)
	}
	return fmt.Sprintf("no type of worker has %d millicores, %d MB and %d accelerators together",
		j.Size.MilliCores, j.Size.MemoryMB, j.Size.Accelerators)
}

func (s *Scheduler) enqueue(j *job) {
	j.queue.push(j)
	if !j.queue.active {
		j.queue.active = true
		s.active = append(s.active, j.queue)
	}
}

// Place starts at most limit jobs and returns all commands since the last
// call. It also handles leases and quarantines that have ended by now.
func (s *Scheduler) Place(now time.Time, limit int) []Command {
	s.expire(now)
	if now.Sub(s.learnedAt) >= rankLifetime {
		s.learnedAt = now
		s.sweep = true
	}
	started := s.startHeld(now, limit)
	for pass := range s.passes() {
		started += s.servePass(now, pass, limit-started)
	}
	s.gain.reset()
	s.sweep = false
	out := s.out
	s.out = nil
	return out
}

// serve starts one of the first waiting jobs of a queue.
func (s *Scheduler) serve(q *queue, now time.Time, pass int) bool {
	last := pass == s.passes()-1
	tried := 0
	for i, e := range q.jobs {
		if !e.alive() {
			continue
		}
		j := e.job
		need := s.need(j)
		q.needs[tried] = need
		if w := s.find(j, need, pass); w != nil {
			q.drop(i)
			s.start(j, w, now)
			return true
		}
		if last && j.hold == nil {
			s.blocked(j, now)
		}
		if tried++; tried == backfill {
			break
		}
	}
	q.tried = tried
	return false
}

// need returns the corrected size, at most that of the largest worker that
// the declared size fits: a wrong correction must not make a job impossible.
func (s *Scheduler) need(j *job) Size {
	if j.need != (Size{}) && j.neededAt == s.learnedAt {
		return j.need
	}
	// For good, a job that fits few workers would run out of them.
	if !j.avoidUntil.After(s.learnedAt) {
		j.failedOn = nil
	}
	need := s.learn.Size(&j.Job)
	if s.opt.Declared {
		need = need.atLeast(j.Size)
	}
	fits := false
	var most Size
	for _, g := range s.groups {
		if j.Size.Fits(g.Capacity) {
			fits = fits || need.Fits(g.Capacity)
			most = g.Capacity
		}
	}
	if !fits && most != (Size{}) {
		need = need.cap(most)
	}
	j.need, j.neededAt = need, s.learnedAt
	return need
}

func (s *Scheduler) start(j *job, w *worker, now time.Time) {
	s.dropHold(j)
	j.queued = false
	s.token++
	j.token = s.token
	s.occupy(j, w, j.need)
	j.expires = now.Add(s.opt.Lease)
	heap.Push(&s.timers, timer{at: j.expires, job: j, token: j.token})
	s.send(CommandStart, j, "")
}

// occupy gives a job resources of a worker.
func (s *Scheduler) occupy(j *job, w *worker, size Size) {
	j.worker, j.alloc = w, size
	j.run = runState{batch: levelOf(j.Class) == levelBatch && j.preemptions < s.opt.Preemptions}
	w.free = w.free.Minus(size)
	w.tasks = append(w.tasks, j)
	if j.run.batch {
		w.batch = w.batch.Plus(size)
		s.moreBatch(w)
	}
	w.kind.update(w)
	j.team.running++
	j.team.use = j.team.use.Plus(size)
}

func (s *Scheduler) send(kind CommandKind, j *job, reason string) {
	c := Command{Kind: kind, Job: j.ID, Token: j.token, Size: j.alloc, Expires: j.expires, Progress: j.progress, Reason: reason}
	if j.worker != nil {
		c.Worker = j.worker.id
	}
	s.out = append(s.out, c)
}

// Waiting returns the number of jobs that have not started or wait again.
func (s *Scheduler) Waiting() int { return len(s.jobs) - s.Running() }

// Running returns the number of jobs that hold resources.
func (s *Scheduler) Running() int {
	n := 0
	for _, t := range s.teams {
		n += t.running
	}
	return n
}

// Quarantined returns the number of workers in quarantine.
func (s *Scheduler) Quarantined() int { return s.quarantined }
