// Package times compares times and converts fractional numbers to durations.
package times

import "time"

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

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
