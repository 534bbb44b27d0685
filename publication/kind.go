package publication

import (
	"cmp"
	"slices"

	"github.com/carobwharf/carobwharf/structs"
)

// kind gives the generic code access to one kind of object.
type kind[T any] struct {
	kind  structs.Kind
	list  func(*structs.ObjectSet) *[]T
	name  func(*T) string
	equal func(a, b *T) bool
}

func (k kind[T]) ref(object *T) structs.Ref {
	return structs.Ref{Kind: k.kind, Name: k.name(object)}
}

// heads reports whether the first object of list has the object's name.
func (k kind[T]) heads(list []T, object *T) bool {
	return len(list) > 0 && k.name(&list[0]) == k.name(object)
}

// compareHeads orders the first objects of two lists that are not both empty.
// An empty list comes last.
func (k kind[T]) compareHeads(a, b []T) int {
	switch {
	case len(b) == 0:
		return -1
	case len(a) == 0:
		return 1
	}
	return cmp.Compare(k.name(&a[0]), k.name(&b[0]))
}

func same[T comparable](a, b *T) bool { return *a == *b }

var (
	poolKind = kind[structs.Pool]{
		kind:  structs.KindPool,
		list:  func(s *structs.ObjectSet) *[]structs.Pool { return &s.Pools },
		name:  func(p *structs.Pool) string { return p.Name },
		equal: same[structs.Pool],
	}
	serviceKind = kind[structs.Service]{
		kind:  structs.KindService,
		list:  func(s *structs.ObjectSet) *[]structs.Service { return &s.Services },
		name:  func(s *structs.Service) string { return s.Name },
		equal: sameService,
	}
	budgetKind = kind[structs.Budget]{
		kind:  structs.KindBudget,
		list:  func(s *structs.ObjectSet) *[]structs.Budget { return &s.Budgets },
		name:  func(b *structs.Budget) string { return b.Name },
		equal: same[structs.Budget],
	}
	stopPlanKind = kind[structs.StopPlan]{
		kind:  structs.KindStopPlan,
		list:  func(s *structs.ObjectSet) *[]structs.StopPlan { return &s.StopPlans },
		name:  func(p *structs.StopPlan) string { return p.Name },
		equal: same[structs.StopPlan],
	}
	teamKind = kind[structs.Team]{
		kind:  structs.KindTeam,
		list:  func(s *structs.ObjectSet) *[]structs.Team { return &s.Teams },
		name:  func(t *structs.Team) string { return t.Name },
		equal: same[structs.Team],
	}
)

// sameService compares all fields; the lists of operations make a Service not
// comparable with ==. A test checks that no field is left out.
func sameService(a, b *structs.Service) bool {
	return slices.Equal(a.Idempotent, b.Idempotent) && slices.Equal(a.Once, b.Once) &&
		a.Name == b.Name && a.Pool == b.Pool && a.Class == b.Class && a.Share == b.Share && a.Team == b.Team &&
		a.Timeout == b.Timeout && a.Queue == b.Queue && a.MaxBody == b.MaxBody && a.RetryRatio == b.RetryRatio &&
		a.Retention == b.Retention && a.TrustRefusal == b.TrustRefusal && a.Legacy == b.Legacy
}
