package budget

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/structs"
)

func vms(racks ...string) []structs.VM {
	var out []structs.VM
	for i, r := range racks {
		out = append(out, structs.VM{ID: fmt.Sprintf("v%d", i), DataCentre: r[:1], Rack: r[1:]})
	}
	return out
}

func ExampleLedger() {
	limits := []structs.Budget{{Name: "b", Pool: "p", MaxUnavailable: 1}}
	l := New("p", limits, vms("a1", "a2"), []structs.Absence{{VM: "v0"}})
	fmt.Println(l.Permit("v1"))
	// Output: budget b: max_unavailable is 1, would be 2
}

// Each rule must refuse the first absence beyond its limit; one more would take
// the pool below its declared availability.
func TestPermitRules(t *testing.T) {
	pool := vms("a1", "a1", "a2", "b1", "b2", "c1")
	for _, c := range []struct {
		name   string
		budget structs.Budget
		absent []string
		vm     string
		rule   string
	}{
		{"max_unavailable, below the limit", structs.Budget{MaxUnavailable: 2}, []string{"v0"}, "v1", ""},
		{"max_unavailable, at the limit", structs.Budget{MaxUnavailable: 2}, []string{"v0", "v2"}, "v1", "max_unavailable"},
		{"VM is already absent", structs.Budget{MaxUnavailable: 1}, []string{"v0"}, "v0", ""},
		{"absence of another pool's VM", structs.Budget{MaxUnavailable: 1}, []string{"x"}, "v0", ""},
		{"min_available, above the limit", structs.Budget{MinAvailable: 5}, nil, "v0", ""},
		{"min_available, at the limit", structs.Budget{MinAvailable: 5}, []string{"v3"}, "v0", "min_available"},
		{"survive, VM in the largest data centre", structs.Budget{MinAvailable: 3, Survive: structs.DomainDataCentre}, nil, "v0", ""},
		{"survive, VM in another data centre", structs.Budget{MinAvailable: 3, Survive: structs.DomainDataCentre}, nil, "v3", "survive"},
		{"survive, VM in the largest rack", structs.Budget{MinAvailable: 4, Survive: structs.DomainRack}, nil, "v0", ""},
		{"survive, VM in another rack", structs.Budget{MinAvailable: 4, Survive: structs.DomainRack}, nil, "v2", "survive"},
		{"no limit", structs.Budget{}, []string{"v0", "v1", "v2"}, "v3", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.budget.Pool = "p"
			var absences []structs.Absence
			for _, id := range c.absent {
				absences = append(absences, structs.Absence{VM: id})
			}
			l := New("p", []structs.Budget{{Pool: "other", MinAvailable: 99}, c.budget}, pool, absences)
			r := l.Permit(c.vm)
			if c.rule == "" {
				require.Nil(t, r)
				return
			}
			require.NotNil(t, r)
			require.Equal(t, c.rule, r.Rule)
		})
	}
}

// Guards against granting the same permit twice: a recorded absence must count
// for the next VM.
func TestRecordedAbsenceCountsForNextPermit(t *testing.T) {
	l := New("p", []structs.Budget{{Pool: "p", MaxUnavailable: 1}}, vms("a1", "a2"), nil)
	require.Nil(t, l.Permit("v0"))
	require.Nil(t, l.Permit("v1"), "Permit must not record an absence")
	l.RecordAbsence("v0")
	require.NotNil(t, l.Permit("v1"))
	require.Nil(t, l.Check())
}
