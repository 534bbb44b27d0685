// Package times compares times and converts fractional numbers to durations.
package times

import (
	"math"
	"time"
)

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Milliseconds converts a number of milliseconds to a duration. A number out of
// range gives the greatest or least duration, NaN gives 0.
func Milliseconds(ms float64) time.Duration { return duration(ms, time.Millisecond) }

// Seconds converts a number of seconds to a duration, like Milliseconds.
func Seconds(s float64) time.Duration { return duration(s, time.Second) }

// duration bounds the result because the conversion of a float out of range
// depends on the processor: x86-64 gives the least number, arm64 the nearest.
func duration(n float64, unit time.Duration) time.Duration {
	switch ns := n * float64(unit); {
	case math.IsNaN(ns):
		return 0
	case ns >= math.MaxInt64:
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	default:
		return time.Duration(ns)
	}
}
