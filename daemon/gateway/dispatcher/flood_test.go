package dispatcher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/structs"
)

// The flood benchmark feeds a simulated pool of ten workers with eight slots
// each in simulated time: first at its usual load, then with a flood of one
// service at ten times the pool's capacity. It compares the machine with a
// plain FIFO queue of the same length.

type load struct {
	name     string
	class    structs.Class
	share    float64
	usual    float64 // part of the pool's capacity
	hold     time.Duration
	deadline time.Duration
	queue    int
}

var loads = []load{
	{"quote", structs.ClassUrgent, 0.3, 0.2, 20 * time.Millisecond, time.Second, 1000},
	{"grant", structs.ClassStandard, 0.3, 0.3, 50 * time.Millisecond, 2 * time.Second, 1000},
	{"audit", structs.ClassBatch, 0.3, 0.2, 500 * time.Millisecond, 20 * time.Second, 1000},
}

const (
	floodWorkers = 10
	floodSlots   = 8
	floodTime    = 200 * time.Second
)

type simEvent struct {
	at     time.Time
	svc    int // arrival of this service, or -1
	handle Handle
	ref    uint64
	vm     string
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type arrivalOf struct {
	svc  int
	at   time.Time
	hold time.Duration
}

// system is what takes arrivals and ends: the machine, or the FIFO queue. start
// is called for each request that begins to run, done for each answer.
type system interface {
	arrive(now time.Time, ref uint64, svc int)
	ended(now time.Time, e simEvent)
	wake() time.Time
	tick(now time.Time)
}

type sim struct {
	slots  int          // of the pool at this gateway
	rand   []*rand.Rand // one for each service, so that a flood does not change the others' arrivals
	queue  simQueue
	seen   []arrivalOf
	served [][]time.Duration
	busy   float64 // slot seconds of answers in time
	sys    system
	now    time.Time
	begin  time.Time // of the measured period
	end    time.Time
}

func (s *sim) start(now time.Time, ref uint64, h Handle, vm string) {
	heap.Push(&s.queue, simEvent{at: now.Add(s.seen[ref].hold), svc: -1, handle: h, ref: ref, vm: vm})
}

func (s *sim) done(now time.Time, ref uint64) {
	a := s.seen[ref]
	if now.Sub(a.at) > loads[a.svc].deadline || now.Before(s.begin) {
		return
	}
	s.busy += a.hold.Seconds()
	if !a.at.Before(s.begin) {
		s.served[a.svc] = append(s.served[a.svc], now.Sub(a.at))
	}
}

func (s *sim) nextArrival(svc int, rate float64) {
	gap := time.Duration(s.rand[svc].ExpFloat64() / rate * float64(time.Second))
	heap.Push(&s.queue, simEvent{at: s.now.Add(gap), svc: svc})
}

// run simulates until the end; flood is the service that floods, or -1.
func (s *sim) run(flood int) {
	capacity := float64(s.slots)
	rates := make([]float64, len(loads))
	for i, l := range loads {
		part := l.usual
		if i == flood {
			part = 10
		}
		rates[i] = part * capacity / l.hold.Seconds()
		s.nextArrival(i, rates[i])
	}
	for len(s.queue) > 0 && s.queue[0].at.Before(s.end) {
		if at := s.sys.wake(); !at.IsZero() && at.Before(s.queue[0].at) {
			s.sys.tick(at)
			continue
		}
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		if e.svc < 0 {
			s.sys.ended(s.now, e)
			continue
		}
		hold := time.Duration((0.5 + s.rand[e.svc].Float64()) * float64(loads[e.svc].hold))
		s.seen = append(s.seen, arrivalOf{svc: e.svc, at: s.now, hold: hold})
		s.sys.arrive(s.now, uint64(len(s.seen)-1), e.svc)
		s.nextArrival(e.svc, rates[e.svc])
	}
}

// machineSystem is the dispatcher's machine.
type machineSystem struct {
	*sim
	m *Machine
}

func newMachineSystem(s *sim, gateways int) *machineSystem {
	c := &structs.Config{Generation: 1, Set: structs.ObjectSet{Pools: []structs.Pool{{Name: "p"}}}}
	for _, l := range loads {
		// The endpoints take no more than their slots, which are declared right.
		c.Set.Services = append(c.Set.Services, structs.Service{
			Name: l.name, Pool: "p", Class: l.class, Share: l.share, Idempotent: []string{"op"},
			Once: []string{"pay"}, Timeout: l.deadline, Queue: l.queue,
		})
	}
	v := &structs.FleetView{}
	for i := range floodWorkers {
		id := fmt.Sprintf("vm%d", i)
		v.VMs = append(v.VMs, structs.VM{ID: id, Slots: floodSlots, State: structs.VMLive})
		v.Owners = append(v.Owners, structs.Owner{VM: id, Pool: "p", State: structs.OwnerActive})
	}
	x := &machineSystem{sim: s, m: New(Options{MaxCalls: 1 << 20, MaxRequests: 1 << 20})}
	for _, ev := range []Event{{Kind: NewConfig, Config: c}, {Kind: NewMembers, Members: memberView(gateways)}, {Kind: NewFleet, Fleet: v}} {
		x.step(s.now, ev)
	}
	return x
}

func (x *machineSystem) step(now time.Time, ev Event) {
	for _, a := range x.m.Step(now, ev) {
		switch {
		case a.Kind == Send:
			x.start(now, x.m.get(a.Handle).ref, a.Handle, a.VM.ID)
		case a.Kind == Answer && a.Answer.Outcome == structs.OutcomeDone:
			x.done(now, a.Ref)
		}
	}
}

func (x *machineSystem) arrive(now time.Time, ref uint64, svc int) {
	x.step(now, Event{Kind: Arrived, Ref: ref, Request: &structs.Request{Service: loads[svc].name, Operation: "op"}})
}

func (x *machineSystem) ended(now time.Time, e simEvent) {
	x.step(now, Event{Kind: Ended, Handle: e.handle, Attempt: 1, Result: &structs.EndpointResult{
		Kind: structs.EndpointAnswered, Latency: x.seen[e.ref].hold,
	}})
}

func (x *machineSystem) wake() time.Time    { return x.m.NextWake() }
func (x *machineSystem) tick(now time.Time) { x.step(now, Event{Kind: Tick}) }

// fifoSystem is the baseline: one queue, first come first served. Requests
// whose deadline has passed are dropped when their turn comes.
type fifoSystem struct {
	*sim
	waiting []uint64
	free    int
}

func (f *fifoSystem) arrive(now time.Time, ref uint64, _ int) {
	if len(f.waiting) < 3000 {
		f.waiting = append(f.waiting, ref)
	}
	f.pump(now)
}

func (f *fifoSystem) pump(now time.Time) {
	for f.free > 0 && len(f.waiting) > 0 {
		ref := f.waiting[0]
		f.waiting = f.waiting[1:]
		if a := f.seen[ref]; now.Sub(a.at) < loads[a.svc].deadline {
			f.free--
			f.start(now, ref, 0, "")
		}
	}
}

func (f *fifoSystem) ended(now time.Time, e simEvent) {
	f.free++
	f.done(now, e.ref)
	f.pump(now)
}

func (f *fifoSystem) wake() time.Time { return time.Time{} }
func (f *fifoSystem) tick(time.Time)  {}

func simulate(fifo bool, gateways, flood int) *sim {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{served: make([][]time.Duration, len(loads)), now: begin}
	for i := range loads {
		s.rand = append(s.rand, rand.New(rand.NewPCG(7, uint64(i))))
	}
	s.begin, s.end = begin.Add(floodTime/4), begin.Add(floodTime)
	for i := range floodWorkers {
		s.slots += dispatch.SlotShare(floodSlots, i, 0, gateways)
	}
	if fifo {
		s.sys = &fifoSystem{sim: s, free: s.slots}
	} else {
		s.sys = newMachineSystem(s, gateways)
	}
	s.run(flood)
	return s
}

func p99(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[len(d)*99/100]
}

// Reports what the other services keep of their goodput, the p99 of their
// response time with the flood relative to that without it, and the part of
// the pool's slot time that went into answers in time.
func BenchmarkFlood(b *testing.B) {
	for _, gateways := range []int{1, 6} {
		for _, flood := range []int{2, 0} {
			for _, fifo := range []bool{false, true} {
				name := "machine"
				if fifo {
					name = "fifo"
				}
				b.Run(fmt.Sprintf("gateways=%d/flood=%s/%s", gateways, loads[flood].class, name), func(b *testing.B) {
					for b.Loop() {
						reportFlood(b, simulate(fifo, gateways, -1), simulate(fifo, gateways, flood), flood)
					}
				})
			}
		}
	}
}

func reportFlood(b *testing.B, usual, flooded *sim, flood int) {
	capacity := float64(flooded.slots) * flooded.end.Sub(flooded.begin).Seconds()
	b.ReportMetric(flooded.busy/capacity, "total-goodput")
	for i, l := range loads {
		if i == flood {
			continue
		}
		b.ReportMetric(float64(len(flooded.served[i]))/float64(len(usual.served[i])), l.name+"-kept")
		b.ReportMetric(float64(p99(flooded.served[i]))/float64(p99(usual.served[i])), l.name+"-p99-ratio")
		b.ReportMetric(float64(p99(flooded.served[i]).Milliseconds()), l.name+"-p99-ms")
	}
}
