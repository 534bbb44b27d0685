package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

const (
	simLease     = 1000 * time.Millisecond
	simOverrun   = 2 * time.Second
	simTrouble   = 14 * time.Second // faults and submissions end
	simEndOfDay  = 40 * time.Second
	simCallLimit = 600 * time.Millisecond
)

var simStart = time.Unix(1_000_000, 0)

// simStore holds what owners share: the lease, progress, and the load row.
type simStore struct {
	version, lease, order, token uint64 // versions of the newest write, the lease row and the order row
	holder                       int
	changed                      time.Duration
	progress                     map[string]workload.Progress
	engaged                      []EngagedWorker
	registered                   map[string]workload.Worker
	answerLost, late             float64
	down                         bool
}

type simWrite struct {
	lease, order uint64 // versions that the rows must have
	renews       bool
	batch        *Batch
}

func (s *simWorld) apply(w simWrite) bool {
	st := &s.store
	if w.lease != st.lease || w.order != st.order {
		return false
	}
	st.version++
	st.order = st.version
	if w.renews {
		st.lease, st.changed = st.version, s.now
	}
	if w.batch != nil {
		maps.Copy(st.progress, w.batch.Jobs)
		if w.batch.inLoadRow != nil {
			st.engaged = w.batch.Engaged
		}
	}
	return true
}

// simProcess claims the pool when its lease has lapsed.
type simProcess struct {
	world    *simWorld
	id       int
	up       bool
	cut      bool // from the store
	wallSkew time.Duration
	frozen   time.Duration // until then it does nothing
	owner    *simOwner
	claiming bool
}

// simOwner is one term of a process as the pool's owner, as node/pools runs it.
type simOwner struct {
	p                    *simProcess
	m                    *Scheduler
	token, lease, order  uint64
	taken                uint64
	until                time.Duration // end of the lease
	events               []Event
	writing              bool
	lastWrite, lastRenew time.Duration
	nextRetry            time.Duration
	over                 bool
	known, cancelled     map[string]bool
	hidden               map[string]bool // jobs of a queue that its configuration does not have yet
	wakeSeq              int
}

func (p *simProcess) reachesStore() bool { return p.up && !p.cut && !p.world.store.down }

func (p *simProcess) claim() {
	s := p.world
	s.after(50*time.Millisecond, p.claim)
	st := &s.store
	if !p.reachesStore() || s.now < p.frozen || p.owner != nil || p.claiming || s.now-st.changed < simLease+s.between(0, 300*time.Millisecond) {
		return
	}
	p.claiming = true
	seen, requested := st.lease, s.now
	s.after(s.between(2*time.Millisecond, 15*time.Millisecond), func() {
		p.claiming = false
		if !p.up || p.cut || st.down || st.lease != seen {
			return
		}
		st.version++
		st.token++
		st.lease, st.order, st.holder, st.changed = st.version, st.version, p.id, s.now
		if s.chance(st.answerLost) {
			return
		}
		s.trace("process %d claims with token %d", p.id, st.token)
		o := &simOwner{
			p: p, token: st.token, lease: st.lease, order: st.order, taken: st.lease, until: requested + simLease*7/8,
			known: map[string]bool{}, cancelled: map[string]bool{}, lastRenew: s.now,
		}
		p.owner = o
		s.after(s.between(10*time.Millisecond, 200*time.Millisecond), o.read)
	})
}

func (o *simOwner) read() {
	s := o.p.world
	if o.over {
		return
	}
	if !o.p.reachesStore() {
		s.after(300*time.Millisecond, o.read)
		return
	}
	o.m = New(simStart.Add(s.now), Config{
		Pool: "p", Token: o.token, Lease: simMaxLease, FormerLease: simMaxLease + simOverrun, KillGrace: 300 * time.Millisecond,
	}, s.store.engaged)
	queue := testQueue
	queue.MaxAttempts = 1000
	o.events = append(o.events, QueuesUpdated{Queues: []workload.Queue{queue}})
	if s.chance(0.3) {
		o.hidden = map[string]bool{}
		for i, id := range s.jobIDs {
			o.hidden[id] = i%3 == 0
		}
		s.after(s.between(500*time.Millisecond, 3*time.Second), o.reread)
	}
	for _, id := range s.jobIDs {
		if !o.hidden[id] {
			o.addJob(id, true)
		}
	}
	o.workersChanged()
	o.run()
}

// reread reads the jobs again because a queue was configured.
func (o *simOwner) reread() {
	s := o.p.world
	switch {
	case o.over:
		return
	case !o.p.reachesStore():
		s.after(300*time.Millisecond, o.reread)
		return
	}
	o.hidden = nil
	for _, id := range s.jobIDs {
		o.addJob(id, true)
	}
	o.run()
}

func (o *simOwner) find(ids []string) {
	ok := o.p.reachesStore()
	for _, id := range ids {
		if ok && o.p.world.jobs[id] != nil {
			delete(o.hidden, id)
			o.addJob(id, true)
		}
	}
	o.events = append(o.events, JobsSearched{IDs: ids, OK: ok})
	o.wakeAt(o.p.world.now + time.Millisecond)
}

func (o *simOwner) addJob(id string, read bool) {
	j := o.p.world.jobs[id]
	if !o.known[id] {
		o.known[id] = true
		e := JobAdded{Submission: j.submission, Recovered: j.version < o.taken && o.token > 1}
		if p, ok := o.p.world.store.progress[id]; ok && read {
			e.Progress = &p
		}
		o.events = append(o.events, e)
	}
	if j.cancelled && !o.cancelled[id] {
		o.cancelled[id] = true
		o.events = append(o.events, CancelRequested{Job: testKey(id)})
	}
}

func (o *simOwner) workersChanged() {
	var e WorkersUpdated
	newest := map[string]workload.Incarnation{}
	for _, id := range slices.Sorted(maps.Keys(o.p.world.store.registered)) {
		w := o.p.world.store.registered[id]
		e.Workers = append(e.Workers, w)
		newest[w.Machine] = w.Incarnation
	}
	o.events = append(o.events, e, MachinesRestarted{Newest: newest})
}

// feed delivers changes of the work table and the registrations to the owners.
func (s *simWorld) feed() {
	for _, p := range s.procs {
		s.after(s.between(5*time.Millisecond, 60*time.Millisecond), p.syncFeed)
	}
}

func (p *simProcess) syncFeed() {
	o := p.owner
	if o == nil || o.m == nil || !p.reachesStore() {
		return
	}
	for _, id := range p.world.jobIDs {
		if !o.hidden[id] {
			o.addJob(id, false)
		}
	}
	o.workersChanged()
	o.run()
}

func (s *simWorld) register(w workload.Worker) {
	s.store.registered[w.ID] = w
	s.feed()
}

func (o *simOwner) end(why string) {
	o.p.world.trace("process %d ends its term %d: %s", o.p.id, o.token, why)
	o.over = true
	if o.p.owner == o {
		o.p.owner = nil
	}
}

// run steps the scheduler and starts the writes that are due.
func (o *simOwner) run() {
	s := o.p.world
	if o.over || o.m == nil {
		return
	}
	if s.now < o.p.frozen {
		o.wakeAt(o.p.frozen)
		return
	}
	next := s.now + 100*time.Millisecond
	if s.now < o.until+simOverrun {
		events := o.events
		o.events = nil
		if s.now >= o.until {
			events, o.events = o.deferNewJobs(events)
		}
		o.m.SetLeaseValid(s.now < o.until)
		now := simStart.Add(s.now)
		for _, a := range o.m.Step(now, now.Add(o.p.wallSkew).UnixMilli(), events...) {
			o.execute(a)
			if o.over {
				return
			}
		}
		if at := o.m.Wake(); !at.IsZero() {
			next = min(next, at.Sub(simStart))
		}
	}
	o.write()
	o.wakeAt(max(next, s.now+time.Millisecond))
}

func (o *simOwner) wakeAt(at time.Duration) {
	o.wakeSeq++
	seq := o.wakeSeq
	o.p.world.after(at-o.p.world.now, func() {
		if o.wakeSeq == seq {
			o.run()
		}
	})
}

// deferNewJobs holds back new jobs while the lease is not valid.
func (o *simOwner) deferNewJobs(events []Event) (rest, deferred []Event) {
	jobs := map[workload.JobKey]bool{}
	for _, e := range events {
		switch e := e.(type) {
		case JobAdded:
			if !e.Recovered {
				jobs[e.Submission.Key()] = true
				deferred = append(deferred, e)
				continue
			}
		case CancelRequested:
			if jobs[e.Job] {
				deferred = append(deferred, e)
				continue
			}
		}
		rest = append(rest, e)
	}
	return rest, deferred
}

func (o *simOwner) write() {
	s := o.p.world
	if o.writing || s.now < o.nextRetry {
		return
	}
	w := simWrite{lease: o.lease, order: o.order, renews: s.now >= o.lastRenew+simLease/3}
	stepped := s.now < o.until+simOverrun
	due := o.m.LoadRowUrgent() || o.m.HasJobEnds() || o.m.Dirty() && s.now >= o.lastWrite+300*time.Millisecond
	if !w.renews && (!due || !stepped || s.now < o.lastWrite+25*time.Millisecond) {
		return
	}
	if stepped {
		w.batch = o.m.Collect(4, w.renews || o.m.LoadRowUrgent())
	}
	o.writing, o.lastWrite = true, s.now
	if w.renews {
		o.lastRenew = s.now
	}
	requested := s.now
	done := func(ok bool) func() {
		return func() { o.written(w, requested, ok) }
	}
	arrives, answers := s.between(2*time.Millisecond, 15*time.Millisecond), s.between(2*time.Millisecond, 15*time.Millisecond)
	unknown := s.between(30*time.Millisecond, 900*time.Millisecond)
	s.after(arrives, func() {
		st := &s.store
		switch {
		case !o.p.reachesStore():
			s.after(unknown, done(false))
		case s.chance(st.late):
			s.after(s.between(100*time.Millisecond, 4*time.Second), func() { s.apply(w) })
			s.after(unknown, done(false))
		case s.apply(w):
			if s.chance(st.answerLost) {
				s.after(unknown, done(false))
				return
			}
			version, order := st.lease, st.order
			s.after(answers, func() {
				o.lease, o.order = version, order
				done(true)()
			})
		case st.token != o.token:
			s.after(answers, func() {
				if !o.over {
					o.end("its write conflicts")
				}
			})
		default: // an earlier write took effect
			version, order := st.lease, st.order
			s.after(answers, func() {
				o.lease, o.order = version, order
				done(false)()
				o.nextRetry = 0
			})
		}
	})
}

func (o *simOwner) written(w simWrite, requested time.Duration, ok bool) {
	s := o.p.world
	o.writing = false
	if o.over {
		return
	}
	if !ok {
		o.nextRetry = s.now + 100*time.Millisecond
	} else if w.renews {
		o.until = requested + simLease*7/8
	}
	if w.batch != nil {
		o.events = append(o.events, Stored{Batch: w.batch, OK: ok})
	}
	o.run()
}

// call delivers an order to a worker. exec runs at the worker and passes its answer
// on; unanswered reports the result of a call without an answer.
func (o *simOwner) call(id string, limit time.Duration, exec func(w *simWorker, answer func(Event)), unanswered func(Result) Event) {
	s, p := o.p.world, o.p
	w := s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.worker.ID == id })]
	answered := false
	deliver := func(e Event) {
		if answered || o.over {
			return
		}
		answered = true
		o.events = append(o.events, e)
		o.wakeAt(s.now + time.Millisecond)
	}
	s.after(limit, func() { deliver(unanswered(Unknown)) })
	answer := func(e Event) {
		if w.cut[p.id] || s.chance(s.faults.answerLost) {
			return
		}
		s.after(s.between(time.Millisecond, 8*time.Millisecond), func() { deliver(e) })
	}
	s.after(s.between(time.Millisecond, 8*time.Millisecond), func() {
		switch {
		case w.cut[p.id] || s.chance(s.faults.lost):
		case !w.up:
			deliver(unanswered(NotDelivered))
		case s.chance(s.faults.late):
			born := w.worker.Born
			s.after(s.between(100*time.Millisecond, 4*time.Second), func() {
				if w.up && w.worker.Born == born {
					exec(w, func(Event) {})
				}
			})
		default:
			exec(w, answer)
		}
	})
}

func (o *simOwner) execute(a Action) {
	s := o.p.world
	sent := simStart.Add(s.now)
	switch a := a.(type) {
	case Hold:
		o.call(a.Incarnation.ID, simCallLimit+a.Wait, func(w *simWorker, answer func(Event)) {
			w.hold(a, func(r Result, report HoldReport) {
				answer(HoldAnswered{Worker: a.Incarnation, Sent: sent, Result: r, Report: report})
			})
		}, func(r Result) Event { return HoldAnswered{Worker: a.Incarnation, Sent: sent, Result: r} })
	case Start:
		reply := func(r Result) Event {
			return StartAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: r}
		}
		o.call(a.Incarnation.ID, simCallLimit, func(w *simWorker, answer func(Event)) { answer(reply(w.start(a))) }, reply)
	case Stop:
		reply := func(r Result) Event {
			return StopAnswered{Worker: a.Incarnation, Task: a.Task, Attempt: a.Attempt, Result: r}
		}
		o.call(a.Incarnation.ID, simCallLimit, func(w *simWorker, answer func(Event)) { answer(reply(w.stop(a))) }, reply)
	case FindJobs:
		s.after(s.between(5*time.Millisecond, 50*time.Millisecond), func() { o.find(a.IDs) })
	case Superseded:
		o.end("fenced by " + a.Worker)
	case Decision:
		s.trace("owner %d: %s %s%s run %d worker %s: %s", o.token, a.What, a.Job, a.Task, a.Attempt, a.Worker, a.Why)
	}
}
