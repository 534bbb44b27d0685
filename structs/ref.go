package structs

import "cmp"

// Kind is the kind of a named object.
type Kind string

// Kinds of objects, in the order in which they are listed.
const (
	KindPool     Kind = "pool"
	KindService  Kind = "service"
	KindBudget   Kind = "budget"
	KindStopPlan Kind = "stopplan"
	KindTeam     Kind = "team"
)

// Kinds lists all kinds of objects.
var Kinds = []Kind{KindPool, KindService, KindBudget, KindStopPlan, KindTeam}

// Ref identifies one object of an ObjectSet.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the kind and the name, in the form of an INI section name.
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// CompareRefs orders references by kind, then by name.
func CompareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(kindRank(a.Kind), kindRank(b.Kind)), cmp.Compare(a.Name, b.Name))
}

func kindRank(k Kind) int {
	for i, known := range Kinds {
		if k == known {
			return i
		}
	}
	return len(Kinds)
}
