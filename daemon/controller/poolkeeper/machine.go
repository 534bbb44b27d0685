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
	ID            string
	LeaseDuration time.Duration
	Reconcile     time.Duration // interval of readings; the platform counts as down after five without success
	RowLifetime   time.Duration // a member row unchanged for this long is dead
	DrainTimeout  time.Duration // of moves and of operators' drains
	RebootTimeout time.Duration // of operators' reboots
	PauseFor      time.Duration // an unplanned absence pauses stop plans for this long
	DemandPoll    time.Duration // interval of the gateways' demand reports; 0: pools have their configured targets
	AdoptBatch    int           // VMs adopted in one transaction
	Buffer        buffer.Config
}

type leaseState struct {
	row   LeaseRow
	watch lease.Watch
	held  lease.Held
	// since when another live process is preferred; zero if none is
	otherSince time.Time
	offers     int // times that the lease was given up and no other process took it
}

type memberState struct {
	row   MemberRow
	watch lease.Watch
}

type ownerState struct {
	structs.Owner
	merged time.Time // when this version was learned
}

type pendingOrder struct {
	id    uint64
	order Order
}

// Machine makes the decisions of the duty. It is owned by one goroutine.
type Machine struct {
	cfg         Config
	set         *structs.ObjectSet
	generation  uint64
	controllers []string                  // live in the member view
	gateways    map[string]structs.Member // live in the member view

	listed   map[string]structs.VM // live in the VM list
	known    map[string]structs.VM // last description of every VM seen
	fleetAt  time.Time
	rowsAt   time.Time // start of the last successful reading
	reading  bool
	lastRead time.Time // start of the last attempt

	owners   map[string]ownerState
	byPool   map[string][]string // index of owners; nil when it must be built again
	pools    []structs.Pool      // see allPools; nil when it must be built again
	absences map[string]AbsenceRow
	leases   map[string]*leaseState
	members  map[string]*memberState
	plans    map[string]PlanRow

	busy    map[string]bool      // slots with a change under way
	failed  map[string]time.Time // slots whose last change failed; they wait for a later reading
	drains  map[string]*drain
	reboots map[string]*reboot
	later   map[string]time.Time // VMs whose drain was given up, and when it may be tried again
	orders  []pendingOrder
	moves   []buffer.Move // decided and not begun
	planner *buffer.Planner
	planned time.Time      // last time that adoption and moves were decided
	targets map[string]int // by demand; a pool without an entry has its configured target

	demand demandState

	out []Action
}

// adoptBatch leaves room in a transaction for the marks of all 64 buckets, the
// fleet's mark and the absence row.
const adoptBatch = 160

// ConfigFrom returns the configuration that the settings of a process give.
// What is not a setting has the values below.
func ConfigFrom(p settings.Process) Config {
	c := p.Controller
	return Config{
		ID: p.ID, LeaseDuration: c.LeaseDuration, Reconcile: c.Reconcile, RowLifetime: p.Membership.RowLifetime,
		DrainTimeout: c.DrainTimeout, RebootTimeout: 5 * time.Minute, PauseFor: 10 * time.Minute,
		DemandPoll: 5 * time.Second, AdoptBatch: adoptBatch,
		// A surplus is returned late: a peak that comes back soon would
		// otherwise cost two moves for each VM.
		Buffer: buffer.Config{FillAfter: 5 * time.Second, ReturnAfter: 2 * time.Minute, Group: 5 * time.Second, MaxMoves: 16},
	}
}

// NewMachine returns a machine that knows nothing.
func NewMachine(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, gateways: map[string]structs.Member{},
		listed: map[string]structs.VM{}, known: map[string]structs.VM{},
		owners: map[string]ownerState{}, absences: map[string]AbsenceRow{}, leases: map[string]*leaseState{},
		members: map[string]*memberState{}, plans: map[string]PlanRow{},
		busy: map[string]bool{}, failed: map[string]time.Time{}, drains: map[string]*drain{},
		reboots: map[string]*reboot{}, later: map[string]time.Time{}, targets: map[string]int{},
		planner: buffer.NewPlanner(cfg.Buffer),
	}
}

// Step takes an event in and returns what to do. now must come from one clock
// and never go back.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.out = nil
	switch e := e.(type) {
	case Tick:
		m.read(now)
	case FleetSeen:
		m.seeFleet(e.View)
	case MembersSeen:
		m.seeMembers(e.View)
	case ConfigSeen:
		if e.Config.Generation > m.generation {
			m.set, m.generation, m.pools = &e.Config.Set, e.Config.Generation, nil
		}
	case RowsRead:
		m.reading = false
		if e.Err == nil {
			m.mergeRows(now, e)
		}
	case Committed:
		m.committed(now, e)
	case Confirmed:
		m.confirmed(now, e)
	case Rebooted:
		m.rebooted(now, e)
	case DemandSeen:
		m.demandSeen(e)
	case Ordered:
		m.ordered(e)
	}
	m.decide(now)
	return m.out
}

func (m *Machine) do(a Action) { m.out = append(m.out, a) }

// change begins a change unless its slot is busy.
func (m *Machine) change(c Change) bool {
	if m.busy[c.Slot] {
		return false
	}
	m.busy[c.Slot] = true
	m.do(c)
	return true
}

// free reports whether a change of the slot may be decided on: none is under
// way, and the rows were read after the last one that failed.
func (m *Machine) free(slot string) bool {
	if m.busy[slot] {
		return false
	}
	at, ok := m.failed[slot]
	return !ok || m.rowsAt.After(at)
}

func (m *Machine) read(now time.Time) {
	if m.reading || (!m.lastRead.IsZero() && now.Sub(m.lastRead) < m.cfg.Reconcile) {
		return
	}
	m.reading, m.lastRead = true, now
	m.do(ReadRows{})
}

// up reports whether the platform was read a short time ago. If not, no
// planned absence begins.
func (m *Machine) up(now time.Time) bool {
	limit := 5 * m.cfg.Reconcile
	return !m.rowsAt.IsZero() && !m.fleetAt.IsZero() && now.Sub(m.rowsAt) < limit && now.Sub(m.fleetAt) < limit
}

func (m *Machine) decide(now time.Time) {
	if m.set == nil || m.rowsAt.IsZero() {
		m.refuseOrders("the controller has no configuration or has not read the platform yet")
		return
	}
	pools := m.allPools()
	for i := range pools {
		m.decideLease(now, pools[i].Name)
	}
	if m.up(now) && m.holds(now, m.coordinator()) && now.Sub(m.planned) >= m.cfg.Reconcile/2 {
		m.planned = now
		m.pollDemand(now)
		m.adopt()
		m.planMoves(now)
	}
	for i := range pools {
		if m.holds(now, pools[i].Name) {
			m.decidePool(now, pools[i].Name)
		}
	}
	m.beginMoves(now)
	m.beginOrders(now)
}

// coordinator returns the pool whose holder decides on adoption and moves for
// all pools: the spare pool, or the first pool.
func (m *Machine) coordinator() string {
	i := slices.IndexFunc(m.set.Pools, func(p structs.Pool) bool { return p.Spare })
	switch {
	case i >= 0:
		return m.set.Pools[i].Name
	case len(m.set.Pools) > 0:
		return m.set.Pools[0].Name
	}
	return ""
}
