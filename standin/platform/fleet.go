package platform

import (
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// fleet is the history of the VM list, which serves lists that lag behind.
type fleet struct {
	lists   []vmList              // in order of time
	reboots map[string][]interval // reboots of each VM, in order of time
}

type vmList struct {
	since time.Time
	vms   []structs.VM // sorted by ID
}

type interval struct{ from, to time.Time }

// historyRetention is how long lists and reboots are kept. A VMLag beyond it has
// no full effect.
const historyRetention = 10 * time.Minute

func (f *fleet) setVMs(vms []structs.VM, now time.Time) {
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b structs.VM) int { return strings.Compare(a.ID, b.ID) })
	f.lists = append(f.lists, vmList{since: now, vms: vms})
	for len(f.lists) > 1 && now.Sub(f.lists[1].since) > historyRetention {
		f.lists = f.lists[1:]
	}
}

// listAt returns the VM list at the given time, rebooting VMs included.
func (f *fleet) listAt(when time.Time) []structs.VM {
	for i := len(f.lists) - 1; i > 0; i-- {
		if !f.lists[i].since.After(when) {
			return f.lists[i].vms
		}
	}
	return f.lists[0].vms
}

// presentAt returns the VM list at the given time without the VMs that were
// rebooting.
func (f *fleet) presentAt(when time.Time) []structs.VM {
	out := []structs.VM{}
	for _, vm := range f.listAt(when) {
		if !f.isRebooting(vm.ID, when) {
			out = append(out, vm)
		}
	}
	return out
}

func (f *fleet) isRebooting(id string, when time.Time) bool {
	for _, s := range f.reboots[id] {
		if !when.Before(s.from) && when.Before(s.to) {
			return true
		}
	}
	return false
}

// reboot takes the VM out of the list for the duration. It reports whether the
// VM is known and whether a reboot started: for a VM that is already rebooting,
// nothing changes.
func (f *fleet) reboot(id string, now time.Time, duration time.Duration) (known, started bool) {
	known = slices.ContainsFunc(f.listAt(now), func(vm structs.VM) bool { return vm.ID == id })
	if !known || f.isRebooting(id, now) {
		return known, false
	}
	if f.reboots == nil {
		f.reboots = make(map[string][]interval)
	}
	reboots := slices.DeleteFunc(f.reboots[id], func(s interval) bool { return now.Sub(s.to) > historyRetention })
	f.reboots[id] = append(reboots, interval{from: now, to: now.Add(duration)})
	return true, true
}
