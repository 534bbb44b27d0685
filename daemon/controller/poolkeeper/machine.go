package poolkeeper

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/buffer"
	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

// Config configures a Machine.
type Config struct {
	ID                 string
	LeaseDuration      time.Duration
	ReconcileInterval  time.Duration // interval of reads; the platform counts as down after five intervals without a successful one
	RowLifetime        time.Duration // a member row unchanged for this long is dead
	DrainTimeout       time.Duration // of moves and of operators' drains
	RebootTimeout      time.Duration // of operators' reboots
	PauseFor           time.Duration // how long an unplanned absence pauses stop plans
	DemandPollInterval time.Duration // polling interval of the gateways' demand; 0: pools keep their configured targets
	AdoptBatch         int           // maximum number of VMs adopted in one transaction
	Buffer             buffer.Config
}

type leaseState struct {
	row   LeaseRow
	watch lease.Watch
	held  lease.Held
	// when another live process became the preferred holder; zero if none is
	otherPreferredSince time.Time
	failedHandOvers     int // times that the lease was released and no other process took it
}

type memberState struct {
	row   MemberRow
	watch lease.Watch
}

type ownerState struct {
	structs.Owner
	learnedAt time.Time // when this process learned of this version
}

type pendingOrder struct {
	id    uint64
	order DrainOrder
}

// Machine is the state machine that makes the decisions of the duty. It is not
// safe for concurrent use.
type Machine struct {
	cfg         Config
	objects     *structs.ObjectSet
	generation  uint64
	controllers []string                  // live in the member view
	gateways    map[string]structs.Member // live in the member view

	liveVMs         map[string]structs.VM // VMs of the VM list, except those that are leaving
	lastSeenVMs     map[string]structs.VM // last known description of every VM
	fleetReadAt     time.Time
	rowsReadAt      time.Time // start of the last successful read
	readPending     bool
	lastReadAttempt time.Time

	owners      map[string]ownerState
	byPool      map[string][]string // index of owners; nil when it must be rebuilt
	cachedPools []structs.Pool      // see allPools; nil when it must be rebuilt
	absences    map[string]AbsenceRow
	leases      map[string]*leaseState
	members     map[string]*memberState
	plans       map[string]PlanRow

	inFlight      map[string]bool      // slots with a change in flight
	failedAt      map[string]time.Time // slots whose last change failed; no change is decided until the rows are read again
	drains        map[string]*drainState
	reboots       map[string]*rebootState
	drainRetryAt  map[string]time.Time // earliest next drain of VMs whose last drain was cancelled
	pendingOrders []pendingOrder
	pendingMoves  []buffer.Move // decided but not started
	planner       *buffer.Planner
	lastPlanned   time.Time      // last time that adoptions and moves were planned
	demandTargets map[string]int // targets set by demand; a pool without an entry has its configured target

	demand demandState

	actions []Action // to be returned by the current Step
}

// adoptBatch is the value of Config.AdoptBatch. It leaves room in a transaction
// for the marks of all 64 buckets, the fleet's mark and the absence row.
const adoptBatch = 160

// ConfigFrom returns the configuration for the settings of a process. Parameters
// that are not settings have fixed values.
func ConfigFrom(p settings.Process) Config {
	c := p.Controller
	return Config{
		ID: p.ID, LeaseDuration: c.LeaseDuration, ReconcileInterval: c.Reconcile, RowLifetime: p.Membership.RowLifetime,
		DrainTimeout: c.DrainTimeout, RebootTimeout: 5 * time.Minute, PauseFor: 10 * time.Minute,
		DemandPollInterval: 5 * time.Second, AdoptBatch: adoptBatch,
		// A surplus is returned only after a delay: if the load rises again
		// soon, an early return would cost two moves per VM.
		Buffer: buffer.Config{FillAfter: 5 * time.Second, ReturnAfter: 2 * time.Minute, MoveInterval: 5 * time.Second, MaxMoves: 16},
	}
}

// NewMachine returns a Machine without any state.
func NewMachine(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, gateways: map[string]structs.Member{},
		liveVMs: map[string]structs.VM{}, lastSeenVMs: map[string]structs.VM{},
		owners: map[string]ownerState{}, absences: map[string]AbsenceRow{}, leases: map[string]*leaseState{},
		members: map[string]*memberState{}, plans: map[string]PlanRow{},
		inFlight: map[string]bool{}, failedAt: map[string]time.Time{}, drains: map[string]*drainState{},
		reboots: map[string]*rebootState{}, drainRetryAt: map[string]time.Time{}, demandTargets: map[string]int{},
		planner: buffer.NewPlanner(cfg.Buffer),
	}
}

// Step processes an event and returns the actions to execute. Successive values
// of now must come from the same clock and not decrease.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = nil
	switch e := e.(type) {
	case Tick:
		m.startRead(now)
	case FleetUpdated:
		m.updateFleet(e.View)
	case MembersUpdated:
		m.updateMembers(e.View)
	case ConfigUpdated:
		if e.Config.Generation > m.generation {
			m.objects, m.generation, m.cachedPools = &e.Config.Set, e.Config.Generation, nil
		}
	case RowsRead:
		m.readPending = false
		if e.Err == nil {
			m.mergeRows(now, e)
		}
	case Committed:
		m.handleCommitted(now, e)
	case DrainConfirmed:
		m.handleDrainConfirmed(now, e)
	case Rebooted:
		m.handleRebooted(now, e)
	case DemandPolled:
		m.handleDemandPolled(e)
	case OrderReceived:
		m.handleOrder(e)
	}
	m.reconcile(now)
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// startChange emits a change and reports true, unless a change of the same slot
// is in flight.
func (m *Machine) startChange(c Change) bool {
	if m.inFlight[c.Slot] {
		return false
	}
	m.inFlight[c.Slot] = true
	m.emit(c)
	return true
}

// slotFree reports whether a new change of the slot may be decided: none is in
// flight, and the rows were read after the last one that failed.
func (m *Machine) slotFree(slot string) bool {
	if m.inFlight[slot] {
		return false
	}
	at, ok := m.failedAt[slot]
	return !ok || m.rowsReadAt.After(at)
}

func (m *Machine) startRead(now time.Time) {
	if m.readPending || (!m.lastReadAttempt.IsZero() && now.Sub(m.lastReadAttempt) < m.cfg.ReconcileInterval) {
		return
	}
	m.readPending, m.lastReadAttempt = true, now
	m.emit(ReadRows{})
}

// platformUp reports whether the rows and the VM list were read recently. No
// planned absence starts while they are outdated.
func (m *Machine) platformUp(now time.Time) bool {
	limit := 5 * m.cfg.ReconcileInterval
	return !m.rowsReadAt.IsZero() && !m.fleetReadAt.IsZero() && now.Sub(m.rowsReadAt) < limit && now.Sub(m.fleetReadAt) < limit
}

func (m *Machine) reconcile(now time.Time) {
	if m.objects == nil || m.rowsReadAt.IsZero() {
		m.refuseOrders("the controller has no configuration or has not read the platform yet")
		return
	}
	pools := m.allPools()
	for i := range pools {
		m.updateLease(now, pools[i].Name)
	}
	if m.platformUp(now) && m.holdsLease(now, m.coordinatorPool()) && now.Sub(m.lastPlanned) >= m.cfg.ReconcileInterval/2 {
		m.lastPlanned = now
		m.pollDemand(now)
		m.adoptVMs()
		m.planMoves(now)
	}
	for i := range pools {
		if m.holdsLease(now, pools[i].Name) {
			m.reconcilePool(now, pools[i].Name)
		}
	}
	m.beginMoves(now)
	m.beginOrders(now)
}

// coordinatorPool returns the pool whose lease holder decides on adoptions and
// moves for all pools: the spare pool or, without one, the first pool.
func (m *Machine) coordinatorPool() string {
	i := slices.IndexFunc(m.objects.Pools, func(p structs.Pool) bool { return p.Spare })
	switch {
	case i >= 0:
		return m.objects.Pools[i].Name
	case len(m.objects.Pools) > 0:
		return m.objects.Pools[0].Name
	}
	return ""
}
