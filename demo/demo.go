// Package demo runs a complete deployment in one process on loopback: stand-ins
// for the platform and the endpoints, controllers, gateways and generated load.
// It then checks the recorded history of the run.
package demo

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"time"

	"github.com/carobwharf/carobwharf/configcheck"
	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/history"
	"github.com/carobwharf/carobwharf/load"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

const fleetFile = "fleet.ini"

//go:embed fleet.ini
var fleetINI []byte

//go:embed mix.ini
var mixINI []byte

// Options configures Run.
type Options struct {
	Length      time.Duration // duration of the load
	Seed        uint64
	Gateways    int
	Controllers int
	Rate        float64   // factor applied to the rates of the load mix
	Out         io.Writer // progress of the run
	Log         io.Writer // log of the processes
}

// DefaultOptions returns the options for a typical deployment: six entry VMs, each
// with a gateway and a controller.
func DefaultOptions() Options {
	return Options{Length: 10 * time.Second, Seed: 1, Gateways: 6, Controllers: 6, Rate: 1, Out: io.Discard, Log: io.Discard}
}

// Result is the outcome of a run.
type Result struct {
	Load            *load.Result
	Report          *history.Report
	NotLinearizable []history.Finding // keys whose history is not linearizable
}

// Clean reports whether the history shows no lost request, no request executed
// twice and no wrong answer.
func (r *Result) Clean() bool { return len(r.Report.Findings) == 0 && len(r.NotLinearizable) == 0 }

const (
	reportInterval   = 2 * time.Second
	startTimeout     = 20 * time.Second
	linearizeTimeout = 10 * time.Second // for one key
)

// Run starts the deployment, applies load for o.Length, stops everything and
// checks the history.
func Run(ctx context.Context, o Options) (*Result, error) {
	set, err := loadObjectSet()
	if err != nil {
		return nil, err
	}
	mix, err := load.ParseMix("mix.ini", mixINI)
	if err != nil {
		return nil, fmt.Errorf("parse the demonstration's load mix: %w", err)
	}
	for i := range mix {
		mix[i].Rate *= o.Rate
	}
	d, err := startDeployment(ctx, o, set)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(o.Out, "deployment is up: %d gateways, %d controllers, %d VMs, configuration generation %d\n",
		len(d.gateways), len(d.controllers), len(d.endpoints.VMs()), d.gateways[0].Generation())
	var recorded bytes.Buffer
	progress := duty.NewSupervisor()
	progress.Add(duty.Duty{Name: "progress", Run: func(ctx context.Context) error { return d.reportProgress(ctx, o.Out) }})
	progress.Start(ctx)
	result, err := load.Run(ctx, d.balancer, load.Options{Mix: mix, Seed: o.Seed, Length: o.Length, History: &recorded})
	if stopErr := progress.Stop(ctx); err == nil {
		err = stopErr
	}
	if err != nil {
		d.stop()
		return nil, fmt.Errorf("run load: %w", err)
	}
	if err := d.stop(); err != nil {
		return nil, err
	}
	return checkHistory(result, &recorded, d)
}

// reportProgress prints the numbers of calls so far at each reportInterval.
func (d *deployment) reportProgress(ctx context.Context, out io.Writer) error {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for start := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			fmt.Fprintf(out, "%3.0f s: %d done, %d not run, %d unknown\n", time.Since(start).Seconds(),
				d.balancer.done.Load(), d.balancer.notRun.Load(), d.balancer.unknown.Load())
		}
	}
}

func checkHistory(result *load.Result, recorded io.Reader, d *deployment) (*Result, error) {
	h, err := history.Read(recorded)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	for _, e := range d.effects {
		h.Effects = append(h.Effects, history.Effect{
			ID: e.ID, Key: e.Key, Service: e.Service, Operation: e.Operation, VM: e.VM, Digest: e.BodyHash,
		})
	}
	return &Result{
		Load:            result,
		Report:          history.Check(h, history.Options{}),
		NotLinearizable: history.Linearize(h, history.Options{}, linearizeTimeout),
	}, nil
}

func loadObjectSet() (structs.ObjectSet, error) {
	file, err := settings.ParseObjects(fleetFile, fleetINI)
	if err != nil {
		return structs.ObjectSet{}, fmt.Errorf("parse the demonstration's object set: %w", err)
	}
	if findings := configcheck.Check(&file.Set); len(findings) > 0 {
		return structs.ObjectSet{}, fmt.Errorf("demonstration's object set is invalid: %s", findings[0])
	}
	return file.Set, nil
}
