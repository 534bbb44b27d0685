// Package load generates open-loop load: calls start when the schedule says,
// whether or not earlier ones have ended, and latency counts from the
// intended start. A slow system therefore shows its queueing delay instead of
// slowing the generator down.
package load

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Shape is the course of a flow's rate over time.
type Shape string

// Shapes.
const (
	ShapeConstant Shape = "constant" // the mean rate throughout
	ShapePeaks    Shape = "peaks"    // 5 times the mean for a part of each period, 1/20 of it in between
	ShapeFlood    Shape = "flood"    // the mean rate, and Factor times it for a while
)

// Rates of ShapePeaks relative to the mean, and the part of the period that a
// peak takes: peakHigh*peakPart + peakLow*(1-peakPart) is 1. With 0.19 of the
// period, the peaks of five pools follow one another without overlap.
const (
	peakHigh = 5.0
	peakLow  = 1.0 / 20
	peakPart = (1 - peakLow) / (peakHigh - peakLow)
)

// Flow is one stream of requests of a mix.
type Flow struct {
	Name      string
	Service   string
	Operation string
	Team      string
	Once      bool    // non-idempotent: each request carries a key
	Rate      float64 // mean requests per second, outside floods
	Shape     Shape
	Period    time.Duration // of ShapePeaks
	Phase     float64       // start of the peak as a fraction of the period, 0 to 1
	Factor    float64       // of ShapeFlood
	FloodAt   time.Duration // start of the flood
	FloodFor  time.Duration // length of the flood
	Repeat    float64       // share of the requests with a key that repeat an earlier key and body, 0 to 1
	Deadline  time.Duration
	Body      int // bytes
}

// Mix is a set of flows.
type Mix []Flow

// RateAt returns the flow's rate in requests per second at an offset from the
// start.
func (f *Flow) RateAt(at time.Duration) float64 {
	switch f.Shape {
	case ShapePeaks:
		part := math.Mod(at.Seconds()/f.Period.Seconds()+1-f.Phase, 1)
		if part < peakPart {
			return f.Rate * peakHigh
		}
		return f.Rate * peakLow
	case ShapeFlood:
		if at >= f.FloodAt && at < f.FloodAt+f.FloodFor {
			return f.Rate * f.Factor
		}
	}
	return f.Rate
}

func (f *Flow) maxRate() float64 {
	switch f.Shape {
	case ShapePeaks:
		return f.Rate * peakHigh
	case ShapeFlood:
		return f.Rate * math.Max(1, f.Factor)
	}
	return f.Rate
}

// Check returns what is wrong with the mix, or nil.
func (m Mix) Check() error {
	if len(m) == 0 {
		return errors.New("the mix has no flow")
	}
	for i := range m {
		if err := m[i].check(); err != nil {
			return fmt.Errorf("flow %s: %w", m[i].Name, err)
		}
	}
	return nil
}

func (f *Flow) check() error {
	switch {
	case f.Service == "" || f.Operation == "":
		return errors.New("service and operation are required")
	case !(f.Rate > 0) || f.Rate > 1e6:
		return fmt.Errorf("rate %v: want more than 0 and at most 1000000 requests per second", f.Rate)
	case f.Repeat < 0 || f.Repeat >= 1:
		return fmt.Errorf("repeat %v: want at least 0 and less than 1", f.Repeat)
	case f.Deadline <= 0:
		return fmt.Errorf("deadline %v: want more than 0", f.Deadline)
	case f.Body < 0 || f.Body > 64<<20:
		return fmt.Errorf("body %d: want 0 to %d bytes", f.Body, 64<<20)
	}
	return f.checkShape()
}

func (f *Flow) checkShape() error {
	switch f.Shape {
	case ShapeConstant:
		return nil
	case ShapePeaks:
		if f.Period <= 0 || f.Phase < 0 || f.Phase >= 1 {
			return fmt.Errorf("period %v, phase %v: want a period of more than 0 and a phase from 0 to below 1", f.Period, f.Phase)
		}
		return nil
	case ShapeFlood:
		if !(f.Factor > 0) || f.Factor > 1000 || f.FloodAt < 0 || f.FloodFor <= 0 {
			return fmt.Errorf("factor %v, flood_at %v, flood_for %v: want a factor of at most 1000 and a length of more than 0", f.Factor, f.FloodAt, f.FloodFor)
		}
		return nil
	}
	return fmt.Errorf("shape %q: want constant, peaks or flood", f.Shape)
}
