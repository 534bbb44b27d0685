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

// callClass determines which faults and limits apply to a call.
type callClass int

const (
	classControl callClass = iota // no faults, no limits
	classRead
	classWrite
	// Calls on workers have their own paths; the store's rate limits do not apply
	// to them.
	classWorkerRead
	classWorkerWrite
)

// isWrite reports whether calls of the class change state.
func (c callClass) isWrite() bool { return c == classWrite || c == classWorkerWrite }

// operation is a decoded call. Only the state duty calls apply.
type operation interface {
	apply(s *state) reply
}

// reply is the response that a handler sends.
type reply struct {
	status     int
	json       any    // body, encoded by the handler
	raw        []byte // body if json is nil
	dropAnswer bool   // close the connection without a response
	delay      time.Duration
}

// call is an operation that waits for the state duty.
type call struct {
	class callClass
	op    operation
	reply chan reply // capacity 1
}

// maxHeldCalls is the number of calls kept while frozen; more are dropped without
// a response.
const maxHeldCalls = 16384

// Counts are totals since the start.
type Counts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	WorkerCalls int64 `json:"worker_calls"`
	Limited     int64 `json:"limited"` // refused by a rate limit
	Refused     int64 `json:"refused"` // refused because of outage or refuse_write
	LostAnswers int64 `json:"lost_answers"`
	Held        int64 `json:"held"` // held because of freeze
	Conflicts   int64 `json:"conflicts"`
}

// state is the whole state of the platform. Only the state duty accesses it.
type state struct {
	cfg     Config
	faults  Faults
	table   *table
	objects map[string][]byte
	fleet   fleet
	tasks   *taskTable
	reboots *ring.Ring[reboot] // nil if reboots only change the list
	rng     *rand.Rand
	reads   tokenBucket
	writes  tokenBucket
	held    []call
	counts  Counts
	now     func() time.Time
	// callStats returns the counters of the ring from which the duty takes calls.
	callStats func() ring.Stats
	// silentUntil is a time in ns since the epoch. Connections opened until then
	// get no more responses. The HTTP handlers read it.
	silentUntil *atomic.Int64
}

func newState(cfg Config, silentUntil *atomic.Int64) *state {
	s := &state{
		cfg:         cfg,
		faults:      cfg.Faults,
		table:       newTable(),
		tasks:       newTaskTable(),
		objects:     make(map[string][]byte),
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
		now:         time.Now,
		silentUntil: silentUntil,
	}
	s.setVMs(cfg.VMs, time.Time{})
	return s
}

// setVMs replaces the VM list and the workers, since each VM is a worker too.
func (s *state) setVMs(vms []structs.VM, now time.Time) {
	s.fleet.setVMs(vms, now)
	workers := slices.Clone(s.cfg.Workers)
	for _, vm := range vms {
		workers = append(workers, store.Worker{
			ID: vm.ID, DataCentre: vm.DataCentre, Rack: vm.Rack,
			MilliCores: 1000 * vm.Cores, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators,
		})
	}
	s.tasks.setWorkers(workers, now)
}

// run serves calls until ctx is cancelled.
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
	if c.class == classControl {
		c.reply <- c.op.apply(s)
		return
	}
	if s.faults.Freeze {
		s.holdCall(c)
		return
	}
	if refusal, refused := s.refuse(c.class); refused {
		c.reply <- refusal
		return
	}
	r := c.op.apply(s)
	r.delay = time.Duration(s.faults.Delay)
	if c.class.isWrite() && s.chance(s.faults.LoseAnswer) {
		r.dropAnswer = true
		s.counts.LostAnswers++
	}
	c.reply <- r
}

func (s *state) holdCall(c call) {
	if len(s.held) < maxHeldCalls {
		s.held = append(s.held, c)
		s.counts.Held++
	}
}

// refuse reports whether the call is refused because of a fault or a rate limit,
// with the reply to send.
func (s *state) refuse(class callClass) (reply, bool) {
	if s.faults.Outage || class.isWrite() && s.chance(s.faults.RefuseWrite) {
		s.counts.Refused++
		return errorReply(statusUnavailable, "platform unavailable"), true
	}
	limiter, rate, count := &s.reads, s.faults.ReadRate, &s.counts.Reads
	switch class {
	case classWrite:
		limiter, rate, count = &s.writes, s.faults.WriteRate, &s.counts.Writes
	case classWorkerRead, classWorkerWrite:
		rate, count = 0, &s.counts.WorkerCalls
	}
	if !limiter.take(rate, s.now()) {
		s.counts.Limited++
		return errorReply(statusTooMany, "rate limit"), true
	}
	*count++
	return reply{}, false
}

// chance returns true with probability p.
func (s *state) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

// setFaults replaces the faults and executes the held calls unless the platform
// stays frozen.
func (s *state) setFaults(f Faults) {
	if f.Silence && !s.faults.Silence {
		s.silentUntil.Store(s.now().UnixNano())
	}
	if !f.Silence {
		s.silentUntil.Store(0)
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
