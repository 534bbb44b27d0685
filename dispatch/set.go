package dispatch

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Endpoint identifies an endpoint of a Set. It stays valid while the endpoint
// has requests in flight.
type Endpoint int32

// None is the absence of an endpoint.
const None Endpoint = -1

// Pool identifies a pool of a Set.
type Pool int32

// NoPool is the absence of a pool.
const NoPool Pool = -1

// Load levels by which a pool's endpoints are indexed: the used part of an
// endpoint's limit in sixteenths.
const levels = 16

type endpoint struct {
	vm    structs.VM
	owner structs.Owner

	pool      Pool
	position  int32 // in the pool's members
	level     int8  // -1: not available
	listed    bool  // present in the latest view
	wasListed bool  // present in the view before
	open      bool  // may receive ordinary work

	inFlight int32
	share    int32 // slots of this gateway
	limit    float64
	capacity int32 // contribution to the pool's sums
	free     int32

	ceiling      float64
	ceilingUntil time.Time

	heldUntil    time.Time
	isHeld       bool   // listed in Set.held
	drainEpoch   uint64 // the owner's epoch must exceed it
	holdEpoch    uint64 // latest epoch known when the hold time began
	staleVersion uint64 // owner version that the platform has refuted

	ejected   bool
	probing   bool
	probeAt   time.Time
	probesOK  int
	ejections int
	inRow     float64
	failRate  float64
	slowness  float64
	samples   int
}

type pool struct {
	name     string
	grow     bool
	members  []Endpoint
	words    int
	bits     [levels][]uint64
	count    [levels]int32
	filled   uint32 // bit l is set if level l has endpoints
	cursor   int32
	capacity int32
	free     int32
	ejected  int
	probeAt  time.Time // earliest time of a probe; zero if none can be made
}

// serviceStats are the reference values against which endpoints are judged.
type serviceStats struct {
	latency  float64 // seconds
	failRate float64
	samples  int
}

// Set holds the endpoints of all pools.
type Set struct {
	opts      Options
	endpoints []endpoint
	spare     []Endpoint // unused entries
	byVM      map[string]Endpoint
	pools     []pool
	byName    map[string]Pool
	services  []serviceStats
	held      []Endpoint // endpoints that return after a hold time
	nextEnd   time.Time  // not after the earliest end of a hold time
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

// Capacity returns the number of requests that a pool's open endpoints take
// from this gateway.
func (s *Set) Capacity(p Pool) int { return int(s.pools[p].capacity) }

// Free returns the unused part of Capacity.
func (s *Set) Free(p Pool) int { return int(s.pools[p].free) }

// Ready reports whether Pick can succeed for a request that avoids nothing.
func (s *Set) Ready(now time.Time, p Pool) bool {
	return s.pools[p].free > 0 || s.ProbeDue(now, p)
}

// ProbeDue reports whether an ejected endpoint of the pool waits for a probe.
func (s *Set) ProbeDue(now time.Time, p Pool) bool {
	at := s.pools[p].probeAt
	return !at.IsZero() && !now.Before(at)
}

// Ejected returns the number of ejected endpoints of a pool.
func (s *Set) Ejected(p Pool) int { return s.pools[p].ejected }

// Members returns the number of endpoints in a pool, usable or not.
func (s *Set) Members(p Pool) int { return len(s.pools[p].members) }

// VM returns an endpoint's VM and the ownership row known for it.
func (s *Set) VM(e Endpoint) (structs.VM, structs.Owner) {
	return s.endpoints[e].vm, s.endpoints[e].owner
}

// Lookup returns the endpoint on a VM, or None.
func (s *Set) Lookup(vm string) Endpoint {
	if e, ok := s.byVM[vm]; ok {
		return e
	}
	return None
}

// InFlight returns the number of picks of an endpoint that have not ended.
func (s *Set) InFlight(e Endpoint) int { return int(s.endpoints[e].inFlight) }

// Limit returns the number of requests that an endpoint may have in flight
// from this gateway.
func (s *Set) Limit(e Endpoint) int { return s.endpoints[e].limitInt() }

// Open reports whether an endpoint may receive ordinary work.
func (s *Set) Open(e Endpoint) bool { return s.endpoints[e].open }

// SlotShare returns how many of an endpoint's slots belong to the gateway of
// the given rank among n: those slots s with (slots*index+s) mod n == rank,
// where index is the endpoint's place in the sorted view.
func SlotShare(slots, index, rank, n int) int {
	if n <= 1 {
		return slots
	}
	share := slots / n
	// The remaining slots%n slots begin at this rank.
	first := (slots*index + share*n) % n
	if (rank-first+n)%n < slots%n {
		share++
	}
	return share
}

func (e *endpoint) limitInt() int {
	if e.share == 0 {
		return 0
	}
	return max(1, int(e.limit))
}
