// Package publication decides how a submitted object set becomes the next
// generation of the configuration: the generation rule, conflicts between
// operators, and deltas between sets.
package publication

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/structs"
)

// ErrFutureBase: the base generation is higher than the head, so the submitter
// has seen a configuration that this head does not contain.
var ErrFutureBase = errors.New("base generation is higher than the head")

// Conflict names the objects that a submission and the generations after its
// base changed differently.
type Conflict struct {
	Base    uint64
	Head    uint64
	Objects []structs.Ref // sorted
}

// Error names the objects.
func (c *Conflict) Error() string {
	names := make([]string, len(c.Objects))
	for i, ref := range c.Objects {
		names[i] = ref.String()
	}
	return fmt.Sprintf("generation %d changed the same objects as this submission, which is based on generation %d: %s",
		c.Head, c.Base, strings.Join(names, ", "))
}

// Plan is what to publish for a submission.
type Plan struct {
	Generation uint64 // of the head after publication
	Set        structs.ObjectSet
	Rebased    bool // the set also contains changes of generations after the base
	Unchanged  bool // the head already has this content; nothing is published
}

// Decide returns the plan for a submission.
//
//   - If the base is the head, the submitted set is published.
//   - If the head has moved on and the submission changed other objects, its
//     changes are applied to the head's set. The result must be checked again
//     as a whole before it is published.
//   - If both changed an object differently, the result is a *Conflict.
//   - A base above the head gives ErrFutureBase.
//   - Generation 0 is only the base of the first set. A set that was made from
//     nothing is not merged with an existing one: it gives a *Conflict that
//     names every object that differs.
//
// base.Set is the content of the generation that the submission is based on.
func Decide(base, head *structs.Config, submitted *structs.ObjectSet) (Plan, error) {
	if base.Generation > head.Generation {
		return Plan{}, fmt.Errorf("%w: base %d, head %d", ErrFutureBase, base.Generation, head.Generation)
	}
	set, rebased := *submitted, false
	if base.Generation < head.Generation {
		merged, err := rebase(base, head, submitted)
		if err != nil {
			return Plan{}, err
		}
		set, rebased = merged, true
	}
	change := Diff(&head.Set, &set)
	if change.Empty() && head.Generation > 0 {
		return Plan{Generation: head.Generation, Set: head.Set, Rebased: rebased, Unchanged: true}, nil
	}
	return Plan{Generation: head.Generation + 1, Set: set, Rebased: rebased}, nil
}

// rebase applies the submission's changes to the head's set.
func rebase(base, head *structs.Config, submitted *structs.ObjectSet) (structs.ObjectSet, error) {
	between := Diff(&head.Set, submitted)
	if base.Generation == 0 {
		if between.Empty() {
			return head.Set, nil
		}
		return structs.ObjectSet{}, &Conflict{Base: 0, Head: head.Generation, Objects: between.Refs()}
	}
	theirs := Diff(&base.Set, &head.Set)
	ours := Diff(&base.Set, submitted)
	// An object that differs from the base on both sides is a conflict unless
	// both sides made the same change.
	both := intersect(intersect(ours.Refs(), theirs.Refs()), between.Refs())
	if len(both) > 0 {
		return structs.ObjectSet{}, &Conflict{Base: base.Generation, Head: head.Generation, Objects: both}
	}
	// What both changed in the same way is already in the head.
	own := without(&ours, theirs.Refs())
	return Apply(&head.Set, &own)
}

// intersect returns the references that both sorted lists have.
func intersect(a, b []structs.Ref) []structs.Ref {
	var out []structs.Ref
	for _, ref := range a {
		if _, found := slices.BinarySearchFunc(b, ref, structs.CompareRefs); found {
			out = append(out, ref)
		}
	}
	return out
}

// without returns d without the objects of the sorted list refs.
func without(d *Delta, refs []structs.Ref) Delta {
	var out Delta
	keep(&out, poolKind, d, refs)
	keep(&out, serviceKind, d, refs)
	keep(&out, budgetKind, d, refs)
	keep(&out, stopPlanKind, d, refs)
	keep(&out, teamKind, d, refs)
	for _, ref := range d.Removed {
		if !listed(refs, ref) {
			out.Removed = append(out.Removed, ref)
		}
	}
	return out
}

func keep[T any](out *Delta, k kind[T], d *Delta, refs []structs.Ref) {
	for _, side := range []struct{ from, to *structs.ObjectSet }{{&d.Added, &out.Added}, {&d.Changed, &out.Changed}} {
		for _, object := range *k.list(side.from) {
			if !listed(refs, k.ref(&object)) {
				*k.list(side.to) = append(*k.list(side.to), object)
			}
		}
	}
}

func listed(refs []structs.Ref, ref structs.Ref) bool {
	_, found := slices.BinarySearchFunc(refs, ref, structs.CompareRefs)
	return found
}

// Supersedes reports whether a process that has current in force may apply
// next: only a higher generation replaces the current one. current may be nil.
func Supersedes(current, next *structs.Config) bool {
	return next != nil && (current == nil || next.Generation > current.Generation)
}
