// Package logging builds the structured loggers of a process. Every part of
// the process logs under a fixed prefix.
package logging

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
)

// Format is the output format of the log.
type Format string

// Formats.
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

// New returns the root logger of a process. It refuses unknown levels and
// formats.
func New(o Options) (hclog.Logger, error) {
	level := hclog.LevelFromString(o.Level)
	if level == hclog.NoLevel {
		return nil, fmt.Errorf("log level %q: want trace, debug, info, warn, error or off", o.Level)
	}
	if o.Format != FormatText && o.Format != FormatJSON {
		return nil, fmt.Errorf("log format %q: want text or json", o.Format)
	}
	return hclog.New(&hclog.LoggerOptions{
		Name:       "carobwharf",
		Level:      level,
		Output:     o.Output,
		JSONFormat: o.Format == FormatJSON,
	}), nil
}

// For returns the logger of one part; its lines start with the part's name.
func For(root hclog.Logger, part string) hclog.Logger {
	return root.Named(part)
}
