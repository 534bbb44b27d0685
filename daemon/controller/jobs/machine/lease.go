package machine

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// leaseView is what the readings say of a lease. The pool keeper of this
// process takes and renews it.
type leaseView struct {
	row   LeaseRow
	until time.Time // end of the validity; zero if the own process does not hold it
	last  uint64    // greatest fencing token given under the lease token
}

// observe takes a reading of a lease in. A version that the reading before
// did not show was written after that one began, so the lease is valid for
// its duration from then. The last eighth is not used, as in package lease.
func (m *Machine) observe(r LeaseRow) {
	l := m.leases[r.Pool]
	if l == nil {
		m.leases[r.Pool] = &leaseView{row: r}
		if m.lastScan.IsZero() {
			return // the age of the first version seen is not known
		}
		l = m.leases[r.Pool]
	} else if r.Version == l.row.Version {
		return
	}
	if r.Token != l.row.Token {
		l.last = 0
	}
	l.row, l.until = r, time.Time{}
	if r.Holder == m.cfg.ID {
		l.until = m.lastScan.Add(r.Duration - r.Duration/8)
	}
}

// pool is the scheduling state of a pool whose lease is held.
type pool struct {
	name    string
	token   uint64 // of the lease
	sched   *placement.Scheduler
	workers map[string]bool // in the scheduler
	parked  map[string]bool // jobs for which the fleet has a worker and the pool has none
	dirty   bool
	timers  time.Time // next time at which to place without a change
}

// dropLost forgets the pools whose lease has ended. Their tasks go on under
// the next holder.
func (m *Machine) dropLost(now time.Time) {
	for name, p := range m.pools {
		l := m.leases[name]
		if l != nil && now.Before(l.until) && l.row.Token == p.token {
			continue
		}
		m.dropPool(p)
	}
}

func (m *Machine) dropPool(p *pool) {
	delete(m.pools, p.name)
	for id, j := range m.jobs {
		if j.pool == p {
			delete(m.jobs, id)
		}
	}
}

// takePools begins to schedule the pools whose lease was found to be held.
func (m *Machine) takePools(now time.Time, rows []structs.Job) {
	if m.fleet == nil || m.config == nil {
		return
	}
	for _, name := range sortedKeys(m.leases) {
		l := m.leases[name]
		if m.pools[name] != nil || !now.Before(l.until) {
			continue
		}
		p := &pool{
			name: name, token: l.row.Token, workers: map[string]bool{}, parked: map[string]bool{}, dirty: true,
			sched: placement.New(placement.Options{
				Attempts: m.cfg.Attempts, Lease: 2 * m.cfg.Lease, Declared: true,
			}, l.lastToken(name, rows)),
		}
		m.pools[name] = p
		m.setTeams(p)
		m.setWorkers(p, m.usable()[name])
	}
}

// lastToken returns the token above which new ones start: a pool that is
// lost and taken again under the same lease does not use a token twice.
func (l *leaseView) lastToken(pool string, rows []structs.Job) uint64 {
	last := max(l.last, l.row.Token<<32)
	for i := range rows {
		if r := &rows[i]; r.Spec.Pool == pool && r.Token>>32 == l.row.Token {
			last = max(last, r.Token)
		}
	}
	return last
}

func (m *Machine) seeConfig(c *structs.Config) {
	if m.config != nil && c.Generation <= m.config.Generation {
		return
	}
	m.config = c
	for _, p := range m.pools {
		m.setTeams(p)
	}
}

func (m *Machine) setTeams(p *pool) {
	for _, t := range m.config.Set.Teams {
		p.sched.SetTeam(t)
	}
	p.dirty = true
}

func (m *Machine) scanned(now time.Time, e Scanned) {
	m.scanning = false
	if e.Failed {
		return
	}
	for _, r := range e.Leases {
		m.observe(r)
	}
	m.lastScan = e.Started
	m.dropLost(now)
	m.takePools(now, e.Jobs)
	for _, row := range e.Jobs {
		m.merge(now, row)
	}
}

func sortedKeys[T any](of map[string]T) []string { return slices.Sorted(maps.Keys(of)) }
