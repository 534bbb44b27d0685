// Package demo runs a whole deployment in one process on loopback: stand-ins
// of the platform and the endpoints, controllers, gateways and generated load.
// It checks the history of the run.
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
	Length      time.Duration // of the load
	Seed        uint64
	Gateways    int
	Controllers int
	Rate        float64   // factor of the mix's rates
	Out         io.Writer // live and final summary
	Log         io.Writer // the processes' log
}

// DefaultOptions returns the size of one deployment of today: six entry VMs,
// each with a gateway and a controller.
func DefaultOptions() Options {
	return Options{Length: 10 * time.Second, Seed: 1, Gateways: 6, Controllers: 6, Rate: 1, Out: io.Discard, Log: io.Discard}
}

// Result is the outcome of a run.
type Result struct {
	Load   *load.Result
	Report *history.Report
	Once   []history.Finding // keys whose history no execution order explains
}

// Clean reports whether the history shows nothing lost, nothing executed twice
// and no wrong answer.
func (r *Result) Clean() bool { return len(r.Report.Findings) == 0 && len(r.Once) == 0 }

const (
	reportInterval   = 2 * time.Second
	startTimeout     = 20 * time.Second
	linearizeTimeout = 10 * time.Second // of one key
)

// Run starts the deployment, applies load for the set time, stops everything
// and checks the history.
func Run(ctx context.Context, o Options) (*Result, error) {
	set, err := fleetSet()
	if err != nil {
		return nil, err
	}
	mix, err := load.ParseMix("mix.ini", mixINI)
	if err != nil {
		return nil, fmt.Errorf("demonstration mix: %w", err)
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
	progress.Add(duty.Duty{Name: "progress", Run: func(ctx context.Context) error { return d.report(ctx, o.Out) }})
	progress.Start(ctx)
	result, err := load.Run(ctx, d.callers, load.Options{Mix: mix, Seed: o.Seed, Length: o.Length, History: &recorded})
	if stopErr := progress.Stop(ctx); err == nil {
		err = stopErr
	}
	if err != nil {
		d.stop()
		return nil, fmt.Errorf("load: %w", err)
	}
	if err := d.stop(); err != nil {
		return nil, err
	}
	return check(result, &recorded, d)
}

// report prints a line on the calls so far every two seconds.
func (d *deployment) report(ctx context.Context, out io.Writer) error {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for start := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			fmt.Fprintf(out, "%3.0f s: %d done, %d not run, %d unknown\n", time.Since(start).Seconds(),
				d.callers.done.Load(), d.callers.notRun.Load(), d.callers.unknown.Load())
		}
	}
}

func check(result *load.Result, recorded io.Reader, d *deployment) (*Result, error) {
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
		Load:   result,
		Report: history.Check(h, history.Options{}),
		Once:   history.Linearize(h, history.Options{}, linearizeTimeout),
	}, nil
}

func fleetSet() (structs.ObjectSet, error) {
	file, err := settings.ParseObjects(fleetFile, fleetINI)
	if err != nil {
		return structs.ObjectSet{}, fmt.Errorf("demonstration set: %w", err)
	}
	if findings := configcheck.Check(&file.Set); len(findings) > 0 {
		return structs.ObjectSet{}, fmt.Errorf("demonstration set: %s", findings[0])
	}
	return file.Set, nil
}
