package intake

import "time"

// Retention of tombstones.
const (
	// MaxPause is the longest suspension of a process after which it still handles
	// requests that it received before.
	MaxPause = 4 * time.Minute
	// TombstoneLifetime is how long a tombstone is kept at least. A submission that was
	// sent before its cancellation arrives earlier, if at all: a kernel retransmits the
	// data of a closed connection for up to 15.4 minutes, and MaxPause may follow.
	TombstoneLifetime = 20 * time.Minute
)

// Tombstone is a stored tombstone.
type Tombstone struct {
	Key     string
	Version uint64
}

// Tombstones tells which tombstones may be removed. Their ages count from when they were
// read first, so they are never too great, whatever the clocks of other VMs show. It is
// not safe for concurrent use.
type Tombstones struct {
	versions map[string]uint64
	byAge    []agedTombstone // oldest first; entries that versions does not confirm are obsolete
}

type agedTombstone struct {
	Tombstone
	readAt time.Time
}

// Add adds a tombstone that was read at now, a time of a monotonic clock.
func (t *Tombstones) Add(now time.Time, s Tombstone) {
	if t.versions == nil {
		t.versions = map[string]uint64{}
	}
	if t.versions[s.Key] >= s.Version {
		return
	}
	t.versions[s.Key] = s.Version
	t.byAge = append(t.byAge, agedTombstone{Tombstone: s, readAt: now})
}

// Remove forgets a tombstone whose row has been removed or replaced.
func (t *Tombstones) Remove(key string) { delete(t.versions, key) }

// Forget forgets a tombstone unless a later version of its row is known.
func (t *Tombstones) Forget(s Tombstone) {
	if t.versions[s.Key] == s.Version {
		delete(t.versions, s.Key)
	}
}

// Len returns the number of tombstones.
func (t *Tombstones) Len() int { return len(t.versions) }

// Expired returns up to limit tombstones that have reached the end of their lifetime and
// are in the same part as the oldest one, as told by part.
func (t *Tombstones) Expired(now time.Time, limit int, part func(key string) string) []Tombstone {
	for len(t.byAge) > 0 && t.versions[t.byAge[0].Key] != t.byAge[0].Version {
		t.byAge = t.byAge[1:]
	}
	var expired []Tombstone
	for _, s := range t.byAge {
		if len(expired) == limit || now.Sub(s.readAt) < TombstoneLifetime {
			break
		}
		if t.versions[s.Key] == s.Version && part(s.Key) == part(t.byAge[0].Key) {
			expired = append(expired, s.Tombstone)
		}
	}
	return expired
}
