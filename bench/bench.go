// Package bench runs experiments on the decision packages. An experiment feeds
// generated traces with simulated time to these packages, which read no clock.
// Its results are tables (text and CSV) and plots (PNG).
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Env is the environment of an experiment run.
type Env struct {
	Seed  uint64
	Quick bool      // run with smaller sizes, for tests
	Log   io.Writer // progress, one line per step; may be nil
}

func (e *Env) logf(format string, args ...any) {
	if e.Log != nil {
		fmt.Fprintf(e.Log, format+"\n", args...)
	}
}

// Result is the outcome of an experiment.
type Result struct {
	Tables []*Table
	Plots  []*Plot
}

// Experiment is one named experiment.
type Experiment struct {
	Name string
	Doc  string // one line
	Run  func(ctx context.Context, env *Env) (*Result, error)
}

// ErrUnknownExperiment is returned by Find if no experiment has the given name.
var ErrUnknownExperiment = errors.New("unknown experiment")

// All returns the experiments, sorted by name.
func All() []Experiment {
	return []Experiment{
		{"buffer", "moves between pools compared with static shares, thresholds and an offline bound", runBuffer},
		{"flood", "admission compared with a FIFO queue while one service is flooded", runFloodExperiment},
		{"placement", "placement policies on workers of several types: start delay, makespan, decision time", runPlacement},
		{"slopes", "time, allocations and bytes of one decision by number of workers, pools and teams", runDecisionCost},
		{"trace", "demand traces of five pools with staggered peaks", runTrace},
	}
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, error) {
	all := All()
	i := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		var names []string
		for _, e := range all {
			names = append(names, e.Name)
		}
		return Experiment{}, fmt.Errorf("%w %q: want %s", ErrUnknownExperiment, name, strings.Join(names, ", "))
	}
	return all[i], nil
}

// Write writes the tables and plots to files in dir, which it creates if needed.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create output directory: %w", err)
	}
	for _, t := range r.Tables {
		for ext, write := range map[string]func(io.Writer) error{".txt": t.WriteText, ".csv": t.WriteCSV} {
			if err := writeFile(filepath.Join(dir, t.Name+ext), write); err != nil {
				return err
			}
		}
	}
	for _, p := range r.Plots {
		if err := writeFile(filepath.Join(dir, p.Name+".png"), p.WritePNG); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create output file: %w", err)
	}
	err = errors.Join(write(f), f.Close())
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
