package engine

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/workload"
)

// newSimWorld returns a pool of five workers that start and three processes that do not
// claim it yet.
func newSimWorld(seed uint64, trace func(string, ...any)) *simWorld {
	s := &simWorld{rng: rand.New(rand.NewPCG(seed, 1)), jobs: map[string]*simJob{}, runs: map[workload.TaskID][]*simRun{}, doneEnds: map[workload.TaskID][]*simEnd{}}
	s.trace = func(format string, args ...any) {
		if trace != nil {
			trace("%9s "+format, append([]any{s.now}, args...)...)
		}
	}
	s.store.progress, s.store.registered = map[string]workload.Progress{}, map[string]workload.Worker{}
	s.store.changed = -simLease
	s.faults.page = []int{500, 500, 3}[s.rng.IntN(3)]
	for i := range 5 {
		w := &simWorker{world: s, clockRate: 1 - 0.02*s.rng.Float64(), highest: map[workload.TaskID]int{}, cut: map[int]bool{}, registers: s.between(50*time.Millisecond, time.Second)}
		w.worker = newWorker(string(rune('a' + i))).Worker
		s.workers = append(s.workers, w)
		w.restart(0)
	}
	for i := range 3 {
		s.procs = append(s.procs, &simProcess{world: s, id: i, up: true, wallSkew: time.Duration(s.rng.IntN(3)) * s.between(-time.Second, time.Second)})
	}
	return s
}

// playOwners plays one day and returns what broke the rule.
func playOwners(seed uint64, trace func(string, ...any)) []string {
	s := newSimWorld(seed, trace)
	for _, p := range s.procs {
		s.after(s.between(0, 50*time.Millisecond), p.claim)
	}
	// Both owners are told of an end soon after the later one's first hold, while the
	// former one's hold waits.
	s.onFence = func(w *simWorker) {
		if s.chance(0.3) {
			s.after(s.between(0, 100*time.Millisecond), func() {
				if len(w.running) > 0 {
					w.end(w.running[s.rng.IntN(len(w.running))], EndFailed)
				}
			})
		}
	}
	s.planJobs()
	s.planTroubles()
	s.runUntil(simEndOfDay)
	return append(s.violations, s.findings()...)
}

// findings returns the repeated tasks and the jobs that did not end.
func (s *simWorld) findings() []string {
	var list []string
	for _, r := range s.repeats {
		if r.end.acked && !r.end.lapsed {
			list = append(list, r.start)
		}
	}
	for _, id := range s.jobIDs {
		j := s.jobs[id]
		if j.submission.Steps[0].LongRunning && !j.cancelled {
			for i := range j.submission.Steps[0].Count {
				if len(s.runs[workload.TaskID{Job: id, Index: i}]) == 0 {
					list = append(list, fmt.Sprintf("long-running task %s.0.0.%d does not run", id, i))
				}
			}
		} else if !s.store.progress[id].State.Ended() {
			list = append(list, fmt.Sprintf("job %s has not ended: %+v", id, s.store.progress[id]))
		}
	}
	return list
}

func (s *simWorld) planJobs() {
	for i := range 14 {
		id := fmt.Sprintf("j%d", i)
		s.after(s.between(0, simTrouble), func() {
			s.submit(id, s.randomJob(id))
			if s.chance(0.15) {
				s.after(s.between(0, 3*time.Second), func() { s.jobs[id].cancelled = true; s.feed() })
			}
		})
	}
}

func (s *simWorld) submit(id string, submission workload.Submission) {
	s.store.version++
	s.jobs[id] = &simJob{submission: submission, version: s.store.version}
	s.jobIDs = append(s.jobIDs, id)
	s.trace("job %s: %+v, repeat %+v", id, submission.Steps, submission.Repeat)
	s.feed()
}

func (s *simWorld) randomJob(id string) workload.Submission {
	step := func(count int, estimate time.Duration) workload.Step {
		return workload.Step{Count: count, Size: placement.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: estimate}
	}
	queue := testQueue
	queue.MaxAttempts = 1000
	j := workload.Submission{ID: id, Pool: "p", Queue: queue, Accepted: simStart.Add(s.now).UnixMilli()}
	switch s.rng.IntN(5) {
	case 0:
		j.Steps = []workload.Step{step(2, time.Second)}
		j.Steps[0].LongRunning, j.Steps[0].MaxPerWorker = true, 1
	case 1:
		j.Steps = []workload.Step{step(2+s.rng.IntN(2), 500*time.Millisecond)}
		j.Steps[0].Gang = true
	case 2:
		j.Steps = []workload.Step{step(1+s.rng.IntN(2), s.between(50*time.Millisecond, 2*time.Second))}
		j.Repeat = workload.Schedule{Count: 4, Start: simStart.Add(s.now).UnixMilli() + s.rng.Int64N(1500), Period: 50 + s.rng.Int64N(500)}
	default:
		j.Steps = []workload.Step{step(1+s.rng.IntN(6), s.between(20*time.Millisecond, 1500*time.Millisecond)), step(1+s.rng.IntN(4), s.between(20*time.Millisecond, time.Second))}
		j.Steps[1].After = []int{0}
	}
	return j
}

// planTroubles plans the faults of the day. Each ends by itself.
func (s *simWorld) planTroubles() {
	for range 4 + s.rng.IntN(16) {
		s.after(s.between(time.Second, simTrouble), s.trouble)
	}
	s.after(simTrouble+4*time.Second, func() {
		s.faults.lost, s.faults.answerLost, s.faults.late, s.store.answerLost, s.store.late = 0, 0, 0, 0, 0
	})
}

func (s *simWorld) trouble() {
	p, w, d := s.procs[s.rng.IntN(len(s.procs))], s.workers[s.rng.IntN(len(s.workers))], s.between(300*time.Millisecond, 5*time.Second)
	if s.chance(0.7) { // mostly at the owner
		p = s.procs[s.store.holder]
	}
	heal := func(fn func()) { s.after(d, func() { fn(); s.feed() }) }
	kind := s.rng.IntN(10)
	s.trace("trouble %d at process %d, worker %s, for %s", kind, p.id, w.worker.ID, d)
	switch kind {
	case 0:
		p.up = false
		if p.owner != nil {
			p.owner.end("killed")
		}
		heal(func() { p.up = true })
	case 1:
		p.frozen = s.now + d
	case 2:
		p.cut = true
		heal(func() { p.cut = false })
	case 3:
		for _, o := range s.workers {
			if o == w || s.chance(0.5) {
				o.cut[p.id] = true
				heal(func() { o.cut[p.id] = false })
			}
		}
	case 4: // some workers drop and return by turns
		for i := range 1 + s.rng.IntN(4) {
			worker := w
			if s.chance(0.5) {
				worker = s.workers[s.rng.IntN(len(s.workers))]
			}
			s.after(time.Duration(i)*d/4, func() { worker.restart(s.between(5*time.Millisecond, 2*time.Second)) })
		}
	case 5:
		s.faults.lost, s.faults.answerLost, s.faults.late = 0.1, 0.2, 0.1
		heal(func() { s.faults.lost, s.faults.answerLost, s.faults.late = 0, 0, 0 })
	case 6:
		s.store.answerLost, s.store.late = 0.3, 0.2
		heal(func() { s.store.answerLost, s.store.late = 0, 0 })
	case 7:
		s.store.down = true
		heal(func() { s.store.down = false })
	case 9: // a worker drains, leaves, and another takes its place
		if _, ok := s.store.registered[w.worker.ID]; ok && w.up {
			draining := w.worker
			draining.Draining, draining.Remaining = true, d
			s.register(draining)
			heal(func() { w.restart(time.Second) })
		}
	case 8: // a partition with some of the workers
		p.cut = true
		for _, o := range s.workers {
			side := s.chance(0.5)
			for _, other := range s.procs {
				if (other == p) != side {
					o.cut[other.id] = true
					heal(func() { o.cut[other.id] = false })
				}
			}
		}
		heal(func() { p.cut = false })
	}
}

// Successive and overlapping owners of a pool ran a task twice, or again after its
// end was acknowledged, or never. OWNER_DAYS sets the number of days, OWNER_FIRST
// the first seed, and OWNER_SEED plays one day with a trace.
func TestOwnersRunEachTaskOnce(t *testing.T) {
	number := func(name string, standard uint64) uint64 {
		text, ok := os.LookupEnv(name)
		if !ok {
			return standard
		}
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		return n
	}
	if _, ok := os.LookupEnv("OWNER_SEED"); ok {
		require.Empty(t, playOwners(number("OWNER_SEED", 0), t.Logf))
		return
	}
	first, days := number("OWNER_FIRST", 0), number("OWNER_DAYS", 100)
	failed := 0
	for seed := first; seed < first+days; seed++ {
		if found := playOwners(seed, nil); len(found) > 0 {
			failed++
			t.Errorf("seed %d: %d findings, first: %s", seed, len(found), found[0])
		}
	}
	t.Logf("%d of %d days failed", failed, days)
}
