package buffer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/structs"
)

func vms(prefix string, n int) []structs.VM {
	out := make([]structs.VM, n)
	for i := range out {
		out[i] = structs.VM{ID: fmt.Sprintf("%s%02d", prefix, i), DataCentre: fmt.Sprint("dc", i%3), Rack: fmt.Sprint("r", i%2)}
	}
	return out
}

func pool(name string, target, size int) PoolState {
	return PoolState{Pool: structs.Pool{Name: name, Target: target, Spread: structs.DomainDataCentre}, Target: target, Size: size, VMs: vms(name, size)}
}

func spare(size int) PoolState {
	p := pool("spare", 0, size)
	p.Pool.Spare = true
	return p
}

func ExampleAdopt() {
	pools := []PoolState{{Pool: structs.Pool{Name: "a"}, Target: 1}, {Pool: structs.Pool{Name: "spare", Spare: true}}}
	for _, m := range Adopt(pools, []structs.VM{{ID: "v1"}, {ID: "v2"}}, 10) {
		fmt.Println(m.VM, m.To)
	}
	// Output:
	// v1 a
	// v2 spare
}

// Guards against moves caused by a deficit or surplus that lasts only a short
// time: each move costs a drain.
func TestShortImbalanceCausesNoMove(t *testing.T) {
	start := time.Unix(0, 0)
	cfg := Config{FillAfter: 10 * time.Second, ReturnAfter: time.Minute, MoveInterval: 5 * time.Second, MaxMoves: 8}
	p := NewPlanner(cfg)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	short := []PoolState{pool("a", 5, 3), spare(4)}
	even := []PoolState{pool("a", 3, 3), spare(4)}
	over := []PoolState{pool("a", 1, 3), spare(4)}
	require.Empty(t, p.Plan(at(0), short))
	require.Empty(t, p.Plan(at(9), even))
	require.Empty(t, p.Plan(at(11), short))
	require.Len(t, p.Plan(at(21), short), 2)
	require.Empty(t, p.Plan(at(30), over))
	require.Empty(t, p.Plan(at(80), over))
	require.Len(t, p.Plan(at(90), over), 2)
	low := pool("a", 5, 3)
	low.Pool.Min = 4
	require.Len(t, p.Plan(at(100), []PoolState{low, spare(4)}), 1, "a deficit below Min must be filled at once")
}

// Checks invariants over random pools: a plan moves no VM twice and leaves the
// size of each pool between its old size and its target, so that no deficit or
// surplus grows. The target lies between the pool's Min and Max.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []PoolState{spare(rapid.IntRange(0, 6).Draw(t, "spare"))}
		for i := range rapid.IntRange(1, 4).Draw(t, "pools") {
			p := pool(fmt.Sprint("p", i), rapid.IntRange(0, 8).Draw(t, "target"), rapid.IntRange(0, 8).Draw(t, "size"))
			p.Pool.Min = rapid.IntRange(0, 3).Draw(t, "min")
			p.Pool.Max = rapid.IntRange(4, 9).Draw(t, "max")
			p.Target = min(max(p.Target, p.Pool.Min), p.Pool.Max)
			states = append(states, p)
		}
		planner := NewPlanner(Config{MaxMoves: rapid.IntRange(1, 10).Draw(t, "moves")})
		size, before := map[string]int{}, map[string]int{}
		for _, s := range states {
			size[s.Pool.Name], before[s.Pool.Name] = s.Size, s.Size
		}
		seen := map[string]bool{}
		for _, m := range planner.Plan(time.Unix(1, 0), states) {
			require.False(t, seen[m.VM], "VM %s is moved twice in one plan", m.VM)
			seen[m.VM] = true
			size[m.From]--
			size[m.To]++
		}
		for _, s := range states[1:] {
			n, old := size[s.Pool.Name], before[s.Pool.Name]
			require.GreaterOrEqual(t, n, min(old, s.Target))
			require.LessOrEqual(t, n, max(old, s.Target))
		}
	})
}

// Guards against a forecast that follows a peak too late, and against one that
// gives up VMs after a single interval of low load.
func TestForecastFollowsPeaks(t *testing.T) {
	var f Forecast
	p := structs.Pool{Min: 2, Max: 12}
	for range 50 {
		f.Observe(16)
	}
	require.Equal(t, 3, Target(p, f.Upper(), 8, 0.8))
	for range 3 {
		f.Observe(64)
	}
	require.GreaterOrEqual(t, Target(p, f.Upper(), 8, 0.8), 10)
	f.Observe(4)
	require.GreaterOrEqual(t, Target(p, f.Upper(), 8, 0.8), 10)
	for range 300 {
		f.Observe(4)
	}
	require.Equal(t, 2, Target(p, f.Upper(), 8, 0.8))
	require.InDelta(t, 20, ServiceLoad(structs.ServiceDemand{Arrived: 100, Served: 50, InFlight: 10}), 1e-9)
}
