package structs

import "time"

// Domain is a level of failure domain.
type Domain string

// Failure domain levels. DomainNone means that the loss of a domain is not
// taken into account.
const (
	DomainNone       Domain = "none"
	DomainRack       Domain = "rack"
	DomainDataCentre Domain = "datacentre"
)

// Class is the urgency class of a service.
type Class string

// Service classes, most urgent first.
const (
	ClassUrgent   Class = "urgent"
	ClassStandard Class = "standard"
	ClassBatch    Class = "batch"
)

// Legacy names a deviation of a service's endpoints from plain HTTP/1.1.
type Legacy string

// Legacy behaviours of endpoints.
const (
	LegacyNone      Legacy = "none"      // Content-Length, keep-alive, meaningful status
	LegacyClose     Legacy = "close"     // closes the connection after each answer
	LegacyChunked   Legacy = "chunked"   // answers without Content-Length
	LegacyStatus200 Legacy = "status200" // reports errors as status 200 with an X-Error header
)

// Pool is a named group of VMs.
type Pool struct {
	Name   string
	Spare  bool // VMs that no other pool needs belong to the spare pool
	Min    int  // VMs below which the pool is never planned
	Target int  // VMs wanted in normal operation
	Max    int  // VMs above which the pool never grows; 0 means no limit
	Spread Domain
}

// Service is a kind of work that a pool's endpoints serve.
type Service struct {
	Name         string
	Pool         string
	Class        Class
	Share        float64 // guaranteed fraction of the pool's slots, 0 to 1
	Team         string  // owner for quotas; empty means none
	Idempotent   []string
	Once         []string // non-idempotent operations
	Timeout      time.Duration
	Queue        int // requests that may wait in one gateway
	MaxBody      int // bytes, request and answer each
	RetryRatio   float64
	Retention    time.Duration // how long the result of a key is kept
	TrustRefusal bool          // the endpoint's 429 and 503 prove that the request did not run
	Legacy       Legacy
}

// IsOnce reports whether op is a declared non-idempotent operation.
func (s *Service) IsOnce(op string) bool { return contains(s.Once, op) }

// Declares reports whether op is declared at all.
func (s *Service) Declares(op string) bool {
	return contains(s.Once, op) || contains(s.Idempotent, op)
}

func contains(list []string, want string) bool {
	for _, v := range list {
		if v == want {
			return true
		}
	}
	return false
}

// Budget limits how many VMs of a pool may be unavailable at once.
type Budget struct {
	Name           string
	Pool           string
	MaxUnavailable int    // VMs, planned and unplanned together
	MinAvailable   int    // VMs that must stay available
	Survive        Domain // MinAvailable must hold after the loss of the largest domain of this level
}

// StopPlan describes periodic maintenance of a pool.
type StopPlan struct {
	Name          string
	Pool          string
	Order         Domain // waves go through domains of this level
	Width         int    // VMs stopped at once, at most
	DrainTimeout  time.Duration
	RebootTimeout time.Duration
	Every         time.Duration // each VM is maintained once in this period
	After         string        // stop plan that must be complete first; empty means none
}

// Team is a user of the fleet with quotas.
type Team struct {
	Name   string
	Slots  int     // concurrent requests over all services; 0 means no limit
	Jobs   int     // concurrent jobs; 0 means no limit
	Weight float64 // share relative to other teams
}

// ObjectSet is a complete configuration. Each list is sorted by name.
type ObjectSet struct {
	Pools     []Pool
	Services  []Service
	Budgets   []Budget
	StopPlans []StopPlan
	Teams     []Team
}

// Service returns the service with the given name, or nil.
func (s *ObjectSet) Service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// Pool returns the pool with the given name, or nil.
func (s *ObjectSet) Pool(name string) *Pool {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

// Config is an accepted object set. Generations grow by one with each
// accepted set; a process never goes back to a lower one.
type Config struct {
	Generation uint64
	Hash       string // hex SHA-256 of the encoded set
	Set        ObjectSet
}
