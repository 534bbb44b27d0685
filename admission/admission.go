// Package admission decides which requests may wait and which of them runs
// next. Each service of a pool has a guaranteed share of the pool's slots;
// slots that it does not use are lent to the other services. Within a service,
// teams are served by weighted fair queueing, within their quotas. Queues are
// bounded, and a request that cannot be answered by its deadline is refused at
// once. The package reads no clock: callers pass the time. A Scheduler must be
// used by one goroutine only.
package admission

import "time"

// Options tunes a Scheduler. The zero value of a field selects its default.
type Options struct {
	// ReserveFactor times the square root of a pool's capacity is the number
	// of slots, at least one, that services beyond their share leave free for
	// bursts of the other services, because bursts grow with the square root of
	// the load. The reserve applies only to services whose requests hold slots
	// so long that other services would wait more than MaxReserveWait for the
	// next slot. Pools with fewer than 8 slots have no reserve. Default 0.5;
	// BenchmarkFlood of the dispatcher shows the cost of the reserve.
	ReserveFactor float64
	// MaxReserveWait is the mean wait for the next free slot of a pool up to
	// which no slots are reserved. Default 5 ms.
	MaxReserveWait time.Duration
	// TeamQueueFactor limits the waiting requests of one team in a service's
	// queue to this multiple of the queue's free places. It applies once several
	// teams have used the service. Default 4.
	TeamQueueFactor int
}

func (o Options) withDefaults() Options {
	if o.ReserveFactor == 0 {
		o.ReserveFactor = 0.5
	}
	if o.MaxReserveWait == 0 {
		o.MaxReserveWait = 5 * time.Millisecond
	}
	if o.TeamQueueFactor == 0 {
		o.TeamQueueFactor = 4
	}
	return o
}

// ServiceSpec describes one service.
type ServiceSpec struct {
	Name  string
	Pool  int     // index of its pool, 0 or greater
	Share float64 // guaranteed fraction of the pool's capacity, 0 to 1
	Queue int     // maximum number of waiting requests
}

// TeamSpec describes one team.
type TeamSpec struct {
	Name   string
	Slots  int     // maximum number of concurrent requests at this gateway; 0 means no limit
	Weight float64 // relative rate at which a service's queue serves the team; 0 or less means 1
}

// Verdict is the result of Offer.
type Verdict int

// Results of Offer.
const (
	Queued         Verdict = iota
	QueueFull              // the service's queue or the team's part of it is full
	TooLate                // the deadline cannot be met at the current service rate
	UnknownService         // no such service
)

// Ticket identifies a waiting, running or paused request in the Scheduler.
type Ticket int32

// NoTicket is the Ticket of no request.
const NoTicket Ticket = -1

// Grant is a request that Next took from its queue.
type Grant struct {
	Ticket  Ticket // valid until Done or Remove
	Handle  uint64 // identifies the request to the caller, as passed to Offer
	Service int
	Expired bool // the deadline cannot be met any more: no slot is held and Ticket is NoTicket
}

type entry struct {
	handle     uint64
	deadline   time.Time
	queue      int32 // index of its team queue
	prev, next Ticket
	started    time.Time
	state      state
}

type state uint8

const (
	waiting state = iota
	running
	paused
)

// teamQueue holds the waiting requests of one team in one service.
type teamQueue struct {
	service, team int32
	head, tail    Ticket
	length        int32
	nextTurn      float64 // virtual time of the team's next turn, for weighted fair queueing
	heapIndex     int32   // position in the service's heap, -1 if not in it
	parked        bool    // out of the heap because the team is at its quota
}

type service struct {
	spec          ServiceSpec
	configured    bool // part of the current configuration
	queued        int
	inFlight      int
	meanHold      float64 // mean time in seconds that a request holds its slot
	holdCount     int     // number of finished requests in meanHold
	virtualTime   float64 // nextTurn of the team queue that ran last, for weighted fair queueing
	waitingWeight float64 // sum of the weights of the teams with waiting requests in the service
	heap          []int32 // indexes of the team queues that may run, a binary heap by nextTurn
	queues        []int32 // index of the team queue by team; -1 if there is none
	teamCount     int     // number of teams that have used the service
}

type team struct {
	spec     TeamSpec
	inFlight int
	parked   []int32 // team queues that wait until the team is below its quota
}

type pool struct {
	services []int32
	capacity int // number of slots
}

// Scheduler holds the queues of all services.
type Scheduler struct {
	opts         Options
	entries      []entry
	freeList     Ticket // head of the free list of entries, linked by next
	queues       []teamQueue
	services     []service
	serviceIndex map[string]int
	teams        []team
	teamIndex    map[string]int
	pools        []pool
}

// New returns a Scheduler without services.
func New(o Options) *Scheduler {
	s := &Scheduler{opts: o.withDefaults(), freeList: NoTicket, serviceIndex: map[string]int{}, teamIndex: map[string]int{}}
	s.addTeam("") // requests without a team
	return s
}

// Configure sets the services and teams. A name keeps its index for the life
// of the Scheduler. Waiting requests of a service that is no longer configured
// stay until they are granted or removed; new ones are refused.
func (s *Scheduler) Configure(services []ServiceSpec, teams []TeamSpec) {
	for i := range s.services {
		s.services[i].configured = false
	}
	for i := range s.teams {
		s.teams[i].spec = TeamSpec{Name: s.teams[i].spec.Name, Weight: 1}
	}
	for _, t := range teams {
		if t.Weight <= 0 {
			t.Weight = 1
		}
		s.teams[s.addTeam(t.Name)].spec = t
	}
	for _, spec := range services {
		i, ok := s.serviceIndex[spec.Name]
		if !ok {
			i = len(s.services)
			s.services = append(s.services, service{})
			s.serviceIndex[spec.Name] = i
		}
		s.services[i].spec, s.services[i].configured = spec, true
	}
	s.sumWaitingWeights()
	s.groupByPool()
	for i := range s.teams {
		s.unpark(int32(i))
	}
}

// addTeam returns the index of a team and adds the team if it is new.
func (s *Scheduler) addTeam(name string) int {
	if i, ok := s.teamIndex[name]; ok {
		return i
	}
	s.teams = append(s.teams, team{spec: TeamSpec{Name: name, Weight: 1}})
	s.teamIndex[name] = len(s.teams) - 1
	return len(s.teams) - 1
}

func (s *Scheduler) sumWaitingWeights() {
	for i := range s.services {
		v := &s.services[i]
		v.waitingWeight = 0
		for _, q := range v.queues {
			if q >= 0 && s.queues[q].length > 0 {
				v.waitingWeight += s.teams[s.queues[q].team].spec.Weight
			}
		}
	}
}

func (s *Scheduler) groupByPool() {
	for i := range s.pools {
		s.pools[i].services = s.pools[i].services[:0]
	}
	for i := range s.services {
		v := &s.services[i]
		s.SetCapacity(v.spec.Pool, s.capacity(v.spec.Pool))
		s.pools[v.spec.Pool].services = append(s.pools[v.spec.Pool].services, int32(i))
	}
}

// Service returns the index of a configured service, or -1.
func (s *Scheduler) Service(name string) int {
	if i, ok := s.serviceIndex[name]; ok && s.services[i].configured {
		return i
	}
	return -1
}

// Team returns the index of a team. Teams that are not configured share the
// index of the empty name.
func (s *Scheduler) Team(name string) int { return s.teamIndex[name] }

// AtQuota reports whether a team uses all of its slots.
func (s *Scheduler) AtQuota(team int) bool { return s.teams[team].atQuota() }

// SetCapacity sets the number of requests of this gateway that a pool runs at
// the same time.
func (s *Scheduler) SetCapacity(p, slots int) {
	for len(s.pools) <= p {
		s.pools = append(s.pools, pool{})
	}
	s.pools[p].capacity = slots
}

func (s *Scheduler) capacity(p int) int {
	if p >= len(s.pools) {
		return 0
	}
	return s.pools[p].capacity
}

// Load returns the numbers of waiting and running requests of a service.
func (s *Scheduler) Load(service int) (queued, inFlight int) {
	return s.services[service].queued, s.services[service].inFlight
}

// HasWaiting reports whether a pool has waiting requests.
func (s *Scheduler) HasWaiting(p int) bool {
	if p >= len(s.pools) {
		return false
	}
	for _, i := range s.pools[p].services {
		if s.services[i].queued > 0 {
			return true
		}
	}
	return false
}
