package settings

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/structs"
)

// A field without a key could not be set, and would be lost when a set is formatted
// and parsed again.
func TestEveryFieldHasAKey(t *testing.T) {
	var process []field[Process]
	for _, fields := range processSections {
		process = append(process, fields...)
	}
	requireKeys(t, process)
	requireKeys(t, poolFields, "Name")
	requireKeys(t, serviceFields, "Name")
	requireKeys(t, budgetFields, "Name")
	requireKeys(t, stopPlanFields, "Name")
	requireKeys(t, teamFields, "Name")
	require.Equal(t, len(structs.Kinds), reflect.TypeFor[structs.ObjectSet]().NumField())
}

// requireKeys requires that a change of any field of a zero T changes the text of
// some key. Fields in except need no key.
func requireKeys[T any](t *testing.T, fields []field[T], except ...string) {
	t.Helper()
	var zero T
	forEachLeaf(reflect.TypeFor[T](), nil, "", func(index []int, name string) {
		var changed T
		setNonZero(reflect.ValueOf(&changed).Elem().FieldByIndex(index))
		for _, f := range fields {
			if f.get(&changed) != f.get(&zero) {
				return
			}
		}
		require.Contains(t, except, name)
	})
}

func forEachLeaf(structType reflect.Type, index []int, path string, visit func(index []int, name string)) {
	for i := range structType.NumField() {
		f := structType.Field(i)
		at := append(append([]int(nil), index...), i)
		if f.Type.Kind() == reflect.Struct {
			forEachLeaf(f.Type, at, path+f.Name+".", visit)
			continue
		}
		visit(at, path+f.Name)
	}
}

func setNonZero(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Slice:
		v.Set(reflect.ValueOf([]string{"x"}))
	default:
		v.SetInt(7)
	}
}
