package settings

import (
	"cmp"
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/configcheck"
	"github.com/carobwharf/carobwharf/structs"
)

// MaxObjectBytes is the maximum size of the text of an object set. A set of the
// target size (2,000 services, 500 teams) takes 0.7 MB.
const MaxObjectBytes = 4 << 20

// ObjectFile is a parsed object set with the line numbers of its objects.
type ObjectFile struct {
	Set   structs.ObjectSet // each list sorted by name
	file  string
	lines map[structs.Ref]*section
}

// Line returns the line of a key of an object. It returns the line of the object's
// section if the file does not have the key, and 0 for an unknown object.
func (f *ObjectFile) Line(object structs.Ref, key string) int {
	s := f.lines[object]
	if s == nil {
		return 0
	}
	if line := s.lines[key]; line > 0 {
		return line
	}
	return s.line
}

// ParseObjects parses an object set. Errors name the source as file. A returned
// error is a *Problems with all problems of the file. Each value is checked by
// itself; package configcheck checks the set as a whole.
func ParseObjects(file string, data []byte) (*ObjectFile, error) {
	d := parseText(file, data, MaxObjectBytes)
	f := &ObjectFile{file: file, lines: map[structs.Ref]*section{}}
	for _, s := range d.sections {
		f.readObject(d, s)
	}
	if err := d.problems.err(); err != nil {
		return nil, err
	}
	SortSet(&f.Set)
	return f, nil
}

func (f *ObjectFile) readObject(d *document, s *section) {
	kind, name, _ := strings.Cut(s.name, " ")
	if !slices.Contains(structs.Kinds, structs.Kind(kind)) {
		d.addProblem(s.line, s, "", kind, "[kind name], where the kind is pool, service, budget, stopplan or team")
		return
	}
	if !configcheck.ValidName(name) {
		d.addProblem(s.line, s, "", name, "[kind name], where the name is "+configcheck.NameSyntax)
		return
	}
	ref := structs.Ref{Kind: structs.Kind(kind), Name: name}
	f.lines[ref] = s
	switch ref.Kind {
	case structs.KindPool:
		f.Set.Pools = appendObject(d, s, f.Set.Pools, poolFields, defaultPool(name))
	case structs.KindService:
		f.Set.Services = appendObject(d, s, f.Set.Services, serviceFields, defaultService(name))
	case structs.KindBudget:
		f.Set.Budgets = appendObject(d, s, f.Set.Budgets, budgetFields, defaultBudget(name))
	case structs.KindStopPlan:
		f.Set.StopPlans = appendObject(d, s, f.Set.StopPlans, stopPlanFields, defaultStopPlan(name))
	case structs.KindTeam:
		f.Set.Teams = appendObject(d, s, f.Set.Teams, teamFields, defaultTeam(name))
	}
}

func appendObject[T any](d *document, s *section, list []T, fields []field[T], object T) []T {
	if s.ini == nil {
		return list
	}
	readFields(d, s, fields, &object)
	return append(list, object)
}

// SortSet sorts each list of a set by name.
func SortSet(set *structs.ObjectSet) {
	slices.SortFunc(set.Pools, func(a, b structs.Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(set.Services, func(a, b structs.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(set.Budgets, func(a, b structs.Budget) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(set.StopPlans, func(a, b structs.StopPlan) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(set.Teams, func(a, b structs.Team) int { return cmp.Compare(a.Name, b.Name) })
}
