package machine

import (
	"container/heap"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Machine makes the decisions of the duty. It is owned by one goroutine.
type Machine struct {
	cfg    Config
	fleet  *structs.FleetView
	owners map[string]structs.Owner
	config *structs.Config
	leases map[string]*leaseView
	pools  map[string]*pool // pools whose lease is held
	jobs   map[string]*job  // of these pools, not ended

	scanning, reading bool
	scanAt, usageAt   time.Time // of the next one
	lastScan          time.Time // start of the last successful one

	touched []*job // to be driven at the end of the step
	wakes   wakes
	out     []Action
}

// New returns a machine that knows nothing.
func New(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, owners: map[string]structs.Owner{},
		leases: map[string]*leaseView{}, pools: map[string]*pool{}, jobs: map[string]*job{},
	}
}

// Step takes an event in and returns what to do. now must come from one
// monotonic clock.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.out = nil
	m.dropLost(now)
	switch e := e.(type) {
	case Tick:
		m.read(now)
	case FleetSeen:
		m.seeFleet(now, e.View)
	case ConfigSeen:
		m.seeConfig(e.Config)
	case Scanned:
		m.scanned(now, e)
	case Written:
		m.written(now, e)
	case Read:
		m.readBack(now, e)
	case Called:
		m.called(now, e)
	case UsageSeen:
		m.usage(now, e)
	case Hint:
		m.merge(now, e.Job)
	}
	m.wakeDue(now)
	for _, name := range sortedKeys(m.pools) {
		m.place(now, m.pools[name])
	}
	m.drive(now)
	return m.out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

// read orders the readings that are due. One that is under way is not
// repeated.
func (m *Machine) read(now time.Time) {
	if !m.scanning && !now.Before(m.scanAt) {
		m.scanning, m.scanAt = true, now.Add(m.cfg.ScanEvery)
		m.emit(Scan{})
	}
	if !m.reading && len(m.pools) > 0 && !now.Before(m.usageAt) {
		m.reading, m.usageAt = true, now.Add(m.cfg.Usage)
		m.emit(ReadUsage{})
	}
}

// drive orders the next write or call of each job that changed.
func (m *Machine) drive(now time.Time) {
	for i := 0; i < len(m.touched); i++ {
		j := m.touched[i]
		j.touched = false
		if m.jobs[j.id()] == j {
			m.driveJob(now, j)
		}
	}
	m.touched = m.touched[:0]
}

func (m *Machine) touch(j *job) {
	if !j.touched {
		j.touched = true
		m.touched = append(m.touched, j)
	}
}

// wake is a time at which a job needs attention.
type wake struct {
	at  time.Time
	job *job
}

type wakes []wake

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at.Before(w[j].at) }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *wakes) Push(x any)        { *w = append(*w, x.(wake)) }
func (w *wakes) Pop() any {
	old := *w
	x := old[len(old)-1]
	old[len(old)-1] = wake{}
	*w = old[:len(old)-1]
	return x
}

func (m *Machine) wakeAt(j *job, at time.Time) { heap.Push(&m.wakes, wake{at, j}) }

func (m *Machine) wakeDue(now time.Time) {
	for len(m.wakes) > 0 && !m.wakes[0].at.After(now) {
		m.touch(heap.Pop(&m.wakes).(wake).job)
	}
}
