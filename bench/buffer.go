package bench

import (
	"context"
	"fmt"
	"time"
)

// offlineKeepTimes are the idle times for which the offline plans keep a VM. A plan
// with a longer keep time holds more VMs and moves fewer.
var offlineKeepTimes = []time.Duration{time.Minute, 2 * time.Minute, 5 * time.Minute, 15 * time.Minute}

func runBuffer(ctx context.Context, env *Env) (*Result, error) {
	o := DefaultDemand()
	if env.Quick {
		o.Cycles = 1
	}
	demand := NewDemand(o, env.Seed)
	workers := deploymentPools * workersPerPool
	table := &Table{Name: "buffer", Title: fmt.Sprintf("%d pools, %d workers, %d periods of %v; ratios to the offline bound that keeps a VM for %v; goal 1.3",
		deploymentPools, workers, o.Cycles, o.Period, offlineKeepTimes[1]),
		Columns: []string{"strategy", "buffer hours", "of bound", "moves", "of bound", "lost demand", "most VMs held"}}
	bound := offlineBound(demand, workers, offlineKeepTimes[1])
	add := func(name string, score bufferScore) {
		table.Add(name, score.bufferHours, score.bufferHours/bound.bufferHours, score.moves, float64(score.moves)/float64(bound.moves), score.lostShare, score.peakVMs)
	}
	for _, keep := range offlineKeepTimes {
		add(fmt.Sprint("offline bound, keeps ", keep), offlineBound(demand, workers, keep))
	}
	add("static shares", scoreStrategy(demand, workers, staticStrategy{}))
	add("thresholds 80%/50%", scoreStrategy(demand, workers, thresholdStrategy{}))
	plot := &Plot{Name: "buffer", Title: "Buffer hours and moves of package buffer by return delay", X: "moves", Y: "buffer hours"}
	for _, utilisation := range []float64{0.8, 0.9, 1} {
		line := Line{Name: fmt.Sprint("utilisation ", utilisation)}
		for _, returnDelay := range []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute} {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			cfg := plannerConfig
			cfg.ReturnAfter = returnDelay
			score := scoreStrategy(demand, workers, newPlannerStrategy(deploymentPools, utilisation, cfg))
			add(fmt.Sprintf("buffer, utilisation %v, returns after %v", utilisation, returnDelay), score)
			line.XY = append(line.XY, [2]float64{float64(score.moves), score.bufferHours})
		}
		plot.Lines = append(plot.Lines, line)
	}
	for _, utilisation := range []float64{0.8, 0.9, 1} {
		strategy := newPlannerStrategy(deploymentPools, utilisation, plannerConfig)
		strategy.useObservedLoad = true
		add(fmt.Sprintf("buffer without forecast, utilisation %v, returns after %v", utilisation, plannerConfig.ReturnAfter),
			scoreStrategy(demand, workers, strategy))
	}
	boundLine := Line{Name: "offline bound", Dashed: true}
	for _, keep := range offlineKeepTimes {
		score := offlineBound(demand, workers, keep)
		boundLine.XY = append(boundLine.XY, [2]float64{float64(score.moves), score.bufferHours})
	}
	plot.Lines = append(plot.Lines, boundLine)
	return &Result{Tables: []*Table{table}, Plots: []*Plot{plot}}, nil
}
