package fleet

import (
	"slices"

	"github.com/carobwharf/carobwharf/workload"
)

// Former is what the fleet's row says of the former holder of the lease. The zero
// value stands for a fleet that has had none.
type Former struct {
	Exists        bool
	UpkeepStarted map[int][]string // by wave: machines whose upkeep was started by earlier holders
	// OrdersListed reports that Release and Ordered name all machines that the
	// former holder may have ordered within HolderChange.
	OrdersListed bool
	Release      []string // see MachinesToRelease
	Ordered      []string // see RecentlyOrdered
	Peaks        map[string]PeakRecord
	// ProcessEnded reports that the former holder was an earlier process of this VM: no
	// two holders take turns, and it sends no orders any more.
	ProcessEnded bool
}

// MachinesToRelease returns the machines that the owners of their pools must
// release, sorted. The caller stores them in the fleet's row. No machine is ordered
// before a row that names it is stored.
func (pl *Planner) MachinesToRelease() []string {
	var ids []string
	for _, m := range pl.machineList {
		if m.plan != nil && !m.plan.usable && !pl.formerRelease[m.ID] {
			ids = append(ids, m.ID)
		}
	}
	for id := range pl.formerRelease {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// RecentlyOrdered returns the machines that were ordered within HolderChange and that
// MachinesToRelease does not name any more, sorted. The caller stores them in the
// fleet's row together with those.
func (pl *Planner) RecentlyOrdered() []string {
	var ids []string
	for id, at := range pl.orderedAt {
		m := pl.machines[id]
		if pl.now.Sub(at) >= pl.cfg.HolderChange {
			delete(pl.orderedAt, id)
		} else if m == nil || m.plan == nil || m.plan.usable {
			ids = append(ids, id)
		}
	}
	for id := range pl.formerOrdered {
		if !pl.formerRelease[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// available reports whether the machine is listed as up, has no plan yet and waits for no
// order of the former holder.
func (pl *Planner) available(m *machine) bool {
	return m.plan == nil && m.absences == 0 && m.State == workload.MachineUp && !pl.formerOrdered[m.ID]
}
