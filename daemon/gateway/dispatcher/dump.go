package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/dispatch"
)

// PoolDump is the part of a Dump for one pool.
type PoolDump struct {
	Pool                             string
	Members, Capacity, Free, Ejected int
}

// ServiceDump is the part of a Dump for one service.
type ServiceDump struct {
	Service          string
	Queued, InFlight int
	RetryTokens      float64
}

// Dump is a snapshot of the machine's state for diagnosis.
type Dump struct {
	Generation uint64
	Requests   int
	Calls      int
	Stopping   bool
	NextWake   time.Duration
	Counters   Counters
	Pools      []PoolDump
	Services   []ServiceDump
}

// Dump returns a snapshot of the machine's state.
func (m *Machine) Dump(now time.Time) Dump {
	d := Dump{Requests: m.requestCount, Calls: m.calls, Stopping: m.stopping, Counters: m.counters}
	if m.config != nil {
		d.Generation = m.config.Generation
	}
	if next := m.NextWake(); !next.IsZero() {
		d.NextWake = next.Sub(now)
	}
	for i := range m.endpoints.Pools() {
		p := dispatch.Pool(i)
		d.Pools = append(d.Pools, PoolDump{
			Pool: m.endpoints.Name(p), Members: m.endpoints.Members(p), Capacity: m.endpoints.Capacity(p),
			Free: m.endpoints.Free(p), Ejected: m.endpoints.Ejected(p),
		})
	}
	for i := range m.services {
		s := ServiceDump{Service: m.services[i].spec.Name, RetryTokens: m.services[i].budget.Tokens()}
		s.Queued, s.InFlight = m.queue.Load(i)
		d.Services = append(d.Services, s)
	}
	return d
}
