package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/carobwharf/carobwharf/admission"
	"github.com/carobwharf/carobwharf/buffer"
	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// decisionSize is a size of the deployment for which decisions are timed.
type decisionSize struct{ workers, pools, teams int }

var decisionSizes = []decisionSize{
	{50, 5, 10}, {500, 5, 10}, {500, 32, 10}, {500, 32, 500},
	{5000, 32, 10}, {5000, 32, 500}, {15000, 32, 10}, {15000, 32, 500},
}

// decision is a kind of decision to time. prepare returns a function that makes one
// decision.
type decision struct {
	name    string
	prepare func(size decisionSize, seed uint64) func()
}

var decisions = []decision{
	{"placement of one job, fleet at 80%", func(size decisionSize, seed uint64) func() { return preparePlacement(size, seed, 0.8) }},
	{"placement of one job, fleet full", func(size decisionSize, seed uint64) func() { return preparePlacement(size, seed, 1.3) }},
	{"admission of one request", prepareAdmission},
	{"choice of an endpoint", prepareEndpointChoice},
	{"moves between pools", prepareMoves},
}

func runDecisionCost(ctx context.Context, env *Env) (*Result, error) {
	sizes := decisionSizes
	if env.Quick {
		sizes = sizes[:1]
	}
	t := &Table{Name: "slopes", Title: "Cost of one decision",
		Columns: []string{"decision", "workers", "pools", "teams", "time", "allocations", "bytes"}}
	p := &Plot{Name: "slopes", Title: "Time of one decision, greatest numbers of pools and teams", X: "workers", Y: "microseconds", LogX: true, LogY: true}
	for _, d := range decisions {
		line := Line{Name: d.name}
		for _, size := range sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			c := measure(d.prepare(size, env.Seed))
			t.Add(d.name, size.workers, size.pools, size.teams, c.duration, c.allocs, c.bytes)
			point := [2]float64{float64(size.workers), max(0.001, float64(c.duration.Nanoseconds())/1000)}
			if n := len(line.XY); n > 0 && line.XY[n-1][0] == point[0] {
				line.XY[n-1] = point
			} else {
				line.XY = append(line.XY, point)
			}
			env.logf("%s workers=%d pools=%d teams=%d: %v", d.name, size.workers, size.pools, size.teams, c.duration)
		}
		p.Lines = append(p.Lines, line)
	}
	return &Result{Tables: []*Table{t}, Plots: []*Plot{p}}, nil
}

type decisionCost struct {
	duration      time.Duration
	allocs, bytes float64
}

// measure repeats step at least 20 times and for at least 200 ms.
func measure(step func()) decisionCost {
	for range 3 {
		step()
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start, n := time.Now(), 0
	for ; n < 20 || time.Since(start) < 200*time.Millisecond; n++ {
		step()
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return decisionCost{took / time.Duration(n), float64(after.Mallocs-before.Mallocs) / float64(n), float64(after.TotalAlloc-before.TotalAlloc) / float64(n)}
}

// preparePlacement returns a function that submits, places and ends one job on a
// fleet with the given load.
func preparePlacement(size decisionSize, seed uint64, load float64) func() {
	w := newWorkload(size.workers, size.teams, load, 10*time.Second, true, seed)
	s := placement.New(placement.Options{TaskLease: 1000 * time.Hour}, 0)
	for i, t := range w.workerTypeIndexes() {
		s.AddWorker(fmt.Sprint("w", i), workerTypes[t].WorkerType)
	}
	now, milliCoresLeft, n := epoch, 0.0, 0
	for _, t := range workerTypes {
		milliCoresLeft += t.fleetShare * float64(size.workers*t.Capacity.MilliCores) * load
	}
	next := func() placement.Job {
		j := w.jobs[n%len(w.jobs)].Job
		j.ID = fmt.Sprint("n", n)
		n++
		return j
	}
	for milliCoresLeft > 0 {
		j := next()
		milliCoresLeft -= float64(j.Size.MilliCores)
		_ = s.Submit(j, now)
	}
	running := s.Place(now, n)
	return func() {
		now = now.Add(time.Millisecond)
		_ = s.Submit(next(), now)
		running = append(running, s.Place(now, 1)...)
		for len(running) > 0 {
			c := running[0]
			running = running[1:]
			if s.Report(placement.Report{Kind: placement.ReportFinished, Job: c.Job, Token: c.Token}, now) == nil {
				return
			}
		}
	}
}

// prepareAdmission returns a function that offers, starts and ends one request at
// one gateway. The pools share the slots of all workers; each pool has two services.
func prepareAdmission(size decisionSize, _ uint64) func() {
	s := admission.New(admission.Options{})
	slots := size.workers * slotsPerWorker / size.pools
	var services []admission.ServiceSpec
	var teams []admission.TeamSpec
	for p := range size.pools {
		for k := range 2 {
			services = append(services, admission.ServiceSpec{Name: fmt.Sprint("s", p, "-", k), Pool: p, Share: 0.5, Queue: 100})
		}
	}
	for t := range size.teams {
		teams = append(teams, admission.TeamSpec{Name: fmt.Sprint("t", t), Weight: 1})
	}
	s.Configure(services, teams)
	for p := range size.pools {
		s.SetCapacity(p, slots)
	}
	now, n := epoch, 0
	return func() {
		now = now.Add(time.Millisecond)
		n++
		svc := s.Service(services[n%len(services)].Name)
		team := s.Team(teams[n%len(teams)].Name)
		s.Offer(now, uint64(n), svc, team, now.Add(time.Second))
		if g, ok := s.Next(now, services[n%len(services)].Pool, slots); ok && !g.Expired {
			s.Done(now.Add(time.Millisecond), g.Ticket)
		}
	}
}

// prepareMoves returns a function that plans moves for all pools. The first pool
// needs two more VMs and the second has two too many.
func prepareMoves(size decisionSize, _ uint64) func() {
	b := newBufferFleet(size.pools, size.workers)
	planner := buffer.NewPlanner(plannerConfig)
	now := epoch
	return func() {
		now = now.Add(time.Minute)
		for i := range b.pools {
			b.pools[i].Target = b.pools[i].Size
		}
		b.pools[0].Target = b.pools[0].Size + 2
		b.pools[1].Target = max(1, b.pools[1].Size-2)
		planner.Plan(now, b.pools)
	}
}

// prepareEndpointChoice returns a function that chooses an endpoint and ends the
// request, at one of six gateways, which knows all workers.
func prepareEndpointChoice(size decisionSize, _ uint64) func() {
	view := &structs.FleetView{}
	for i := range size.workers {
		id := fmt.Sprintf("vm%06d", i)
		view.VMs = append(view.VMs, structs.VM{ID: id, State: structs.VMLive, Slots: slotsPerWorker, Connections: connectionsPerWorker,
			Rack: fmt.Sprint("rack", i/4), DataCentre: fmt.Sprint("dc", i%3)})
		view.Owners = append(view.Owners, structs.Owner{VM: id, Pool: fmt.Sprint("pool", i%size.pools), State: structs.OwnerActive, Epoch: 1, Version: 1})
	}
	s := dispatch.New(dispatch.Options{})
	now := epoch
	s.Update(now, dispatch.View{Fleet: view, Count: 6})
	n := 0
	return func() {
		n++
		now = now.Add(time.Millisecond)
		pool := dispatch.Pool(n % s.Pools())
		e, _ := s.Pick(now, dispatch.PickOptions{Pool: pool, Avoid: dispatch.NoEndpoint})
		if e != dispatch.NoEndpoint {
			s.Done(now, e, dispatch.Result{Kind: structs.EndpointAnswered, Latency: 20 * time.Millisecond})
		}
	}
}
