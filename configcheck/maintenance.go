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
		checkRange(c, ref, "max_unavailable", b.MaxUnavailable, 1, MaxVMs)
		checkRange(c, ref, "min_available", b.MinAvailable, 0, MaxVMs)
		checkOneOf(c, ref, "survive", b.Survive, structs.DomainNone, structs.DomainRack, structs.DomainDataCentre)
		if p := c.lookupPool(ref, b.Pool); p != nil {
			c.checkBudgetAgainstPool(ref, b, p)
			c.checkBudgetAgainstOthers(ref, b, p, byPool[b.Pool])
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

func (c *checker) checkBudgetAgainstPool(ref structs.Ref, b *structs.Budget, p *structs.Pool) {
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

// checkBudgetAgainstOthers reports b if its max_unavailable exceeds what the
// min_available of another budget of the pool allows. The other budget gets no
// finding, because only the max_unavailable of b can never be reached.
func (c *checker) checkBudgetAgainstOthers(ref structs.Ref, b *structs.Budget, p *structs.Pool, all []*structs.Budget) {
	for _, other := range all {
		if other == b {
			continue
		}
		if allowed := p.Target - other.MinAvailable; b.MaxUnavailable > allowed && allowed > 0 {
			c.add(ref, "max_unavailable", "%d contradicts budget %s, which leaves %d of pool %s (target %d, min_available %d)",
				b.MaxUnavailable, other.Name, allowed, p.Name, p.Target, other.MinAvailable)
		}
	}
}

func (c *checker) checkStopPlans() {
	byPool := c.budgetsByPool()
	for i := range c.set.StopPlans {
		s := &c.set.StopPlans[i]
		ref := structs.Ref{Kind: structs.KindStopPlan, Name: s.Name}
		c.checkStopPlan(ref, s)
		if p := c.lookupPool(ref, s.Pool); p != nil {
			c.checkPlanAgainstBudgets(ref, s, p, byPool[s.Pool])
		}
	}
	c.checkPlanCycles()
}

func (c *checker) checkStopPlan(ref structs.Ref, s *structs.StopPlan) {
	checkRange(c, ref, "width", s.Width, 1, MaxVMs)
	checkOneOf(c, ref, "order", s.Order, structs.DomainRack, structs.DomainDataCentre)
	c.checkDuration(ref, "drain_timeout", s.DrainTimeout, MinTimeout, MaxStopPlanTimeout)
	c.checkDuration(ref, "reboot_timeout", s.RebootTimeout, MinTimeout, MaxStopPlanTimeout)
	c.checkDuration(ref, "every", s.Every, MinStopPlanInterval, MaxStopPlanInterval)
	if s.After != "" && c.plans[s.After] == nil {
		c.add(ref, "after", "stop plan %q does not exist", s.After)
	}
}

// checkPlanAgainstBudgets reports a plan that stops more VMs at once than a
// budget allows, or that cannot stop every VM of the pool within its period.
func (c *checker) checkPlanAgainstBudgets(ref structs.Ref, s *structs.StopPlan, p *structs.Pool, budgets []*structs.Budget) {
	for _, b := range budgets {
		if s.Width > b.MaxUnavailable {
			c.add(ref, "width", "%d is above max_unavailable %d of budget %s", s.Width, b.MaxUnavailable, b.Name)
		}
		if allowed := p.Target - b.MinAvailable; s.Width > allowed && allowed > 0 {
			c.add(ref, "width", "%d is above the %d VMs that budget %s leaves (target %d, min_available %d)",
				s.Width, allowed, b.Name, p.Target, b.MinAvailable)
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

// checkPlanCycles reports each cycle of stop plans that wait for each other, once
// and at the plan of the cycle whose name sorts first. Every plan has at most
// one predecessor, so one walk along the predecessors from each plan that no
// earlier walk has reached finds all cycles.
func (c *checker) checkPlanCycles() {
	reachedFrom := make(map[string]int, len(c.set.StopPlans)) // number of the walk that first reached the plan, from 1
	for i := range c.set.StopPlans {
		var path []string
		name := c.set.StopPlans[i].Name
		for c.plans[name] != nil && reachedFrom[name] == 0 {
			reachedFrom[name] = i + 1
			path = append(path, name)
			name = c.plans[name].After
		}
		if reachedFrom[name] == i+1 {
			c.reportCycle(path[slices.Index(path, name):])
		}
	}
}

// reportCycle reports a cycle of stop plans, in order from the first by name.
func (c *checker) reportCycle(cycle []string) {
	first := slices.Min(cycle)
	at := slices.Index(cycle, first)
	ordered := slices.Concat(cycle[at:], cycle[:at], []string{first})
	c.add(structs.Ref{Kind: structs.KindStopPlan, Name: first}, "after", "cycle: %s", strings.Join(ordered, " -> "))
}
