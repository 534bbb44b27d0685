package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Defaults for the optional keys of a flow.
const (
	defaultDeadline = 2 * time.Second
	defaultBody     = 256
	defaultFactor   = 10
	defaultPeriod   = time.Minute
)

// keySetters maps each key of a section `[flow NAME]` to the function that parses
// its value.
var keySetters = map[string]func(f *Flow, v string) error{
	"service":   func(f *Flow, v string) error { f.Service = v; return nil },
	"operation": func(f *Flow, v string) error { f.Operation = v; return nil },
	"team":      func(f *Flow, v string) error { f.Team = v; return nil },
	"shape":     func(f *Flow, v string) error { f.Shape = Shape(v); return nil },
	"once":      func(f *Flow, v string) (err error) { f.Once, err = strconv.ParseBool(v); return },
	"rate":      func(f *Flow, v string) (err error) { f.Rate, err = strconv.ParseFloat(v, 64); return },
	"phase":     func(f *Flow, v string) (err error) { f.Phase, err = strconv.ParseFloat(v, 64); return },
	"factor":    func(f *Flow, v string) (err error) { f.Factor, err = strconv.ParseFloat(v, 64); return },
	"repeat":    func(f *Flow, v string) (err error) { f.RepeatShare, err = strconv.ParseFloat(v, 64); return },
	"body":      func(f *Flow, v string) (err error) { f.BodyBytes, err = strconv.Atoi(v); return },
	"period":    func(f *Flow, v string) (err error) { f.Period, err = time.ParseDuration(v); return },
	"flood_at":  func(f *Flow, v string) (err error) { f.FloodAt, err = time.ParseDuration(v); return },
	"flood_for": func(f *Flow, v string) (err error) { f.FloodLength, err = time.ParseDuration(v); return },
	"deadline":  func(f *Flow, v string) (err error) { f.Deadline, err = time.ParseDuration(v); return },
}

// ReadMix reads a mix file. Errors in its content name the file and the line.
func ReadMix(path string) (Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read mix: %w", err)
	}
	return ParseMix(path, data)
}

// ParseMix parses the content of a mix file. Errors refer to it as name.
func ParseMix(name string, data []byte) (Mix, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true}, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	var mix Mix
	seen := map[string]bool{}
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		flow, ok := strings.CutPrefix(s.Name(), "flow ")
		if !ok || seen[flow] {
			return nil, fmt.Errorf("%s:%d: section [%s]: want [flow NAME] with a unique name", name, lineNumber(data, s.Name(), ""), s.Name())
		}
		seen[flow] = true
		f := Flow{Name: flow, Shape: ShapeConstant, Deadline: defaultDeadline, BodyBytes: defaultBody, Factor: defaultFactor, Period: defaultPeriod}
		for _, k := range s.Keys() {
			if err := setKey(&f, k); err != nil {
				return nil, fmt.Errorf("%s:%d: key %s: %w", name, lineNumber(data, s.Name(), k.Name()), k.Name(), err)
			}
		}
		if err := f.check(); err != nil {
			return nil, fmt.Errorf("%s:%d: flow %s: %w", name, lineNumber(data, s.Name(), ""), flow, err)
		}
		mix = append(mix, f)
	}
	return mix, mix.Check()
}

func setKey(f *Flow, k *ini.Key) error {
	setter, ok := keySetters[k.Name()]
	if !ok {
		return fmt.Errorf("unknown key")
	}
	return setter(f, k.Value())
}

// lineNumber returns the number of the line with a section's header, or with a
// key of the section. It returns 0 if there is none.
func lineNumber(data []byte, section, key string) int {
	inSection := section == ini.DefaultSection
	for i, l := range bytes.Split(data, []byte("\n")) {
		text := strings.TrimSpace(string(l))
		if strings.HasPrefix(text, "[") {
			inSection = strings.TrimSpace(strings.Trim(text, "[]")) == section
			if inSection && key == "" {
				return i + 1
			}
			continue
		}
		name, _, _ := strings.Cut(text, "=")
		if inSection && key != "" && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}
