package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var never = start.Add(1000 * time.Hour)

func ExampleScheduler() {
	s := New(Options{})
	s.Configure([]ServiceSpec{{Name: "payout", Share: 0.5, Queue: 1}}, nil)
	s.SetCapacity(0, 8)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	svc, team := s.Service("payout"), s.Team("")
	_, first := s.Offer(now, 41, svc, team, now.Add(time.Second))
	_, second := s.Offer(now, 42, svc, team, now.Add(time.Second))
	g, _ := s.Next(now, 0, 8)
	fmt.Println(first == Queued, second == QueueFull, g.Handle)
	// Output: true true 41
}

// newScheduler has services a, b with half of ten slots each.
func newScheduler(teams ...TeamSpec) *Scheduler {
	s := New(Options{})
	s.Configure([]ServiceSpec{
		{Name: "a", Share: 0.5, Queue: 1000}, {Name: "b", Share: 0.5, Queue: 1000},
	}, teams)
	s.SetCapacity(0, 10)
	return s
}

func fill(t require.TestingT, s *Scheduler, n, svc, team int) {
	for range n {
		_, v := s.Offer(start, uint64(svc), svc, team, never)
		require.Equal(t, Queued, v)
	}
}

// A flood of one service must not delay the other: its share is lent while it
// has nothing to run, and the next free slots are its own when it has.
func TestLentShareIsTakenBack(t *testing.T) {
	s := newScheduler()
	fill(t, s, 100, 0, 0)
	var held []Ticket
	for free := 10; free > 0; free-- {
		g, ok := s.Next(start, 0, free)
		require.True(t, ok, "unused share must be lent")
		held = append(held, g.Ticket)
	}
	fill(t, s, 100, 1, 0)
	for i := range 5 {
		s.Done(start, held[i])
		g, ok := s.Next(start, 0, 1)
		require.True(t, ok)
		require.Equal(t, 1, g.Service, "slot %d", i)
	}
	_, a := s.Load(0)
	_, b := s.Load(1)
	require.Equal(t, []int{5, 5}, []int{a, b})
}

// Requests that hold slots for long must leave slots for a service that
// returns; short ones need not, since a slot is free soon anyway.
func TestLongRequestsLeaveAReserve(t *testing.T) {
	for hold, want := range map[time.Duration]int{10 * time.Millisecond: 10, 10 * time.Second: 8} {
		s := newScheduler()
		fill(t, s, 100, 0, 0)
		for range 20 {
			g, _ := s.Next(start, 0, 10)
			s.Done(start.Add(hold), g.Ticket)
		}
		n := 0
		for free := 10; free > 0; free-- {
			if _, ok := s.Next(start, 0, free); !ok {
				break
			}
			n++
		}
		require.Equal(t, want, n, "hold %v", hold)
		fill(t, s, 1, 1, 0)
		if n < 10 {
			g, ok := s.Next(start, 0, 1)
			require.True(t, ok && g.Service == 1, "the returning service gets the reserve")
		}
	}
}

// A request that cannot be answered in time must be refused at once, so that
// its caller can turn elsewhere and no slot is wasted.
func TestRefusesWhatCannotBeInTime(t *testing.T) {
	s := newScheduler()
	s.opts.ReserveWait = time.Hour // all ten slots are lent
	for range minHolds {
		fill(t, s, 1, 0, 0)
		g, _ := s.Next(start, 0, 10)
		s.Done(start.Add(time.Second), g.Ticket)
	}
	for free := 10; free > 0; free-- {
		fill(t, s, 1, 0, 0)
		s.Next(start, 0, free)
	}
	fill(t, s, 50, 0, 0)
	// 50 requests ahead on 10 slots of 1 s each, and 1 s of its own.
	_, v := s.Offer(start, 1, 0, 0, start.Add(5900*time.Millisecond))
	require.Equal(t, TooLate, v)
	_, v = s.Offer(start, 1, 0, 0, start.Add(6100*time.Millisecond))
	require.Equal(t, Queued, v)
}

// A team that floods a service must not keep others out of the queue or of
// the slots, and must stay under its quota.
func TestTeamsTakeTurnsByWeightUnderQuotas(t *testing.T) {
	s := newScheduler(TeamSpec{Name: "x", Weight: 3}, TeamSpec{Name: "y", Weight: 1})
	x, y := s.Team("x"), s.Team("y")
	fill(t, s, 300, 0, x)
	fill(t, s, 100, 0, y)
	count := map[int]int{}
	for range 200 {
		g, _ := s.Next(start, 0, 10)
		count[int(s.queues[s.entries[g.Ticket].queue].team)]++
		s.Remove(g.Ticket)
	}
	require.InDelta(t, 150, count[x], 2)
	require.InDelta(t, 50, count[y], 2)

	s = newScheduler(TeamSpec{Name: "z", Slots: 2})
	z := s.Team("z")
	fill(t, s, 5, 0, z)
	fill(t, s, 5, 1, z)
	var grants []Grant
	for range 5 {
		if g, ok := s.Next(start, 0, 10); ok {
			grants = append(grants, g)
		}
	}
	require.Len(t, grants, 2, "the quota holds over all services")
	s.Done(start, grants[0].Ticket)
	_, ok := s.Next(start, 0, 10)
	require.True(t, ok, "a freed slot of the quota must be used")
}

func TestOneTeamCannotFillTheQueue(t *testing.T) {
	s := newScheduler(TeamSpec{Name: "x"}, TeamSpec{Name: "y"})
	fill(t, s, 1, 0, s.Team("y"))
	for range 2000 {
		s.Offer(start, 1, 0, s.Team("x"), never)
	}
	_, v := s.Offer(start, 1, 0, s.Team("y"), never)
	require.Equal(t, Queued, v)
}

// Random sessions: slots in use never exceed the capacity, a service below
// its share is not passed over by one above it, and no request is lost.
func TestRandomSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		s := New(Options{})
		n := rapid.IntRange(1, 5).Draw(t, "services")
		var specs []ServiceSpec
		for i := range n {
			specs = append(specs, ServiceSpec{Name: fmt.Sprint(i), Share: 1 / float64(n), Queue: rapid.IntRange(1, 9).Draw(t, "queue")})
		}
		s.Configure(specs, []TeamSpec{{Name: "x", Slots: 2, Weight: 2}, {Name: "y"}})
		s.SetCapacity(0, capacity)
		running, pausedNow := []Ticket{}, []Ticket{}
		live := 0
		drop := func(list *[]Ticket) (Ticket, bool) {
			if len(*list) == 0 {
				return NoTicket, false
			}
			i := rapid.IntRange(0, len(*list)-1).Draw(t, "i")
			ticket := (*list)[i]
			*list = append((*list)[:i], (*list)[i+1:]...)
			return ticket, true
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				_, v := s.Offer(now, 1, rapid.IntRange(0, n-1).Draw(t, "svc"), rapid.IntRange(0, 2).Draw(t, "team"),
					now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "s"))*time.Second))
				if v == Queued {
					live++
				}
			},
			"next": func(t *rapid.T) {
				g, ok := s.Next(now, 0, capacity-len(running))
				switch {
				case ok && g.Expired:
					live--
				case ok:
					require.Less(t, len(running), capacity, "more slots in use than there are")
					running = append(running, g.Ticket)
				}
			},
			"done": func(*rapid.T) {
				if ticket, ok := drop(&running); ok {
					s.Done(now, ticket)
					live--
				}
			},
			"pause": func(*rapid.T) {
				if ticket, ok := drop(&running); ok {
					s.Pause(ticket)
					pausedNow = append(pausedNow, ticket)
				}
			},
			"resume": func(*rapid.T) {
				if ticket, ok := drop(&pausedNow); ok {
					s.Resume(ticket)
				}
			},
			"time": func(t *rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				queued, inFlight := 0, 0
				for i := range n {
					q, f := s.Load(i)
					queued, inFlight = queued+q, inFlight+f
				}
				require.Equal(t, len(running), inFlight)
				require.Equal(t, live, queued+inFlight+len(pausedNow), "a request was lost")
				require.LessOrEqual(t, s.teams[s.Team("x")].inFlight, 2, "quota")
			},
		})
	})
}

// Guards against decisions whose cost grows with the number of teams.
func BenchmarkNext(b *testing.B) {
	const pools, perPool, teams = 32, 4, 500
	s := New(Options{})
	var services []ServiceSpec
	var specs []TeamSpec
	for i := range pools * perPool {
		services = append(services, ServiceSpec{Name: fmt.Sprint(i), Pool: i % pools, Share: 1.0 / perPool, Queue: 1 << 20})
	}
	for i := range teams {
		specs = append(specs, TeamSpec{Name: fmt.Sprint(i), Weight: float64(1 + i%5), Slots: 1000})
	}
	s.Configure(services, specs)
	for p := range pools {
		s.SetCapacity(p, 64)
	}
	for i := range pools * perPool * teams {
		s.Offer(start, uint64(i), i%(pools*perPool), 1+i/(pools*perPool), never)
	}
	b.ReportAllocs()
	b.ResetTimer()
	i := 0
	for b.Loop() {
		g, _ := s.Next(start, i%pools, 8)
		s.Done(start, g.Ticket)
		s.Offer(start, 1, g.Service, 1+i%teams, never)
		i++
	}
}
