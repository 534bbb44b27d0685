package poolkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/lease"
)

// A holder that is not preferred gives its lease up after another live
// process has been preferred for this many lease durations, so that a process
// that comes and goes does not move the leases with it.
const handOverAfter = 2

// holds reports whether the lease of the pool is held and valid.
func (m *Machine) holds(now time.Time, pool string) bool {
	l := m.leases[pool]
	return l != nil && l.held.Valid(now)
}

func leaseSlot(pool string) string { return "lease/" + pool }

// decideLease renews, takes or gives up the lease of a pool.
func (m *Machine) decideLease(now time.Time, pool string) {
	slot := leaseSlot(pool)
	if !m.free(slot) {
		return
	}
	l := m.lease(pool)
	preferred := lease.Preferred(pool, slices.Collect(maps.Keys(m.controllers)))
	l.notePreferred(now, preferred != "" && preferred != m.cfg.ID)
	r := l.row.Record
	switch {
	case l.held.Valid(now):
		if !l.otherSince.IsZero() && now.Sub(l.otherSince) > handOverAfter*m.cfg.LeaseDuration {
			l.held = lease.Held{} // not used from here on, whatever becomes of the write
			m.writeLease(l, lease.Record{Token: r.Token, Duration: m.cfg.LeaseDuration}, "lease given up")
		} else if l.held.RenewDue(now) {
			m.writeLease(l, r.Renewed(m.cfg.LeaseDuration), "lease renewed")
		}
	case m.claimable(l, preferred):
		m.writeLease(l, lease.Next(r, m.cfg.ID, m.cfg.LeaseDuration), "lease taken")
	}
}

// claimable decides by the time of the last reading, not by now: what the row
// is at this moment is not known.
func (m *Machine) claimable(l *leaseState, preferred string) bool {
	if l.row.Version == 0 && preferred == m.cfg.ID {
		return true
	}
	if l.watch.Since.IsZero() {
		l.watch.Since = m.rowsAt // there is no row; count from the first reading
	}
	r := l.row.Record
	if r.Duration == 0 {
		r.Duration = m.cfg.LeaseDuration
	}
	return lease.Claim{Self: m.cfg.ID, Preferred: preferred}.Due(r, l.watch, m.rowsAt)
}

func (m *Machine) writeLease(l *leaseState, r lease.Record, kind string) {
	m.change(Change{
		Slot: leaseSlot(l.row.Pool), Kind: kind,
		Lease: &LeaseRow{Pool: l.row.Pool, Version: l.row.Version, Record: r},
	})
}

func (l *leaseState) notePreferred(now time.Time, other bool) {
	switch {
	case !other:
		l.otherSince = time.Time{}
	case l.otherSince.IsZero():
		l.otherSince = now
	}
}
