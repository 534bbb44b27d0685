package jobs

import (
	"context"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
)

// Status is the state of the duty as of the last tick, as shown in the dump.
type Status struct {
	Pools   []machine.PoolStatus
	Leaving map[string]int // tasks on each VM that is draining or rebooting
}

func (d *Duty) publishStatus() {
	d.status.Store(&Status{Pools: d.machine.Status(), Leaving: d.machine.TasksOnLeavingVMs()})
}

// Dump returns the status.
func (d *Duty) Dump(context.Context) any { return d.status.Load() }

// TasksOnLeavingVM returns the number of tasks on a VM that is draining or
// rebooting, as of the last tick. It returns -1 if this process does not schedule
// the VM's pool or has not yet seen that the VM is draining or rebooting: the VM
// may then still run or get tasks. It is safe for concurrent use.
func (d *Duty) TasksOnLeavingVM(vm string) int {
	if n, known := d.status.Load().Leaving[vm]; known {
		return n
	}
	return -1
}
