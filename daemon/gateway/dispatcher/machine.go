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
	Process         string        // ID of the gateway process, stored in each record
	TokenPrefix     string        // unique for each start of the process
	DefaultDeadline time.Duration // used if neither the caller nor the service sets one
	MaxCalls        int           // limit of endpoint calls and claims in flight
	MaxRequests     int           // limit of admitted requests that have not ended
	Rand            *rand.Rand    // source of the backoff jitter
	Dispatch        dispatch.Options
	Admission       admission.Options
}

const (
	// storeTimeout bounds how long an answer is held back until its finished
	// record is stored, so that a slow platform does not delay the caller further.
	storeTimeout = 500 * time.Millisecond
	// resultGrace is how long after the deadline the result of an endpoint call
	// is awaited before the caller gets a timeout.
	resultGrace = 50 * time.Millisecond
	// sendWindow bounds the time from a dispatch decision, or from the check of
	// the VM's ownership row, to the start of the call. It must be below the 30 s
	// after which a controller considers a silent gateway dead and reassigns VMs
	// without waiting for it.
	sendWindow = 10 * time.Second
	// maxAttempts bounds the endpoint calls of one request.
	maxAttempts = 4
	// retryAfter is the Retry-After value of answers with a transient reason.
	retryAfter = time.Second
)

var (
	retryBackoff    = retry.Backoff{Base: 10 * time.Millisecond, Max: time.Second}
	platformBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: time.Second}
)

// phase is the state of a request in the machine.
type phase uint8

const (
	unused     phase = iota
	queued           // in the admission queue
	claiming         // holds a slot, waits for the journal's reply to its claim
	calling          // holds a slot, waits for the result of its endpoint call
	backingOff       // waits for the end of a backoff, holds no slot
	storing          // has its answer, waits until the finished record is stored
)

// request is the state of one request, kept in an element of Machine.requests.
type request struct {
	phase      phase
	generation uint32    // number of uses of this element of Machine.requests
	index      uint32    // position in Machine.requests
	heapIndex  int32     // position in Machine.timers, or -1
	wakeAt     time.Time // when the timer fires

	ref           uint64
	req           *structs.Request
	service       int
	team          int
	ticket        admission.Ticket
	endpoint      dispatch.Endpoint
	avoid         dispatch.Endpoint // endpoint of the last call
	attempt       int
	nonIdempotent bool
	probe         bool // the call is a probe of an ejected endpoint
	deadline      time.Time

	answered         bool           // the caller has its answer
	mayHaveRun       bool           // an attempt may have run at an endpoint
	recordMayExist   bool           // a record of this request may exist in state started
	needsRetryBudget bool           // the retry budget had no room for the next attempt
	platformFailures int            // backoffs because the platform was unavailable
	reason           structs.Reason // of the latest failed or unsent attempt
	owner            string         // owner of all claims of this request
	claimCount       int
	claim            intent.Claim // the latest claim
	claimStart       time.Time
	recordVersion    uint64         // version of the granted record's row
	answer           structs.Answer // in phase storing
}

type serviceState struct {
	spec       structs.Service
	pool       dispatch.Pool
	budget     retry.Budget
	demand     structs.ServiceDemand // counts since Machine.demandStart
	lastDemand structs.ServiceDemand // counts of the last complete interval
}

// Counters are totals since the machine's start.
type Counters struct {
	Arrived, Answered, Refused, Retries, Late, Probes, Granted, Replayed int64
}

// Machine is the dispatcher's state machine. It must be used by one goroutine
// only.
type Machine struct {
	opts              Options
	queue             *admission.Scheduler
	endpoints         *dispatch.Set
	requests          []request
	freeIndexes       []uint32 // unused elements of requests
	timers            timerHeap
	services          []serviceState // by service index of queue
	config            *structs.Config
	fleet             *structs.FleetView
	members           *structs.MemberView
	needsDispatch     []bool // by pool: dispatchAll must look at it
	nonIdempotentOnly []bool // by pool: no service has idempotent operations
	calls             int    // endpoint calls and claims in flight
	lastOwner         uint64 // number in the latest owner name
	requestCount      int    // requests that have not ended
	stopping          bool
	demandStart       time.Time // start of the current demand interval
	actions           []Action
	counters          Counters
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
	m.fireTimers(now)
	m.dispatchAll(now)
	return m.actions
}

func (m *Machine) handle(now time.Time, ev Event) {
	switch ev.Kind {
	case RequestArrived:
		m.admit(now, ev.Ref, ev.Request)
	case CallEnded, CallNotSent:
		m.callEnded(now, ev)
	case ClaimReplied:
		m.claimReplied(now, ev)
	case FinishReplied:
		m.finishReplied(ev.Handle)
	case NewConfig:
		m.applyConfig(now, ev.Config)
	case NewFleet:
		m.fleet = ev.Fleet
		m.reconfigure(now)
	case NewMembers:
		m.members = ev.Members
		m.reconfigure(now)
	case DrainVM:
		n := m.endpoints.Drain(now, ev.VM, ev.Epoch)
		m.emit(Action{Kind: DrainReply, Ref: ev.Ref, InFlight: n})
	case ReadDemand:
		m.emit(Action{Kind: DemandReply, Ref: ev.Ref, Demand: m.demand(now)})
	case Stop:
		m.stopping = true
	case Abort:
		m.abort(now)
	}
}

// Idle reports whether all admitted requests have ended.
func (m *Machine) Idle() bool { return m.requestCount == 0 }

// Totals returns the counters.
func (m *Machine) Totals() Counters { return m.counters }

// NextWake returns when the next Tick event is due, or the zero time if none is.
func (m *Machine) NextWake() time.Time {
	next := m.endpoints.NextHoldEnd()
	if len(m.timers) > 0 {
		if at := m.requests[m.timers[0]].wakeAt; next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) alloc() *request {
	var i uint32
	if n := len(m.freeIndexes); n > 0 {
		i = m.freeIndexes[n-1]
		m.freeIndexes = m.freeIndexes[:n-1]
	} else {
		i = uint32(len(m.requests))
		m.requests = append(m.requests, request{generation: 1, index: i})
	}
	r := &m.requests[i]
	*r = request{generation: r.generation, index: i, heapIndex: -1, avoid: dispatch.NoEndpoint, endpoint: dispatch.NoEndpoint}
	m.requestCount++
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

func (m *Machine) handleOf(r *request) Handle { return Handle(r.generation)<<32 | Handle(r.index) }

func (m *Machine) release(r *request) {
	m.clearTimer(r)
	i := r.index
	*r = request{generation: r.generation + 1, index: i}
	m.freeIndexes = append(m.freeIndexes, i)
	m.requestCount--
}

func (m *Machine) nextOwner() string {
	m.lastOwner++
	return m.opts.TokenPrefix + "-" + strconv.FormatUint(m.lastOwner, 36)
}
