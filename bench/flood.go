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

// floodService is a service in the flood experiment.
type floodService struct {
	name            string
	share           float64
	queue           int
	meanServiceTime time.Duration // mean time for which a request occupies a slot
	deadline        time.Duration
}

var floodServices = []floodService{
	{"payout", 0.2, 200, 60 * time.Millisecond, 2 * time.Second},
	{"counter", 0.25, 200, 25 * time.Millisecond, time.Second},
	{"grants", 0.25, 200, 40 * time.Millisecond, time.Second},
	{"letters", 0.15, 200, 80 * time.Millisecond, 5 * time.Second},
	{"audit", 0.15, 200, 250 * time.Millisecond, 10 * time.Second},
}

const (
	floodBaseUtilisation = 0.7 // load of a service that is not flooded, as a fraction of its share
	floodFactor          = 10  // load of the flooded service, as a multiple of the whole pool's capacity
)

// floodQueue is a queue in front of the pool's slots. The experiment compares its
// implementations.
type floodQueue interface {
	offer(now time.Duration, id, service int, deadline time.Duration) bool
	dequeue(now time.Duration, free int) (id int, ok bool)
	done(now time.Duration, id int)
}

// fifoQueue is one bounded FIFO queue for all services.
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

func (f *fifoQueue) dequeue(_ time.Duration, free int) (int, bool) {
	if free <= 0 || len(f.ids) == 0 {
		return 0, false
	}
	id := f.ids[0]
	f.ids = f.ids[1:]
	return id, true
}

func (f *fifoQueue) done(time.Duration, int) {}

// admissionQueue is a queue controlled by package admission.
type admissionQueue struct {
	scheduler *admission.Scheduler
	tickets   map[int]admission.Ticket
}

func newAdmissionQueue(slots int) *admissionQueue {
	specs := make([]admission.ServiceSpec, len(floodServices))
	for i, f := range floodServices {
		specs[i] = admission.ServiceSpec{Name: f.name, Share: f.share, Queue: f.queue}
	}
	s := admission.New(admission.Options{})
	s.Configure(specs, nil)
	s.SetCapacity(0, slots)
	return &admissionQueue{scheduler: s, tickets: map[int]admission.Ticket{}}
}

func (a *admissionQueue) offer(now time.Duration, id, service int, deadline time.Duration) bool {
	svc := a.scheduler.Service(floodServices[service].name)
	_, v := a.scheduler.Offer(epoch.Add(now), uint64(id), svc, a.scheduler.Team(""), epoch.Add(deadline))
	return v == admission.Queued
}

func (a *admissionQueue) dequeue(now time.Duration, free int) (int, bool) {
	for {
		g, ok := a.scheduler.Next(epoch.Add(now), 0, free)
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
	a.scheduler.Done(epoch.Add(now), a.tickets[id])
	delete(a.tickets, id)
}

type floodRequest struct {
	arrival, serviceTime, deadline time.Duration
	service                        int
}

// floodTrace returns the requests in order of arrival. flooded is the index of the
// flooded service, or -1 for none.
func floodTrace(slots int, length time.Duration, flooded int, seed uint64) []floodRequest {
	var all []floodRequest
	for i, f := range floodServices {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		rate := floodBaseUtilisation * f.share * float64(slots) / f.meanServiceTime.Seconds()
		if i == flooded {
			rate = floodFactor * float64(slots) / f.meanServiceTime.Seconds()
		}
		for at := 0.0; at < length.Seconds(); at += rng.ExpFloat64() / rate {
			t := time.Duration(at * float64(time.Second))
			work := f.meanServiceTime.Seconds() * math.Exp(0.5*rng.NormFloat64()-0.125)
			all = append(all, floodRequest{arrival: t, serviceTime: time.Duration(work * float64(time.Second)), deadline: t + f.deadline, service: i})
		}
	}
	slices.SortFunc(all, func(a, b floodRequest) int { return int(a.arrival - b.arrival) })
	return all
}

type floodResult struct {
	sent, onTime, refused []int
	latency               [][]time.Duration // of requests done before their deadline
	usefulShare           float64           // slot-seconds spent on requests done before their deadline, over capacity
}

// runFlood replays the trace against a queue. Requests that arrive in the first
// fifth of the length are a warm-up and are not counted.
func runFlood(trace []floodRequest, slots int, length time.Duration, q floodQueue) *floodResult {
	n := len(floodServices)
	r := &floodResult{sent: make([]int, n), onTime: make([]int, n), refused: make([]int, n), latency: make([][]time.Duration, n)}
	warmUp := length / 5
	var completions replayEvents
	free, i := slots, 0
	usefulTime := time.Duration(0)
	for i < len(trace) || len(completions) > 0 {
		var now time.Duration
		if len(completions) > 0 && (i >= len(trace) || completions[0].at <= trace[i].arrival) {
			e := heap.Pop(&completions).(replayEvent)
			now = e.at
			req := &trace[e.job]
			free++
			q.done(now, e.job)
			if req.arrival >= warmUp && now <= req.deadline {
				r.onTime[req.service]++
				r.latency[req.service] = append(r.latency[req.service], now-req.arrival)
			}
			if now <= req.deadline {
				usefulTime += max(0, min(now, length)-max(now-req.serviceTime, warmUp))
			}
		} else {
			req := &trace[i]
			now = req.arrival
			accepted := q.offer(now, i, req.service, req.deadline)
			if req.arrival >= warmUp {
				r.sent[req.service]++
				if !accepted {
					r.refused[req.service]++
				}
			}
			i++
		}
		for free > 0 {
			id, ok := q.dequeue(now, free)
			if !ok {
				break
			}
			free--
			heap.Push(&completions, replayEvent{at: now + trace[id].serviceTime, job: id, seq: id})
		}
	}
	for _, l := range r.latency {
		slices.Sort(l)
	}
	r.usefulShare = usefulTime.Seconds() / (float64(slots) * (length - warmUp).Seconds())
	return r
}

func runFloodExperiment(ctx context.Context, env *Env) (*Result, error) {
	slots, length := workersPerPool*slotsPerWorker, 30*time.Second
	if env.Quick {
		slots, length = slotsPerWorker, 5*time.Second
	}
	t := &Table{Name: "flood", Title: fmt.Sprintf("Flood of one class at %d times the capacity of a pool of %d slots; goals: others keep 95%% of goodput, p99 at most doubles, useful work at least 95%% of capacity", floodFactor, slots),
		Columns: []string{"flooded", "queue", "useful work", "least goodput of others", "of", "greatest p99 factor of others", "of", "refused of flood"}}
	detail := &Table{Name: "flood_services", Title: "Goodput and p99 of each service",
		Columns: []string{"flooded", "queue", "service", "sent", "goodput share", "p99 calm", "p99"}}
	baselineTrace := floodTrace(slots, length, -1, env.Seed)
	baseline := runFlood(baselineTrace, slots, length, newAdmissionQueue(slots))
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
			addFloodRows(t, detail, flooded, name, runFlood(trace, slots, length, q), baseline)
		}
	}
	for _, table := range []*Table{t, detail} {
		slices.SortStableFunc(table.Rows, func(a, b []string) int { return slices.Compare(a[:2], b[:2]) })
	}
	return &Result{Tables: []*Table{t, detail}}, nil
}

func addFloodRows(t, detail *Table, flooded int, name string, r, baseline *floodResult) {
	lowestShare, lowestService, highestFactor, highestService := math.Inf(1), "", 0.0, ""
	for i, f := range floodServices {
		share := float64(r.onTime[i]) / float64(max(1, r.sent[i]))
		p99, baselineP99 := percentile(r.latency[i], 0.99), percentile(baseline.latency[i], 0.99)
		detail.Add(floodServices[flooded].name, name, f.name, r.sent[i], share, baselineP99, p99)
		if i == flooded {
			continue
		}
		if share < lowestShare {
			lowestShare, lowestService = share, f.name
		}
		factor := p99.Seconds() / baselineP99.Seconds()
		if len(r.latency[i]) == 0 {
			factor = math.Inf(1)
		}
		if factor > highestFactor {
			highestFactor, highestService = factor, f.name
		}
	}
	t.Add(floodServices[flooded].name, name, r.usefulShare, lowestShare, lowestService, highestFactor, highestService,
		float64(r.refused[flooded])/float64(max(1, r.sent[flooded])))
}
