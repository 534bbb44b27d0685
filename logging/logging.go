// Package logging creates the structured loggers of a process. Each subsystem of
// the process logs under a fixed name.
package logging

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
)

// Format is the output format of the log.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Options configures New.
type Options struct {
	Level  string // trace, debug, info, warn, error, off
	Format Format
	Output io.Writer
}

// New returns the root logger of a process. It returns an error if the level or
// the format is unknown.
func New(o Options) (hclog.Logger, error) {
	level := hclog.LevelFromString(o.Level)
	if level == hclog.NoLevel {
		return nil, fmt.Errorf("unknown log level %q: want trace, debug, info, warn, error or off", o.Level)
	}
	if o.Format != FormatText && o.Format != FormatJSON {
		return nil, fmt.Errorf("unknown log format %q: want text or json", o.Format)
	}
	return hclog.New(&hclog.LoggerOptions{
		Name:       "carobwharf",
		Level:      level,
		Output:     o.Output,
		JSONFormat: o.Format == FormatJSON,
	}), nil
}

// For returns the logger of one subsystem. Its lines start with the subsystem's
// name.
func For(root hclog.Logger, subsystem string) hclog.Logger {
	return root.Named(subsystem)
}
