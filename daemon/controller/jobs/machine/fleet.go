package machine

import (
	"fmt"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

const milliCoresPerCore = 1000

func capacityOf(vm structs.VM) placement.Size {
	return placement.Size{MilliCores: vm.Cores * milliCoresPerCore, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators}
}

// handleFleet updates the workers of the pools. A VM that is draining or
// rebooting gets no new tasks, and its present tasks are checkpointed and
// stopped. Parked jobs are offered to the scheduler again, as the new fleet may
// have room for them.
func (m *Machine) handleFleet(now time.Time, v *structs.FleetView) {
	m.fleet = v
	clear(m.owners)
	for _, o := range v.Owners {
		m.owners[o.VM] = o
	}
	usableVMs := m.usableVMs()
	for _, name := range sortedKeys(m.pools) {
		p := m.pools[name]
		m.setWorkers(p, usableVMs[name])
		for id := range p.parked {
			delete(p.parked, id)
			m.enqueue(now, m.jobs[id])
		}
	}
	m.preemptLeaving()
}

// usableVMs returns the VMs that may get tasks, by pool.
func (m *Machine) usableVMs() map[string][]structs.VM {
	out := map[string][]structs.VM{}
	for _, vm := range m.fleet.VMs {
		o := m.owners[vm.ID]
		if o.State == structs.OwnerActive && vm.State != structs.VMLeaving && vm.Cores > 0 && m.pools[o.Pool] != nil {
			out[o.Pool] = append(out[o.Pool], vm)
		}
	}
	return out
}

// setWorkers makes vms the workers of the pool's scheduler.
func (m *Machine) setWorkers(p *pool, vms []structs.VM) {
	active := make(map[string]bool, len(vms))
	for _, vm := range vms {
		active[vm.ID] = true
		if !p.workers[vm.ID] {
			size := capacityOf(vm)
			p.scheduler.AddWorker(vm.ID, placement.WorkerType{
				Name: fmt.Sprintf("%d/%d/%d", size.MilliCores, size.MemoryMB, size.Accelerators), Capacity: size,
			})
			p.dirty = true
		}
	}
	for id := range p.workers {
		if !active[id] {
			p.scheduler.RemoveWorker(id)
			p.dirty = true
		}
	}
	p.workers = active
}

// isLeaving reports whether the VM is draining or rebooting.
func (m *Machine) isLeaving(vm string) bool {
	o, known := m.owners[vm]
	return known && o.State != structs.OwnerActive
}

// preemptLeaving preempts the tasks on VMs that are draining or rebooting.
func (m *Machine) preemptLeaving() {
	var ids []string
	for id, j := range m.jobs {
		if m.isLeaving(j.desired.Worker) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		m.preemptIfLeaving(m.jobs[id])
	}
}

func (m *Machine) preemptIfLeaving(j *job) {
	if j.desired.State == structs.JobRunning && m.isLeaving(j.desired.Worker) {
		j.pool.scheduler.Preempt(j.id(), "the worker is leaving")
		j.pool.dirty = true
	}
}

// TasksOnLeavingVMs returns the number of tasks on each VM that is draining or
// rebooting and belongs to a pool whose lease this process holds. A VM that is
// not in the map may still get tasks.
func (m *Machine) TasksOnLeavingVMs() map[string]int {
	out := map[string]int{}
	for vm, o := range m.owners {
		if m.pools[o.Pool] != nil && o.State != structs.OwnerActive {
			out[vm] = 0
		}
	}
	if len(out) == 0 {
		return out
	}
	for _, j := range m.jobs {
		for _, s := range []structs.Job{j.row, j.desired} {
			if _, counted := out[s.Worker]; counted && s.State == structs.JobRunning {
				out[s.Worker]++
				break
			}
		}
	}
	return out
}

// fitsAnyVM reports whether any VM of the fleet is large enough for the job.
// VMs move between pools, so a job that no present worker of its pool can hold
// may become schedulable later.
func (m *Machine) fitsAnyVM(s *structs.JobSpec) bool {
	need := placement.Size{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
	if need.MilliCores <= 0 || need.MemoryMB <= 0 || need.Accelerators < 0 {
		return false
	}
	for _, vm := range m.fleet.VMs {
		if need.Fits(capacityOf(vm)) {
			return true
		}
	}
	return false
}
