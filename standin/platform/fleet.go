package platform

import (
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// fleet is the history of the VM list, as far back as the lag needs it.
type fleet struct {
	lists []listing         // in order of time
	away  map[string][]span // reboots of each VM, in order of time
}

type listing struct {
	from time.Time
	vms  []structs.VM // sorted by ID
}

type span struct{ from, to time.Time }

// Older lists and reboots than this are dropped; it bounds the useful lag.
const historyKept = 10 * time.Minute

func (f *fleet) set(vms []structs.VM, now time.Time) {
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b structs.VM) int { return strings.Compare(a.ID, b.ID) })
	f.lists = append(f.lists, listing{from: now, vms: vms})
	for len(f.lists) > 1 && now.Sub(f.lists[1].from) > historyKept {
		f.lists = f.lists[1:]
	}
}

// at returns the list that was in force at the time, before reboots.
func (f *fleet) at(when time.Time) []structs.VM {
	for i := len(f.lists) - 1; i > 0; i-- {
		if !f.lists[i].from.After(when) {
			return f.lists[i].vms
		}
	}
	return f.lists[0].vms
}

// list returns the VMs that were present at the time.
func (f *fleet) list(when time.Time) []structs.VM {
	out := []structs.VM{}
	for _, vm := range f.at(when) {
		if !f.isAway(vm.ID, when) {
			out = append(out, vm)
		}
	}
	return out
}

func (f *fleet) isAway(id string, when time.Time) bool {
	for _, s := range f.away[id] {
		if !when.Before(s.from) && when.Before(s.to) {
			return true
		}
	}
	return false
}

// reboot takes the VM out of the list for the given time. A reboot of a VM
// that is already away changes nothing.
func (f *fleet) reboot(id string, now time.Time, length time.Duration) (known, started bool) {
	known = slices.ContainsFunc(f.at(now), func(vm structs.VM) bool { return vm.ID == id })
	if !known || f.isAway(id, now) {
		return known, false
	}
	if f.away == nil {
		f.away = make(map[string][]span)
	}
	spans := slices.DeleteFunc(f.away[id], func(s span) bool { return now.Sub(s.to) > historyKept })
	f.away[id] = append(spans, span{from: now, to: now.Add(length)})
	return true, true
}
