package machine

import (
	"container/heap"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Machine is the state machine of the jobs duty. It is not safe for concurrent
// use.
type Machine struct {
	cfg    Config
	fleet  *structs.FleetView
	owners map[string]structs.Owner
	config *structs.Config
	leases map[string]*observedLease
	pools  map[string]*pool // pools whose lease is held
	jobs   map[string]*job  // jobs of these pools that have not ended

	scanning, readingUsage  bool
	nextScan, nextUsageRead time.Time
	lastScan                time.Time // start of the last successful scan

	dirty   []*job // jobs to advance at the end of the step
	wakeups wakeups
	actions []Action
}

// New returns a machine without any jobs, leases, fleet or configuration.
func New(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, owners: map[string]structs.Owner{},
		leases: map[string]*observedLease{}, pools: map[string]*pool{}, jobs: map[string]*job{},
	}
}

// Step processes an event and returns the actions to carry out. The times of
// all calls must come from the same monotonic clock.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = nil
	m.dropLostPools(now)
	switch e := e.(type) {
	case Tick:
		m.startDueReads(now)
	case FleetUpdated:
		m.handleFleet(now, e.View)
	case ConfigUpdated:
		m.handleConfig(e.Config)
	case ScanResult:
		m.handleScan(now, e)
	case WriteResult:
		m.handleWriteResult(now, e)
	case ReadResult:
		m.handleReadResult(now, e)
	case CallResult:
		m.handleCallResult(now, e)
	case UsageResult:
		m.handleUsage(now, e)
	case JobChanged:
		m.mergeRow(now, e.Job)
	}
	m.processWakeups(now)
	for _, name := range sortedKeys(m.pools) {
		m.schedulePool(now, m.pools[name])
	}
	m.advanceJobs(now)
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// startDueReads emits the scan and the read of the usage report when they are
// due and not already in flight.
func (m *Machine) startDueReads(now time.Time) {
	if !m.scanning && !now.Before(m.nextScan) {
		m.scanning, m.nextScan = true, now.Add(m.cfg.ScanInterval)
		m.emit(Scan{})
	}
	if !m.readingUsage && len(m.pools) > 0 && !now.Before(m.nextUsageRead) {
		m.readingUsage, m.nextUsageRead = true, now.Add(m.cfg.UsageInterval)
		m.emit(ReadUsage{})
	}
}

// advanceJobs emits the next action of each dirty job.
func (m *Machine) advanceJobs(now time.Time) {
	for i := 0; i < len(m.dirty); i++ {
		j := m.dirty[i]
		j.dirty = false
		if m.jobs[j.id()] == j {
			m.advanceJob(now, j)
		}
	}
	m.dirty = m.dirty[:0]
}

func (m *Machine) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		m.dirty = append(m.dirty, j)
	}
}

// wakeup is a time at which a job is marked dirty.
type wakeup struct {
	at  time.Time
	job *job
}

type wakeups []wakeup

func (w wakeups) Len() int           { return len(w) }
func (w wakeups) Less(i, j int) bool { return w[i].at.Before(w[j].at) }
func (w wakeups) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *wakeups) Push(x any)        { *w = append(*w, x.(wakeup)) }
func (w *wakeups) Pop() any {
	old := *w
	x := old[len(old)-1]
	old[len(old)-1] = wakeup{}
	*w = old[:len(old)-1]
	return x
}

func (m *Machine) scheduleWakeup(j *job, at time.Time) { heap.Push(&m.wakeups, wakeup{at, j}) }

func (m *Machine) processWakeups(now time.Time) {
	for len(m.wakeups) > 0 && !m.wakeups[0].at.After(now) {
		m.markDirty(heap.Pop(&m.wakeups).(wakeup).job)
	}
}
