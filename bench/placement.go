package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

// urgentDelayGoal is the highest accepted p99 start delay of urgent jobs at 80%
// load.
const urgentDelayGoal = 1700 * time.Millisecond

// placementSize is a size of the experiment. Larger fleets have shorter traces, so
// that a run has at most about 200,000 jobs.
type placementSize struct {
	workers, teams int
	length         time.Duration
}

// maxBurstWorkers is the largest fleet for which all jobs are submitted at once.
// Beyond it the baseline policies, which search all workers, take minutes.
const maxBurstWorkers = 500

var placementSizes = []placementSize{
	{50, 10, 15 * time.Minute},
	{500, 10, 5 * time.Minute},
	{500, 500, 5 * time.Minute},
	{5000, 100, 3 * time.Minute},
	{15000, 500, time.Minute},
}

var policies = []placement.Policy{
	placement.PolicyFirstFit, placement.PolicyBestFit, placement.PolicyCompact,
	placement.PolicyFastest, placement.PolicyPairs,
}

func runPlacement(ctx context.Context, env *Env) (*Result, error) {
	sizes := placementSizes
	if env.Quick {
		sizes = []placementSize{{50, 10, 2 * time.Minute}}
	}
	steady := &Table{Name: "placement_steady", Title: "Steady arrivals at 80% of the fleet's processors; urgent p99 goal " + urgentDelayGoal.String(),
		Columns: []string{"workers", "teams", "policy", "jobs", "busy", "urgent p50", "urgent p99", "standard p99", "batch p99",
			"throttled", "saved", "stopped", "memory overcommits", "kWh", "price", "place mean", "place p99"}}
	burst := &Table{Name: "placement_burst", Title: "All jobs submitted at the start (half of the steady trace's length at full load)",
		Columns: []string{"workers", "teams", "policy", "jobs", "makespan", "urgent p99", "kWh", "price", "place per job"}}
	plot := &Plot{Name: "placement_urgent", Title: "p99 start delay of urgent jobs at 80% load", X: "workers", Y: "seconds", LogX: true}
	for _, p := range policies {
		line := Line{Name: p.String()}
		for _, size := range sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			w := newWorkload(size.workers, size.teams, 0.8, size.length, false, env.Seed)
			r := runReplay(w, placement.Options{Policy: p})
			u := r.delays[structs.ClassUrgent]
			steady.Add(size.workers, size.teams, p, len(w.jobs), r.busy, percentile(u, 0.5), percentile(u, 0.99),
				percentile(r.delays[structs.ClassStandard], 0.99), percentile(r.delays[structs.ClassBatch], 0.99),
				r.throttles, r.checkpoints, r.stops, r.overcommits, r.kilowattHours, r.price, r.placeMean, r.placeP99)
			line.XY = append(line.XY, [2]float64{float64(size.workers), percentile(u, 0.99).Seconds()})
			env.logf("placement %v workers=%d teams=%d steady: urgent p99 %v", p, size.workers, size.teams, percentile(u, 0.99))
			if size.workers > maxBurstWorkers {
				continue
			}
			w = newWorkload(size.workers, size.teams, 1, size.length/2, true, env.Seed)
			r = runReplay(w, placement.Options{Policy: p})
			burst.Add(size.workers, size.teams, p, len(w.jobs), r.makespan, percentile(r.delays[structs.ClassUrgent], 0.99), r.kilowattHours, r.price, r.placePerJob)
			env.logf("placement %v workers=%d teams=%d burst: makespan %v", p, size.workers, size.teams, r.makespan)
		}
		plot.Lines = append(plot.Lines, line)
	}
	plot.Lines = append(plot.Lines, goalLine(sizes))
	return &Result{Tables: []*Table{steady, burst}, Plots: []*Plot{plot}}, nil
}

func goalLine(sizes []placementSize) Line {
	l := Line{Name: fmt.Sprint("goal ", urgentDelayGoal), Dashed: true}
	for _, size := range sizes {
		l.XY = append(l.XY, [2]float64{float64(size.workers), urgentDelayGoal.Seconds()})
	}
	return l
}
