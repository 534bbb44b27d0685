// Package fleet decides which machines change their pool and when machines
// have their upkeep. It is a state machine: the list of machines, the state of
// the pools and the operator's waves go in; orders for machines come out. A
// machine is ordered to stop only after its pool's owner has released it.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/workload"
)

// Config is what a machine is made with.
type Config struct {
	Token        uint64        // of the fleet's lease
	HolderChange time.Duration // least time between orders of two holders
	MoveTime     time.Duration // a machine takes to change its pool
	UpkeepTime   time.Duration // a machine takes for its upkeep
	MaxLease     time.Duration // of runs at a worker
}

// Timing of the machine's own work.
const (
	// listEvery is the time between lists of machines while orders are open.
	listEvery = 500 * time.Millisecond
	// idleListEvery is the time between lists otherwise.
	idleListEvery = 2 * time.Second
	// orderRetry spaces orders for one machine.
	orderRetry = 200 * time.Millisecond
	// returnSlack is taken off the time that a machine is away, so that its
	// new worker is usable as soon as it registers.
	returnSlack = 300 * time.Millisecond
)

// Machine decides. It is used from one goroutine.
type Machine struct {
	cfg      Config
	actFrom  time.Time // no order before
	now      time.Time
	machines map[string]*machine
	list     []*machine // by id
	pools    map[string]*pool
	names    []string
	waves    map[int]*wave
	listing  bool
	listed   bool
	listAt   time.Time
	listSent time.Time
	seenAt   time.Time // sending of the list that was taken in last
	out      []Action
}

// machine is a machine of the list.
type machine struct {
	workload.Machine
	plan *plan
	load engine.MachineStatus
	seen bool // load is known
}

// plan is what is to be done with a machine.
type plan struct {
	to      string // pool, for a move
	wave    int    // for an upkeep
	since   time.Time
	written uint64 // version of the fleet's row that asks for the release
	ordered bool   // an order is under way
	retryAt time.Time
	doneAt  time.Time // when the order was carried out
	worker  string    // before the order
	back    bool      // the machine may be used again; the list does not say so yet
}

// pool is the state of a pool.
type pool struct {
	Pool
	name    string
	base    int       // machines when the pool was first seen
	surplus time.Time // since when more machines are there than wanted
	peak    time.Time // when it last wanted more than it had
	loads   []sample  // of the last loadWindow
	want    int       // machines that it should have, in this step
	cycle   cycle
	tally
}

// tally counts the machines of a pool in one pass over all machines.
type tally struct {
	have        int // with those on their way to it and without those that leave it
	away        int // with a plan
	awayLasting int // of these, with lasting tasks
	upkeep      int // of these, planned for upkeep
}

// sample is the load of a pool at a moment, in thousandths of a core.
type sample struct {
	at   time.Time
	load int
}

// wave is a wave of upkeep.
type wave struct {
	WaveSeen
	kept     map[string]bool // machines whose upkeep has begun
	reported int             // 0: nothing, 1: running, 2: completed
	writing  bool
}

// New returns a machine of a new holder. kept lists the machines of each wave
// whose upkeep earlier holders have begun. successor says that there was an
// earlier holder, whose last order may be recent.
func New(now time.Time, cfg Config, kept map[int][]string, successor bool) *Machine {
	m := &Machine{
		cfg: cfg, actFrom: now, machines: map[string]*machine{}, pools: map[string]*pool{}, waves: map[int]*wave{},
	}
	if successor {
		m.actFrom = now.Add(cfg.HolderChange)
	}
	for number, ids := range kept {
		w := m.wave(number)
		for _, id := range ids {
			w.kept[id] = true
		}
	}
	return m
}

func (m *Machine) wave(number int) *wave {
	w, ok := m.waves[number]
	if !ok {
		w = &wave{kept: map[string]bool{}}
		m.waves[number] = w
	}
	return w
}

// Step takes events in and returns what to do. now comes from one monotonic
// clock.
func (m *Machine) Step(now time.Time, events ...Event) []Action {
	m.now, m.out = now, nil
	for _, e := range events {
		m.apply(e)
	}
	m.askList()
	if m.listed && !now.Before(m.actFrom) {
		m.settle()
		m.count()
		m.planWaves()
		m.planMoves()
		m.order()
		m.report()
	}
	return m.out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) apply(e Event) {
	switch e := e.(type) {
	case Listed:
		m.takeList(e)
	case PoolsSeen:
		m.takePools(e.Pools)
	case WavesSeen:
		for number, seen := range e.Waves {
			m.wave(number).WaveSeen = seen
		}
	case RowStored:
		for _, id := range e.Machines {
			if x := m.machines[id]; x != nil && x.plan != nil && x.plan.written == 0 {
				x.plan.written = e.Version
			}
		}
	case Ordered:
		m.ordered(e)
	case StatusStored:
		w := m.wave(e.Wave)
		w.writing = false
		if e.OK {
			w.reported = 1
			if e.Done {
				w.reported = 2
			}
		}
	}
}

func (m *Machine) askList() {
	if m.listing || m.now.Before(m.listAt) {
		return
	}
	m.listing, m.listSent = true, m.now
	m.emit(List{})
}

func (m *Machine) takeList(e Listed) {
	m.listing = false
	m.listAt = m.now.Add(listEvery)
	if !e.OK {
		return
	}
	m.listed, m.seenAt = true, m.listSent
	old := m.machines
	m.machines, m.list = map[string]*machine{}, m.list[:0]
	open := false
	for _, listed := range e.Machines {
		x := old[listed.ID]
		if x == nil {
			x = &machine{}
		}
		// A list that was asked for before an order was carried out does not
		// show it.
		if x.plan == nil || x.plan.doneAt.IsZero() || m.listSent.After(x.plan.doneAt) {
			x.Machine = listed
		}
		m.machines[listed.ID] = x
		m.list = append(m.list, x)
		open = open || x.plan != nil
	}
	slices.SortFunc(m.list, func(a, b *machine) int { return cmp.Compare(a.ID, b.ID) })
	if !open && !m.waveOpen() {
		m.listAt = m.now.Add(idleListEvery)
	}
}

func (m *Machine) waveOpen() bool {
	for _, w := range m.waves {
		if w.Number > 0 && w.reported < 2 {
			return true
		}
	}
	return false
}

func (m *Machine) takePools(pools map[string]Pool) {
	loads := map[string]engine.MachineStatus{}
	for name, seen := range pools {
		p := m.pools[name]
		if p == nil {
			p = &pool{name: name}
			m.pools[name] = p
			m.names = append(m.names, name)
			slices.Sort(m.names)
		}
		p.Pool = seen
		p.sample(m.now)
		for _, load := range seen.Status.Machines {
			loads[load.Worker] = load
		}
	}
	// An entry of an earlier worker of the machine, in this pool or another,
	// says nothing about the present one.
	for _, x := range m.machines {
		x.load, x.seen = loads[x.Worker]
	}
}

// Release returns the machines that their pools' owners are to release, and
// Kept the upkeeps begun. Both belong into the fleet's row.
func (m *Machine) Release() []string {
	var ids []string
	for _, x := range m.list {
		if x.plan != nil && !x.plan.back {
			ids = append(ids, x.ID)
		}
	}
	return ids
}

// Kept returns the machines of each open wave whose upkeep has begun.
func (m *Machine) Kept() map[int][]string {
	kept := map[int][]string{}
	for number, w := range m.waves {
		for id := range w.kept {
			kept[number] = append(kept[number], id)
		}
		slices.Sort(kept[number])
	}
	return kept
}

// count brings the tallies of the pools up to date.
func (m *Machine) count() {
	for _, p := range m.pools {
		p.tally = tally{}
	}
	for _, x := range m.list {
		m.tally(x, 1)
	}
}

// tally adds a machine to the counts of its pools, or with -1 takes it out.
func (m *Machine) tally(x *machine, n int) {
	at := x.Pool
	if x.plan != nil && x.plan.to != "" {
		at = x.plan.to
	}
	if p := m.pools[at]; p != nil && x.State != workload.MachineDown {
		p.have += n
	}
	p := m.pools[x.Pool]
	if p == nil || x.plan == nil {
		return
	}
	p.away += n
	if x.load.Lasting > 0 {
		p.awayLasting += n
	}
	if x.plan.wave > 0 {
		p.upkeep += n
	}
}

// setPlan gives a machine without a plan one.
func (m *Machine) setPlan(x *machine, p plan) {
	m.tally(x, -1)
	p.since = m.now
	x.plan = &p
	m.tally(x, 1)
}

// settle ends plans that have been carried out.
func (m *Machine) settle() {
	for _, x := range m.list {
		if x.plan == nil || x.plan.ordered || x.plan.doneAt.IsZero() {
			continue
		}
		away := m.cfg.MoveTime
		if x.plan.wave > 0 {
			away = m.cfg.UpkeepTime
		}
		x.plan.back = x.plan.back || !m.now.Before(x.plan.doneAt.Add(away-returnSlack))
		// A machine in the standby pool has no worker that would change.
		listedLater := m.seenAt.After(x.plan.doneAt.Add(away))
		if x.State == workload.MachineUp && (x.Worker != x.plan.worker || listedLater) {
			x.plan = nil
		}
	}
}

// order gives the orders whose machines have been released.
func (m *Machine) order() {
	for _, x := range m.list {
		p := x.plan
		if p == nil || p.ordered || !p.doneAt.IsZero() || m.now.Before(p.retryAt) || !m.released(x) {
			continue
		}
		if p.wave > 0 {
			w := m.wave(p.wave)
			if m.down(w) >= w.MaxDown {
				continue
			}
			m.emit(Upkeep{Token: m.cfg.Token, Machine: x.ID, Wave: p.wave})
		} else {
			m.emit(Move{Token: m.cfg.Token, Machine: x.ID, Pool: p.to})
		}
		p.ordered, p.worker = true, x.Worker
	}
}

// released reports whether nothing runs on the machine and its pool's owner
// starts nothing there.
func (m *Machine) released(x *machine) bool {
	p := m.pools[x.Pool]
	if p == nil {
		return false
	}
	if p.Standby {
		return true // its machines are off
	}
	if !p.Owned || x.plan.written == 0 || p.Status.Release < x.plan.written {
		return false
	}
	if x.seen {
		return x.load.Released
	}
	// No worker is registered for the machine. What it may run has lapsed
	// after the longest lease.
	return m.now.Sub(x.plan.since) > 2*m.cfg.MaxLease
}

// down returns the number of machines of a wave that are in upkeep, or may be.
func (m *Machine) down(w *wave) int {
	n := 0
	for _, id := range w.Machines {
		x := m.machines[id]
		if x == nil {
			continue
		}
		if x.State == workload.MachineUpkeep || x.plan != nil && x.plan.wave == w.Number && (x.plan.ordered || !x.plan.doneAt.IsZero()) {
			n++
		}
	}
	return n
}

func (m *Machine) ordered(e Ordered) {
	x := m.machines[e.Machine]
	if x == nil || x.plan == nil {
		return
	}
	p := x.plan
	p.ordered = false
	p.retryAt = m.now.Add(orderRetry)
	m.emit(Decision{What: "machine-ordered", Machine: x.ID, Pool: p.to, Wave: p.wave, Why: e.Result.String()})
	switch e.Result {
	case Done:
		p.doneAt = m.now
		if p.wave > 0 {
			x.State = workload.MachineUpkeep
			m.wave(p.wave).kept[x.ID] = true
		} else {
			x.State, x.Pool = workload.MachineMoving, p.to
		}
	case Busy:
		if p.wave == 0 || x.State != workload.MachineUp {
			x.plan = nil
		}
	case Refused:
		x.plan = nil
		if p.wave > 0 {
			m.wave(p.wave).kept[x.ID] = true // not of this wave any more
		}
	case Fenced:
		m.emit(Deposed{})
	}
}

// report tells the operator about waves.
func (m *Machine) report() {
	for number, w := range m.waves {
		if w.Number == 0 || w.writing || w.reported == 2 {
			continue
		}
		done := m.left(w) == 0
		if done || w.reported == 0 {
			w.writing = true
			m.emit(WaveStatus{Wave: number, Done: done})
		}
	}
}

// left returns the number of machines whose upkeep has not begun.
func (m *Machine) left(w *wave) int {
	n := 0
	for _, id := range w.Machines {
		if m.machines[id] != nil && !w.kept[id] {
			n++
		}
	}
	return n
}
