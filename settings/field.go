package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/configcheck"
)

// field maps one key of a section to a part of a T. set parses and stores a value.
// If the value is invalid, set returns a description of a valid one, otherwise "".
// get returns the value as text, or "" if the key is to be left out.
type field[T any] struct {
	key      string
	required bool
	secret   bool // the value is left out of errors
	set      func(into *T, value string) (want string)
	get      func(from *T) string
}

func (f field[T]) markRequired() field[T] {
	f.required = true
	return f
}

// readFields decodes the keys of a section into a T and reports unknown keys,
// invalid values and missing required keys.
func readFields[T any](d *document, s *section, fields []field[T], into *T) {
	for _, key := range s.keys {
		i := slices.IndexFunc(fields, func(f field[T]) bool { return f.key == key })
		value := s.ini.Key(key).Value()
		if i < 0 {
			d.addProblem(s.lines[key], s, key, value, "one of "+keyList(fields))
			continue
		}
		if want := fields[i].set(into, value); want != "" {
			if fields[i].secret {
				value = ""
			}
			d.addProblem(s.lines[key], s, key, value, want)
		}
	}
	for _, f := range fields {
		if f.required && s.lines[f.key] == 0 {
			d.addProblem(s.line, s, f.key, "", "a value, the key is required")
		}
	}
}

func keyList[T any](fields []field[T]) string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return strings.Join(keys, ", ")
}

func intField[T any](key string, ptr func(*T) *int, low, high int) field[T] {
	return field[T]{key: key,
		set: func(into *T, value string) string {
			n, err := strconv.Atoi(value)
			if err != nil || n < low || n > high {
				return fmt.Sprintf("a whole number from %d to %d", low, high)
			}
			*ptr(into) = n
			return ""
		},
		get: func(from *T) string { return strconv.Itoa(*ptr(from)) },
	}
}

// floatField returns a field for a number from low to high. The comparison is
// written so that NaN is refused.
func floatField[T any](key string, ptr func(*T) *float64, low, high float64) field[T] {
	return field[T]{key: key,
		set: func(into *T, value string) string {
			f, err := strconv.ParseFloat(value, 64)
			if err != nil || !(f >= low && f <= high) {
				return fmt.Sprintf("a number from %g to %g", low, high)
			}
			*ptr(into) = f
			return ""
		},
		get: func(from *T) string { return strconv.FormatFloat(*ptr(from), 'g', -1, 64) },
	}
}

func boolField[T any](key string, ptr func(*T) *bool) field[T] {
	return field[T]{key: key,
		set: func(into *T, value string) string {
			if value != "true" && value != "false" {
				return "true or false"
			}
			*ptr(into) = value == "true"
			return ""
		},
		get: func(from *T) string { return strconv.FormatBool(*ptr(from)) },
	}
}

func enumField[T any, E ~string](key string, ptr func(*T) *E, values ...E) field[T] {
	return field[T]{key: key,
		set: func(into *T, value string) string {
			if !slices.Contains(values, E(value)) {
				return "one of " + strings.Trim(fmt.Sprint(values), "[]")
			}
			*ptr(into) = E(value)
			return ""
		},
		get: func(from *T) string { return string(*ptr(from)) },
	}
}

func nameField[T any](key string, ptr func(*T) *string) field[T] {
	return field[T]{key: key,
		set: func(into *T, value string) string {
			if !configcheck.ValidName(value) {
				return configcheck.NameSyntax
			}
			*ptr(into) = value
			return ""
		},
		get: func(from *T) string { return *ptr(from) },
	}
}

func namesField[T any](key string, ptr func(*T) *[]string) field[T] {
	return field[T]{key: key,
		set: func(into *T, value string) string {
			names := splitList(value)
			for i, name := range names {
				if !configcheck.ValidName(name) || slices.Contains(names[:i], name) {
					return "different names separated by commas, each " + configcheck.NameSyntax
				}
			}
			*ptr(into) = names
			return ""
		},
		get: func(from *T) string { return strings.Join(*ptr(from), ", ") },
	}
}

func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

func durationField[T any](key string, ptr func(*T) *time.Duration, low, high time.Duration) field[T] {
	return field[T]{key: key,
		set: func(into *T, value string) string {
			v, err := time.ParseDuration(value)
			if err != nil || v < low || v > high {
				return fmt.Sprintf("a duration with a unit (ms, s, m, h) from %s to %s", formatDuration(low), formatDuration(high))
			}
			*ptr(into) = v
			return ""
		},
		get: func(from *T) string { return formatDuration(*ptr(from)) },
	}
}

// formatDuration formats d like time.Duration.String, without trailing zero units:
// 2m instead of 2m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func sizeField[T any](key string, ptr func(*T) *int, low, high int) field[T] {
	return field[T]{key: key,
		set: func(into *T, value string) string {
			n, ok := parseSize(value, high)
			if !ok || n < low {
				return fmt.Sprintf("a size in bytes from %s to %s, optionally in KiB or MiB", formatSize(low), formatSize(high))
			}
			*ptr(into) = n
			return ""
		},
		get: func(from *T) string { return formatSize(*ptr(from)) },
	}
}

var sizeUnits = []struct {
	suffix string
	bytes  int
}{{"MiB", 1 << 20}, {"KiB", 1 << 10}}

func parseSize(value string, high int) (int, bool) {
	unit := 1
	for _, u := range sizeUnits {
		if rest, ok := strings.CutSuffix(value, u.suffix); ok {
			value, unit = strings.TrimSpace(rest), u.bytes
			break
		}
	}
	n, err := strconv.Atoi(value)
	if err != nil || n > high/unit {
		return 0, false
	}
	return n * unit, true
}

func formatSize(n int) string {
	for _, u := range sizeUnits {
		if n != 0 && n%u.bytes == 0 {
			return strconv.Itoa(n/u.bytes) + u.suffix
		}
	}
	return strconv.Itoa(n)
}
