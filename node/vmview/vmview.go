// Package vmview is the duty that reads the platform's VM list and the
// ownership rows, and publishes them as one view.
package vmview

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/fleetrows"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Options configures the duty.
type Options struct {
	// The first reading waits for After, if it is given. A gateway gives the
	// channel that says that its member row is written: a controller that
	// drains a VM waits for the gateways that have a row, so a gateway must
	// have one before it can learn that the VM is active.
	After       <-chan struct{}
	Poll        time.Duration // interval of reading
	Timeout     time.Duration // of one reading
	Table       store.Table
	VMs         store.VMs
	Subscribers []*ring.Ring[*structs.FleetView] // KeepNewest, capacity 1
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

// Duty is the VM view duty. Its only task is the reading itself, so it blocks
// on the platform; subscribers keep the last view meanwhile.
type Duty struct {
	opts Options
	last atomic.Pointer[structs.FleetView]
	rows *fleetrows.Reader
	tag  string // of the VM list in last
	// The rows changed since last, although the reading of the list failed.
	unpublished bool
}

// New returns the duty; Run starts it.
func New(o Options) *Duty { return &Duty{opts: o, rows: fleetrows.NewReader(o.Table)} }

// Run reads until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	if d.opts.After != nil {
		select {
		case <-ctx.Done():
			return nil
		case <-d.opts.After:
		}
	}
	tick := time.NewTicker(d.opts.Poll)
	defer tick.Stop()
	for {
		d.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Dump returns the last view.
func (d *Duty) Dump(context.Context) any { return d.last.Load() }

func (d *Duty) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
	defer cancel()
	started := time.Now()
	view, bad, err := d.readView(ctx)
	for _, b := range bad {
		d.opts.Metrics.Counter("vmview.bad_rows").Inc(1)
		d.opts.Log.Error("ownership row skipped", "error", b)
	}
	if err != nil {
		d.opts.Metrics.Counter("vmview.failed").Inc(1)
		d.opts.Log.Warn("platform not read, the last view stays in use", "error", err)
		return
	}
	d.opts.Metrics.Timer("vmview.read").UpdateSince(started)
	view.ReadAt = started
	d.unpublished = false
	d.last.Store(view)
	for _, s := range d.opts.Subscribers {
		_ = s.Put(ctx, view) // KeepNewest neither waits nor refuses
	}
}

// ReadOnce reads the fleet without a duty.
func ReadOnce(ctx context.Context, t store.Table, v store.VMs) (view *structs.FleetView, bad []error, err error) {
	return New(Options{Table: t, VMs: v}).readView(ctx)
}

// readView returns the next view. Without a change it shares the lists and the
// version of the last one, so that subscribers can tell. bad has the rows that
// cannot be decoded and were not reported before.
func (d *Duty) readView(ctx context.Context) (view *structs.FleetView, bad []error, err error) {
	owners, bad, rowsChanged, err := d.rows.Read(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("read ownership rows: %w", err)
	}
	if !rowsChanged {
		bad = nil
	}
	d.unpublished = d.unpublished || rowsChanged
	last := d.last.Load()
	vms, listChanged, err := d.readList(ctx, last)
	if err != nil {
		return nil, bad, fmt.Errorf("read VM list: %w", err)
	}
	switch {
	case last == nil:
		return &structs.FleetView{VMs: vms, Owners: owners, Version: 1}, bad, nil
	case !d.unpublished && !listChanged:
		same := *last
		return &same, nil, nil
	}
	return &structs.FleetView{VMs: vms, Owners: owners, Version: last.Version + 1}, bad, nil
}

// readList returns the VM list, sorted by ID.
func (d *Duty) readList(ctx context.Context, last *structs.FleetView) (vms []structs.VM, changed bool, err error) {
	tagged, ok := d.opts.VMs.(store.TaggedVMs)
	if !ok {
		listed, err := d.opts.VMs.ListVMs(ctx)
		return sorted(listed), true, err
	}
	known := d.tag
	if last == nil {
		known = ""
	}
	listed, tag, changed, err := tagged.ListVMsSince(ctx, known)
	if err != nil {
		return nil, false, err
	}
	if !changed {
		return last.VMs, false, nil
	}
	d.tag = tag
	return sorted(listed), true, nil
}

// sorted returns a sorted copy: the platform may share its slice.
func sorted(vms []structs.VM) []structs.VM {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b structs.VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}
