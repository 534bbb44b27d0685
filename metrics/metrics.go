// Package metrics keeps the process's counters and timers and renders them
// for the admin address.
package metrics

import (
	"encoding/json"
	"io"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/carobwharf/carobwharf/ring"
)

// Registry is the process's set of metrics.
type Registry struct {
	reg gometrics.Registry
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{reg: gometrics.NewRegistry()}
}

// Counter returns the counter with the given name, made on first use.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.reg)
}

// Gauge returns the gauge with the given name, made on first use.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, r.reg)
}

// Timer returns the timer with the given name, made on first use. Values are
// durations in nanoseconds.
func (r *Registry) Timer(name string) gometrics.Timer {
	return gometrics.GetOrRegisterTimer(name, r.reg)
}

// WatchRing exposes the depth, high-water mark and refusals of a ring. stats
// is called each time that the metrics are read.
func (r *Registry) WatchRing(name string, stats func() ring.Stats) error {
	gauges := map[string]func() int64{
		"depth":      func() int64 { return int64(stats().Depth) },
		"high_water": func() int64 { return stats().HighWater },
		"accepted":   func() int64 { return stats().Accepted },
		"refused":    func() int64 { return stats().Refused },
	}
	for suffix, read := range gauges {
		g := gometrics.NewFunctionalGauge(read)
		if err := r.reg.Register("ring."+name+"."+suffix, g); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes all metrics as one JSON object.
func (r *Registry) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(r.reg.GetAll())
}
