package machine

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// observedLease is the state of a pool's lease as seen in scans. This package
// only observes leases; the pool keeper acquires and renews them.
type observedLease struct {
	row        LeaseRow
	validUntil time.Time // zero if this process does not hold the lease
	lastIssued uint64    // greatest fencing token issued under the lease token
}

// observeLease processes a lease row of a scan. A version that the previous
// scan did not show was written after that scan started, so the lease is valid
// for its duration from that start at least. As in package lease, the last
// eighth of the duration is not used.
func (m *Machine) observeLease(r LeaseRow) {
	l := m.leases[r.Pool]
	if l == nil {
		m.leases[r.Pool] = &observedLease{row: r}
		if m.lastScan.IsZero() {
			return // without an earlier scan, the age of this version is unknown
		}
		l = m.leases[r.Pool]
	} else if r.Version == l.row.Version {
		return
	}
	if r.Token != l.row.Token {
		l.lastIssued = 0
	}
	l.row, l.validUntil = r, time.Time{}
	if r.Holder == m.cfg.ID {
		l.validUntil = m.lastScan.Add(r.Duration - r.Duration/8)
	}
}

// pool is the scheduling state of a pool whose lease is held.
type pool struct {
	name          string
	leaseToken    uint64
	scheduler     *placement.Scheduler
	workers       map[string]bool // workers of the scheduler, by VM
	parked        map[string]bool // jobs that fit a VM of the fleet but no worker of the pool
	dirty         bool            // a scheduling pass is needed
	nextPlacement time.Time       // time of the next scheduling pass if the pool is not dirty
}

// dropLostPools stops scheduling the pools whose lease is no longer held. Their
// tasks keep running and are adopted by the next holder.
func (m *Machine) dropLostPools(now time.Time) {
	for name, p := range m.pools {
		l := m.leases[name]
		if l != nil && now.Before(l.validUntil) && l.row.Token == p.leaseToken {
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

// startPools starts scheduling the pools whose lease is held and that are not
// scheduled yet.
func (m *Machine) startPools(now time.Time, rows []structs.Job) {
	if m.fleet == nil || m.config == nil {
		return
	}
	for _, name := range sortedKeys(m.leases) {
		l := m.leases[name]
		if m.pools[name] != nil || !now.Before(l.validUntil) {
			continue
		}
		p := &pool{
			name: name, leaseToken: l.row.Token, workers: map[string]bool{}, parked: map[string]bool{}, dirty: true,
			scheduler: placement.New(placement.Options{
				MaxAttempts: m.cfg.MaxAttempts, TaskLease: 2 * m.cfg.TaskLease, ReserveDeclaredSize: true,
			}, l.lastUsedToken(name, rows)),
		}
		m.pools[name] = p
		m.setTeams(p)
		m.setWorkers(p, m.usableVMs()[name])
	}
}

// lastUsedToken returns the greatest fencing token that may have been used
// under the lease. New tokens are greater, so that a pool which is dropped and
// started again under the same lease does not use a token twice.
func (l *observedLease) lastUsedToken(pool string, rows []structs.Job) uint64 {
	lastIssued := max(l.lastIssued, l.row.Token<<32)
	for i := range rows {
		if r := &rows[i]; r.Spec.Pool == pool && r.Token>>32 == l.row.Token {
			lastIssued = max(lastIssued, r.Token)
		}
	}
	return lastIssued
}

func (m *Machine) handleConfig(c *structs.Config) {
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
		p.scheduler.SetTeam(t)
	}
	p.dirty = true
}

func (m *Machine) handleScan(now time.Time, e ScanResult) {
	m.scanning = false
	if e.Failed {
		return
	}
	for _, r := range e.Leases {
		m.observeLease(r)
	}
	m.lastScan = e.Started
	m.dropLostPools(now)
	m.startPools(now, e.Jobs)
	for _, row := range e.Jobs {
		m.mergeRow(now, row)
	}
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
