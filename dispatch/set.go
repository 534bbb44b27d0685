package dispatch

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Endpoint identifies an endpoint of a Set. It stays valid while the endpoint
// has requests in flight.
type Endpoint int32

// NoEndpoint is returned if there is no endpoint, and passed if there is none to
// avoid.
const NoEndpoint Endpoint = -1

// Pool identifies a pool of a Set.
type Pool int32

// NoPool is the Pool of an unknown name and of an endpoint that belongs to no
// pool.
const NoPool Pool = -1

// loadLevels is the number of load levels by which a pool's endpoints are
// indexed. An endpoint's level is the used part of its limit in sixteenths.
const loadLevels = 16

type endpoint struct {
	vm    structs.VM
	owner structs.Owner

	pool             Pool
	position         int32 // index in the pool's members
	level            int8  // load level; -1 if it can't take another request
	listed           bool  // VM present in the latest view
	previouslyListed bool  // VM present in the view before the latest one
	available        bool  // may receive requests other than probes

	inFlight  int32
	slotShare int32   // this gateway's share of the slots
	limit     float64 // adaptive concurrency limit
	capacity  int32   // part of the pool's capacity that this endpoint provides; 0 if it is unavailable
	free      int32   // unused part of capacity

	// refusalCeiling bounds the limit until ceilingUntil, after a refusal.
	refusalCeiling float64
	ceilingUntil   time.Time

	holdUntil    time.Time
	inHeldList   bool   // listed in Set.held
	drainEpoch   uint64 // highest epoch of a drain order; requests need an ownership row with a higher one
	holdEpoch    uint64 // highest epoch known when the hold time was started or extended
	staleVersion uint64 // version of the ownership row that the platform reported as outdated

	ejected          bool
	probing          bool
	probeAt          time.Time
	successfulProbes int // since the ejection or the latest failed probe
	ejections        int // number of ejections and failed probes since the endpoint last returned after probes
	failuresInRow    float64
	failureRate      float64 // moving average
	latencyRatio     float64 // moving average of the latency relative to the service's mean
	samples          int
}

type pool struct {
	name           string
	mayGrow        bool // endpoints' limits may exceed the gateway's share of their slots
	members        []Endpoint
	bitmapWords    int                  // length of each bitmap in 64-bit words
	levelBitmaps   [loadLevels][]uint64 // for each level, a bitmap of the positions of its endpoints
	levelCounts    [loadLevels]int32
	nonEmptyLevels uint32 // bit l is set if level l has endpoints
	cursor         int32
	capacity       int32
	free           int32
	ejected        int
	probeAt        time.Time // earliest time of the next probe; zero if no endpoint can be probed
}

// serviceStats are the running means of a service over all endpoints, with which
// single endpoints are compared.
type serviceStats struct {
	meanLatency float64 // seconds
	failureRate float64
	samples     int
}

// Set is the state of the endpoints of all pools.
type Set struct {
	opts          Options
	endpoints     []endpoint
	unusedEntries []Endpoint // indices of unused entries of endpoints
	byVM          map[string]Endpoint
	pools         []pool
	byName        map[string]Pool
	services      []serviceStats
	held          []Endpoint // endpoints with a hold time
	nextHoldEnd   time.Time  // at or before the earliest end of a hold time
}

// New returns an empty Set.
func New(o Options) *Set {
	return &Set{opts: o.withDefaults(), byVM: map[string]Endpoint{}, byName: map[string]Pool{}}
}

// Pool returns the pool with the given name, or NoPool.
func (s *Set) Pool(name string) Pool {
	if p, ok := s.byName[name]; ok {
		return p
	}
	return NoPool
}

// Pools returns the number of pools; valid pools are 0 to Pools()-1.
func (s *Set) Pools() int { return len(s.pools) }

// Name returns a pool's name.
func (s *Set) Name(p Pool) string { return s.pools[p].name }

// Capacity returns the sum of the limits of a pool's available endpoints: the
// number of requests that this gateway may have in flight there.
func (s *Set) Capacity(p Pool) int { return int(s.pools[p].capacity) }

// Free returns the unused part of Capacity.
func (s *Set) Free(p Pool) int { return int(s.pools[p].free) }

// Ready reports whether Pick can succeed for a request without an endpoint to
// avoid.
func (s *Set) Ready(now time.Time, p Pool) bool {
	return s.pools[p].free > 0 || s.ProbeDue(now, p)
}

// ProbeDue reports whether an ejected endpoint of the pool is due for a probe.
func (s *Set) ProbeDue(now time.Time, p Pool) bool {
	at := s.pools[p].probeAt
	return !at.IsZero() && !now.Before(at)
}

// Ejected returns the number of ejected endpoints of a pool.
func (s *Set) Ejected(p Pool) int { return s.pools[p].ejected }

// Members returns the number of endpoints in a pool, including unavailable ones.
func (s *Set) Members(p Pool) int { return len(s.pools[p].members) }

// VM returns an endpoint's VM and its ownership row, as last seen in a view.
func (s *Set) VM(e Endpoint) (structs.VM, structs.Owner) {
	return s.endpoints[e].vm, s.endpoints[e].owner
}

// Lookup returns the endpoint on the VM with the given ID, or
// NoEndpoint.
func (s *Set) Lookup(vm string) Endpoint {
	if e, ok := s.byVM[vm]; ok {
		return e
	}
	return NoEndpoint
}

// InFlight returns the number of picks of an endpoint that were not ended by
// Done or Release.
func (s *Set) InFlight(e Endpoint) int { return int(s.endpoints[e].inFlight) }

// Limit returns the number of requests that an endpoint may have in flight
// from this gateway.
func (s *Set) Limit(e Endpoint) int { return s.endpoints[e].intLimit() }

// IsAvailable reports whether an endpoint may receive requests other than probes.
func (s *Set) IsAvailable(e Endpoint) bool { return s.endpoints[e].available }

// SlotShare returns how many of an endpoint's slots belong to the gateway of
// the given rank among n gateways: those slots s with
// (slots*index+s) mod n == rank, where index is the endpoint's position in the
// sorted view.
func SlotShare(slots, index, rank, n int) int {
	if n <= 1 {
		return slots
	}
	share := slots / n
	// The remaining slots%n slots go to the ranks from this one on.
	first := (slots*index + share*n) % n
	if (rank-first+n)%n < slots%n {
		share++
	}
	return share
}

// intLimit returns the number of requests that may be in flight: the limit
// rounded down, but at least 1 unless the gateway has no share of the slots.
func (e *endpoint) intLimit() int {
	if e.slotShare == 0 {
		return 0
	}
	return max(1, int(e.limit))
}
