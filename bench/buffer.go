package bench

import (
	"context"
	"fmt"
	"time"
)

// boundKeeps are the gaps that offline plans bridge: a plan that bridges
// longer gaps holds more and moves less.
var boundKeeps = []time.Duration{time.Minute, 2 * time.Minute, 5 * time.Minute, 15 * time.Minute}

func runBuffer(ctx context.Context, env *Env) (*Result, error) {
	o := DefaultDemand()
	if env.Quick {
		o.Cycles = 1
	}
	d := NewDemand(o, env.Seed)
	workers := poolsToday * workersToday
	t := &Table{Name: "buffer", Title: fmt.Sprintf("%d pools, %d workers, %d periods of %v; ratios to the offline bound that keeps a VM for %v; goal 1.3",
		poolsToday, workers, o.Cycles, o.Period, boundKeeps[1]),
		Columns: []string{"strategy", "buffer hours", "of bound", "moves", "of bound", "lost demand", "most VMs held"}}
	bound := offlineBuffer(d, workers, boundKeeps[1])
	add := func(name string, s bufferScore) {
		t.Add(name, s.hours, s.hours/bound.hours, s.moves, float64(s.moves)/float64(bound.moves), s.lost, s.peak)
	}
	for _, keep := range boundKeeps {
		add(fmt.Sprint("offline bound, keeps ", keep), offlineBuffer(d, workers, keep))
	}
	add("static shares", scoreBuffer(d, workers, staticShares{}))
	add("thresholds 80%/50%", scoreBuffer(d, workers, thresholds{}))
	plot := &Plot{Name: "buffer", Title: "Buffer hours and moves of package buffer by return delay", X: "moves", Y: "buffer hours"}
	for _, utilisation := range []float64{0.8, 0.9, 1} {
		line := Line{Name: fmt.Sprint("utilisation ", utilisation)}
		for _, back := range []time.Duration{30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute} {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			cfg := plannerConfig
			cfg.ReturnAfter = back
			s := scoreBuffer(d, workers, newPlanned(poolsToday, utilisation, cfg))
			add(fmt.Sprintf("buffer, utilisation %v, returns after %v", utilisation, back), s)
			line.XY = append(line.XY, [2]float64{float64(s.moves), s.hours})
		}
		plot.Lines = append(plot.Lines, line)
	}
	for _, utilisation := range []float64{0.8, 0.9, 1} {
		strategy := newPlanned(poolsToday, utilisation, plannerConfig)
		strategy.raw = true
		add(fmt.Sprintf("buffer without forecast, utilisation %v, returns after %v", utilisation, plannerConfig.ReturnAfter),
			scoreBuffer(d, workers, strategy))
	}
	b := Line{Name: "offline bound", Dashed: true}
	for _, keep := range boundKeeps {
		s := offlineBuffer(d, workers, keep)
		b.XY = append(b.XY, [2]float64{float64(s.moves), s.hours})
	}
	plot.Lines = append(plot.Lines, b)
	return &Result{Tables: []*Table{t}, Plots: []*Plot{plot}}, nil
}
