// Package fleet decides which machines move to another pool and when machines
// undergo upkeep. It is a state machine without I/O: its input is the list of
// machines, the state of the pools and the operator's upkeep waves, its output
// is orders for machines. An order that stops a machine is issued only after
// the owner of the machine's pool has released it.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/workload"
)

// Config configures a Planner.
type Config struct {
	Token        uint64        // fencing token of the fleet's lease
	HolderChange time.Duration // minimum time between the orders of two lease holders
	MoveTime     time.Duration // time that a move between pools takes
	UpkeepTime   time.Duration // time that the upkeep of a machine takes
	MaxLease     time.Duration // maximum lease of the runs on a worker
}

// Polling and retry intervals.
const (
	// activeListInterval is the time between requests for the list of machines
	// while machines have plans or a wave is open.
	activeListInterval = 500 * time.Millisecond
	// idleListInterval is the time between requests otherwise.
	idleListInterval = 2 * time.Second
	// orderRetryInterval is the minimum time between orders for one machine.
	orderRetryInterval = 200 * time.Millisecond
	// minRefusedRetry and maxRefusedRetry bound the time after which the upkeep of a
	// machine is planned again that the machine service has refused. The time doubles
	// with each refusal, because the machine is emptied before each order.
	minRefusedRetry = 2 * time.Second
	maxRefusedRetry = time.Minute
	// lateOrderTime is how long after the end of its lease an order of the former holder
	// may still be carried out: the time-out of a call to the machine service.
	lateOrderTime = time.Second
	// maxStepGap is the time between two steps after which the loads of the pools count
	// as unknown. The holder of a valid lease steps the planner four times a second.
	maxStepGap = time.Second
	// returnLead is how long before the expected return of a machine its pool's
	// owner is no longer asked to release it, so that the machine's new worker is
	// usable as soon as it registers.
	returnLead = 300 * time.Millisecond
)

// Planner plans moves and upkeep for the holder of the fleet's lease. It is not
// safe for concurrent use.
type Planner struct {
	cfg               Config
	firstOrderAt      time.Time            // no orders are issued earlier
	formerRelease     map[string]bool      // machines that the former holder may still order; released until formerReleaseEnd
	formerReleaseEnd  time.Time            // lateOrderTime after the takeover
	formerOrdered     map[string]bool      // machines that the former holder may have ordered recently; not ordered until formerUntil
	formerUntil       time.Time            // end of HolderChange after the takeover
	orderedAt         map[string]time.Time // by machine: when the last order was issued or its result arrived
	now               time.Time            // time of the current call of Step
	loadsUnknown      bool                 // the lease was not held for a while, and what is known of the pools is from before
	machines          map[string]*machine
	machineList       []*machine // sorted by ID
	pools             map[string]*pool
	poolNames         []string // sorted
	waves             map[int]*wave
	listPending       bool
	listsRequested    int  // number of lists requested so far; a list is requested only after the one before was answered
	listReceived      bool // a list has been received; nothing is planned or ordered before
	nextListAt        time.Time
	listSentAt        time.Time // when the latest list was requested
	appliedListSentAt time.Time // when the list that was applied last was requested
	actions           []Action  // actions of the current call of Step
}

// machine is a machine of the platform's list.
type machine struct {
	workload.Machine
	plan        *plan // nil: none
	status      engine.MachineStatus
	statusKnown bool
	absences    int // number of latest lists in a row that lack it
}

// plan is the move or upkeep that is planned for a machine.
type plan struct {
	targetPool   string // set for a move
	wave         int    // set for upkeep
	plannedAt    time.Time
	rowVersion   uint64    // version of the fleet's row that requests the release; 0: not stored yet
	orderPending bool      // an order was issued and its result is not known yet
	retryAt      time.Time // no order is issued earlier
	doneAt       time.Time // when the order was carried out; zero: not yet
	formerWorker string    // worker of the machine when the order was issued
	usable       bool      // the machine may be used again, although the list may not show it yet
}

// pool is the state of a pool.
type pool struct {
	Pool
	name         string
	baseSize     int          // greatest number of machines it has had, at most an even share of all machines in use
	surplusSince time.Time    // since when it has had more machines than it needs; zero: it has not
	lastShortAt  time.Time    // when it last needed more machines than it had
	loadSamples  []loadSample // samples of the last growthWindow
	targetSize   int          // number of machines that the pool needs, updated by each call of Step
	peakExpected bool         // targetSize is that of a forecast
	peaks        peakHistory
	poolCounts
}

// poolCounts holds the numbers of machines of a pool.
type poolCounts struct {
	size               int // including machines that move to the pool, without those that leave it or are down
	planned            int // in the pool and with a plan
	plannedLongRunning int // planned machines with long-running tasks
	plannedUpkeep      int // planned machines whose plan is upkeep
}

// loadSample is the load of a pool at a point in time, in thousandths of a
// core.
type loadSample struct {
	at   time.Time
	load int
}

// New returns a planner for a new holder of the fleet's lease. Two holders must not
// order the same machine within HolderChange, so the machines that the former holder
// may have ordered wait for that long. Those among them that it may still order with a
// late call remain released for a while, so that no runs are started there. Not for
// longer: many of them have just arrived in pools at their peak.
func New(now time.Time, cfg Config, former Former) *Planner {
	pl := &Planner{
		cfg: cfg, firstOrderAt: now, formerRelease: map[string]bool{}, formerOrdered: map[string]bool{},
		formerReleaseEnd: now.Add(lateOrderTime), formerUntil: now.Add(cfg.HolderChange),
		orderedAt: map[string]time.Time{}, machines: map[string]*machine{}, pools: map[string]*pool{}, waves: map[int]*wave{},
	}
	if former.Exists && !former.OrdersListed {
		pl.firstOrderAt = pl.formerUntil
	}
	if !former.ProcessEnded {
		for _, id := range former.Release {
			pl.formerOrdered[id], pl.formerRelease[id] = true, true
		}
		for _, id := range former.Ordered {
			pl.formerOrdered[id] = true
		}
	}
	pl.restorePeaks(now, former.Peaks)
	for number, ids := range former.UpkeepStarted {
		w := pl.wave(number)
		for _, id := range ids {
			w.upkeepStarted[id] = true
		}
	}
	return pl
}

// Step applies events and returns the actions to execute. The times of all
// calls must come from one monotonic clock.
func (pl *Planner) Step(now time.Time, events ...Event) []Action {
	pl.loadsUnknown = now.Sub(pl.now) > maxStepGap
	pl.now, pl.actions = now, nil
	for _, e := range events {
		pl.apply(e)
	}
	pl.requestList()
	if !now.Before(pl.formerReleaseEnd) {
		clear(pl.formerRelease)
	}
	if !now.Before(pl.formerUntil) {
		clear(pl.formerOrdered)
	}
	if pl.listReceived && !now.Before(pl.firstOrderAt) {
		pl.finishPlans()
		pl.recountPools()
		pl.planWaves()
		pl.planMoves()
		pl.issueOrders()
	}
	pl.reportWaves()
	return pl.actions
}

func (pl *Planner) emit(a Action) { pl.actions = append(pl.actions, a) }

func (pl *Planner) apply(e Event) {
	switch e := e.(type) {
	case MachinesListed:
		pl.applyList(e)
	case PoolsUpdated:
		pl.applyPools(e.Pools)
	case WavesUpdated:
		pl.applyWaves(e.Waves)
	case RowStored:
		for _, id := range e.Machines {
			if m := pl.machines[id]; m != nil && m.plan != nil && m.plan.rowVersion == 0 {
				m.plan.rowVersion = e.Version
			}
		}
	case OrderResult:
		pl.applyOrderResult(e)
	case WaveStatusStored:
		pl.applyStatusStored(e)
	}
}

func (pl *Planner) requestList() {
	if pl.listPending || pl.now.Before(pl.nextListAt) {
		return
	}
	pl.listPending, pl.listSentAt = true, pl.now
	pl.listsRequested++
	pl.emit(ListMachines{})
}

func (pl *Planner) applyList(e MachinesListed) {
	pl.listPending = false
	pl.nextListAt = pl.now.Add(activeListInterval)
	if !e.OK {
		return
	}
	pl.listReceived, pl.appliedListSentAt = true, pl.listSentAt
	known := pl.machines
	pl.machines, pl.machineList = map[string]*machine{}, pl.machineList[:0]
	for _, listed := range e.Machines {
		m := known[listed.ID]
		if m == nil {
			m = &machine{}
		}
		// A list that was requested before an order was carried out may show
		// the state before that order.
		if m.plan == nil || m.plan.doneAt.IsZero() || pl.listSentAt.After(m.plan.doneAt) {
			m.Machine = listed
		}
		m.absences = 0
		pl.addMachine(listed.ID, m)
	}
	for _, id := range e.Unreadable {
		if m := known[id]; m != nil {
			m.absences = 0
			pl.addMachine(id, m)
		}
	}
	listAgain := pl.waveOpen()
	for id, m := range known {
		if pl.machines[id] != nil {
			continue
		}
		m.absences++
		if m.absences < goneAfterAbsences {
			pl.addMachine(id, m)
			listAgain = true
		}
	}
	slices.SortFunc(pl.machineList, func(a, b *machine) int { return cmp.Compare(a.ID, b.ID) })
	pl.recordAbsences(e.Unreadable)
	hasPlan := func(m *machine) bool { return m.plan != nil }
	if !listAgain && !slices.ContainsFunc(pl.machineList, hasPlan) {
		pl.nextListAt = pl.now.Add(idleListInterval)
	}
}

func (pl *Planner) addMachine(id string, m *machine) {
	pl.machines[id] = m
	pl.machineList = append(pl.machineList, m)
}

func (pl *Planner) applyPools(pools map[string]Pool) {
	statuses := map[string]engine.MachineStatus{}
	for name, update := range pools {
		p := pl.pool(name)
		p.Pool = update
		p.recordLoad(pl.now)
		for _, status := range update.Status.Machines {
			statuses[status.Worker] = status
		}
	}
	// Statuses are matched by worker: the status of a machine's former worker,
	// in this pool or another, does not apply to the present one.
	for _, m := range pl.machines {
		m.status, m.statusKnown = statuses[m.Worker]
	}
}

// pool returns the pool with the given name, and adds it if it is new.
func (pl *Planner) pool(name string) *pool {
	p := pl.pools[name]
	if p == nil {
		p = &pool{name: name}
		pl.pools[name] = p
		pl.poolNames = append(pl.poolNames, name)
		slices.Sort(pl.poolNames)
	}
	return p
}

// recountPools recomputes the counts of all pools.
func (pl *Planner) recountPools() {
	for _, p := range pl.pools {
		p.poolCounts = poolCounts{}
	}
	for _, m := range pl.machineList {
		pl.adjustCounts(m, 1)
	}
}

// adjustCounts adds n, 1 or -1, to all counts of pools that include the
// machine.
func (pl *Planner) adjustCounts(m *machine, n int) {
	at := m.Pool
	if m.plan != nil && m.plan.targetPool != "" {
		at = m.plan.targetPool
	}
	if p := pl.pools[at]; p != nil && m.State != workload.MachineDown {
		p.size += n
	}
	p := pl.pools[m.Pool]
	if p == nil || m.plan == nil {
		return
	}
	p.planned += n
	if m.status.LongRunning > 0 {
		p.plannedLongRunning += n
	}
	if m.plan.wave > 0 {
		p.plannedUpkeep += n
	}
}

// setPlan sets the plan of a machine that has none and updates the counts.
func (pl *Planner) setPlan(m *machine, p plan) {
	pl.adjustCounts(m, -1)
	p.plannedAt = pl.now
	m.plan = &p
	pl.adjustCounts(m, 1)
}

// finishPlans marks machines whose move or upkeep is about to end as usable,
// and removes the plans of those that are back.
func (pl *Planner) finishPlans() {
	for _, m := range pl.machineList {
		if m.plan == nil || m.plan.orderPending || m.plan.doneAt.IsZero() {
			continue
		}
		duration := pl.cfg.MoveTime
		if m.plan.wave > 0 {
			duration = pl.cfg.UpkeepTime
		}
		m.plan.usable = m.plan.usable || !pl.now.Before(m.plan.doneAt.Add(duration-returnLead))
		// Machines in the standby pool have no worker, so a change of the worker
		// can't show that they are back.
		listedLater := pl.appliedListSentAt.After(m.plan.doneAt.Add(duration))
		if m.State == workload.MachineUp && (m.Worker != m.plan.formerWorker || listedLater) {
			m.plan = nil
		}
	}
}

// issueOrders issues the planned orders for machines that have been released.
func (pl *Planner) issueOrders() {
	for _, m := range pl.machineList {
		p := m.plan
		if p == nil || m.absences > 0 || p.orderPending || !p.doneAt.IsZero() || pl.now.Before(p.retryAt) || !pl.isReleased(m) {
			continue
		}
		if p.wave > 0 {
			w := pl.wave(p.wave)
			if pl.countInUpkeep(w) >= w.MaxDown {
				continue
			}
			pl.emit(StartUpkeep{Token: pl.cfg.Token, Machine: m.ID, Wave: p.wave})
		} else {
			pl.emit(MoveMachine{Token: pl.cfg.Token, Machine: m.ID, Pool: p.targetPool})
		}
		p.orderPending, p.formerWorker = true, m.Worker
		pl.orderedAt[m.ID] = pl.now
	}
}

// isReleased reports whether no tasks run on the machine, its pool's owner does not
// start any there, and the fleet's row names it, from which a successor learns that it
// may have been ordered.
func (pl *Planner) isReleased(m *machine) bool {
	p := pl.pools[m.Pool]
	if p == nil || m.plan.rowVersion == 0 {
		return false
	}
	if p.Standby {
		return true // machines in a standby pool run no workers
	}
	if !p.Owned || p.Status.ReleaseVersion < m.plan.rowVersion {
		return false
	}
	if m.statusKnown {
		return m.status.Released
	}
	// The pool's owner reports no worker for the machine. The leases of any
	// runs that it may still have end after MaxLease.
	return pl.now.Sub(m.plan.plannedAt) > 2*pl.cfg.MaxLease
}

func (pl *Planner) applyOrderResult(e OrderResult) {
	m := pl.machines[e.Machine]
	if m == nil || m.plan == nil {
		return
	}
	p := m.plan
	p.orderPending = false
	pl.orderedAt[m.ID] = pl.now
	p.retryAt = pl.now.Add(orderRetryInterval)
	pl.emit(Decision{What: "machine-ordered", Machine: m.ID, Pool: p.targetPool, Wave: p.wave, Why: e.Result.String()})
	switch e.Result {
	case Done:
		p.doneAt = pl.now
		if p.wave > 0 {
			m.State = workload.MachineUpkeep
			pl.wave(p.wave).upkeepStarted[m.ID] = true
		} else {
			m.State, m.Pool = workload.MachineMoving, p.targetPool
		}
	case Busy:
		if p.wave == 0 || m.State != workload.MachineUp {
			m.plan = nil
		}
	case Refused:
		m.plan = nil
		if p.wave > 0 {
			pl.wave(p.wave).recordRefusal(pl.now, m.ID)
		}
	case Fenced:
		pl.emit(Superseded{})
	}
}
