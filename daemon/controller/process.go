package controller

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/carobwharf/carobwharf/duty"
)

// adminProcess serves the admin API of the controller.
type adminProcess struct{ c *Controller }

// Healthy always returns nil, because a failed duty ends the process.
func (p adminProcess) Healthy() error { return nil }

// Ready returns an error before the duties run and after shutdown has begun. A
// controller without a configuration is ready, because operators submit the
// first one to it.
func (p adminProcess) Ready() error {
	if !p.c.running.Load() {
		return errors.New("the process is starting or stopping")
	}
	return nil
}

// WriteMetrics writes the metrics as JSON.
func (p adminProcess) WriteMetrics(w io.Writer) error { return p.c.opts.Metrics.WriteJSON(w) }

// Dump returns the state of every duty.
func (p adminProcess) Dump(ctx context.Context, timeout time.Duration) []duty.Report {
	return p.c.supervisor.Dump(ctx, timeout)
}

// Version returns the version of the binary.
func (p adminProcess) Version() any { return p.c.opts.Version }
