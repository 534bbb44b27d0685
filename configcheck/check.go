// Package configcheck decides whether an object set is valid as a whole:
// names, references, numbers and contradictions between objects. It does no
// parsing and repeats the range checks of single values, so that a set is
// checked the same way wherever it came from.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/carobwharf/carobwharf/structs"
)

// MaxFindings bounds the result of Check. A set with more problems is wrong
// in a systematic way, and the first ones show it.
const MaxFindings = 500

// Finding is one problem of a set.
type Finding struct {
	Object  structs.Ref // empty for a problem of the set itself
	Field   string      // key of the object as in the INI form; empty for the object itself
	Problem string
}

// String returns the finding as one line.
func (f Finding) String() string {
	switch {
	case f.Object == structs.Ref{}:
		return f.Problem
	case f.Field == "":
		return fmt.Sprintf("[%s] %s", f.Object, f.Problem)
	}
	return fmt.Sprintf("[%s] %s: %s", f.Object, f.Field, f.Problem)
}

// Check returns the problems of a set, the first MaxFindings of them,
// sorted by object. A set without findings may be published.
func Check(set *structs.ObjectSet) []Finding {
	c := &checker{set: set}
	if n := objects(set); n > MaxObjects {
		c.add(structs.Ref{}, "", "the set has %d objects, the limit is %d", n, MaxObjects)
		return c.findings
	}
	c.names()
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

func objects(set *structs.ObjectSet) int {
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

// names indexes the objects by name and checks names and their order.
func (c *checker) names() {
	c.pools = index(c, structs.KindPool, c.set.Pools, func(p *structs.Pool) string { return p.Name })
	c.teams = index(c, structs.KindTeam, c.set.Teams, func(t *structs.Team) string { return t.Name })
	c.plans = index(c, structs.KindStopPlan, c.set.StopPlans, func(p *structs.StopPlan) string { return p.Name })
	index(c, structs.KindService, c.set.Services, func(s *structs.Service) string { return s.Name })
	index(c, structs.KindBudget, c.set.Budgets, func(b *structs.Budget) string { return b.Name })
}

func index[T any](c *checker, kind structs.Kind, list []T, name func(*T) string) map[string]*T {
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

// number reports a value outside low and high.
func number[N int | float64](c *checker, object structs.Ref, field string, value, low, high N) {
	if !(value >= low && value <= high) {
		c.add(object, field, "%v is outside %v to %v", value, low, high)
	}
}

// oneOf reports a value that is none of the allowed ones.
func oneOf[E ~string](c *checker, object structs.Ref, field string, value E, allowed ...E) {
	if !slices.Contains(allowed, value) {
		c.add(object, field, "%q is none of %v", value, allowed)
	}
}

// pool returns the pool that an object refers to, or reports that it does not
// exist and returns nil.
func (c *checker) pool(object structs.Ref, name string) *structs.Pool {
	p := c.pools[name]
	if p == nil {
		c.add(object, "pool", "pool %q does not exist", name)
	}
	return p
}
