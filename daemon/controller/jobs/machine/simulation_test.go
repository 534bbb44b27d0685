package machine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

const (
	simDefaultSeeds = 150
	simJobs         = 12
	simWorkers      = 3
	simCores        = 16
	simTaskLease    = 2 * time.Second
	simTimeout      = 2 * time.Second
	simFaultsEnd    = 20 * time.Second // after the start; later calls are answered soon
	simEnd          = 5 * time.Minute
)

// Several holders that all believe to hold the pool's lease, whose calls are
// delayed, lost or executed after their timeout, and which are paused and
// replaced, must neither complete a job twice nor lose one. Guards against a run
// that is given up while a call of another holder, or a late one, can still start
// it, or that has ended as done. SIM_SEEDS and SIM_FIRST choose the seeds.
func TestOverlappingHoldersSimulation(t *testing.T) {
	first, seeds := simEnv("SIM_FIRST", 1), simEnv("SIM_SEEDS", simDefaultSeeds)
	for seed := first; seed < first+seeds; seed++ {
		s := newSimulation(seed)
		if finding := s.run(); finding != "" {
			t.Errorf("seed %d: %s", seed, finding)
		}
	}
}

func simEnv(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// simulation runs machines against a table and workers in virtual time.
type simulation struct {
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   simEvents
	sequence int // of the last event
	version  uint64
	rows     map[string]structs.Job
	work     map[string]time.Duration // run time of each job
	runs     []*simRun
	highest  map[string]uint64 // by job: highest token that the workers have seen
	holders  []*simHolder
	lease    uint64 // last lease token
	trace    []string
}

type simHolder struct {
	m           *Machine
	id          string
	token       uint64
	pausedUntil time.Time
	replaced    bool
}

type simRun struct {
	call             Call
	started, stopped time.Time
	failed, leaseEnd time.Time
	checkpoint       time.Duration
	work             time.Duration
}

// state returns the state of the run, which ends with the earliest of its causes.
func (r *simRun) state(now time.Time) RunState {
	state, end := RunRunning, now
	for _, cause := range []struct {
		state RunState
		at    time.Time
	}{{RunExpired, r.leaseEnd}, {RunStopped, r.stopped}, {RunDone, r.started.Add(r.work - r.call.Progress)}, {RunFailed, r.failed}} {
		if !cause.at.IsZero() && !cause.at.After(end) {
			state, end = cause.state, cause.at
		}
	}
	return state
}

func (r *simRun) report(now time.Time) Run {
	return Run{Job: r.call.Job, Token: r.call.Token, State: r.state(now), Ran: now.Sub(r.started), Checkpoint: r.checkpoint}
}

type simEvent struct {
	at       time.Time
	sequence int
	f        func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSimulation(seed uint64) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 5)), start: start, now: start, rows: map[string]structs.Job{},
		work: map[string]time.Duration{}, highest: map[string]uint64{},
	}
	for i := range simJobs {
		id := fmt.Sprintf("j%02d", i)
		s.version++
		class := []structs.Class{structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch}[s.random.IntN(3)]
		s.rows[id] = structs.Job{Version: s.version, State: structs.JobQueued, Submitted: start, Spec: structs.JobSpec{
			ID: id, Team: "t", Kind: "k", Class: class, Pool: "p", MilliCores: 1000 * (2 + s.random.IntN(9)), MemoryMB: 1000,
			RunTime: time.Second, Checkpoints: s.random.IntN(2) == 0, Attempts: 100,
		}}
		s.work[id] = time.Duration(50+s.random.IntN(3000)) * time.Millisecond
	}
	for range 2 {
		s.addHolder()
	}
	return s
}

func (s *simulation) at(delay time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now.Add(delay), s.sequence, f})
}

func (s *simulation) log(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%v ", s.now.Sub(s.start))+fmt.Sprintf(format, args...))
}

func (s *simulation) healthy() bool { return s.now.Sub(s.start) > simFaultsEnd }

// run runs the simulation until all jobs have ended and returns what is wrong.
func (s *simulation) run() string {
	s.at(0, s.injectFault)
	for len(s.events) > 0 && s.now.Sub(s.start) < simEnd && !s.ended() {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.f()
	}
	s.now = s.now.Add(time.Hour) // runs that go on end as done, or with their lease
	for i := range simJobs {
		id := fmt.Sprintf("j%02d", i)
		var done []uint64
		for _, r := range s.runs {
			if r.call.Job == id && r.state(s.now) == RunDone {
				done = append(done, r.call.Token)
			}
		}
		row := s.rows[id]
		switch {
		case len(done) > 1:
			return fmt.Sprintf("job %s was completed under the tokens %x", id, done)
		case !row.State.Ended():
			return fmt.Sprintf("job %s has not ended: %s on %s, token %x", id, row.State, row.Worker, row.Token)
		case len(done) == 1 && (row.State != structs.JobDone || row.Token != done[0]):
			return fmt.Sprintf("job %s was completed under token %x, but its row is %s, token %x (%s)", id, done[0], row.State, row.Token, row.Reason)
		case len(done) == 0 && row.State != structs.JobCancelled:
			return fmt.Sprintf("job %s is %s, but no run was completed (%s)", id, row.State, row.Reason)
		}
	}
	return ""
}

func (s *simulation) ended() bool {
	for _, j := range s.rows {
		if !j.State.Ended() {
			return false
		}
	}
	return s.healthy()
}

// addHolder starts a holder under the next lease token.
func (s *simulation) addHolder() {
	s.lease++
	h := &simHolder{id: fmt.Sprintf("c%d", s.lease), token: s.lease}
	h.m = New(Config{ID: h.id, TaskLease: simTaskLease, ScanInterval: 100 * time.Millisecond, UsageInterval: 100 * time.Millisecond,
		RetryDelay: 50 * time.Millisecond, MaxStarts: 64, MaxAttempts: 100})
	s.holders = append(s.holders, h)
	s.deliver(h, ConfigUpdated{&structs.Config{Generation: 1}})
	s.deliver(h, FleetUpdated{s.fleet(-1)})
	s.at(0, func() { s.tick(h) })
}

func (s *simulation) tick(h *simHolder) {
	if !h.replaced {
		s.deliver(h, Tick{})
		s.at(100*time.Millisecond, func() { s.tick(h) })
	}
}

// fleet returns the fleet with one draining worker, or none.
func (s *simulation) fleet(draining int) *structs.FleetView {
	v := &structs.FleetView{ReadAt: s.now}
	for i := range simWorkers {
		id := fmt.Sprintf("w%d", i)
		o := structs.Owner{VM: id, Pool: "p", State: structs.OwnerActive}
		if i == draining {
			o.State = structs.OwnerDraining
		}
		v.VMs = append(v.VMs, structs.VM{ID: id, State: structs.VMLive, Cores: simCores, MemoryMB: 32000})
		v.Owners = append(v.Owners, o)
	}
	return v
}

func (s *simulation) injectFault() {
	for _, h := range s.holders {
		switch {
		case h.replaced:
		case s.healthy():
			s.deliver(h, FleetUpdated{s.fleet(-1)})
		case s.random.IntN(3) == 0:
			s.deliver(h, FleetUpdated{s.fleet(s.random.IntN(2*simWorkers) - simWorkers)})
		case s.random.IntN(8) == 0:
			h.pausedUntil = s.now.Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)
		case s.random.IntN(12) == 0:
			h.replaced = true
			s.at(0, s.addHolder)
		}
	}
	if s.healthy() {
		return
	}
	if worker := fmt.Sprintf("w%d", s.random.IntN(10)); worker < fmt.Sprintf("w%d", simWorkers) {
		for _, r := range s.runs {
			if r.call.Worker == worker && r.state(s.now) == RunRunning {
				r.failed = s.now
			}
		}
	}
	if id := fmt.Sprintf("j%02d", s.random.IntN(6*simJobs)); s.rows[id].Version > 0 {
		s.cancel(id)
	}
	s.at(time.Duration(100+s.random.IntN(900))*time.Millisecond, s.injectFault)
}

// cancel cancels a job as the API does.
func (s *simulation) cancel(id string) {
	j := s.rows[id]
	if j.State.Ended() || j.Cancel {
		return
	}
	s.version++
	j.Cancel, j.Version = true, s.version
	if j.State == structs.JobQueued {
		j.State = structs.JobCancelled
	}
	s.rows[id] = j
	s.log("cancel %s: %s", id, j.State)
}

// deliver passes an event to a holder, after its pause.
func (s *simulation) deliver(h *simHolder, e Event) {
	if h.replaced {
		return
	}
	if s.now.Before(h.pausedUntil) {
		s.at(h.pausedUntil.Sub(s.now), func() { s.deliver(h, e) })
		return
	}
	for _, a := range h.m.Step(s.now, e) {
		s.perform(h, a)
	}
}

// perform executes an action after a delay, which can be longer than the timeout,
// or not at all, and delivers its result, or the result of a timeout.
func (s *simulation) perform(h *simHolder, a Action) {
	sent := s.now
	request, response := s.delay(), s.delay()
	lost := !s.healthy() && s.random.IntN(20) == 0
	answered := false
	result := func(e Event) {
		if !answered {
			answered = true
			s.log("%s %T %+v", h.id, e, brief(e))
			s.deliver(h, e)
		}
	}
	if !s.healthy() && s.random.IntN(20) == 0 { // certainly not executed
		s.at(request, func() { result(s.failure(a, sent, OutcomeNotApplied)) })
		return
	}
	s.at(request, func() {
		e := s.execute(h, a, sent)
		if !lost {
			s.at(response, func() { result(e) })
		}
	})
	s.at(simTimeout, func() { result(s.failure(a, sent, OutcomeUnknown)) })
}

func brief(e Event) any {
	switch e := e.(type) {
	case ScanResult, UsageResult:
		return ""
	case WriteResult:
		return fmt.Sprintf("%s v%d %s %s %x: %s v%d", e.Job.Spec.ID, e.Job.Version, e.Job.State, e.Job.Worker, e.Job.Token, e.Outcome, e.Version)
	case CallResult:
		return fmt.Sprintf("%s %s %s %x: %s %s", e.Call.Kind, e.Call.Job, e.Call.Worker, e.Call.Token, e.Outcome, e.Run.State)
	}
	return e
}

func (s *simulation) delay() time.Duration {
	switch n := s.random.IntN(100); {
	case s.healthy() || n < 60:
		return time.Duration(1+s.random.IntN(5)) * time.Millisecond
	case n < 90:
		return time.Duration(s.random.IntN(300)) * time.Millisecond
	default:
		return time.Duration(s.random.IntN(6000)) * time.Millisecond
	}
}

func (s *simulation) failure(a Action, sent time.Time, o Outcome) Event {
	switch a := a.(type) {
	case ReadJob:
		return ReadResult{ID: a.ID, Failed: true}
	case WriteJob:
		return WriteResult{Job: a.Job, Outcome: o}
	case ReadUsage:
		return UsageResult{Failed: true}
	case Call:
		return CallResult{Call: a, Sent: sent, Outcome: o}
	}
	return ScanResult{Failed: true}
}

func (s *simulation) execute(h *simHolder, a Action, sent time.Time) Event {
	switch a := a.(type) {
	case ReadJob:
		j := s.rows[a.ID]
		return ReadResult{ID: a.ID, Job: &j}
	case WriteJob:
		stored := s.rows[a.Job.Spec.ID]
		if stored.Version != a.Job.Version {
			return WriteResult{Job: a.Job, Outcome: OutcomeConflict}
		}
		s.version++
		stored = a.Job
		stored.Version = s.version
		s.rows[a.Job.Spec.ID] = stored
		s.log("row %s v%d: %s on %s token %x", a.Job.Spec.ID, stored.Version, stored.State, stored.Worker, stored.Token)
		return WriteResult{Job: a.Job, Outcome: OutcomeDone, Version: s.version}
	case ReadUsage:
		var out UsageResult
		for _, r := range s.runs {
			out.Runs = append(out.Runs, r.report(s.now))
		}
		return out
	case Call:
		run, outcome := s.callWorker(a)
		return CallResult{Call: a, Sent: sent, Run: run, Outcome: outcome}
	}
	s.version++
	out := ScanResult{Started: sent, Leases: []LeaseRow{{Pool: "p", Version: s.version, Holder: h.id, Token: h.token, Duration: 5 * time.Second}}}
	for i := range simJobs {
		out.Jobs = append(out.Jobs, s.rows[fmt.Sprintf("j%02d", i)])
	}
	return out
}

// callWorker executes a call as store.Workers specifies it.
func (s *simulation) callWorker(c Call) (Run, Outcome) {
	var r *simRun
	used := 0
	for _, other := range s.runs {
		if other.call.Job == c.Job && other.call.Token == c.Token {
			r = other
		}
		if other.call.Worker == c.Worker && other.state(s.now) == RunRunning {
			used += other.call.MilliCores
		}
	}
	if c.Kind == CallStart {
		switch {
		case r != nil:
			return r.report(s.now), OutcomeDone
		case c.Token <= s.highest[c.Job]:
			return Run{}, OutcomeFenced
		case used+c.MilliCores > simCores*1000:
			return Run{}, OutcomeNoCapacity
		}
		r = &simRun{call: c, started: s.now, leaseEnd: s.now.Add(c.Lease), checkpoint: c.Progress, work: s.work[c.Job]}
		s.highest[c.Job] = c.Token
		s.runs = append(s.runs, r)
		s.log("start %s on %s token %x", c.Job, c.Worker, c.Token)
		return r.report(s.now), OutcomeDone
	}
	if c.Token < s.highest[c.Job] {
		return Run{}, OutcomeFenced
	}
	if r == nil {
		if c.Kind == CallStop {
			s.highest[c.Job] = c.Token
		}
		return Run{}, OutcomeNotFound
	}
	if r.state(s.now) == RunRunning {
		switch c.Kind {
		case CallRenew:
			r.leaseEnd = s.now.Add(c.Lease)
		case CallCheckpoint:
			r.checkpoint = min(r.work, r.call.Progress+s.now.Sub(r.started))
			r.stopped = s.now
		case CallStop:
			r.stopped = s.now
		}
	}
	return r.report(s.now), OutcomeDone
}
