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
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Options configures the duty.
type Options struct {
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
}

// New returns the duty; Run starts it.
func New(o Options) *Duty { return &Duty{opts: o} }

// Run reads until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
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
	view, bad, err := ReadOnce(ctx, d.opts.Table, d.opts.VMs)
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
	view.Version = 1
	if last := d.last.Load(); last != nil {
		view.Version = last.Version + 1
	}
	d.last.Store(view)
	for _, s := range d.opts.Subscribers {
		_ = s.Put(ctx, view) // KeepNewest neither waits nor refuses
	}
}

// ReadOnce reads the ownership rows and then the VM list. Rows that cannot be
// decoded are left out and reported in bad, so that one of them does not hide
// the rest of the fleet.
func ReadOnce(ctx context.Context, t store.Table, v store.VMs) (view *structs.FleetView, bad []error, err error) {
	found, err := store.ScanAll(ctx, t, store.PrefixVM)
	if err != nil {
		return nil, nil, fmt.Errorf("read ownership rows: %w", err)
	}
	view = &structs.FleetView{Owners: make([]structs.Owner, 0, len(found))}
	for _, r := range found {
		o, err := rows.DecodeOwner(r.Value, r.Version)
		if err != nil {
			bad = append(bad, fmt.Errorf("row %s: %w", r.Key, err))
			continue
		}
		view.Owners = append(view.Owners, o)
	}
	listed, err := v.ListVMs(ctx)
	if err != nil {
		return nil, bad, fmt.Errorf("read VM list: %w", err)
	}
	view.VMs = slices.Clone(listed) // the platform may share its slice
	slices.SortFunc(view.VMs, func(a, b structs.VM) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(view.Owners, func(a, b structs.Owner) int { return strings.Compare(a.VM, b.VM) })
	return view, bad, nil
}
