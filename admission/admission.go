// Package admission decides which requests may wait and which of them runs
// next. Each service of a pool has a guaranteed share of the pool's slots;
// what it does not use is lent to the others. Within a service, teams take
// turns by weight, under their quotas. Queues are bounded, and a request that
// cannot be answered by its deadline is refused at once. The package reads no
// clock. A Scheduler is owned by one goroutine.
package admission

import "time"

// Options tunes a Scheduler. The zero value of a field selects its default.
type Options struct {
	// Reserve times the square root of a pool's capacity is the number of
	// slots, at least one, that services beyond their share leave free for
	// bursts of the others: bursts grow with the square root of the load. It
	// applies only to services whose requests hold slots so long that a
	// returning service would wait more than ReserveWait for the next slot.
	// Default 0.5; see BenchmarkFlood for what it costs.
	Reserve float64
	// ReserveWait is the tolerated mean wait for the next slot. Default 5 ms.
	ReserveWait time.Duration
	// TeamFactor bounds the requests of one team in a service's queue at this
	// multiple of the queue's free room, while several teams use the service.
	// Default 4.
	TeamFactor int
}

func (o Options) withDefaults() Options {
	if o.Reserve == 0 {
		o.Reserve = 0.5
	}
	if o.ReserveWait == 0 {
		o.ReserveWait = 5 * time.Millisecond
	}
	if o.TeamFactor == 0 {
		o.TeamFactor = 4
	}
	return o
}

// ServiceSpec describes one service.
type ServiceSpec struct {
	Name  string
	Pool  int     // index of its pool, 0 or greater
	Share float64 // guaranteed part of the pool's capacity, 0 to 1
	Queue int     // requests that may wait
}

// TeamSpec describes one team.
type TeamSpec struct {
	Name   string
	Slots  int // concurrent requests at this gateway; 0 means no limit
	Weight float64
}

// Verdict is the result of Offer.
type Verdict int

// Verdicts.
const (
	Queued    Verdict = iota
	QueueFull         // the service's or the team's part of the queue is full
	TooLate           // the deadline cannot be met at the present rate
	Unknown           // no such service
)

// Ticket identifies a queued request inside the Scheduler.
type Ticket int32

// NoTicket is the absence of a ticket.
const NoTicket Ticket = -1

// Grant is a request that may run.
type Grant struct {
	Ticket  Ticket // valid until Done or Remove
	Handle  uint64 // the caller's own identifier
	Service int
	Expired bool // the deadline has passed: no slot is held, the ticket has ended
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
	virtual       float64 // virtual finish time for weighted turns
	heapAt        int32   // position in the service's heap, -1 if not in it
	parked        bool    // the team is at its quota
}

type service struct {
	spec     ServiceSpec
	live     bool
	queued   int
	inFlight int
	hold     float64 // mean time in seconds that a request holds its slot
	holds    int
	virtual  float64 // virtual time of the latest turn
	weights  float64 // sum over teams with waiting requests
	heap     []int32 // team queues that may run, by virtual time
	queues   []int32 // all team queues, by team; -1 if none
	teams    int     // team queues in use since the start
}

type team struct {
	spec     TeamSpec
	inFlight int
	parked   []int32 // team queues waiting for the quota
}

type pool struct {
	services []int32
	capacity int
}

// Scheduler holds the queues of all services.
type Scheduler struct {
	opts     Options
	entries  []entry
	spare    Ticket // list of unused entries
	queues   []teamQueue
	services []service
	byName   map[string]int
	teams    []team
	byTeam   map[string]int
	pools    []pool
}

// New returns a Scheduler without services.
func New(o Options) *Scheduler {
	s := &Scheduler{opts: o.withDefaults(), spare: NoTicket, byName: map[string]int{}, byTeam: map[string]int{}}
	s.team("") // requests without a team
	return s
}

// Configure sets the services and teams. Indexes stay the same for a name.
// Waiting requests of services that are gone stay until they are taken or
// removed; new ones are refused.
func (s *Scheduler) Configure(services []ServiceSpec, teams []TeamSpec) {
	for i := range s.services {
		s.services[i].live = false
	}
	for i := range s.teams {
		s.teams[i].spec = TeamSpec{Name: s.teams[i].spec.Name, Weight: 1}
	}
	for _, t := range teams {
		if t.Weight <= 0 {
			t.Weight = 1
		}
		s.teams[s.team(t.Name)].spec = t
	}
	for _, spec := range services {
		i, ok := s.byName[spec.Name]
		if !ok {
			i = len(s.services)
			s.services = append(s.services, service{})
			s.byName[spec.Name] = i
		}
		s.services[i].spec, s.services[i].live = spec, true
	}
	s.reweigh()
	s.index()
	for i := range s.teams {
		s.unpark(int32(i))
	}
}

func (s *Scheduler) team(name string) int {
	if i, ok := s.byTeam[name]; ok {
		return i
	}
	s.teams = append(s.teams, team{spec: TeamSpec{Name: name, Weight: 1}})
	s.byTeam[name] = len(s.teams) - 1
	return len(s.teams) - 1
}

func (s *Scheduler) reweigh() {
	for i := range s.services {
		v := &s.services[i]
		v.weights = 0
		for _, q := range v.queues {
			if q >= 0 && s.queues[q].length > 0 {
				v.weights += s.teams[s.queues[q].team].spec.Weight
			}
		}
	}
}

func (s *Scheduler) index() {
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
	if i, ok := s.byName[name]; ok && s.services[i].live {
		return i
	}
	return -1
}

// Team returns the index of a team. Teams that are not configured share the
// index of the empty name.
func (s *Scheduler) Team(name string) int { return s.byTeam[name] }

// AtQuota reports whether a team uses all of its slots.
func (s *Scheduler) AtQuota(team int) bool { return s.teams[team].full() }

// SetCapacity sets the number of requests that a pool takes from this gateway.
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

// Load returns the waiting and running requests of a service.
func (s *Scheduler) Load(service int) (queued, inFlight int) {
	return s.services[service].queued, s.services[service].inFlight
}

// Waiting reports whether a pool has waiting requests.
func (s *Scheduler) Waiting(p int) bool {
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
