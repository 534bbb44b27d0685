package configcheck

import "github.com/carobwharf/carobwharf/structs"

func (c *checker) checkPools() {
	var spares []structs.Ref
	for i := range c.set.Pools {
		p := &c.set.Pools[i]
		ref := structs.Ref{Kind: structs.KindPool, Name: p.Name}
		c.checkPool(ref, p)
		if p.Spare {
			spares = append(spares, ref)
		}
	}
	if len(spares) == 0 {
		c.add(structs.Ref{}, "", "no pool has spare = true, want exactly one spare pool")
	}
	for _, ref := range spares[min(1, len(spares)):] {
		c.add(ref, "spare", "%s is already the spare pool, want exactly one", spares[0])
	}
}

func (c *checker) checkPool(ref structs.Ref, p *structs.Pool) {
	checkRange(c, ref, "min", p.Min, 0, MaxVMs)
	checkRange(c, ref, "target", p.Target, 0, MaxVMs)
	checkRange(c, ref, "max", p.Max, 0, MaxVMs)
	checkOneOf(c, ref, "spread", p.Spread, structs.DomainRack, structs.DomainDataCentre)
	if p.Min > p.Target {
		c.add(ref, "min", "%d is above target %d", p.Min, p.Target)
	}
	if p.Max != 0 && p.Target > p.Max {
		c.add(ref, "target", "%d is above max %d", p.Target, p.Max)
	}
}

func (c *checker) checkTeams() {
	for i := range c.set.Teams {
		t := &c.set.Teams[i]
		ref := structs.Ref{Kind: structs.KindTeam, Name: t.Name}
		checkRange(c, ref, "slots", t.Slots, 0, MaxQuota)
		checkRange(c, ref, "jobs", t.Jobs, 0, MaxQuota)
		checkRange(c, ref, "weight", t.Weight, 0, MaxWeight)
		if t.Weight == 0 {
			c.add(ref, "weight", "0 gives the team no share, want more than 0")
		}
	}
}
