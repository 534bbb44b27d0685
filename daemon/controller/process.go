package controller

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/carobwharf/carobwharf/duty"
)

// process is the controller as the admin address shows it.
type process struct{ c *Controller }

// Healthy returns nil: a failed duty ends the process.
func (p process) Healthy() error { return nil }

// Ready returns an error before the duties run and after a stop began. A
// configuration is not needed: operators submit the first one to a controller
// that has none.
func (p process) Ready() error {
	if !p.c.running.Load() {
		return errors.New("the process is starting or stopping")
	}
	return nil
}

// WriteMetrics writes the metrics as JSON.
func (p process) WriteMetrics(w io.Writer) error { return p.c.opts.Metrics.WriteJSON(w) }

// Dump returns the state of every duty.
func (p process) Dump(ctx context.Context, timeout time.Duration) []duty.Report {
	return p.c.supervisor.Dump(ctx, timeout)
}

// Version returns the version of the binary.
func (p process) Version() any { return p.c.opts.Version }
