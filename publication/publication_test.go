package publication

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/structs"
)

func ExampleDecide() {
	pools := func(counter, umum int) structs.ObjectSet {
		return structs.ObjectSet{Pools: []structs.Pool{{Name: "counter", Target: counter}, {Name: "umum", Target: umum}}}
	}
	base := &structs.Config{Generation: 1, Set: pools(10, 10)}
	head := &structs.Config{Generation: 2, Set: pools(12, 10)}

	other := pools(10, 8)
	plan, err := Decide(base, head, &other)
	fmt.Println(plan.Generation, plan.Rebased, plan.Set.Pools[0].Target, plan.Set.Pools[1].Target, err)

	same := pools(11, 10)
	_, err = Decide(base, head, &same)
	fmt.Println(err)
	// Output:
	// 3 true 12 8 <nil>
	// generation 2 changed the same objects as this submission, which is based on generation 1: pool counter
}

func ExampleDiff() {
	a := structs.ObjectSet{Teams: []structs.Team{{Name: "crews", Slots: 1}, {Name: "sales", Slots: 2}}}
	b := structs.ObjectSet{Teams: []structs.Team{{Name: "dealers"}, {Name: "sales", Slots: 3}}}
	d := Diff(&a, &b)
	fmt.Println(Refs(&d.Added), Refs(&d.Changed), d.Removed)
	// Output: [team dealers] [team sales] [team crews]
}

// genSet draws a set from few names and values, so that two drawn sets have
// objects in common.
func genSet(t *rapid.T, label string) structs.ObjectSet {
	var s structs.ObjectSet
	for _, name := range []string{"a", "b", "c", "d"} {
		if v := rapid.IntRange(0, 2).Draw(t, label+"/pool/"+name); v > 0 {
			s.Pools = append(s.Pools, structs.Pool{Name: name, Target: v})
		}
		if v := rapid.IntRange(0, 2).Draw(t, label+"/service/"+name); v > 0 {
			s.Services = append(s.Services, structs.Service{Name: name, Pool: "a", Once: []string{"x", "y"}[:v]})
		}
		if v := rapid.IntRange(0, 2).Draw(t, label+"/rest/"+name); v > 0 {
			s.Budgets = append(s.Budgets, structs.Budget{Name: name, MinAvailable: v})
			s.StopPlans = append(s.StopPlans, structs.StopPlan{Name: name, Width: v})
			s.Teams = append(s.Teams, structs.Team{Name: name, Slots: v})
		}
	}
	return s
}

// Guards against a delta that misses a change or adds one.
func TestApplyOfDiffGivesTheNewerSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := genSet(t, "a"), genSet(t, "b")
		d := Diff(&a, &b)
		got, err := Apply(&a, &d)
		require.NoError(t, err)
		require.Equal(t, b, got)
		require.Equal(t, reflect.DeepEqual(a, b), d.Empty())
	})
}

// Guards against a delta that is applied to another set than the one it was
// computed for, which would give a mixture of two sets.
func TestApplyRejectsDeltaOfOtherBase(t *testing.T) {
	one := structs.ObjectSet{Pools: []structs.Pool{{Name: "a", Target: 1}}}
	two := structs.ObjectSet{Pools: []structs.Pool{{Name: "a", Target: 2}}}
	none := structs.ObjectSet{}
	for want, d := range map[string]Delta{
		"removes pool a": Diff(&one, &none),
		"changes pool a": Diff(&one, &two),
	} {
		_, err := Apply(&none, &d)
		require.ErrorContains(t, err, want)
	}
	add := Diff(&none, &one)
	_, err := Apply(&one, &add)
	require.ErrorContains(t, err, "adds pool a")
}

// For any base, head and submitted set: the generation never decreases, and the
// published set has all changes of the submitter and of the other operators.
func TestDecideKeepsChangesOfBothSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := &structs.Config{Generation: 1, Set: genSet(t, "base")}
		head := &structs.Config{Generation: rapid.Uint64Range(0, 3).Draw(t, "head"), Set: genSet(t, "head")}
		if head.Generation == base.Generation {
			head = base
		}
		submitted := genSet(t, "submitted")
		plan, err := Decide(base, head, &submitted)
		if base.Generation > head.Generation {
			require.ErrorIs(t, err, ErrFutureBase)
			return
		}
		ours, theirs := Diff(&base.Set, &submitted), Diff(&base.Set, &head.Set)
		if err != nil {
			var conflict *Conflict
			require.ErrorAs(t, err, &conflict)
			require.NotEmpty(t, conflict.Objects)
			return
		}
		require.GreaterOrEqual(t, plan.Generation, head.Generation)
		fromOurs, fromTheirs := Diff(&submitted, &plan.Set), Diff(&head.Set, &plan.Set)
		require.Empty(t, intersect(fromOurs.Refs(), ours.Refs()))
		require.Empty(t, intersect(fromTheirs.Refs(), theirs.Refs()))
	})
}

// Guards against a set that is based on generation 0 and is merged into an
// existing configuration or replaces it.
func TestGenerationZeroIsNotMerged(t *testing.T) {
	head := &structs.Config{Generation: 5, Set: structs.ObjectSet{Teams: []structs.Team{{Name: "sales"}}}}
	other := structs.ObjectSet{Teams: []structs.Team{{Name: "crews"}}}
	_, err := Decide(&structs.Config{}, head, &other)
	var conflict *Conflict
	require.ErrorAs(t, err, &conflict)
	require.Len(t, conflict.Objects, 2)
	plan, err := Decide(&structs.Config{}, head, &head.Set)
	require.NoError(t, err)
	require.True(t, plan.Unchanged)
}

// Guards against a process that returns to an older configuration.
func TestSupersedesNeverLowersGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var current *structs.Config
		for _, g := range rapid.SliceOf(rapid.Uint64Range(1, 5)).Draw(t, "generations") {
			next := &structs.Config{Generation: g}
			if Supersedes(current, next) {
				require.True(t, current == nil || g > current.Generation)
				current = next
			}
		}
	})
}

// Guards against a new field of Service that equalServices doesn't compare: a
// change of that field would be missing from every delta.
func TestServiceComparisonCoversAllFields(t *testing.T) {
	kind := reflect.TypeFor[structs.Service]()
	for i := range kind.NumField() {
		var a, b structs.Service
		switch f := reflect.ValueOf(&b).Elem().Field(i); f.Interface().(type) {
		case []string:
			f.Set(reflect.ValueOf([]string{"x"}))
		case int, time.Duration:
			f.SetInt(1)
		case float64:
			f.SetFloat(1)
		case bool:
			f.SetBool(true)
		default:
			f.SetString("x")
		}
		require.False(t, equalServices(&a, &b), kind.Field(i).Name)
	}
}
