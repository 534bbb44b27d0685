// Package metrics holds the counters, gauges and timers of a process and encodes
// them as JSON for the admin server.
package metrics

import (
	"encoding/json"
	"io"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/carobwharf/carobwharf/ring"
)

// Registry is the set of metrics of a process.
type Registry struct {
	reg gometrics.Registry
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{reg: gometrics.NewRegistry()}
}

// Counter returns the counter with the given name and creates it on first use.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.reg)
}

// Gauge returns the gauge with the given name and creates it on first use.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, r.reg)
}

// Timer returns the timer with the given name and creates it on first use. Its
// values are durations in nanoseconds.
func (r *Registry) Timer(name string) gometrics.Timer {
	return gometrics.GetOrRegisterTimer(name, r.reg)
}

// WatchRing registers gauges for a ring's depth, high-water mark, accepted values
// and refused values. stats is called each time the metrics are read.
func (r *Registry) WatchRing(name string, stats func() ring.Stats) error {
	gauges := map[string]func() int64{
		"depth":      func() int64 { return int64(stats().Depth) },
		"high_water": func() int64 { return stats().HighWater },
		"accepted":   func() int64 { return stats().Accepted },
		"refused":    func() int64 { return stats().Refused },
	}
	for suffix, value := range gauges {
		g := gometrics.NewFunctionalGauge(value)
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
