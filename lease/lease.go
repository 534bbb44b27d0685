// Package lease decides whether a lease is valid. The holder may be paused at
// any moment, so it counts the lease from before it sent the request, on its
// own monotonic clock; everyone else counts from when it first saw the
// current version of the row. Clocks of different processes are never
// compared. A lease only saves work: changes under it are conditional
// transactions that stay right when two holders overlap.
package lease

import (
	"hash/fnv"
	"time"
)

// Record is the value of a lease row.
type Record struct {
	Holder   string // empty: released
	Token    uint64 // fencing token; grows with each change of the holder
	Renewal  uint64 // grows with each renewal, so that no two writes are alike
	Duration time.Duration
}

// Renewed returns the record with which the holder renews its lease for d.
func (r Record) Renewed(d time.Duration) Record {
	r.Renewal++
	r.Duration = d
	return r
}

// Held is the holder's own knowledge of its lease. The zero value is not
// valid.
type Held struct {
	Token     uint64
	requested time.Time
	duration  time.Duration
}

// Acquired returns the lease that a successful write of r gives. requested is
// the time before the write was sent.
func Acquired(r Record, requested time.Time) Held {
	return Held{Token: r.Token, requested: requested, duration: r.Duration}
}

// Valid reports whether the lease is still held at now. The last eighth of the
// duration is not used: it covers different clock rates and the time between
// this check and the action.
func (h Held) Valid(now time.Time) bool {
	return now.Before(h.Until())
}

// Until returns the end of the validity; the zero time if nothing is held.
func (h Held) Until() time.Time {
	if h.duration == 0 {
		return time.Time{}
	}
	return h.requested.Add(h.duration - h.duration/8)
}

// RenewDue reports whether a third of the duration has passed.
func (h Held) RenewDue(now time.Time) bool {
	return now.Sub(h.requested) >= h.duration/3
}

// Watch is an observer's knowledge of how long a row has not changed.
type Watch struct {
	Version uint64
	Since   time.Time
}

// Observe takes in the version seen in a reading that was complete at now.
func (w *Watch) Observe(version uint64, now time.Time) {
	if w.Since.IsZero() || version != w.Version {
		w.Version, w.Since = version, now
	}
}

// Unchanged returns how long the row has had its version, at least.
func (w *Watch) Unchanged(now time.Time) time.Duration { return now.Sub(w.Since) }

// Claim says what a process should do about a lease that it does not hold.
type Claim struct {
	Self      string
	Preferred string // process that should hold it, of those alive
}

// Due reports whether the process should try to take the lease. The preferred
// process does so when the lease is free or has lapsed; others wait for one
// more duration, so that they do not race with it.
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

// Next returns the record to write when self takes the lease over from r.
func Next(r Record, self string, d time.Duration) Record {
	return Record{Holder: self, Token: r.Token + 1, Duration: d}
}

// Preferred returns the candidate that should hold the named lease, by
// rendezvous hashing: when a candidate comes or goes, only the leases that it
// takes or leaves change hands. It returns "" without candidates.
func Preferred(name string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, c := range candidates {
		h := fnv.New64a()
		_, _ = h.Write([]byte(c + "\x00" + name))
		if s := mix(h.Sum64()); best == "" || s > bestScore || (s == bestScore && c < best) {
			best, bestScore = c, s
		}
	}
	return best
}

// mix spreads the bits of an FNV hash, whose high bits differ little between
// short names (finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
