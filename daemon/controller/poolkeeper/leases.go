package poolkeeper

import (
	"time"

	"github.com/carobwharf/carobwharf/lease"
)

// A lease holder releases its lease after another live process has been the
// preferred holder for handOverLeaseDurations lease durations, so that leases do
// not move each time an unstable process joins or leaves. The delay doubles, up
// to maxHandOverDoublings times, each time the preferred process did not take
// the released lease: its peers may see it as live although it cannot reach the
// platform.
const (
	handOverLeaseDurations = 2
	maxHandOverDoublings   = 8
)

// holdsLease reports whether the lease of the pool is held and valid.
func (m *Machine) holdsLease(now time.Time, pool string) bool {
	l := m.leases[pool]
	return l != nil && l.held.Valid(now)
}

// leaseSlot returns the slot of changes to the pool's lease.
func leaseSlot(pool string) string { return "lease/" + pool }

// updateLease renews, acquires or releases the lease of a pool.
func (m *Machine) updateLease(now time.Time, pool string) {
	slot := leaseSlot(pool)
	if !m.slotFree(slot) {
		return
	}
	l := m.leaseStateOf(pool)
	preferred := lease.Preferred(pool, m.controllers)
	l.trackPreferred(now, preferred != "" && preferred != m.cfg.ID)
	r := l.row.Record
	switch {
	case l.held.Valid(now):
		if !l.otherPreferredSince.IsZero() && now.Sub(l.otherPreferredSince) > handOverLeaseDurations*m.cfg.LeaseDuration<<min(l.failedHandOvers, maxHandOverDoublings) {
			l.held = lease.Held{} // stop using the lease even if the write fails
			l.failedHandOvers++
			m.writeLease(l, lease.Record{Token: r.Token, Duration: m.cfg.LeaseDuration}, "lease given up")
		} else if l.held.RenewDue(now) {
			m.writeLease(l, r.Renewed(m.cfg.LeaseDuration), "lease renewed")
		}
	case m.shouldClaim(l, preferred):
		m.writeLease(l, lease.Takeover(r, m.cfg.ID, m.cfg.LeaseDuration), "lease taken")
	}
}

// shouldClaim reports whether this process should try to acquire the lease. It
// uses the time of the last read, not the current time, since the row may have
// changed after that read.
func (m *Machine) shouldClaim(l *leaseState, preferred string) bool {
	if l.row.Version == 0 && preferred == m.cfg.ID {
		return true
	}
	if l.watch.Since.IsZero() {
		l.watch.Since = m.rowsReadAt // there is no row; count from the first read
	}
	r := l.row.Record
	if r.Duration == 0 {
		r.Duration = m.cfg.LeaseDuration
	}
	return lease.Claim{Self: m.cfg.ID, Preferred: preferred}.Due(r, l.watch, m.rowsReadAt)
}

func (m *Machine) writeLease(l *leaseState, r lease.Record, kind string) {
	m.startChange(Change{
		Slot: leaseSlot(l.row.Pool), Kind: kind,
		Lease: &LeaseRow{Pool: l.row.Pool, Version: l.row.Version, Record: r},
	})
}

// trackPreferred records since when another process is the preferred holder.
func (l *leaseState) trackPreferred(now time.Time, other bool) {
	switch {
	case !other:
		l.otherPreferredSince = time.Time{}
	case l.otherPreferredSince.IsZero():
		l.otherPreferredSince = now
	}
}
