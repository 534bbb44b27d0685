package machine

import (
	"fmt"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/placement"
	"github.com/carobwharf/carobwharf/structs"
)

const milli = 1000

func sizeOf(vm structs.VM) placement.Size {
	return placement.Size{MilliCores: vm.Cores * milli, MemoryMB: vm.MemoryMB, Accelerators: vm.Accelerators}
}

// seeFleet gives the pools their workers. A VM that drains or reboots takes
// no new tasks; those that it runs are saved and stopped.
func (m *Machine) seeFleet(now time.Time, v *structs.FleetView) {
	m.fleet = v
	clear(m.owners)
	for _, o := range v.Owners {
		m.owners[o.VM] = o
	}
	usable := m.usable()
	for _, name := range sortedKeys(m.pools) {
		p := m.pools[name]
		m.setWorkers(p, usable[name])
		for id := range p.parked {
			delete(p.parked, id)
			m.enqueue(now, m.jobs[id])
		}
	}
	m.vacate()
}

// usable groups the VMs that may get tasks by pool.
func (m *Machine) usable() map[string][]structs.VM {
	out := map[string][]structs.VM{}
	for _, vm := range m.fleet.VMs {
		o := m.owners[vm.ID]
		if o.State == structs.OwnerActive && vm.State != structs.VMLeaving && vm.Cores > 0 && m.pools[o.Pool] != nil {
			out[o.Pool] = append(out[o.Pool], vm)
		}
	}
	return out
}

// setWorkers adds the usable VMs of the pool and removes the others.
func (m *Machine) setWorkers(p *pool, vms []structs.VM) {
	active := make(map[string]bool, len(vms))
	for _, vm := range vms {
		active[vm.ID] = true
		if !p.workers[vm.ID] {
			size := sizeOf(vm)
			p.sched.AddWorker(vm.ID, placement.WorkerType{
				Name: fmt.Sprintf("%d/%d/%d", size.MilliCores, size.MemoryMB, size.Accelerators), Capacity: size,
			})
			p.dirty = true
		}
	}
	for id := range p.workers {
		if !active[id] {
			p.sched.RemoveWorker(id)
			p.dirty = true
		}
	}
	p.workers = active
}

// leaving reports whether the VM drains or reboots.
func (m *Machine) leaving(vm string) bool {
	o, known := m.owners[vm]
	return known && o.State != structs.OwnerActive
}

// vacate orders the tasks on VMs that are leaving to be saved and stopped.
func (m *Machine) vacate() {
	var ids []string
	for id, j := range m.jobs {
		if m.leaving(j.want.Worker) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		m.vacateJob(m.jobs[id])
	}
}

func (m *Machine) vacateJob(j *job) {
	if j.want.State == structs.JobRunning && m.leaving(j.want.Worker) {
		j.pool.sched.Preempt(j.id(), "the worker is leaving")
		j.pool.dirty = true
	}
}

// Busy returns the number of tasks on each VM that is leaving and belongs to
// a pool whose jobs this process schedules. A VM that is not in the map may
// still get tasks.
func (m *Machine) Busy() map[string]int {
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
		for _, s := range []structs.Job{j.row, j.want} {
			if _, counted := out[s.Worker]; counted && s.State == structs.JobRunning {
				out[s.Worker]++
				break
			}
		}
	}
	return out
}

// fleetFits reports whether any VM of the fleet can hold the job: VMs move
// between pools, so a job that no present worker of its pool can hold may
// wait for one.
func (m *Machine) fleetFits(s *structs.JobSpec) bool {
	need := placement.Size{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
	if need.MilliCores <= 0 || need.MemoryMB <= 0 || need.Accelerators < 0 {
		return false
	}
	for _, vm := range m.fleet.VMs {
		if need.Fits(sizeOf(vm)) {
			return true
		}
	}
	return false
}
