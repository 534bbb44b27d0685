package publication

import (
	"cmp"
	"slices"

	"github.com/carobwharf/carobwharf/structs"
)

// objectKind describes one kind of object to the generic functions: where its
// list is in a set, and how to name and compare its objects.
type objectKind[T any] struct {
	kind  structs.Kind
	list  func(*structs.ObjectSet) *[]T
	name  func(*T) string
	equal func(a, b *T) bool
}

func (k objectKind[T]) ref(object *T) structs.Ref {
	return structs.Ref{Kind: k.kind, Name: k.name(object)}
}

// firstHasName reports whether list is not empty and its first object has the
// name of object.
func (k objectKind[T]) firstHasName(list []T, object *T) bool {
	return len(list) > 0 && k.name(&list[0]) == k.name(object)
}

// compareFirst compares the names of the first objects of two lists, of which
// at most one is empty. An empty list sorts last.
func (k objectKind[T]) compareFirst(a, b []T) int {
	switch {
	case len(b) == 0:
		return -1
	case len(a) == 0:
		return 1
	}
	return cmp.Compare(k.name(&a[0]), k.name(&b[0]))
}

func equalValues[T comparable](a, b *T) bool { return *a == *b }

var (
	poolKind = objectKind[structs.Pool]{
		kind:  structs.KindPool,
		list:  func(s *structs.ObjectSet) *[]structs.Pool { return &s.Pools },
		name:  func(p *structs.Pool) string { return p.Name },
		equal: equalValues[structs.Pool],
	}
	serviceKind = objectKind[structs.Service]{
		kind:  structs.KindService,
		list:  func(s *structs.ObjectSet) *[]structs.Service { return &s.Services },
		name:  func(s *structs.Service) string { return s.Name },
		equal: equalServices,
	}
	budgetKind = objectKind[structs.Budget]{
		kind:  structs.KindBudget,
		list:  func(s *structs.ObjectSet) *[]structs.Budget { return &s.Budgets },
		name:  func(b *structs.Budget) string { return b.Name },
		equal: equalValues[structs.Budget],
	}
	stopPlanKind = objectKind[structs.StopPlan]{
		kind:  structs.KindStopPlan,
		list:  func(s *structs.ObjectSet) *[]structs.StopPlan { return &s.StopPlans },
		name:  func(p *structs.StopPlan) string { return p.Name },
		equal: equalValues[structs.StopPlan],
	}
	teamKind = objectKind[structs.Team]{
		kind:  structs.KindTeam,
		list:  func(s *structs.ObjectSet) *[]structs.Team { return &s.Teams },
		name:  func(t *structs.Team) string { return t.Name },
		equal: equalValues[structs.Team],
	}
)

// equalServices compares all fields. Service is not comparable with ==, because
// it has slices. TestServiceComparisonCoversAllFields checks that no field is
// left out.
func equalServices(a, b *structs.Service) bool {
	return slices.Equal(a.Idempotent, b.Idempotent) && slices.Equal(a.Once, b.Once) &&
		a.Name == b.Name && a.Pool == b.Pool && a.Class == b.Class && a.Share == b.Share && a.Team == b.Team &&
		a.Timeout == b.Timeout && a.Queue == b.Queue && a.MaxBody == b.MaxBody && a.RetryRatio == b.RetryRatio &&
		a.Retention == b.Retention && a.TrustRefusal == b.TrustRefusal && a.Legacy == b.Legacy
}
