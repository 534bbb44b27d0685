package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/admission"
	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/structs"
)

// defaultQueueLen is the queue length of a service that configures none.
const defaultQueueLen = 256

// applyConfig makes a configuration the current one. A generation older than the
// current one is ignored.
func (m *Machine) applyConfig(now time.Time, c *structs.Config) {
	if m.config != nil && c.Generation < m.config.Generation {
		return
	}
	m.config = c
	for _, s := range c.Set.Services {
		p := m.endpoints.EnsurePool(s.Pool)
		for len(m.needsDispatch) <= int(p) {
			m.needsDispatch = append(m.needsDispatch, true)
		}
	}
	m.reconfigure(now)
}

// reconfigure applies the current configuration, fleet view and member view to
// the queues and endpoints.
func (m *Machine) reconfigure(now time.Time) {
	rank, count := 0, 1
	if m.members != nil {
		rank, count = m.members.Rank()
	}
	if m.config != nil {
		m.configureQueue(rank, count)
	}
	if m.fleet != nil {
		m.endpoints.Update(now, dispatch.View{Fleet: m.fleet, Rank: rank, Count: count, GrowPools: m.growablePools()})
	}
	for len(m.needsDispatch) < m.endpoints.Pools() {
		m.needsDispatch = append(m.needsDispatch, true)
	}
	for len(m.nonIdempotentOnly) < m.endpoints.Pools() {
		m.nonIdempotentOnly = append(m.nonIdempotentOnly, true)
	}
	m.markAllPools()
}

func (m *Machine) configureQueue(rank, count int) {
	set := &m.config.Set
	specs := make([]admission.ServiceSpec, 0, len(set.Services))
	for i := range set.Services {
		s := &set.Services[i]
		bound := s.Queue
		if bound <= 0 {
			bound = defaultQueueLen
		}
		pool := m.endpoints.EnsurePool(s.Pool)
		specs = append(specs, admission.ServiceSpec{Name: s.Name, Pool: int(pool), Share: s.Share, Queue: bound})
	}
	m.findNonIdempotentOnly()
	teams := make([]admission.TeamSpec, 0, len(set.Teams))
	for _, t := range set.Teams {
		teams = append(teams, admission.TeamSpec{Name: t.Name, Weight: t.Weight, Slots: quotaShare(t.Slots, rank, count)})
	}
	m.queue.Configure(specs, teams)
	for i := range set.Services {
		m.setService(&set.Services[i])
	}
}

// findNonIdempotentOnly finds the pools in which no service has idempotent
// operations. An ejected endpoint of such a pool is probed with non-idempotent
// work, since otherwise it would never be probed and stay ejected.
func (m *Machine) findNonIdempotentOnly() {
	m.nonIdempotentOnly = make([]bool, m.endpoints.Pools())
	for i := range m.nonIdempotentOnly {
		m.nonIdempotentOnly[i] = true
	}
	for i := range m.config.Set.Services {
		s := &m.config.Set.Services[i]
		if len(s.Idempotent) > 0 {
			m.nonIdempotentOnly[m.endpoints.EnsurePool(s.Pool)] = false
		}
	}
}

// quotaShare returns this gateway's share of a team's quota. Each gateway gets
// at least one slot, so that whether a caller is refused does not depend on the
// gateway that it reached. Zero means no quota.
func quotaShare(slots, rank, count int) int {
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

// growablePools returns the pools in which the concurrency limit of an endpoint
// may grow beyond this gateway's share of its slots. A refused non-idempotent
// request has an unknown outcome unless the service's refusals are trusted, so
// pools with such a service stay within the share.
func (m *Machine) growablePools() map[string]bool {
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

// minDemandInterval is the shortest interval over which demand is counted. Two
// controllers that ask within it get the counts of the same interval.
const minDemandInterval = time.Second

// demand returns the demand of each configured service in the last complete
// interval, with the present numbers of queued and running requests.
func (m *Machine) demand(now time.Time) []structs.ServiceDemand {
	if interval := now.Sub(m.demandStart); interval >= minDemandInterval {
		for i := range m.services {
			s := &m.services[i]
			s.lastDemand = s.demand
			s.lastDemand.Interval = interval
			s.demand = structs.ServiceDemand{Service: s.spec.Name}
		}
		m.demandStart = now
	}
	out := make([]structs.ServiceDemand, 0, len(m.services))
	for i := range m.services {
		d := m.services[i].lastDemand
		d.Service = m.services[i].spec.Name
		d.Queued, d.InFlight = m.queue.Load(i)
		if m.queue.Service(d.Service) >= 0 {
			out = append(out, d)
		}
	}
	return out
}
