package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/admission"
	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/structs"
)

// defaultQueue bounds the queue of a service that sets no bound.
const defaultQueue = 256

// setConfig puts a configuration in force. An earlier generation than the
// present one is ignored.
func (m *Machine) setConfig(now time.Time, c *structs.Config) {
	if m.config != nil && c.Generation < m.config.Generation {
		return
	}
	m.config = c
	for _, s := range c.Set.Services {
		p := m.endpoints.EnsurePool(s.Pool)
		for len(m.pump) <= int(p) {
			m.pump = append(m.pump, true)
		}
	}
	m.review(now)
}

// review applies the present configuration and views to the queues and
// endpoints.
func (m *Machine) review(now time.Time) {
	rank, count := 0, 1
	if m.members != nil {
		rank, count = m.members.Rank()
	}
	if m.config != nil {
		m.configureQueue(rank, count)
	}
	if m.fleet != nil {
		m.endpoints.Update(now, dispatch.View{Fleet: m.fleet, Rank: rank, Count: count, Grow: m.growPools()})
	}
	for len(m.pump) < m.endpoints.Pools() {
		m.pump = append(m.pump, true)
	}
	for len(m.onceOnly) < m.endpoints.Pools() {
		m.onceOnly = append(m.onceOnly, true)
	}
	m.pumpAll()
}

func (m *Machine) configureQueue(rank, count int) {
	set := &m.config.Set
	specs := make([]admission.ServiceSpec, 0, len(set.Services))
	for i := range set.Services {
		s := &set.Services[i]
		bound := s.Queue
		if bound <= 0 {
			bound = defaultQueue
		}
		pool := m.endpoints.EnsurePool(s.Pool)
		specs = append(specs, admission.ServiceSpec{Name: s.Name, Pool: int(pool), Share: s.Share, Queue: bound})
	}
	m.findOnceOnly()
	teams := make([]admission.TeamSpec, 0, len(set.Teams))
	for _, t := range set.Teams {
		teams = append(teams, admission.TeamSpec{Name: t.Name, Weight: t.Weight, Slots: part(t.Slots, rank, count)})
	}
	m.queue.Configure(specs, teams)
	for i := range set.Services {
		m.setService(&set.Services[i])
	}
}

// findOnceOnly notes the pools in which no service has idempotent operations.
// There an ejected endpoint can only be probed with non-idempotent work, or it
// would never return.
func (m *Machine) findOnceOnly() {
	m.onceOnly = make([]bool, m.endpoints.Pools())
	for i := range m.onceOnly {
		m.onceOnly[i] = true
	}
	for i := range m.config.Set.Services {
		s := &m.config.Set.Services[i]
		if len(s.Idempotent) > 0 {
			m.onceOnly[m.endpoints.EnsurePool(s.Pool)] = false
		}
	}
}

// part divides a team's quota among the gateways. Each gets at least one slot,
// so that a caller is not refused because of the gateway that it reached.
func part(slots, rank, count int) int {
	if slots <= 0 {
		return 0
	}
	n := slots / count
	if rank < slots%count {
		n++
	}
	return max(1, n)
}

func (m *Machine) setService(s *structs.Service) {
	i := m.queue.Service(s.Name)
	for len(m.services) <= i {
		m.services = append(m.services, serviceState{})
	}
	state := &m.services[i]
	state.spec = *s
	state.pool = m.endpoints.EnsurePool(s.Pool)
	state.budget.SetRatio(s.RetryRatio)
	state.demand.Service = s.Name
}

// growPools returns the pools whose endpoints may be tried with more requests
// than this gateway's share. A refusal of non-idempotent work that does not
// prove that the request was not run costs the caller its answer, so pools
// with such work stay within the share.
func (m *Machine) growPools() map[string]bool {
	grow := map[string]bool{}
	if m.config == nil {
		return grow
	}
	for _, p := range m.config.Set.Pools {
		grow[p.Name] = true
	}
	for _, s := range m.config.Set.Services {
		if len(s.Once) > 0 && !s.TrustRefusal {
			grow[s.Pool] = false
		}
	}
	return grow
}

// demandInterval is the shortest interval over which demand is counted, so
// that two controllers that ask see the same interval.
const demandInterval = time.Second

func (m *Machine) demand(now time.Time) []structs.ServiceDemand {
	if interval := now.Sub(m.rolledAt); interval >= demandInterval {
		for i := range m.services {
			s := &m.services[i]
			s.settled = s.demand
			s.settled.Interval = interval
			s.demand = structs.ServiceDemand{Service: s.spec.Name}
		}
		m.rolledAt = now
	}
	out := make([]structs.ServiceDemand, 0, len(m.services))
	for i := range m.services {
		d := m.services[i].settled
		d.Service = m.services[i].spec.Name
		d.Queued, d.InFlight = m.queue.Load(i)
		if m.queue.Service(d.Service) >= 0 {
			out = append(out, d)
		}
	}
	return out
}
