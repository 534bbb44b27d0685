package jobs

import (
	"context"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
)

// Status is the duty's state for the dump, as of the last tick.
type Status struct {
	Pools   []machine.PoolStatus
	Leaving map[string]int // tasks on VMs that drain or reboot
}

func (d *Duty) publish() {
	d.status.Store(&Status{Pools: d.machine.Status(), Leaving: d.machine.TasksOnLeavingVMs()})
}

// Dump returns the status.
func (d *Duty) Dump(context.Context) any { return d.status.Load() }

// Busy returns the number of tasks on a VM that drains or reboots. It returns
// -1 if this process does not schedule the VM's pool or has not seen yet that
// the VM is leaving: the VM may then still run or get tasks. The number is as
// old as one tick. Any goroutine may call it.
func (d *Duty) Busy(vm string) int {
	if n, known := d.status.Load().Leaving[vm]; known {
		return n
	}
	return -1
}
