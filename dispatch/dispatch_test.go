package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/structs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func view(n, slots int) *structs.FleetView {
	v := &structs.FleetView{}
	for i := range n {
		id := fmt.Sprintf("vm%05d", i)
		v.VMs = append(v.VMs, structs.VM{ID: id, State: structs.VMLive, Slots: slots})
		v.Owners = append(v.Owners, structs.Owner{VM: id, Pool: "a", State: structs.OwnerActive, Epoch: 1, Version: 1})
	}
	return v
}

func newSet(n, slots int) *Set {
	s := New(Options{})
	s.Update(start, View{Fleet: view(n, slots), Count: 1, Grow: map[string]bool{"a": true}})
	return s
}

func ExampleSet_Pick() {
	s := New(Options{})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.Update(now, View{Count: 1, Fleet: &structs.FleetView{
		VMs:    []structs.VM{{ID: "vm1", State: structs.VMLive, Slots: 1}},
		Owners: []structs.Owner{{VM: "vm1", Pool: "counter", State: structs.OwnerActive}},
	}})
	pool := s.Pool("counter")
	e, _ := s.Pick(now, Choice{Pool: pool, Avoid: None})
	vm, _ := s.VM(e)
	fmt.Println(vm.ID, s.Free(pool))
	s.Done(now, e, Result{Kind: structs.EndpointAnswered, Latency: time.Millisecond})
	fmt.Println(s.Free(pool))
	// Output:
	// vm1 0
	// 1
}

// Two gateways that count the same slot as theirs overload an endpoint; a slot
// that belongs to none is lost.
func TestSlotSharesPartitionTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 70).Draw(t, "slots")
		index := rapid.IntRange(0, 20000).Draw(t, "index")
		n := rapid.IntRange(1, 40).Draw(t, "n")
		owned := make([]int, n)
		for s := range slots {
			owned[(slots*index+s)%n]++
		}
		for rank := range n {
			if got := SlotShare(slots, index, rank, n); got != owned[rank] {
				t.Fatalf("rank %d: got %d, want %d", rank, got, owned[rank])
			}
		}
	})
}

// checkSums compares the incremental sums and the index with the endpoints.
func checkSums(t *rapid.T, s *Set) {
	for i := range s.pools {
		p := &s.pools[i]
		capacity, free, ejected := 0, 0, 0
		for _, id := range p.members {
			e := &s.endpoints[id]
			if e.ejected {
				ejected++
			}
			if !e.open {
				require.Equal(t, int8(-1), e.level)
				continue
			}
			capacity += e.limitInt()
			free += max(0, e.limitInt()-int(e.inFlight))
			require.Equal(t, int(e.inFlight) < e.limitInt(), e.level >= 0)
		}
		require.Equal(t, capacity, s.Capacity(Pool(i)))
		require.Equal(t, free, s.Free(Pool(i)))
		require.Equal(t, ejected, p.ejected)
		require.LessOrEqual(t, p.ejected, s.ejectCap(p), "more ejected than the cap allows")
	}
}

// Random sessions: an endpoint never has more in flight than its limit, a
// pick is open or a due probe, and not too many endpoints are ejected.
func TestRandomSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		n := rapid.IntRange(1, 70).Draw(t, "n")
		fleet := view(n, rapid.IntRange(1, 9).Draw(t, "slots"))
		v := View{Fleet: fleet, Count: rapid.IntRange(1, 6).Draw(t, "count"), Grow: map[string]bool{"a": true}}
		s := New(Options{})
		s.Update(now, v)
		var running []Endpoint
		pick := func(t *rapid.T) {
			e, probe := s.Pick(now, Choice{Pool: 0, Avoid: None, Probe: rapid.Bool().Draw(t, "probe")})
			if e == None {
				return
			}
			require.Equal(t, !probe, s.Open(e))
			if !probe {
				require.LessOrEqual(t, s.InFlight(e), s.Limit(e))
			}
			require.True(t, s.endpoints[e].mayServe(now))
			running = append(running, e)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": pick, "pick again": pick, "pick once more": pick,
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "i")
				s.Done(now, running[i], Result{
					Kind:    structs.EndpointResultKind(rapid.IntRange(0, 4).Draw(t, "kind")),
					Failed:  rapid.Bool().Draw(t, "failed"),
					Leaving: rapid.IntRange(0, 20).Draw(t, "leaving") == 0,
					Latency: time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond,
				})
				running = append(running[:i], running[i+1:]...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second)
				s.Advance(now)
			},
			"view": func(t *rapid.T) {
				next := *fleet
				next.VMs = append([]structs.VM(nil), fleet.VMs[:rapid.IntRange(1, n).Draw(t, "listed")]...)
				s.Update(now, View{Fleet: &next, Count: v.Count, Grow: v.Grow})
			},
			"": func(t *rapid.T) { checkSums(t, s) },
		})
	})
}

// A leaving endpoint must get nothing before the hold time, whatever signs
// follow the first one.
func TestFlappingSignsDoNotShortenTheHold(t *testing.T) {
	signs := map[string]func(*Set, *structs.FleetView){
		"list":       func(_ *Set, v *structs.FleetView) { v.VMs[0].State = structs.VMLeaving },
		"owner":      func(_ *Set, v *structs.FleetView) { v.Owners[0].State = structs.OwnerDraining },
		"absence":    func(_ *Set, v *structs.FleetView) { v.VMs = v.VMs[1:] },
		"connection": func(s *Set, _ *structs.FleetView) { s.Leave(start, 0) },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			s := newSet(2, 1)
			bad := view(2, 1)
			sign(s, bad)
			s.Update(start, View{Fleet: bad, Count: 1})
			for d := time.Duration(0); d < 30*time.Second; d += 500 * time.Millisecond {
				s.Update(start.Add(d), View{Fleet: view(2, 1), Count: 1})
				s.Advance(start.Add(d))
				require.False(t, s.Open(s.Lookup("vm00000")), "open %v after the sign", d)
			}
			s.Advance(start.Add(30 * time.Second))
			require.True(t, s.Open(s.Lookup("vm00000")))
		})
	}
}

// A VM that its controller returns after a drain must be in use at once. With a
// hold time of 30 s beyond the drain, fast reboots took all VMs of a pool out of
// use while the budget counted them as available.
func TestReturnAfterDrainEndsTheHold(t *testing.T) {
	s := newSet(2, 1)
	at := func(state structs.OwnerState, epoch uint64) *structs.FleetView {
		v := view(2, 1)
		v.Owners[0].State, v.Owners[0].Epoch = state, epoch
		return v
	}
	update := func(after time.Duration, v *structs.FleetView) bool {
		s.Update(start.Add(after), View{Fleet: v, Count: 1})
		s.Advance(start.Add(after))
		return s.Open(s.Lookup("vm00000"))
	}
	require.True(t, update(0, at(structs.OwnerActive, 4)))
	s.Drain(start, "vm00000", 5)
	require.False(t, update(time.Second, at(structs.OwnerActive, 4)), "a view from before the drain")
	require.False(t, update(2*time.Second, at(structs.OwnerDraining, 5)))
	require.False(t, update(3*time.Second, at(structs.OwnerRebooting, 6)))
	require.True(t, update(4*time.Second, at(structs.OwnerActive, 7)))
	s.Leave(start.Add(5*time.Second), s.Lookup("vm00000"))
	require.False(t, update(6*time.Second, at(structs.OwnerActive, 7)), "a sign after the return")
}

// Declared sizes are far off: the limit must come down to what an endpoint
// takes, and go up to it, without refusals in more than a few requests.
func TestLimitFollowsTheRealSize(t *testing.T) {
	for _, c := range []struct{ declared, real, least, most int }{{32, 3, 2, 3}, {8, 24, 20, 24}, {4, 100, 16, 16}} {
		s := newSet(1, c.declared)
		now, refused, total := start, 0, 0
		for range 3000 {
			now = now.Add(10 * time.Millisecond)
			n := 0
			for {
				if e, _ := s.Pick(now, Choice{Pool: 0, Avoid: None}); e == None {
					break
				}
				n++
			}
			for i := n; i > 0; i-- {
				total++
				kind := structs.EndpointAnswered
				if i > c.real {
					kind = structs.EndpointRefused
					refused++
				}
				s.Done(now, 0, Result{Kind: kind, Latency: time.Millisecond})
			}
		}
		require.GreaterOrEqual(t, s.Limit(0), c.least, "%+v", c)
		require.LessOrEqual(t, s.Limit(0), c.most+1, "%+v", c)
		require.Less(t, float64(refused), 0.01*float64(total), "%+v", c)
	}
}

// An endpoint that fails everything at once is the least loaded one and would
// draw most requests. A slow one must go too; both return after probes.
func TestOutliersAreEjectedAndReturn(t *testing.T) {
	for _, slow := range []bool{false, true} {
		s := newSet(10, 8)
		now, toBad := start, 0
		serve := func(healthy bool) {
			now = now.Add(time.Millisecond)
			e, _ := s.Pick(now, Choice{Pool: 0, Avoid: None, Probe: true})
			r := Result{Kind: structs.EndpointAnswered, Latency: 10 * time.Millisecond}
			if e == 3 && !healthy {
				toBad++
				r.Failed = !slow
				r.Latency = 100 * time.Millisecond
			}
			s.Done(now, e, r)
		}
		for range 2000 {
			serve(false)
		}
		require.Equal(t, 1, s.Ejected(0), "slow=%v", slow)
		toBad = 0
		for range 10000 {
			serve(false)
		}
		require.Less(t, toBad, 200, "slow=%v: 2%% of the requests is too much", slow)
		for range 100000 {
			serve(true)
		}
		require.Zero(t, s.Ejected(0), "slow=%v: the endpoint recovered and did not return", slow)
	}
}

// A service that fails everywhere says nothing about single endpoints.
func TestFailingServiceEjectsFew(t *testing.T) {
	s := newSet(10, 8)
	for range 200 {
		e, _ := s.Pick(start, Choice{Pool: 0, Avoid: None})
		s.Done(start, e, Result{Kind: structs.EndpointAnswered, Latency: time.Millisecond})
	}
	for range 2000 {
		e, _ := s.Pick(start, Choice{Pool: 0, Avoid: None})
		s.Done(start, e, Result{Service: 1, Kind: structs.EndpointAnswered, Failed: true})
		e, _ = s.Pick(start, Choice{Pool: 0, Avoid: None})
		s.Done(start, e, Result{Kind: structs.EndpointAnswered, Latency: time.Millisecond})
	}
	require.Zero(t, s.Ejected(0))
}

// The dispatcher takes a new view each second and serves nothing meanwhile.
func BenchmarkUpdate(b *testing.B) {
	for _, workers := range []int{50, 15000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, v := New(Options{}), view(workers, 8)
			for b.Loop() {
				s.Update(start, View{Fleet: v, Count: 6})
			}
		})
	}
}

// Bitmaps and sums must make a decision independent of the fleet's size.
func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{50, 500, 5000, 15000} {
		for _, pools := range []int{1, 32} {
			b.Run(fmt.Sprintf("workers=%d/pools=%d", workers, pools), func(b *testing.B) { benchmarkPick(b, workers, pools) })
		}
	}
}

func benchmarkPick(b *testing.B, workers, pools int) {
	s := New(Options{})
	v := view(workers, 8)
	for i := range v.Owners {
		v.Owners[i].Pool = fmt.Sprintf("pool%d", i%pools)
	}
	s.Update(start, View{Fleet: v, Count: 1})
	held := make([]Endpoint, workers)
	for i := range held {
		held[i], _ = s.Pick(start, Choice{Pool: Pool(i % pools), Avoid: None})
	}
	b.ReportAllocs()
	b.ResetTimer()
	i := 0
	for b.Loop() {
		at := i % len(held)
		if held[at] != None {
			s.Done(start, held[at], Result{Kind: structs.EndpointAnswered, Latency: time.Millisecond})
		}
		held[at], _ = s.Pick(start, Choice{Pool: Pool(at % pools), Avoid: None})
		i++
	}
}
