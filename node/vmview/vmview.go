// Package vmview implements the duty that polls the platform's VM list and the
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

// Options configures a Duty.
type Options struct {
	// StartAfter delays the first poll until the channel is closed, unless it is nil.
	// A gateway passes the channel that is closed when its member row is written:
	// a controller that drains a VM waits only for the gateways that have a row,
	// so a gateway must have one before it can learn that the VM is active.
	StartAfter   <-chan struct{}
	PollInterval time.Duration // interval between polls
	Timeout      time.Duration // timeout of one poll
	Table        store.Table
	VMs          store.VMs
	Subscribers  []*ring.Ring[*structs.FleetView] // KeepNewest, capacity 1
	Log          hclog.Logger
	Metrics      *metrics.Registry
}

// Duty polls the fleet and publishes views. It has no other task, so its calls to
// the platform block it; subscribers keep the last view meanwhile.
type Duty struct {
	opts        Options
	lastView    atomic.Pointer[structs.FleetView]
	ownerReader *fleetrows.Reader
	vmListTag   string // tag of the VM list in lastView
	// rowsUnpublished is set while lastView lacks a change of the rows because
	// reading the VM list failed.
	rowsUnpublished bool
}

// New returns a duty; Run starts it.
func New(o Options) *Duty { return &Duty{opts: o, ownerReader: fleetrows.NewReader(o.Table)} }

// Run polls until ctx is done.
func (d *Duty) Run(ctx context.Context) error {
	if d.opts.StartAfter != nil {
		select {
		case <-ctx.Done():
			return nil
		case <-d.opts.StartAfter:
		}
	}
	tick := time.NewTicker(d.opts.PollInterval)
	defer tick.Stop()
	for {
		d.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Dump returns the last view for the state dump.
func (d *Duty) Dump(context.Context) any { return d.lastView.Load() }

func (d *Duty) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
	defer cancel()
	started := time.Now()
	view, rowErrs, err := d.readView(ctx)
	for _, rowErr := range rowErrs {
		d.opts.Metrics.Counter("vmview.bad_rows").Inc(1)
		d.opts.Log.Error("skipped an ownership row that cannot be decoded", "error", rowErr)
	}
	if err != nil {
		d.opts.Metrics.Counter("vmview.failed").Inc(1)
		d.opts.Log.Warn("reading the fleet from the platform failed, keeping the last view", "error", err)
		return
	}
	d.opts.Metrics.Timer("vmview.read").UpdateSince(started)
	view.ReadAt = started
	d.rowsUnpublished = false
	d.lastView.Store(view)
	for _, s := range d.opts.Subscribers {
		_ = s.Put(ctx, view) // KeepNewest neither blocks nor refuses
	}
}

// ReadOnce reads the fleet once, without running a duty.
func ReadOnce(ctx context.Context, t store.Table, v store.VMs) (view *structs.FleetView, rowErrs []error, err error) {
	return New(Options{Table: t, VMs: v}).readView(ctx)
}

// readView returns the next view. If nothing has changed, the view shares the
// slices and the version of the last one, so that subscribers can detect this.
// rowErrs reports rows that cannot be decoded, only when the rows have changed.
func (d *Duty) readView(ctx context.Context) (view *structs.FleetView, rowErrs []error, err error) {
	owners, rowErrs, rowsChanged, err := d.ownerReader.Read(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("read ownership rows: %w", err)
	}
	if !rowsChanged {
		rowErrs = nil
	}
	d.rowsUnpublished = d.rowsUnpublished || rowsChanged
	last := d.lastView.Load()
	vms, listChanged, err := d.readVMList(ctx, last)
	if err != nil {
		return nil, rowErrs, fmt.Errorf("read VM list: %w", err)
	}
	switch {
	case last == nil:
		return &structs.FleetView{VMs: vms, Owners: owners, Version: 1}, rowErrs, nil
	case !d.rowsUnpublished && !listChanged:
		unchanged := *last
		return &unchanged, nil, nil
	}
	return &structs.FleetView{VMs: vms, Owners: owners, Version: last.Version + 1}, rowErrs, nil
}

// readVMList returns the VM list, sorted by ID, and whether it may have changed
// since last.
func (d *Duty) readVMList(ctx context.Context, last *structs.FleetView) (vms []structs.VM, changed bool, err error) {
	tagged, ok := d.opts.VMs.(store.TaggedVMs)
	if !ok {
		listed, err := d.opts.VMs.ListVMs(ctx)
		return sortedByID(listed), true, err
	}
	knownTag := d.vmListTag
	if last == nil {
		knownTag = ""
	}
	listed, tag, changed, err := tagged.ListVMsSince(ctx, knownTag)
	if err != nil {
		return nil, false, err
	}
	if !changed {
		return last.VMs, false, nil
	}
	d.vmListTag = tag
	return sortedByID(listed), true, nil
}

// sortedByID returns a sorted copy, because the platform may share its slice.
func sortedByID(vms []structs.VM) []structs.VM {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b structs.VM) int { return strings.Compare(a.ID, b.ID) })
	return out
}
