package configcheck

import (
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/structs"
)

func (c *checker) checkBudgets() {
	byPool := c.budgetsByPool()
	for i := range c.set.Pools {
		if p := &c.set.Pools[i]; len(byPool[p.Name]) > MaxBudgets {
			c.add(structs.Ref{Kind: structs.KindPool, Name: p.Name}, "",
				"the pool has %d budgets, the limit is %d", len(byPool[p.Name]), MaxBudgets)
			return
		}
	}
	for i := range c.set.Budgets {
		b := &c.set.Budgets[i]
		ref := structs.Ref{Kind: structs.KindBudget, Name: b.Name}
		number(c, ref, "max_unavailable", b.MaxUnavailable, 1, MaxVMs)
		number(c, ref, "min_available", b.MinAvailable, 0, MaxVMs)
		oneOf(c, ref, "survive", b.Survive, structs.DomainNone, structs.DomainRack, structs.DomainDataCentre)
		if p := c.pool(ref, b.Pool); p != nil {
			c.budgetAgainstPool(ref, b, p)
			c.budgetsTogether(ref, b, p, byPool[b.Pool])
		}
	}
}

func (c *checker) budgetsByPool() map[string][]*structs.Budget {
	byPool := make(map[string][]*structs.Budget, len(c.set.Pools))
	for i := range c.set.Budgets {
		b := &c.set.Budgets[i]
		byPool[b.Pool] = append(byPool[b.Pool], b)
	}
	return byPool
}

func (c *checker) budgetAgainstPool(ref structs.Ref, b *structs.Budget, p *structs.Pool) {
	switch {
	case b.MinAvailable > p.Target:
		c.add(ref, "min_available", "%d is above target %d of pool %s", b.MinAvailable, p.Target, p.Name)
	case b.MinAvailable == p.Target && p.Target > 0:
		c.add(ref, "min_available", "%d equals target of pool %s, so no VM may ever stop", b.MinAvailable, p.Name)
	}
	if b.MaxUnavailable > p.Target && p.Target > 0 {
		c.add(ref, "max_unavailable", "%d is above target %d of pool %s", b.MaxUnavailable, p.Target, p.Name)
	}
	if b.Survive != structs.DomainNone && b.MinAvailable == 0 {
		c.add(ref, "survive", "%s has no effect without min_available", b.Survive)
	}
}

// budgetsTogether reports a budget whose max_unavailable promises more stops
// than another budget of the pool leaves. Each pair is reported once, at the
// budget that can never be used up.
func (c *checker) budgetsTogether(ref structs.Ref, b *structs.Budget, p *structs.Pool, all []*structs.Budget) {
	for _, other := range all {
		if other == b {
			continue
		}
		if room := p.Target - other.MinAvailable; b.MaxUnavailable > room && room > 0 {
			c.add(ref, "max_unavailable", "%d contradicts budget %s, which leaves %d of pool %s (target %d, min_available %d)",
				b.MaxUnavailable, other.Name, room, p.Name, p.Target, other.MinAvailable)
		}
	}
}

func (c *checker) checkStopPlans() {
	byPool := c.budgetsByPool()
	for i := range c.set.StopPlans {
		s := &c.set.StopPlans[i]
		ref := structs.Ref{Kind: structs.KindStopPlan, Name: s.Name}
		c.checkStopPlan(ref, s)
		if p := c.pool(ref, s.Pool); p != nil {
			c.planAgainstBudgets(ref, s, p, byPool[s.Pool])
		}
	}
	c.checkAfter()
}

func (c *checker) checkStopPlan(ref structs.Ref, s *structs.StopPlan) {
	number(c, ref, "width", s.Width, 1, MaxVMs)
	oneOf(c, ref, "order", s.Order, structs.DomainRack, structs.DomainDataCentre)
	c.duration(ref, "drain_timeout", s.DrainTimeout, MinTimeout, MaxDrain)
	c.duration(ref, "reboot_timeout", s.RebootTimeout, MinTimeout, MaxDrain)
	c.duration(ref, "every", s.Every, MinEvery, MaxEvery)
	if s.After != "" && c.plans[s.After] == nil {
		c.add(ref, "after", "stop plan %q does not exist", s.After)
	}
}

// planAgainstBudgets reports a plan that is wider than a budget allows, or
// that cannot stop every VM of the pool within its period.
func (c *checker) planAgainstBudgets(ref structs.Ref, s *structs.StopPlan, p *structs.Pool, budgets []*structs.Budget) {
	for _, b := range budgets {
		if s.Width > b.MaxUnavailable {
			c.add(ref, "width", "%d is above max_unavailable %d of budget %s", s.Width, b.MaxUnavailable, b.Name)
		}
		if room := p.Target - b.MinAvailable; s.Width > room && room > 0 {
			c.add(ref, "width", "%d is above the %d VMs that budget %s leaves (target %d, min_available %d)",
				s.Width, room, b.Name, p.Target, b.MinAvailable)
		}
	}
	if s.Width <= 0 || s.DrainTimeout < 0 || s.RebootTimeout < 0 {
		return
	}
	waves := (p.Target + s.Width - 1) / s.Width
	if perWave := s.DrainTimeout + s.RebootTimeout; perWave > 0 && waves > int(s.Every/perWave) {
		c.add(ref, "every", "%v is too short for %d waves of %v each", s.Every, waves, perWave)
	}
}

// checkAfter reports each cycle once, at its first plan by name. Every plan
// has at most one predecessor, so following them from each plan visits every
// plan once.
func (c *checker) checkAfter() {
	walk := make(map[string]int, len(c.set.StopPlans)) // walk that first reached a plan
	for i := range c.set.StopPlans {
		var path []string
		name := c.set.StopPlans[i].Name
		for c.plans[name] != nil && walk[name] == 0 {
			walk[name] = i + 1
			path = append(path, name)
			name = c.plans[name].After
		}
		if walk[name] == i+1 {
			c.reportCycle(path[slices.Index(path, name):])
		}
	}
}

func (c *checker) reportCycle(cycle []string) {
	first := slices.Min(cycle)
	at := slices.Index(cycle, first)
	ordered := slices.Concat(cycle[at:], cycle[:at], []string{first})
	c.add(structs.Ref{Kind: structs.KindStopPlan, Name: first}, "after", "cycle: %s", strings.Join(ordered, " -> "))
}
