// Package publication decides how a submitted object set becomes the next
// generation of the configuration. It numbers the generations, detects conflicts
// between operators, and computes and applies deltas between sets.
package publication

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/structs"
)

// ErrFutureBase means that the base generation is higher than the head's. The
// submitter has seen a configuration that this head does not contain.
var ErrFutureBase = errors.New("base generation is higher than the head")

// Conflict is the error for a submission that changes objects which the
// generations after its base have changed in another way.
type Conflict struct {
	Base    uint64        // generation that the submission is based on
	Head    uint64        // generation of the head
	Objects []structs.Ref // sorted
}

// Error returns a message that lists the conflicting objects.
func (c *Conflict) Error() string {
	names := make([]string, len(c.Objects))
	for i, ref := range c.Objects {
		names[i] = ref.String()
	}
	return fmt.Sprintf("generation %d changed the same objects as this submission, which is based on generation %d: %s",
		c.Head, c.Base, strings.Join(names, ", "))
}

// Plan states what to publish for a submission.
type Plan struct {
	Generation uint64 // of the head after publication
	Set        structs.ObjectSet
	Rebased    bool // the set also contains changes that generations after the base made
	Unchanged  bool // the head already has this content; nothing is published
}

// Decide returns the plan for a submission. base is the generation that the
// submission is based on, with its content; head is the current one.
//
//   - If the base is the head, the submitted set is published.
//   - If the head is newer than the base and the submission changed other
//     objects than the generations in between, its changes are applied to the
//     head's set. The caller must check the resulting set as a whole before it
//     publishes it.
//   - If both changed an object differently, the error is a *Conflict.
//   - If the base is newer than the head, the error is ErrFutureBase.
//   - Generation 0 is only the base of the first set. A set that is based on it
//     is not merged with an existing set: the error is a *Conflict that names
//     every object that differs.
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

// rebase applies the changes that the submission makes to its base to the
// head's set.
func rebase(base, head *structs.Config, submitted *structs.ObjectSet) (structs.ObjectSet, error) {
	headToSubmitted := Diff(&head.Set, submitted)
	if base.Generation == 0 {
		if headToSubmitted.Empty() {
			return head.Set, nil
		}
		return structs.ObjectSet{}, &Conflict{Base: 0, Head: head.Generation, Objects: headToSubmitted.Refs()}
	}
	theirs := Diff(&base.Set, &head.Set)
	ours := Diff(&base.Set, submitted)
	// An object that differs from the base on both sides is a conflict unless
	// both sides made the same change.
	conflicts := intersect(intersect(ours.Refs(), theirs.Refs()), headToSubmitted.Refs())
	if len(conflicts) > 0 {
		return structs.ObjectSet{}, &Conflict{Base: base.Generation, Head: head.Generation, Objects: conflicts}
	}
	// Changes that both sides made are already in the head.
	remaining := without(&ours, theirs.Refs())
	return Apply(&head.Set, &remaining)
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

// without returns d without the objects that are listed in refs, which is
// sorted.
func without(d *Delta, refs []structs.Ref) Delta {
	var out Delta
	appendExcept(&out, poolKind, d, refs)
	appendExcept(&out, serviceKind, d, refs)
	appendExcept(&out, budgetKind, d, refs)
	appendExcept(&out, stopPlanKind, d, refs)
	appendExcept(&out, teamKind, d, refs)
	for _, ref := range d.Removed {
		if !containsRef(refs, ref) {
			out.Removed = append(out.Removed, ref)
		}
	}
	return out
}

// appendExcept appends the added and changed objects of one kind of d to out,
// except those that are listed in refs.
func appendExcept[T any](out *Delta, k objectKind[T], d *Delta, refs []structs.Ref) {
	for _, side := range []struct{ from, to *structs.ObjectSet }{{&d.Added, &out.Added}, {&d.Changed, &out.Changed}} {
		for _, object := range *k.list(side.from) {
			if !containsRef(refs, k.ref(&object)) {
				*k.list(side.to) = append(*k.list(side.to), object)
			}
		}
	}
}

// containsRef reports whether the sorted list refs contains ref.
func containsRef(refs []structs.Ref, ref structs.Ref) bool {
	_, found := slices.BinarySearchFunc(refs, ref, structs.CompareRefs)
	return found
}

// Supersedes reports whether a process may replace its configuration current by
// next, which must have a higher generation. Both may be nil.
func Supersedes(current, next *structs.Config) bool {
	return next != nil && (current == nil || next.Generation > current.Generation)
}
