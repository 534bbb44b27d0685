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

// The flood benchmark simulates a pool of ten VMs with eight slots each, in
// simulated time: first at its base load, then with one service offering ten
// times the pool's capacity. It compares the machine with one FIFO queue of the
// same total length.

type load struct {
	name        string
	class       structs.Class
	share       float64
	baseLoad    float64 // fraction of the pool's capacity
	serviceTime time.Duration
	deadline    time.Duration
	queueLen    int
}

var loads = []load{
	{"quote", structs.ClassUrgent, 0.3, 0.2, 20 * time.Millisecond, time.Second, 1000},
	{"grant", structs.ClassStandard, 0.3, 0.3, 50 * time.Millisecond, 2 * time.Second, 1000},
	{"audit", structs.ClassBatch, 0.3, 0.2, 500 * time.Millisecond, 20 * time.Second, 1000},
}

const (
	floodVMs   = 10
	floodSlots = 8
	floodTime  = 200 * time.Second
)

type simEvent struct {
	at     time.Time
	svc    int // service whose request arrives, or -1 if a call ends
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

type simRequest struct {
	svc         int
	at          time.Time
	serviceTime time.Duration
}

// system is the system under test: the machine or the FIFO queue. It calls
// sim.startCall for each request that starts to run and sim.answered for each
// answer.
type system interface {
	arrive(now time.Time, ref uint64, svc int)
	callEnded(now time.Time, e simEvent)
	nextWake() time.Time
	tick(now time.Time)
}

// sim is a discrete-event simulation of a pool and its callers.
type sim struct {
	slots             int          // this gateway's share of the pool
	rand              []*rand.Rand // one per service, so that a flood does not change the arrivals of the others
	queue             simQueue
	requests          []simRequest
	latencies         [][]time.Duration
	usefulSlotSeconds float64 // slot time of requests answered within their deadline
	sys               system
	now               time.Time
	begin             time.Time // start of the measured period
	end               time.Time // of the measured period and the simulation
}

func (s *sim) startCall(now time.Time, ref uint64, h Handle, vm string) {
	heap.Push(&s.queue, simEvent{at: now.Add(s.requests[ref].serviceTime), svc: -1, handle: h, ref: ref, vm: vm})
}

func (s *sim) answered(now time.Time, ref uint64) {
	a := s.requests[ref]
	if now.Sub(a.at) > loads[a.svc].deadline || now.Before(s.begin) {
		return
	}
	s.usefulSlotSeconds += a.serviceTime.Seconds()
	if !a.at.Before(s.begin) {
		s.latencies[a.svc] = append(s.latencies[a.svc], now.Sub(a.at))
	}
}

func (s *sim) nextArrival(svc int, rate float64) {
	gap := time.Duration(s.rand[svc].ExpFloat64() / rate * float64(time.Second))
	heap.Push(&s.queue, simEvent{at: s.now.Add(gap), svc: svc})
}

// run simulates until s.end. flood is the index of the service that offers ten
// times the capacity, or -1.
func (s *sim) run(flood int) {
	capacity := float64(s.slots)
	rates := make([]float64, len(loads))
	for i, l := range loads {
		loadFactor := l.baseLoad
		if i == flood {
			loadFactor = 10
		}
		rates[i] = loadFactor * capacity / l.serviceTime.Seconds()
		s.nextArrival(i, rates[i])
	}
	for len(s.queue) > 0 && s.queue[0].at.Before(s.end) {
		if at := s.sys.nextWake(); !at.IsZero() && at.Before(s.queue[0].at) {
			s.sys.tick(at)
			continue
		}
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		if e.svc < 0 {
			s.sys.callEnded(s.now, e)
			continue
		}
		serviceTime := time.Duration((0.5 + s.rand[e.svc].Float64()) * float64(loads[e.svc].serviceTime))
		s.requests = append(s.requests, simRequest{svc: e.svc, at: s.now, serviceTime: serviceTime})
		s.sys.arrive(s.now, uint64(len(s.requests)-1), e.svc)
		s.nextArrival(e.svc, rates[e.svc])
	}
}

// machineSystem drives a Machine.
type machineSystem struct {
	*sim
	m *Machine
}

func newMachineSystem(s *sim, gateways int) *machineSystem {
	c := &structs.Config{Generation: 1, Set: structs.ObjectSet{Pools: []structs.Pool{{Name: "p"}}}}
	for _, l := range loads {
		// Non-idempotent operations keep the concurrency limits at the declared slots.
		c.Set.Services = append(c.Set.Services, structs.Service{
			Name: l.name, Pool: "p", Class: l.class, Share: l.share, Idempotent: []string{"op"},
			Once: []string{"pay"}, Timeout: l.deadline, Queue: l.queueLen,
		})
	}
	v := &structs.FleetView{}
	for i := range floodVMs {
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
			x.startCall(now, x.m.get(a.Handle).ref, a.Handle, a.VM.ID)
		case a.Kind == Answer && a.Answer.Outcome == structs.OutcomeDone:
			x.answered(now, a.Ref)
		}
	}
}

func (x *machineSystem) arrive(now time.Time, ref uint64, svc int) {
	x.step(now, Event{Kind: RequestArrived, Ref: ref, Request: &structs.Request{Service: loads[svc].name, Operation: "op"}})
}

func (x *machineSystem) callEnded(now time.Time, e simEvent) {
	x.step(now, Event{Kind: CallEnded, Handle: e.handle, Attempt: 1, Result: &structs.EndpointResult{
		Kind: structs.EndpointAnswered, Latency: x.requests[e.ref].serviceTime,
	}})
}

func (x *machineSystem) nextWake() time.Time { return x.m.NextWake() }
func (x *machineSystem) tick(now time.Time)  { x.step(now, Event{Kind: Tick}) }

// fifoSystem is the baseline: one FIFO queue for all services. Requests whose
// deadline has passed are dropped at the head of the queue.
type fifoSystem struct {
	*sim
	waiting []uint64
	free    int
}

func (f *fifoSystem) arrive(now time.Time, ref uint64, _ int) {
	if len(f.waiting) < 3000 {
		f.waiting = append(f.waiting, ref)
	}
	f.dispatchWaiting(now)
}

func (f *fifoSystem) dispatchWaiting(now time.Time) {
	for f.free > 0 && len(f.waiting) > 0 {
		ref := f.waiting[0]
		f.waiting = f.waiting[1:]
		if a := f.requests[ref]; now.Sub(a.at) < loads[a.svc].deadline {
			f.free--
			f.startCall(now, ref, 0, "")
		}
	}
}

func (f *fifoSystem) callEnded(now time.Time, e simEvent) {
	f.free++
	f.answered(now, e.ref)
	f.dispatchWaiting(now)
}

func (f *fifoSystem) nextWake() time.Time { return time.Time{} }
func (f *fifoSystem) tick(time.Time)      {}

func simulate(fifo bool, gateways, flood int) *sim {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{latencies: make([][]time.Duration, len(loads)), now: begin}
	for i := range loads {
		s.rand = append(s.rand, rand.New(rand.NewPCG(7, uint64(i))))
	}
	s.begin, s.end = begin.Add(floodTime/4), begin.Add(floodTime)
	for i := range floodVMs {
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

// BenchmarkFlood reports, for each service but the flooding one, its goodput and
// the p99 of its response time relative to the run without a flood, and the
// fraction of the pool's slot time spent on requests answered within their
// deadline.
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

func reportFlood(b *testing.B, baseline, flooded *sim, flood int) {
	capacity := float64(flooded.slots) * flooded.end.Sub(flooded.begin).Seconds()
	b.ReportMetric(flooded.usefulSlotSeconds/capacity, "total-goodput")
	for i, l := range loads {
		if i == flood {
			continue
		}
		b.ReportMetric(float64(len(flooded.latencies[i]))/float64(len(baseline.latencies[i])), l.name+"-kept")
		b.ReportMetric(float64(p99(flooded.latencies[i]))/float64(p99(baseline.latencies[i])), l.name+"-p99-ratio")
		b.ReportMetric(float64(p99(flooded.latencies[i]).Milliseconds()), l.name+"-p99-ms")
	}
}
