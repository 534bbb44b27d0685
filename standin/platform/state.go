package platform

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// class tells which faults and limits apply to a call.
type class int

const (
	control class = iota // no faults, no limits
	read
	write
	workerRead // workers have their own paths; the store's rates do not apply
	workerWrite
)

// changes reports whether calls of the class change something.
func (c class) changes() bool { return c == write || c == workerWrite }

// operation is a decoded call. apply runs on the state duty only.
type operation interface {
	apply(s *state) reply
}

// reply is what a handler sends back.
type reply struct {
	status int
	json   any    // encoded by the handler
	raw    []byte // body instead of json
	lose   bool   // close the connection without an answer
	delay  time.Duration
}

type call struct {
	class class
	op    operation
	reply chan reply // capacity 1
}

// Calls held while frozen; more are dropped without an answer.
const maxHeld = 16384

// Counts are totals since the start.
type Counts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	WorkerCalls int64 `json:"worker_calls"`
	Limited     int64 `json:"limited"` // refused by a rate limit
	Refused     int64 `json:"refused"` // refused by outage or refuse_write
	LostAnswers int64 `json:"lost_answers"`
	Held        int64 `json:"held"` // held by freeze
	Conflicts   int64 `json:"conflicts"`
}

// state is everything that the platform keeps. One duty owns it.
type state struct {
	cfg     Config
	faults  Faults
	table   *table
	objects map[string][]byte
	fleet   fleet
	tasks   *tasks
	reboots *ring.Ring[reboot] // nil if reboots only change the list
	rng     *rand.Rand
	reads   bucket
	writes  bucket
	held    []call
	counts  Counts
	now     func() time.Time
	// callStats returns the counters of the ring that the duty reads.
	callStats func() ring.Stats
	// silentBefore is the time in ns since the epoch up to which connections
	// were opened that never answer again. Handlers read it.
	silentBefore *atomic.Int64
}

func newState(cfg Config, silentBefore *atomic.Int64) *state {
	s := &state{
		cfg:          cfg,
		faults:       cfg.Faults,
		table:        newTable(),
		tasks:        newTasks(),
		objects:      make(map[string][]byte),
		rng:          rand.New(rand.NewPCG(cfg.Seed, 1)),
		now:          time.Now,
		silentBefore: silentBefore,
	}
	s.setVMs(cfg.VMs, time.Time{})
	return s
}

// setVMs replaces the VM list; each VM is a worker as well.
func (s *state) setVMs(vms []structs.VM, now time.Time) {
	s.fleet.set(vms, now)
	workers := slices.Clone(s.cfg.Workers)
	for _, vm := range vms {
		workers = append(workers, store.Worker{
			ID: vm.ID, DataCentre: vm.DataCentre, Rack: vm.Rack,
			MilliCores: 1000 * vm.Cores, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators,
		})
	}
	s.tasks.setWorkers(workers, now)
}

// run serves calls until ctx ends.
func (s *state) run(ctx context.Context, calls *ring.Ring[call]) error {
	for {
		select {
		case c := <-calls.C():
			s.serve(c)
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *state) serve(c call) {
	if c.class == control {
		c.reply <- c.op.apply(s)
		return
	}
	if s.faults.Freeze {
		s.hold(c)
		return
	}
	if refusal, refused := s.refuse(c.class); refused {
		c.reply <- refusal
		return
	}
	r := c.op.apply(s)
	r.delay = time.Duration(s.faults.Delay)
	if c.class.changes() && s.chance(s.faults.LoseAnswer) {
		r.lose = true
		s.counts.LostAnswers++
	}
	c.reply <- r
}

func (s *state) hold(c call) {
	if len(s.held) < maxHeld {
		s.held = append(s.held, c)
		s.counts.Held++
	}
}

// refuse decides whether the call is answered without being executed.
func (s *state) refuse(c class) (reply, bool) {
	if s.faults.Outage || c.changes() && s.chance(s.faults.RefuseWrite) {
		s.counts.Refused++
		return problem(statusUnavailable, "platform unavailable"), true
	}
	limit, rate, count := &s.reads, s.faults.ReadRate, &s.counts.Reads
	switch c {
	case write:
		limit, rate, count = &s.writes, s.faults.WriteRate, &s.counts.Writes
	case workerRead, workerWrite:
		rate, count = 0, &s.counts.WorkerCalls
	}
	if !limit.take(rate, s.now()) {
		s.counts.Limited++
		return problem(statusTooMany, "rate limit"), true
	}
	*count++
	return reply{}, false
}

func (s *state) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

// setFaults puts new switches into force.
func (s *state) setFaults(f Faults) {
	if f.Silence && !s.faults.Silence {
		s.silentBefore.Store(s.now().UnixNano())
	}
	if !f.Silence {
		s.silentBefore.Store(0)
	}
	s.faults = f
	if f.Freeze {
		return
	}
	held := s.held
	s.held = nil
	for _, c := range held {
		s.serve(c)
	}
}
