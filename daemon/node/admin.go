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

// admin provides what the admin address serves: health, readiness, metrics and the
// state of the duties.
type admin struct {
	node *Node
	opts Options
}

// addAdmin opens the admin address if one is configured.
func (n *Node) addAdmin(o Options) error {
	if o.Settings.AdminListen == "" {
		return nil
	}
	server, err := operator.NewAdmin(o.Settings.AdminListen, admin{node: n, opts: o}, o.Log.Named("admin"))
	if err != nil {
		return fmt.Errorf("open the admin address: %w", err)
	}
	n.supervisor.Add(duty.Duty{Name: "admin", Run: server.Run})
	return nil
}

var errNotReady = errors.New("no configuration, store out of reach, or leaving")

// Healthy returns nil, because a failed duty ends the process.
func (a admin) Healthy() error { return nil }

// Ready returns an error if callers should not be sent to this VM.
func (a admin) Ready() error {
	if a.node.ready.Load() && !a.node.stopping.Load() {
		return nil
	}
	return errNotReady
}

// WriteMetrics writes the metrics as JSON.
func (a admin) WriteMetrics(w io.Writer) error { return a.opts.Metrics.WriteJSON(w) }

// Dump returns the state of every duty.
func (a admin) Dump(ctx context.Context, timeout time.Duration) []duty.Report {
	return a.node.supervisor.Dump(ctx, timeout)
}

// Version returns the version of the binary.
func (a admin) Version() any { return a.opts.Version }
