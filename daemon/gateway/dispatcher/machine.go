package dispatcher

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/carobwharf/carobwharf/admission"
	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/retry"
	"github.com/carobwharf/carobwharf/structs"
)

// Options configures a Machine.
type Options struct {
	Process         string        // name of the gateway, part of each record
	TokenPrefix     string        // unique for each start of the process
	DefaultDeadline time.Duration // when neither the caller nor the service gives one
	MaxCalls        int           // endpoint calls and claims in flight
	MaxRequests     int           // requests known to the machine
	Rand            *rand.Rand    // jitter
	Dispatch        dispatch.Options
	Admission       admission.Options
}

const (
	// storeWait bounds how long a caller waits for its finished row: a slow
	// platform must not hold back an answer that exists.
	storeWait = 500 * time.Millisecond
	// resultGrace is the time after the deadline in which a result of the
	// endpoint call is still awaited before the caller is told of the timeout.
	resultGrace = 50 * time.Millisecond
	// sendWindow bounds the time from a dispatch decision, or the check of the
	// VM's row, to the call. It is below the 30 s after which a controller
	// takes a silent gateway for dead and moves its VMs on.
	sendWindow = 10 * time.Second
	// maxAttempts bounds the calls for one request.
	maxAttempts = 4
	// retryAfter is the advice to callers that are refused for a passing cause.
	retryAfter = time.Second
)

var (
	retryBackoff    = retry.Backoff{Base: 10 * time.Millisecond, Max: time.Second}
	platformBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: time.Second}
)

type phase uint8

const (
	unused   phase = iota
	queued         // in the admission queue
	claiming       // holds a slot, waits for its record
	sending        // at an endpoint
	waiting        // backoff before it is queued again
	storing        // answer received, waits for its finished row
)

type request struct {
	phase      phase
	generation uint32
	slot       uint32 // position in Machine.requests
	heapAt     int32
	wake       time.Time

	ref      uint64
	req      *structs.Request
	service  int
	team     int
	ticket   admission.Ticket
	endpoint dispatch.Endpoint
	avoid    dispatch.Endpoint
	attempt  int
	once     bool
	probe    bool
	deadline time.Time

	answered    bool // the caller has its answer
	mayHaveRun  bool // some attempt may have reached an endpoint
	mayExist    bool // a record of this request may exist in state started
	needsBudget bool // waits for the retry budget
	delays      int  // waits for the platform
	reason      structs.Reason
	owner       string
	claims      int
	claim       intent.Claim
	claimedAt   time.Time
	version     uint64
	answer      structs.Answer
}

type serviceState struct {
	spec    structs.Service
	pool    dispatch.Pool
	budget  retry.Budget
	demand  structs.ServiceDemand // counts since the last roll
	settled structs.ServiceDemand // the last whole interval
}

// Counters are totals since the start.
type Counters struct {
	Arrived, Answered, Refused, Retries, Late, Probes, Granted, Replayed int64
}

// Machine is the dispatcher's state. It is owned by one goroutine.
type Machine struct {
	opts      Options
	queue     *admission.Scheduler
	endpoints *dispatch.Set
	requests  []request
	spare     []uint32
	timers    timerHeap
	services  []serviceState // by admission index
	config    *structs.Config
	fleet     *structs.FleetView
	members   *structs.MemberView
	pump      []bool // pools to look at
	onceOnly  []bool // pools without idempotent work
	calls     int
	owners    uint64
	live      int
	stopping  bool
	rolledAt  time.Time
	actions   []Action
	counters  Counters
}

// New returns a machine that refuses requests until it has a configuration.
func New(o Options) *Machine {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, 2))
	}
	return &Machine{opts: o, queue: admission.New(o.Admission), endpoints: dispatch.New(o.Dispatch)}
}

// Step handles one event and returns the actions that follow. The slice is
// valid until the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = m.actions[:0]
	m.handle(now, ev)
	m.expire(now)
	m.dispatchAll(now)
	return m.actions
}

func (m *Machine) handle(now time.Time, ev Event) {
	switch ev.Kind {
	case Arrived:
		m.arrive(now, ev.Ref, ev.Request)
	case Ended, NotSent:
		m.ended(now, ev)
	case Claimed:
		m.claimed(now, ev)
	case Stored:
		m.stored(ev.Handle)
	case NewConfig:
		m.setConfig(now, ev.Config)
	case NewFleet:
		m.fleet = ev.Fleet
		m.review(now)
	case NewMembers:
		m.members = ev.Members
		m.review(now)
	case DrainVM:
		n := m.endpoints.Drain(now, ev.VM, ev.Epoch)
		m.emit(Action{Kind: DrainReply, Ref: ev.Ref, InFlight: n})
	case AskDemand:
		m.emit(Action{Kind: DemandReply, Ref: ev.Ref, Demand: m.demand(now)})
	case Stop:
		m.stopping = true
	case Abort:
		m.abort(now)
	}
}

// Idle reports whether no request is in the machine.
func (m *Machine) Idle() bool { return m.live == 0 }

// Totals returns the counters.
func (m *Machine) Totals() Counters { return m.counters }

// NextWake returns when the next Tick is due, or the zero time.
func (m *Machine) NextWake() time.Time {
	next := m.endpoints.NextChange()
	if len(m.timers) > 0 {
		if at := m.requests[m.timers[0]].wake; next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) alloc() *request {
	var i uint32
	if n := len(m.spare); n > 0 {
		i = m.spare[n-1]
		m.spare = m.spare[:n-1]
	} else {
		i = uint32(len(m.requests))
		m.requests = append(m.requests, request{generation: 1, slot: i})
	}
	r := &m.requests[i]
	*r = request{generation: r.generation, slot: i, heapAt: -1, avoid: dispatch.None, endpoint: dispatch.None}
	m.live++
	return r
}

func (m *Machine) get(h Handle) *request {
	i := uint32(h)
	if int(i) >= len(m.requests) {
		return nil
	}
	r := &m.requests[i]
	if r.phase == unused || r.generation != uint32(h>>32) {
		return nil
	}
	return r
}

func (m *Machine) handleOf(r *request) Handle { return Handle(r.generation)<<32 | Handle(r.slot) }

func (m *Machine) release(r *request) {
	m.sleep(r)
	i := r.slot
	*r = request{generation: r.generation + 1, slot: i}
	m.spare = append(m.spare, i)
	m.live--
}

func (m *Machine) nextOwner() string {
	m.owners++
	return m.opts.TokenPrefix + "-" + strconv.FormatUint(m.owners, 36)
}
