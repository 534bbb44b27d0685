// Package times compares times and makes durations of numbers with fractions.
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

// Milliseconds returns the duration of a number of milliseconds.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds returns the duration of a number of seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
