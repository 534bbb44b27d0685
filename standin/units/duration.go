// Package units holds the value types of the stand-ins' fault switches.
package units

import "time"

// Duration is a time.Duration that JSON shows with its unit, such as "150ms".
type Duration time.Duration

// MarshalText returns the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
