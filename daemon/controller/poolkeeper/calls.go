package poolkeeper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// errTasksRunning reports that a reboot has to wait until the tasks on the VM
// are checkpointed.
var errTasksRunning = errors.New("tasks are still running on the VM")

// errRowChanged reports that the ownership row no longer requests the reboot.
var errRowChanged = errors.New("the ownership row has changed")

// perform executes one blocking action and returns its result.
func (d *Duty) perform(ctx context.Context, a Action) Event {
	ctx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
	defer cancel()
	switch a := a.(type) {
	case ReadRows:
		return d.readRows(ctx)
	case Change:
		return d.commit(ctx, a)
	case ConfirmDrain:
		n, err := d.opts.Gateways.ConfirmDrain(ctx, a.Gateway.Addr, a.VM, a.Epoch)
		return DrainConfirmed{Confirm: a, InFlight: n, Err: err}
	case Reboot:
		return Rebooted{Reboot: a, Err: d.reboot(ctx, a)}
	case PollDemand:
		services, err := d.opts.Gateways.Demand(ctx, a.Gateway.Addr)
		return DemandPolled{Services: services, Err: err}
	}
	panic(fmt.Sprintf("poolkeeper: unknown action type %T", a))
}

// failedResult returns the result of an action that the goroutine pool did not
// accept.
func failedResult(a Action, err error) Event {
	switch a := a.(type) {
	case Change:
		return Committed{Change: a, Err: err}
	case ConfirmDrain:
		return DrainConfirmed{Confirm: a, Err: err}
	case Reboot:
		return Rebooted{Reboot: a, Err: err}
	case PollDemand:
		return DemandPolled{Err: err}
	}
	return RowsRead{Err: err}
}

func (d *Duty) readRows(ctx context.Context) RowsRead {
	started := time.Now()
	rows, rowErrs, err := readRows(ctx, d.opts.Platform, d.fleetReader)
	for _, rowErr := range rowErrs {
		d.opts.Log.Error("skipping row that cannot be decoded", "error", rowErr)
	}
	if err != nil {
		d.opts.Metrics.Counter("poolkeeper.read_failed").Inc(1)
		d.opts.Log.Warn("failed to read rows from the platform", "error", err)
	}
	return RowsRead{Started: started, Rows: rows, Err: err}
}

// commit commits a change. If the outcome of the transaction is unknown, it
// reads the rows back: the change took effect if each row has the value that
// was written.
func (d *Duty) commit(ctx context.Context, c Change) Committed {
	result := Committed{Change: c, Sent: time.Now()}
	ops, err := c.ops()
	if err != nil {
		result.Err = err
		return result
	}
	result.Versions, result.Err = d.opts.Platform.Commit(ctx, slices.Concat(ops, c.marks()))
	if result.Err == nil {
		result.Versions = result.Versions[:len(ops)]
	}
	if errors.Is(result.Err, store.ErrUnknown) {
		result.Versions, result.Err = d.readBack(ctx, ops)
	}
	result.Done = result.Err == nil
	return result
}

func (d *Duty) readBack(ctx context.Context, ops []store.Op) ([]uint64, error) {
	d.opts.Metrics.Counter("poolkeeper.read_back").Inc(1)
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		row, err := d.opts.Platform.Get(ctx, op.Key)
		if err != nil {
			return nil, fmt.Errorf("read back %s: %w", op.Key, err)
		}
		if !bytes.Equal(row.Value, op.Value) || row.Version == op.Expect {
			return nil, fmt.Errorf("read back %s: the change did not take effect", op.Key)
		}
		versions[i] = row.Version
	}
	return versions, nil
}

// reboot checks the ownership row just before the call and does not start
// after the lease has expired: the platform's reboot call has no fencing, and a
// lease holder that was paused must not reboot a VM that is in use again.
func (d *Duty) reboot(ctx context.Context, r Reboot) error {
	ctx, cancel := context.WithDeadline(ctx, r.Until)
	defer cancel()
	if d.opts.TaskCount != nil && !r.Force && d.opts.TaskCount(r.VM) != 0 {
		return fmt.Errorf("reboot of %s: %w", r.VM, errTasksRunning)
	}
	row, err := d.opts.Platform.Get(ctx, store.KeyVM(r.VM))
	if err != nil {
		return fmt.Errorf("reboot of %s: %w", r.VM, err)
	}
	o, err := rows.DecodeOwner(row.Value, row.Version)
	if err != nil {
		return fmt.Errorf("reboot of %s: %w", r.VM, err)
	}
	if o.Epoch != r.Epoch || o.State != structs.OwnerRebooting {
		return fmt.Errorf("reboot of %s: %w", r.VM, errRowChanged)
	}
	if err := d.opts.Platform.RebootVM(ctx, r.VM); err != nil {
		return fmt.Errorf("reboot of %s: %w", r.VM, err)
	}
	return nil
}
