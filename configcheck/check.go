// Package configcheck validates whole object sets: names, references, value
// ranges and contradictions between objects. It parses nothing. It repeats the
// range checks that the parser makes, so that every set is checked in the same
// way wherever it comes from.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/carobwharf/carobwharf/structs"
)

// MaxFindings is the maximum number of findings that Check returns. A set with
// more problems has a systematic fault, which the first findings show.
const MaxFindings = 500

// Finding is one problem of a set.
type Finding struct {
	Object  structs.Ref // empty for a problem of the set itself
	Field   string      // key of the field in the INI file; empty for a problem of the whole object
	Problem string
}

// String formats the finding as one line.
func (f Finding) String() string {
	switch {
	case f.Object == structs.Ref{}:
		return f.Problem
	case f.Field == "":
		return fmt.Sprintf("[%s] %s", f.Object, f.Problem)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Object, f.Field, f.Problem)
}

// Check returns the problems of a set, sorted by object and field, and stops
// collecting at MaxFindings. A set without findings may be published.
func Check(set *structs.ObjectSet) []Finding {
	c := &checker{set: set}
	if n := countObjects(set); n > MaxObjects {
		c.add(structs.Ref{}, "", "the set has %d objects, the limit is %d", n, MaxObjects)
		return c.findings
	}
	c.checkNames()
	c.checkPools()
	c.checkServices()
	c.checkBudgets()
	c.checkStopPlans()
	c.checkTeams()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(structs.CompareRefs(a.Object, b.Object), cmp.Compare(a.Field, b.Field))
	})
	return c.findings
}

func countObjects(set *structs.ObjectSet) int {
	return len(set.Pools) + len(set.Services) + len(set.Budgets) + len(set.StopPlans) + len(set.Teams)
}

type checker struct {
	set      *structs.ObjectSet
	pools    map[string]*structs.Pool
	teams    map[string]*structs.Team
	plans    map[string]*structs.StopPlan
	findings []Finding
}

func (c *checker) add(object structs.Ref, field, format string, args ...any) {
	if len(c.findings) >= MaxFindings {
		return
	}
	c.findings = append(c.findings, Finding{Object: object, Field: field, Problem: fmt.Sprintf(format, args...)})
}

// checkNames checks the names of all objects and the order of the lists, and
// indexes pools, teams and stop plans by name.
func (c *checker) checkNames() {
	c.pools = indexByName(c, structs.KindPool, c.set.Pools, func(p *structs.Pool) string { return p.Name })
	c.teams = indexByName(c, structs.KindTeam, c.set.Teams, func(t *structs.Team) string { return t.Name })
	c.plans = indexByName(c, structs.KindStopPlan, c.set.StopPlans, func(p *structs.StopPlan) string { return p.Name })
	indexByName(c, structs.KindService, c.set.Services, func(s *structs.Service) string { return s.Name })
	indexByName(c, structs.KindBudget, c.set.Budgets, func(b *structs.Budget) string { return b.Name })
}

// indexByName returns the objects of list by name. It reports invalid and
// duplicate names and a list that is not sorted by name.
func indexByName[T any](c *checker, kind structs.Kind, list []T, name func(*T) string) map[string]*T {
	byName := make(map[string]*T, len(list))
	previous := ""
	for i := range list {
		n := name(&list[i])
		ref := structs.Ref{Kind: kind, Name: n}
		switch {
		case !ValidName(n):
			c.add(ref, "", "invalid name, want %s", NameSyntax)
		case byName[n] != nil:
			c.add(ref, "", "the name is used twice")
		case i > 0 && n < previous:
			c.add(ref, "", "the list is not sorted by name")
		}
		byName[n] = &list[i]
		previous = n
	}
	return byName
}

// checkRange reports a value that is not between low and high, or is NaN.
func checkRange[N int | float64](c *checker, object structs.Ref, field string, value, low, high N) {
	if !(value >= low && value <= high) {
		c.add(object, field, "%v is outside %v to %v", value, low, high)
	}
}

// checkOneOf reports a value that is not in allowed.
func checkOneOf[E ~string](c *checker, object structs.Ref, field string, value E, allowed ...E) {
	if !slices.Contains(allowed, value) {
		c.add(object, field, "%q is none of %v", value, allowed)
	}
}

// lookupPool returns the pool that an object refers to. If the pool does not
// exist, it reports that and returns nil.
func (c *checker) lookupPool(object structs.Ref, name string) *structs.Pool {
	p := c.pools[name]
	if p == nil {
		c.add(object, "pool", "pool %q does not exist", name)
	}
	return p
}
