package bench

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/admission"
)

// floodService is a service of the flood experiment.
type floodService struct {
	name     string
	share    float64
	queue    int
	mean     time.Duration // that a request holds a slot
	deadline time.Duration
}

var floodServices = []floodService{
	{"payout", 0.2, 200, 60 * time.Millisecond, 2 * time.Second},
	{"counter", 0.25, 200, 25 * time.Millisecond, time.Second},
	{"grants", 0.25, 200, 40 * time.Millisecond, time.Second},
	{"letters", 0.15, 200, 80 * time.Millisecond, 5 * time.Second},
	{"audit", 0.15, 200, 250 * time.Millisecond, 10 * time.Second},
}

// Parameters of the flood: each service uses this part of its share, and the
// flooded one gets this multiple of what the whole pool takes.
const (
	floodUse    = 0.7
	floodFactor = 10
)

// floodQueue is what is compared: a queue in front of the pool's slots.
type floodQueue interface {
	offer(now time.Duration, id, service int, deadline time.Duration) bool
	next(now time.Duration, free int) (id int, ok bool)
	done(now time.Duration, id int)
}

// fifoQueue is one bounded queue for all services.
type fifoQueue struct {
	ids   []int
	bound int
}

func (f *fifoQueue) offer(_ time.Duration, id, _ int, _ time.Duration) bool {
	if len(f.ids) >= f.bound {
		return false
	}
	f.ids = append(f.ids, id)
	return true
}

func (f *fifoQueue) next(_ time.Duration, free int) (int, bool) {
	if free <= 0 || len(f.ids) == 0 {
		return 0, false
	}
	id := f.ids[0]
	f.ids = f.ids[1:]
	return id, true
}

func (f *fifoQueue) done(time.Duration, int) {}

// admissionQueue is package admission.
type admissionQueue struct {
	s       *admission.Scheduler
	tickets map[int]admission.Ticket
}

func newAdmissionQueue(slots int) *admissionQueue {
	specs := make([]admission.ServiceSpec, len(floodServices))
	for i, f := range floodServices {
		specs[i] = admission.ServiceSpec{Name: f.name, Share: f.share, Queue: f.queue}
	}
	s := admission.New(admission.Options{})
	s.Configure(specs, nil)
	s.SetCapacity(0, slots)
	return &admissionQueue{s: s, tickets: map[int]admission.Ticket{}}
}

func (a *admissionQueue) offer(now time.Duration, id, service int, deadline time.Duration) bool {
	svc := a.s.Service(floodServices[service].name)
	_, v := a.s.Offer(epoch.Add(now), uint64(id), svc, a.s.Team(""), epoch.Add(deadline))
	return v == admission.Queued
}

func (a *admissionQueue) next(now time.Duration, free int) (int, bool) {
	for {
		g, ok := a.s.Next(epoch.Add(now), 0, free)
		if !ok {
			return 0, false
		}
		if g.Expired {
			continue
		}
		a.tickets[int(g.Handle)] = g.Ticket
		return int(g.Handle), true
	}
}

func (a *admissionQueue) done(now time.Duration, id int) {
	a.s.Done(epoch.Add(now), a.tickets[id])
	delete(a.tickets, id)
}

type floodRequest struct {
	at, work, deadline time.Duration
	service            int
}

// floodTrace returns the arrivals; flooded is a service or -1.
func floodTrace(slots int, length time.Duration, flooded int, seed uint64) []floodRequest {
	var all []floodRequest
	for i, f := range floodServices {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		rate := floodUse * f.share * float64(slots) / f.mean.Seconds()
		if i == flooded {
			rate = floodFactor * float64(slots) / f.mean.Seconds()
		}
		for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / rate {
			t := time.Duration(at * float64(time.Second))
			work := f.mean.Seconds() * math.Exp(0.5*rng.NormFloat64()-0.125)
			all = append(all, floodRequest{at: t, work: time.Duration(work * float64(time.Second)), deadline: t + f.deadline, service: i})
		}
	}
	slices.SortFunc(all, func(a, b floodRequest) int { return int(a.at - b.at) })
	return all
}

type floodResult struct {
	sent, good, refused []int
	latency             [][]time.Duration // of requests done in time
	useful              float64           // slot-seconds of requests done in time, over capacity
}

// runFlood replays the trace against a queue. Requests of the first fifth are
// not counted.
func runFlood(trace []floodRequest, slots int, length time.Duration, q floodQueue) *floodResult {
	n := len(floodServices)
	r := &floodResult{sent: make([]int, n), good: make([]int, n), refused: make([]int, n), latency: make([][]time.Duration, n)}
	warm := length / 5
	var ends replayEvents
	free, i := slots, 0
	useful := time.Duration(0)
	for i < len(trace) || len(ends) > 0 {
		var now time.Duration
		if len(ends) > 0 && (i >= len(trace) || ends[0].at <= trace[i].at) {
			e := heap.Pop(&ends).(replayEvent)
			now = e.at
			req := &trace[e.job]
			free++
			q.done(now, e.job)
			if req.at >= warm && now <= req.deadline {
				r.good[req.service]++
				r.latency[req.service] = append(r.latency[req.service], now-req.at)
			}
			if now <= req.deadline {
				useful += max(0, min(now, length)-max(now-req.work, warm))
			}
		} else {
			req := &trace[i]
			now = req.at
			accepted := q.offer(now, i, req.service, req.deadline)
			if req.at >= warm {
				r.sent[req.service]++
				if !accepted {
					r.refused[req.service]++
				}
			}
			i++
		}
		for free > 0 {
			id, ok := q.next(now, free)
			if !ok {
				break
			}
			free--
			heap.Push(&ends, replayEvent{at: now + trace[id].work, job: id, seq: id})
		}
	}
	for _, l := range r.latency {
		slices.Sort(l)
	}
	r.useful = useful.Seconds() / (float64(slots) * (length - warm).Seconds())
	return r
}

func runFloodExperiment(ctx context.Context, env *Env) (*Result, error) {
	slots, length := workersToday*slotsToday, 30*time.Second
	if env.Quick {
		slots, length = slotsToday, 5*time.Second
	}
	t := &Table{Name: "flood", Title: fmt.Sprintf("Flood of one class at %d times the capacity of a pool of %d slots; goals: others keep 95%% of goodput, p99 at most doubles, useful work at least 95%% of capacity", floodFactor, slots),
		Columns: []string{"flooded", "queue", "useful work", "least goodput of others", "of", "greatest p99 factor of others", "of", "refused of flood"}}
	detail := &Table{Name: "flood_services", Title: "Goodput and p99 of each service",
		Columns: []string{"flooded", "queue", "service", "sent", "goodput share", "p99 calm", "p99"}}
	calmTrace := floodTrace(slots, length, -1, env.Seed)
	calm := runFlood(calmTrace, slots, length, newAdmissionQueue(slots))
	for flooded := range floodServices {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		trace := floodTrace(slots, length, flooded, env.Seed)
		bound := 0
		for _, f := range floodServices {
			bound += f.queue
		}
		for name, q := range map[string]floodQueue{"admission": newAdmissionQueue(slots), "fifo": &fifoQueue{bound: bound}} {
			addFlood(t, detail, flooded, name, runFlood(trace, slots, length, q), calm)
		}
	}
	for _, table := range []*Table{t, detail} {
		slices.SortStableFunc(table.Rows, func(a, b []string) int { return slices.Compare(a[:2], b[:2]) })
	}
	return &Result{Tables: []*Table{t, detail}}, nil
}

func addFlood(t, detail *Table, flooded int, name string, r, calm *floodResult) {
	least, leastOf, most, mostOf := math.Inf(1), "", 0.0, ""
	for i, f := range floodServices {
		share := float64(r.good[i]) / float64(max(1, r.sent[i]))
		p99, calm99 := percentile(r.latency[i], 0.99), percentile(calm.latency[i], 0.99)
		detail.Add(floodServices[flooded].name, name, f.name, r.sent[i], share, calm99, p99)
		if i == flooded {
			continue
		}
		if share < least {
			least, leastOf = share, f.name
		}
		factor := p99.Seconds() / calm99.Seconds()
		if len(r.latency[i]) == 0 {
			factor = math.Inf(1)
		}
		if factor > most {
			most, mostOf = factor, f.name
		}
	}
	t.Add(floodServices[flooded].name, name, r.useful, least, leastOf, most, mostOf,
		float64(r.refused[flooded])/float64(max(1, r.sent[flooded])))
}
