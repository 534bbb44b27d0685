package structs

import "time"

// Domain is a level of failure domain.
type Domain string

// Failure domain levels. DomainNone means that the loss of a failure domain is
// not considered.
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

// Legacy is a deviation of a service's endpoints from standard HTTP/1.1.
type Legacy string

// Legacy behaviours. LegacyNone is the standard behaviour.
const (
	LegacyNone      Legacy = "none"      // Content-Length, keep-alive, meaningful status
	LegacyClose     Legacy = "close"     // closes the connection after each answer
	LegacyChunked   Legacy = "chunked"   // answers without Content-Length
	LegacyStatus200 Legacy = "status200" // reports errors as status 200 with an X-Error header
)

// Pool is a named group of VMs.
type Pool struct {
	Name   string
	Spare  bool   // this is the spare pool, which holds the VMs that no other pool needs
	Min    int    // planned changes never reduce the pool below this number of VMs
	Target int    // number of VMs in normal operation
	Max    int    // the pool never grows beyond this number of VMs; 0 means no limit
	Spread Domain // level of failure domain across which the VMs are distributed
}

// Service is a service that the endpoints of a pool provide.
type Service struct {
	Name         string
	Pool         string
	Class        Class
	Share        float64 // guaranteed fraction of the pool's slots, 0 to 1
	Team         string  // team whose quota applies; empty means none
	Idempotent   []string
	Once         []string // non-idempotent operations
	Timeout      time.Duration
	Queue        int // maximum number of requests queued in one gateway
	MaxBody      int // maximum size of a request body and of an answer body, in bytes
	RetryRatio   float64
	Retention    time.Duration // how long the result for an idempotency key is kept
	TrustRefusal bool          // the endpoint's 429 and 503 prove that the request did not run
	Legacy       Legacy
}

// IsOnce reports whether op is a declared non-idempotent operation.
func (s *Service) IsOnce(op string) bool { return contains(s.Once, op) }

// Declares reports whether op is a declared operation.
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
	MaxUnavailable int    // maximum number of VMs, whether planned or unplanned
	MinAvailable   int    // minimum number of available VMs
	Survive        Domain // MinAvailable must still hold after the loss of the largest failure domain of this level
}

// StopPlan describes periodic maintenance of a pool.
type StopPlan struct {
	Name          string
	Pool          string
	Order         Domain // stops proceed through the failure domains of this level in order
	Width         int    // maximum number of VMs stopped at the same time
	DrainTimeout  time.Duration
	RebootTimeout time.Duration
	Every         time.Duration // each VM is maintained once in this period
	After         string        // stop plan that must finish first; empty means none
}

// Team is a team that uses the fleet, with its quotas.
type Team struct {
	Name   string
	Slots  int     // maximum concurrent requests over all services; 0 means no limit
	Jobs   int     // maximum concurrent jobs; 0 means no limit
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

// Config is an accepted configuration. Each accepted object set increases the
// generation by one. A process never returns to a lower generation.
type Config struct {
	Generation uint64
	Hash       string // hex SHA-256 of the encoded set
	Set        ObjectSet
}
