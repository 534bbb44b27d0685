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

func newFleetView(n, slots int) *structs.FleetView {
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
	s.Update(start, View{Fleet: newFleetView(n, slots), Count: 1, GrowPools: map[string]bool{"a": true}})
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
	e, _ := s.Pick(now, PickOptions{Pool: pool, Avoid: NoEndpoint})
	vm, _ := s.VM(e)
	fmt.Println(vm.ID, s.Free(pool))
	s.Done(now, e, Result{Kind: structs.EndpointAnswered, Latency: time.Millisecond})
	fmt.Println(s.Free(pool))
	// Output:
	// vm1 0
	// 1
}

// Guards against a slot that two gateways count as theirs, which overloads the
// endpoint, and against a slot that belongs to no gateway, which is never used.
func TestSlotSharesPartitionSlots(t *testing.T) {
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

// checkIndex compares the incrementally updated sums and index with values
// computed from the endpoints.
func checkIndex(t *rapid.T, s *Set) {
	for i := range s.pools {
		p := &s.pools[i]
		capacity, free, ejected := 0, 0, 0
		for _, id := range p.members {
			e := &s.endpoints[id]
			if e.ejected {
				ejected++
			}
			if !e.available {
				require.Equal(t, int8(-1), e.level)
				continue
			}
			capacity += e.intLimit()
			free += max(0, e.intLimit()-int(e.inFlight))
			require.Equal(t, int(e.inFlight) < e.intLimit(), e.level >= 0)
		}
		require.Equal(t, capacity, s.Capacity(Pool(i)))
		require.Equal(t, free, s.Free(Pool(i)))
		require.Equal(t, ejected, p.ejected)
		require.LessOrEqual(t, p.ejected, s.maxEjected(p), "more ejected endpoints than allowed")
	}
}

// Guards, over random sequences of operations, against more requests in flight
// than an endpoint's limit, picks of unavailable endpoints other than due
// probes, and more ejected endpoints than allowed.
func TestSetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		n := rapid.IntRange(1, 70).Draw(t, "n")
		fleet := newFleetView(n, rapid.IntRange(1, 9).Draw(t, "slots"))
		v := View{Fleet: fleet, Count: rapid.IntRange(1, 6).Draw(t, "count"), GrowPools: map[string]bool{"a": true}}
		s := New(Options{})
		s.Update(now, v)
		var inFlight []Endpoint
		pick := func(t *rapid.T) {
			e, probe := s.Pick(now, PickOptions{Pool: 0, Avoid: NoEndpoint, Probe: rapid.Bool().Draw(t, "probe")})
			if e == NoEndpoint {
				return
			}
			require.Equal(t, !probe, s.IsAvailable(e))
			if !probe {
				require.LessOrEqual(t, s.InFlight(e), s.Limit(e))
			}
			require.True(t, s.endpoints[e].mayServe(now))
			inFlight = append(inFlight, e)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": pick, "pick again": pick, "pick once more": pick,
			"done": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no request in flight")
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "i")
				s.Done(now, inFlight[i], Result{
					Kind:    structs.EndpointResultKind(rapid.IntRange(0, 4).Draw(t, "kind")),
					Failed:  rapid.Bool().Draw(t, "failed"),
					Leaving: rapid.IntRange(0, 20).Draw(t, "leaving") == 0,
					Latency: time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond,
				})
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second)
				s.EndHolds(now)
			},
			"view": func(t *rapid.T) {
				next := *fleet
				next.VMs = append([]structs.VM(nil), fleet.VMs[:rapid.IntRange(1, n).Draw(t, "listed")]...)
				s.Update(now, View{Fleet: &next, Count: v.Count, GrowPools: v.GrowPools})
			},
			"": func(t *rapid.T) { checkIndex(t, s) },
		})
	})
}

// Guards against requests to a leaving endpoint before the end of its hold time,
// when later views show it as live and owned again.
func TestLeavingEndpointIsHeldForFullTime(t *testing.T) {
	signs := map[string]func(*Set, *structs.FleetView){
		"VM state":    func(_ *Set, v *structs.FleetView) { v.VMs[0].State = structs.VMLeaving },
		"owner state": func(_ *Set, v *structs.FleetView) { v.Owners[0].State = structs.OwnerDraining },
		"missing VM":  func(_ *Set, v *structs.FleetView) { v.VMs = v.VMs[1:] },
		"connection":  func(s *Set, _ *structs.FleetView) { s.MarkLeaving(start, 0) },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			s := newSet(2, 1)
			leaving := newFleetView(2, 1)
			sign(s, leaving)
			s.Update(start, View{Fleet: leaving, Count: 1})
			for d := time.Duration(0); d < 30*time.Second; d += 500 * time.Millisecond {
				s.Update(start.Add(d), View{Fleet: newFleetView(2, 1), Count: 1})
				s.EndHolds(start.Add(d))
				require.False(t, s.IsAvailable(s.Lookup("vm00000")), "available %v after the sign of leaving", d)
			}
			s.EndHolds(start.Add(30 * time.Second))
			require.True(t, s.IsAvailable(s.Lookup("vm00000")))
		})
	}
}

// Guards against a hold time that continues after the controller has returned a
// VM from a drain. With a hold of 30 s beyond the drain, fast reboots took all
// VMs of a pool out of use while the budget counted them as available.
func TestReturnAfterDrainEndsTheHold(t *testing.T) {
	s := newSet(2, 1)
	at := func(state structs.OwnerState, epoch uint64) *structs.FleetView {
		v := newFleetView(2, 1)
		v.Owners[0].State, v.Owners[0].Epoch = state, epoch
		return v
	}
	update := func(after time.Duration, v *structs.FleetView) bool {
		s.Update(start.Add(after), View{Fleet: v, Count: 1})
		s.EndHolds(start.Add(after))
		return s.IsAvailable(s.Lookup("vm00000"))
	}
	require.True(t, update(0, at(structs.OwnerActive, 4)))
	s.Drain(start, "vm00000", 5)
	require.False(t, update(time.Second, at(structs.OwnerActive, 4)), "the view is older than the drain")
	require.False(t, update(2*time.Second, at(structs.OwnerDraining, 5)))
	require.False(t, update(3*time.Second, at(structs.OwnerRebooting, 6)))
	require.True(t, update(4*time.Second, at(structs.OwnerActive, 7)))
	s.MarkLeaving(start.Add(5*time.Second), s.Lookup("vm00000"))
	require.False(t, update(6*time.Second, at(structs.OwnerActive, 7)), "a sign of leaving after the return must start a new hold")
}

// Guards against a limit that does not converge, from above or below, to an
// endpoint's actual capacity when the declared slots are far off, and against
// refusals of more than 1% of the requests.
func TestLimitConvergesToActualCapacity(t *testing.T) {
	for _, c := range []struct{ declared, real, least, most int }{{32, 3, 2, 3}, {8, 24, 20, 24}, {4, 100, 16, 16}} {
		s := newSet(1, c.declared)
		now, refused, total := start, 0, 0
		for range 3000 {
			now = now.Add(10 * time.Millisecond)
			n := 0
			for {
				if e, _ := s.Pick(now, PickOptions{Pool: 0, Avoid: NoEndpoint}); e == NoEndpoint {
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

// Guards against an endpoint that fails all requests at once and receives most of
// them because it is the least loaded one, against a slow endpoint that stays in
// use, and against a recovered endpoint that does not return.
func TestOutliersAreEjectedAndReturn(t *testing.T) {
	for _, slow := range []bool{false, true} {
		s := newSet(10, 8)
		now, toOutlier := start, 0
		serve := func(healthy bool) {
			now = now.Add(time.Millisecond)
			e, _ := s.Pick(now, PickOptions{Pool: 0, Avoid: NoEndpoint, Probe: true})
			r := Result{Kind: structs.EndpointAnswered, Latency: 10 * time.Millisecond}
			if e == 3 && !healthy {
				toOutlier++
				r.Failed = !slow
				r.Latency = 100 * time.Millisecond
			}
			s.Done(now, e, r)
		}
		for range 2000 {
			serve(false)
		}
		require.Equal(t, 1, s.Ejected(0), "slow=%v", slow)
		toOutlier = 0
		for range 10000 {
			serve(false)
		}
		require.Less(t, toOutlier, 200, "slow=%v: too many requests to the ejected endpoint, want below 2%%", slow)
		for range 100000 {
			serve(true)
		}
		require.Zero(t, s.Ejected(0), "slow=%v: the recovered endpoint is still ejected", slow)
	}
}

// Guards against ejecting endpoints because of a service that fails on all of
// them.
func TestFailingServiceEjectsNoEndpoint(t *testing.T) {
	s := newSet(10, 8)
	for range 200 {
		e, _ := s.Pick(start, PickOptions{Pool: 0, Avoid: NoEndpoint})
		s.Done(start, e, Result{Kind: structs.EndpointAnswered, Latency: time.Millisecond})
	}
	for range 2000 {
		e, _ := s.Pick(start, PickOptions{Pool: 0, Avoid: NoEndpoint})
		s.Done(start, e, Result{Service: 1, Kind: structs.EndpointAnswered, Failed: true})
		e, _ = s.Pick(start, PickOptions{Pool: 0, Avoid: NoEndpoint})
		s.Done(start, e, Result{Kind: structs.EndpointAnswered, Latency: time.Millisecond})
	}
	require.Zero(t, s.Ejected(0))
}

// BenchmarkUpdate measures the time in which the dispatcher serves no requests:
// it applies a new view each second.
func BenchmarkUpdate(b *testing.B) {
	for _, workers := range []int{50, 15000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, v := New(Options{}), newFleetView(workers, 8)
			for b.Loop() {
				s.Update(start, View{Fleet: v, Count: 6})
			}
		})
	}
}

// BenchmarkPick measures a pick in fleets of several sizes. With the bitmaps and
// sums its time must not depend on the size.
func BenchmarkPick(b *testing.B) {
	for _, workers := range []int{50, 500, 5000, 15000} {
		for _, pools := range []int{1, 32} {
			b.Run(fmt.Sprintf("workers=%d/pools=%d", workers, pools), func(b *testing.B) { benchmarkPick(b, workers, pools) })
		}
	}
}

func benchmarkPick(b *testing.B, workers, pools int) {
	s := New(Options{})
	v := newFleetView(workers, 8)
	for i := range v.Owners {
		v.Owners[i].Pool = fmt.Sprintf("pool%d", i%pools)
	}
	s.Update(start, View{Fleet: v, Count: 1})
	picked := make([]Endpoint, workers)
	for i := range picked {
		picked[i], _ = s.Pick(start, PickOptions{Pool: Pool(i % pools), Avoid: NoEndpoint})
	}
	b.ReportAllocs()
	b.ResetTimer()
	i := 0
	for b.Loop() {
		at := i % len(picked)
		if picked[at] != NoEndpoint {
			s.Done(start, picked[at], Result{Kind: structs.EndpointAnswered, Latency: time.Millisecond})
		}
		picked[at], _ = s.Pick(start, PickOptions{Pool: Pool(at % pools), Avoid: NoEndpoint})
		i++
	}
}
