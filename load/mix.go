// Package load is an open-loop load generator: each call starts at its scheduled
// time, whether or not earlier calls have ended, and its latency is measured from
// that time. A slow system therefore shows its queueing delay instead of slowing
// the generator down.
package load

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Shape determines how the rate of a flow changes over time.
type Shape string

// Shapes of a flow's rate.
const (
	ShapeConstant Shape = "constant" // always the mean rate
	ShapePeaks    Shape = "peaks"    // 5 times the mean rate during a part of each period, 1/20 of it for the rest
	ShapeFlood    Shape = "flood"    // Factor times the mean rate during the flood, the mean rate otherwise
)

// Rates of ShapePeaks relative to the mean rate, and the fraction of the period
// that a peak takes. The fraction keeps the mean:
// peakFactor*peakFraction + offPeakFactor*(1-peakFraction) is 1. It is 0.19, so
// that the peaks of five pools can follow one another without overlap.
const (
	peakFactor    = 5.0
	offPeakFactor = 1.0 / 20
	peakFraction  = (1 - offPeakFactor) / (peakFactor - offPeakFactor)
)

// Flow is one stream of similar requests.
type Flow struct {
	Name        string
	Service     string
	Operation   string
	Team        string
	Once        bool    // the operation is non-idempotent, so each request has a key
	Rate        float64 // mean requests per second, outside floods
	Shape       Shape
	Period      time.Duration // period of ShapePeaks
	Phase       float64       // start of the peak as a fraction of the period, 0 to 1
	Factor      float64       // rate of the flood relative to Rate, for ShapeFlood
	FloodAt     time.Duration // start of the flood, as an offset from the start
	FloodLength time.Duration // length of the flood
	RepeatShare float64       // fraction of the requests with a key that repeat an earlier key and body, 0 to below 1
	Deadline    time.Duration
	BodyBytes   int
}

// Mix is a set of flows that run concurrently.
type Mix []Flow

// RateAt returns the flow's rate in requests per second at the given offset from
// the start.
func (f *Flow) RateAt(at time.Duration) float64 {
	switch f.Shape {
	case ShapePeaks:
		position := math.Mod(at.Seconds()/f.Period.Seconds()+1-f.Phase, 1)
		if position < peakFraction {
			return f.Rate * peakFactor
		}
		return f.Rate * offPeakFactor
	case ShapeFlood:
		if at >= f.FloodAt && at < f.FloodAt+f.FloodLength {
			return f.Rate * f.Factor
		}
	}
	return f.Rate
}

func (f *Flow) maxRate() float64 {
	switch f.Shape {
	case ShapePeaks:
		return f.Rate * peakFactor
	case ShapeFlood:
		return f.Rate * math.Max(1, f.Factor)
	}
	return f.Rate
}

// Check returns an error if the mix is invalid.
func (m Mix) Check() error {
	if len(m) == 0 {
		return errors.New("mix has no flow")
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
	case f.RepeatShare < 0 || f.RepeatShare >= 1:
		return fmt.Errorf("repeat %v: want at least 0 and less than 1", f.RepeatShare)
	case f.Deadline <= 0:
		return fmt.Errorf("deadline %v: want more than 0", f.Deadline)
	case f.BodyBytes < 0 || f.BodyBytes > 64<<20:
		return fmt.Errorf("body %d: want 0 to %d bytes", f.BodyBytes, 64<<20)
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
		if !(f.Factor > 0) || f.Factor > 1000 || f.FloodAt < 0 || f.FloodLength <= 0 {
			return fmt.Errorf("factor %v, flood_at %v, flood_for %v: want a factor of at most 1000 and a length of more than 0", f.Factor, f.FloodAt, f.FloodLength)
		}
		return nil
	}
	return fmt.Errorf("shape %q: want constant, peaks or flood", f.Shape)
}
