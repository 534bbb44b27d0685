// Package lease decides whether a lease is valid and when it may be taken over.
// The holder may be paused at any moment, so it measures the duration of the
// lease from before it sent the request, on its own monotonic clock. All other
// processes measure it from when they first saw the current version of the row.
// Clocks of different processes are never compared. A lease only avoids duplicate
// work: changes made under it are conditional transactions, which stay correct if
// two processes believe that they hold the lease.
package lease

import (
	"hash/fnv"
	"time"
)

// Record is the value of a lease row.
type Record struct {
	Holder   string // empty: the lease is free
	Token    uint64 // fencing token; increases with each change of the holder
	Renewal  uint64 // increases with each renewal, so that no two writes are equal
	Duration time.Duration
}

// Renewed returns the record with which the holder renews its lease for d.
func (r Record) Renewed(d time.Duration) Record {
	r.Renewal++
	r.Duration = d
	return r
}

// Held is a lease as its holder knows it. The zero value is a lease that is not
// valid.
type Held struct {
	Token     uint64
	requested time.Time
	duration  time.Duration
}

// Acquired returns the lease that is held after a successful write of r.
// requested is a time before the write was sent.
func Acquired(r Record, requested time.Time) Held {
	return Held{Token: r.Token, requested: requested, duration: r.Duration}
}

// Valid reports whether the lease is still held at now. The last eighth of the
// duration is a safety margin for different clock rates and for the time between
// this check and the action.
func (h Held) Valid(now time.Time) bool {
	return now.Before(h.Until())
}

// Until returns the time at which the lease stops being valid, or the zero time if
// no lease is held.
func (h Held) Until() time.Time {
	if h.duration == 0 {
		return time.Time{}
	}
	return h.requested.Add(h.duration - h.duration/8)
}

// RenewDue reports whether the lease should be renewed: a third of its duration
// has passed.
func (h Held) RenewDue(now time.Time) bool {
	return now.Sub(h.requested) >= h.duration/3
}

// Watch records for how long a process has seen a row unchanged.
type Watch struct {
	Version uint64
	Since   time.Time
}

// Observe records the version returned by a read that was complete at now.
func (w *Watch) Observe(version uint64, now time.Time) {
	if w.Since.IsZero() || version != w.Version {
		w.Version, w.Since = version, now
	}
}

// Unchanged returns the minimum time for which the row has had its version.
func (w *Watch) Unchanged(now time.Time) time.Duration { return now.Sub(w.Since) }

// Claim decides when a process should claim a lease that it does not hold.
type Claim struct {
	Self      string
	Preferred string // live process that should hold the lease
}

// Due reports whether the process should try to take the lease. The preferred
// process does so when the lease is free or has expired. Others wait for one more
// duration, so that they do not compete with it.
func (c Claim) Due(r Record, w Watch, now time.Time) bool {
	idle := w.Unchanged(now)
	if r.Holder == "" {
		return c.Self == c.Preferred || idle > r.Duration
	}
	if c.Self == c.Preferred || c.Self == r.Holder {
		return idle > r.Duration
	}
	return idle > 2*r.Duration
}

// Takeover returns the record with which self takes over the lease in state r.
func Takeover(r Record, self string, d time.Duration) Record {
	return Record{Holder: self, Token: r.Token + 1, Duration: d}
}

// Preferred returns the candidate that should hold the named lease, by
// rendezvous hashing: when a candidate is added or removed, only the leases that
// it receives or held move. It returns "" without candidates.
func Preferred(name string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, candidate := range candidates {
		h := fnv.New64a()
		_, _ = h.Write([]byte(candidate + "\x00" + name))
		if s := mixBits(h.Sum64()); best == "" || s > bestScore || (s == bestScore && candidate < best) {
			best, bestScore = candidate, s
		}
	}
	return best
}

// mixBits spreads the bits of an FNV hash, whose high bits differ little between
// short names. It is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
