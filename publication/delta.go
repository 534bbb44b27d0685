package publication

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/carobwharf/carobwharf/structs"
)

// Delta is the difference between two object sets.
type Delta struct {
	Added   structs.ObjectSet // objects that only the newer set has
	Changed structs.ObjectSet // objects of both sets that differ, as in the newer set
	Removed []structs.Ref     // objects that only the older set has, sorted
}

// Diff returns the delta that turns a into b. The lists of both sets must be
// sorted by name.
func Diff(a, b *structs.ObjectSet) Delta {
	var d Delta
	diff(&d, poolKind, a, b)
	diff(&d, serviceKind, a, b)
	diff(&d, budgetKind, a, b)
	diff(&d, stopPlanKind, a, b)
	diff(&d, teamKind, a, b)
	return d
}

// Apply returns a copy of a with the changes of d. It fails if d does not fit
// a: if d adds an object that a has, or changes or removes one that a lacks.
func Apply(a *structs.ObjectSet, d *Delta) (structs.ObjectSet, error) {
	var out structs.ObjectSet
	removed := make(map[structs.Ref]bool, len(d.Removed))
	for _, ref := range d.Removed {
		removed[ref] = true
	}
	err := cmp.Or(
		apply(&out, poolKind, a, d, removed),
		apply(&out, serviceKind, a, d, removed),
		apply(&out, budgetKind, a, d, removed),
		apply(&out, stopPlanKind, a, d, removed),
		apply(&out, teamKind, a, d, removed),
	)
	if err != nil {
		return structs.ObjectSet{}, err
	}
	for _, ref := range d.Removed {
		if removed[ref] {
			return structs.ObjectSet{}, fmt.Errorf("delta removes %s, which the set does not have", ref)
		}
	}
	return out, nil
}

// Refs returns sorted references to all added, changed and removed objects.
func (d *Delta) Refs() []structs.Ref {
	refs := slices.Concat(Refs(&d.Added), Refs(&d.Changed), d.Removed)
	slices.SortFunc(refs, structs.CompareRefs)
	return refs
}

// Empty reports whether d changes nothing.
func (d *Delta) Empty() bool { return len(d.Refs()) == 0 }

// Refs returns references to the objects of a set, by kind and then in the
// order of the set's lists.
func Refs(set *structs.ObjectSet) []structs.Ref {
	var refs []structs.Ref
	refs = appendRefs(refs, poolKind, set)
	refs = appendRefs(refs, serviceKind, set)
	refs = appendRefs(refs, budgetKind, set)
	refs = appendRefs(refs, stopPlanKind, set)
	return appendRefs(refs, teamKind, set)
}

func appendRefs[T any](refs []structs.Ref, k objectKind[T], set *structs.ObjectSet) []structs.Ref {
	for i := range *k.list(set) {
		refs = append(refs, k.ref(&(*k.list(set))[i]))
	}
	return refs
}

// diff appends the differences between the two lists of one kind to d. It steps
// through both sorted lists in parallel.
func diff[T any](d *Delta, k objectKind[T], older, newer *structs.ObjectSet) {
	a, b := *k.list(older), *k.list(newer)
	added, changed := k.list(&d.Added), k.list(&d.Changed)
	for len(a) > 0 || len(b) > 0 {
		switch order := k.compareFirst(a, b); {
		case order < 0:
			d.Removed = append(d.Removed, k.ref(&a[0]))
			a = a[1:]
		case order > 0:
			*added = append(*added, b[0])
			b = b[1:]
		default:
			if !k.equal(&a[0], &b[0]) {
				*changed = append(*changed, b[0])
			}
			a, b = a[1:], b[1:]
		}
	}
}

// apply stores a's list of one kind in out, with the changes of d. It deletes
// each object that it has left out from removed, so the references that remain
// there name objects that a does not have.
func apply[T any](out *structs.ObjectSet, k objectKind[T], a *structs.ObjectSet, d *Delta, removed map[structs.Ref]bool) error {
	added, changed := *k.list(&d.Added), *k.list(&d.Changed)
	var merged []T
	for _, object := range *k.list(a) {
		for len(added) > 0 && k.name(&added[0]) < k.name(&object) {
			merged, added = append(merged, added[0]), added[1:]
		}
		if k.firstHasName(added, &object) {
			return fmt.Errorf("delta adds %s, which the set already has", k.ref(&object))
		}
		ref := k.ref(&object)
		switch {
		case removed[ref]:
			delete(removed, ref)
		case k.firstHasName(changed, &object):
			merged, changed = append(merged, changed[0]), changed[1:]
		default:
			merged = append(merged, object)
		}
	}
	if len(changed) > 0 {
		return fmt.Errorf("delta changes %s, which the set does not have", k.ref(&changed[0]))
	}
	*k.list(out) = append(merged, added...)
	return nil
}
