package configcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/structs"
)

func ExampleCheck() {
	set := &structs.ObjectSet{
		Pools: []structs.Pool{{Name: "counter", Min: 6, Target: 4, Spread: structs.DomainRack}},
		Teams: []structs.Team{{Name: "sales", Weight: 1}},
	}
	for _, f := range Check(set) {
		fmt.Println(f)
	}
	// Output:
	// [pool counter] min: 6 is above target 4
	// no pool has spare = true, want exactly one spare pool
}

// validSet returns a valid set with the given numbers of objects.
func validSet(pools, teams, services int) *structs.ObjectSet {
	s := &structs.ObjectSet{}
	vms := 15_000 / pools
	for i := range pools {
		name := fmt.Sprintf("pool-%05d", i)
		s.Pools = append(s.Pools, structs.Pool{Name: name, Spare: i == 0, Min: vms / 2, Target: vms, Spread: structs.DomainRack})
		s.Budgets = append(s.Budgets, structs.Budget{Name: name, Pool: name, MaxUnavailable: vms / 10, MinAvailable: vms / 2, Survive: structs.DomainRack})
		s.StopPlans = append(s.StopPlans, structs.StopPlan{Name: name, Pool: name, Order: structs.DomainRack, Width: vms / 20,
			DrainTimeout: time.Minute, RebootTimeout: time.Minute, Every: 672 * time.Hour})
		if i > 0 {
			s.StopPlans[i].After = s.StopPlans[i-1].Name
		}
	}
	for i := range teams {
		s.Teams = append(s.Teams, structs.Team{Name: fmt.Sprintf("team-%05d", i), Weight: 1})
	}
	for i := range services {
		s.Services = append(s.Services, structs.Service{
			Name: fmt.Sprintf("service-%05d", i), Pool: s.Pools[1+i%(pools-1)].Name, Team: s.Teams[i%teams].Name,
			Class: structs.ClassStandard, Share: 0.01, Idempotent: []string{"get", "list"}, Once: []string{"pay"},
			Timeout: time.Second, Queue: 64, MaxBody: 1 << 20, Retention: time.Hour, Legacy: structs.LegacyNone,
		})
	}
	return s
}

// Guards against a rule that no longer reports its violation. Each case makes
// one change to a valid set; its name is a part of the expected finding.
func TestFindings(t *testing.T) {
	require.Empty(t, Check(validSet(4, 3, 6)))
	for want, change := range map[string]func(s *structs.ObjectSet){
		"[pool Upper]": func(s *structs.ObjectSet) { s.Pools[3].Name = "Upper" },
		"[pool pool-00002] the name is used twice":                 func(s *structs.ObjectSet) { s.Pools[3].Name = "pool-00002" },
		"[team team-00000] the list is not sorted":                 func(s *structs.ObjectSet) { s.Teams[0], s.Teams[1] = s.Teams[1], s.Teams[0] },
		"want exactly one spare pool":                              func(s *structs.ObjectSet) { s.Pools[0].Spare = false },
		"pool pool-00000 is already the spare pool":                func(s *structs.ObjectSet) { s.Pools[1].Spare = true },
		"target: 3750 is above max 3":                              func(s *structs.ObjectSet) { s.Pools[1].Max = 3 },
		"min: -1 is outside":                                       func(s *structs.ObjectSet) { s.Pools[1].Min = -1 },
		`pool: pool "gone" does not exist`:                         func(s *structs.ObjectSet) { s.Services[0].Pool = "gone" },
		"is the spare pool, which serves no requests":              func(s *structs.ObjectSet) { s.Services[0].Pool = "pool-00000" },
		`team: team "gone" does not exist`:                         func(s *structs.ObjectSet) { s.Services[0].Team = "gone" },
		"services sum to 1.01":                                     func(s *structs.ObjectSet) { s.Services[0].Share = 1 },
		"once: operation get is also listed as idempotent":         func(s *structs.ObjectSet) { s.Services[0].Once = []string{"get"} },
		"once: operation pay is listed twice":                      func(s *structs.ObjectSet) { s.Services[0].Once = []string{"pay", "pay"} },
		`idempotent: invalid operation name "a/b"`:                 func(s *structs.ObjectSet) { s.Services[0].Idempotent = []string{"a/b"} },
		"declares 0 operations":                                    func(s *structs.ObjectSet) { s.Services[0].Idempotent, s.Services[0].Once = nil, nil },
		"retention: 9s is shorter than 10 times the timeout 1s":    func(s *structs.ObjectSet) { s.Services[0].Retention = 9 * time.Second },
		`class: "fast" is none of`:                                 func(s *structs.ObjectSet) { s.Services[0].Class = "fast" },
		"min_available: 3751 is above target":                      func(s *structs.ObjectSet) { s.Budgets[1].MinAvailable = 3751 },
		"min_available: 3750 equals target":                        func(s *structs.ObjectSet) { s.Budgets[1].MinAvailable = 3750 },
		"max_unavailable: 3000 contradicts budget":                 func(s *structs.ObjectSet) { s.Budgets[1].Pool, s.Budgets[2].MaxUnavailable = "pool-00002", 3000 },
		"survive: rack has no effect":                              func(s *structs.ObjectSet) { s.Budgets[1].MinAvailable = 0 },
		"width: 376 is above max_unavailable 375":                  func(s *structs.ObjectSet) { s.StopPlans[1].Width = 376 },
		"every: 1h0m0s is too short for 3750 waves":                func(s *structs.ObjectSet) { s.StopPlans[1].Width, s.StopPlans[1].Every = 1, time.Hour },
		`after: stop plan "gone" does not exist`:                   func(s *structs.ObjectSet) { s.StopPlans[1].After = "gone" },
		"after: cycle: pool-00000 -> pool-00002 -> pool-00001 -> ": func(s *structs.ObjectSet) { s.StopPlans[0].After = "pool-00002" },
		"after: cycle: pool-00001 -> pool-00001":                   func(s *structs.ObjectSet) { s.StopPlans[1].After = "pool-00001" },
		"weight: 0 gives the team no share":                        func(s *structs.ObjectSet) { s.Teams[0].Weight = 0 },
		"[pool pool-00000] the pool has 17 budgets, the limit is 16": func(s *structs.ObjectSet) {
			s.Budgets = nil
			for i := range MaxBudgets + 1 {
				s.Budgets = append(s.Budgets, structs.Budget{Name: fmt.Sprintf("b%02d", i), Pool: "pool-00000"})
			}
		},
	} {
		t.Run(want, func(t *testing.T) {
			set := validSet(4, 3, 6)
			change(set)
			var lines []string
			for _, f := range Check(set) {
				lines = append(lines, f.String())
			}
			require.Contains(t, strings.Join(lines, "\n"), want)
		})
	}
}

// Guards against an unbounded number of findings, which a hostile set could
// cause.
func TestFindingsAreBounded(t *testing.T) {
	set := validSet(4, 3, 2000)
	for i := range set.Services {
		set.Services[i].Pool = "gone"
	}
	require.Len(t, Check(set), MaxFindings)
	require.Len(t, Check(&structs.ObjectSet{Teams: make([]structs.Team, MaxObjects+1)}), 1)
}

func BenchmarkCheckDesignTarget(b *testing.B) {
	set := validSet(32, 500, 2000)
	require.Empty(b, Check(set))
	b.ReportAllocs()
	for b.Loop() {
		Check(set)
	}
}
