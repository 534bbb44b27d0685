package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var farDeadline = start.Add(1000 * time.Hour)

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

// newScheduler returns a Scheduler with the services a and b, each with half of
// the ten slots of pool 0.
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
		_, v := s.Offer(start, uint64(svc), svc, team, farDeadline)
		require.Equal(t, Queued, v)
	}
}

// Guards against a flood of one service that delays another: the share of an
// idle service is lent, and the next free slots go to it once it has requests.
func TestLentShareIsReclaimed(t *testing.T) {
	s := newScheduler()
	fill(t, s, 100, 0, 0)
	var held []Ticket
	for free := 10; free > 0; free-- {
		g, ok := s.Next(start, 0, free)
		require.True(t, ok, "free slots must be lent while service b has no requests")
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

// Guards against long requests that take all slots of a pool, so that an idle
// service waits long when its requests come back. Short requests need no
// reserve, because a slot becomes free soon.
func TestLongRequestsLeaveReserve(t *testing.T) {
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
			require.True(t, ok && g.Service == 1, "the reserved slot must go to the service that was idle")
		}
	}
}

// Guards against queueing requests that cannot be answered by their deadline:
// they waste slots, and their callers learn too late that they must turn
// elsewhere.
func TestOfferRefusesUnreachableDeadline(t *testing.T) {
	s := newScheduler()
	s.opts.MaxReserveWait = time.Hour // all ten slots are lent
	for range minHoldSamples {
		fill(t, s, 1, 0, 0)
		g, _ := s.Next(start, 0, 10)
		s.Done(start.Add(time.Second), g.Ticket)
	}
	for free := 10; free > 0; free-- {
		fill(t, s, 1, 0, 0)
		s.Next(start, 0, free)
	}
	fill(t, s, 50, 0, 0)
	// 50 requests of 1 s each wait for 10 slots, and the request itself takes
	// 1 s: the answer is expected after 6 s.
	_, v := s.Offer(start, 1, 0, 0, start.Add(5900*time.Millisecond))
	require.Equal(t, TooLate, v)
	_, v = s.Offer(start, 1, 0, 0, start.Add(6100*time.Millisecond))
	require.Equal(t, Queued, v)
}

// Guards against a team that floods a service and so takes the slots of other
// teams, and against a quota that is exceeded by using several services.
func TestTeamsShareByWeightWithinQuotas(t *testing.T) {
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
	require.Len(t, grants, 2, "the quota of 2 slots must hold over all services")
	s.Done(start, grants[0].Ticket)
	_, ok := s.Next(start, 0, 10)
	require.True(t, ok, "a request must run after the team is below its quota again")
}

// Guards against a flooding team that fills the queue of a service and so keeps
// other teams out of it.
func TestOneTeamCannotFillTheQueue(t *testing.T) {
	s := newScheduler(TeamSpec{Name: "x"}, TeamSpec{Name: "y"})
	fill(t, s, 1, 0, s.Team("y"))
	for range 2000 {
		s.Offer(start, 1, 0, s.Team("x"), farDeadline)
	}
	_, v := s.Offer(start, 1, 0, s.Team("y"), farDeadline)
	require.Equal(t, Queued, v)
}

// Checks invariants over random sequences of operations: the slots in use never
// exceed the capacity, no request is lost, and no team exceeds its quota.
func TestSchedulerInvariants(t *testing.T) {
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
		runningTickets, pausedTickets := []Ticket{}, []Ticket{}
		admitted := 0
		takeRandom := func(list *[]Ticket) (Ticket, bool) {
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
					admitted++
				}
			},
			"next": func(t *rapid.T) {
				g, ok := s.Next(now, 0, capacity-len(runningTickets))
				switch {
				case ok && g.Expired:
					admitted--
				case ok:
					require.Less(t, len(runningTickets), capacity, "granted a request although all slots are in use")
					runningTickets = append(runningTickets, g.Ticket)
				}
			},
			"done": func(*rapid.T) {
				if ticket, ok := takeRandom(&runningTickets); ok {
					s.Done(now, ticket)
					admitted--
				}
			},
			"pause": func(*rapid.T) {
				if ticket, ok := takeRandom(&runningTickets); ok {
					s.Pause(ticket)
					pausedTickets = append(pausedTickets, ticket)
				}
			},
			"resume": func(*rapid.T) {
				if ticket, ok := takeRandom(&pausedTickets); ok {
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
				require.Equal(t, len(runningTickets), inFlight)
				require.Equal(t, admitted, queued+inFlight+len(pausedTickets), "waiting, running and paused requests must add up to the admitted ones")
				require.LessOrEqual(t, s.teams[s.Team("x")].inFlight, 2, "quota")
			},
		})
	})
}

// BenchmarkNext measures a scheduling decision with 500 teams in each service,
// to show a cost that grows with the number of teams.
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
		s.Offer(start, uint64(i), i%(pools*perPool), 1+i/(pools*perPool), farDeadline)
	}
	b.ReportAllocs()
	b.ResetTimer()
	i := 0
	for b.Loop() {
		g, _ := s.Next(start, i%pools, 8)
		s.Done(start, g.Ticket)
		s.Offer(start, 1, g.Service, 1+i%teams, farDeadline)
		i++
	}
}
