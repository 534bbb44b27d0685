package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/peer/operator"
)

// admin is what the admin address shows: health, readiness, metrics and the
// state of the duties.
type admin struct {
	node *Node
	opts Options
}

// addAdmin opens the admin address, if there is one.
func (n *Node) addAdmin(o Options) error {
	if o.Settings.Admin == "" {
		return nil
	}
	server, err := operator.NewAdmin(o.Settings.Admin, admin{node: n, opts: o})
	if err != nil {
		return fmt.Errorf("listen for admin calls: %w", err)
	}
	n.sup.Add(duty.Duty{Name: "admin", Run: server.Run})
	return nil
}

var errNotReady = errors.New("no configuration, store out of reach, or leaving")

// Healthy returns nil: a duty that fails ends the process.
func (a admin) Healthy() error { return nil }

// Ready returns why the VM should get no callers.
func (a admin) Ready() error {
	if a.node.ready.Load() && !a.node.stopping.Load() {
		return nil
	}
	return errNotReady
}

// WriteMetrics writes counters and latency histograms.
func (a admin) WriteMetrics(w io.Writer) error { return a.opts.Metrics.WriteJSON(w) }

// Dump returns the state of every duty.
func (a admin) Dump(ctx context.Context, timeout time.Duration) []duty.Report {
	return a.node.sup.Dump(ctx, timeout)
}

// Version returns the build.
func (a admin) Version() any { return a.opts.Version }
