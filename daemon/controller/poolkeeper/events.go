package poolkeeper

import (
	"time"

	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/rollout"
	"github.com/carobwharf/carobwharf/structs"
)

// AbsenceRow is the value and the version of pool/<name>/absence.
type AbsenceRow struct {
	Pool     string
	Version  uint64 // 0: no row yet
	Absences []structs.Absence
}

// LeaseRow is the value and the version of lease/<pool>.
type LeaseRow struct {
	Pool    string
	Version uint64 // 0: no row yet
	Record  lease.Record
}

// PlanRow is the value and the version of plan/<name>.
type PlanRow struct {
	Version  uint64 // 0: no row yet
	Progress rollout.Progress
}

// MemberRow is the value and the version of member/<id>.
type MemberRow struct {
	Version uint64
	Member  structs.Member
}

// Rows is one reading of the table. The owners are read last.
type Rows struct {
	Leases   []LeaseRow
	Members  []MemberRow
	Plans    []PlanRow
	Absences []AbsenceRow
	Owners   []structs.Owner
}

// Event is an input of the Machine.
type Event any

// Events.
type (
	// Tick makes time pass.
	Tick struct{}
	// FleetSeen carries a new view of the VMs.
	FleetSeen struct{ View *structs.FleetView }
	// MembersSeen carries a new view of the processes.
	MembersSeen struct{ View *structs.MemberView }
	// ConfigSeen carries a new configuration.
	ConfigSeen struct{ Config *structs.Config }
	// RowsRead is the result of ReadRows.
	RowsRead struct {
		Started time.Time
		Rows    Rows
		Err     error
	}
	// Committed is the result of a Change.
	Committed struct {
		Change   Change
		Sent     time.Time // before the transaction was sent
		Done     bool      // took effect; false: did not, or it is not known
		Versions []uint64  // of the rows in the order of Change.Keys
		Err      error
	}
	// Confirmed is the result of Confirm.
	Confirmed struct {
		Confirm  Confirm
		InFlight int
		Err      error
	}
	// Rebooted is the result of Reboot.
	Rebooted struct {
		Reboot Reboot
		Err    error
	}
	// Ordered is an operator's order.
	Ordered struct {
		ID    uint64 // for the Reply
		Order Order
	}
)

// Order asks for a VM to be drained.
type Order struct {
	ID     string // unique; the same order may arrive twice
	VM     string
	ToPool string // empty: reboot the VM and keep it in its pool
	Reason string
}

// Result is the answer to an Order.
type Result struct {
	Accepted bool
	Epoch    uint64 // of the ownership row that drains the VM
	Pool     string // of the VM, if the order was accepted here
	Holder   string // who holds the lease of the VM's pool, if not this process
	Refusal  string // why the order was not accepted
}

// Action is an output of the Machine.
type Action any

// Actions.
type (
	// ReadRows reads the table.
	ReadRows struct{}
	// Change is one conditional transaction. The versions in the rows are
	// those expected; 0 means that the row must not exist.
	Change struct {
		Slot    string // no other change of the slot is made meanwhile
		Kind    string // for the log and the metrics
		Owners  []structs.Owner
		Absence *AbsenceRow
		Lease   *LeaseRow
		Plan    *PlanRow
		Order   uint64 // ID of the Ordered event that is answered by the result; 0: none
	}
	// Confirm asks a gateway for its requests in flight on a VM.
	Confirm struct {
		Gateway structs.Member
		VM      string
		Epoch   uint64
	}
	// Reboot reboots a VM, provided that its row still has the epoch. It is
	// not begun after Until, the end of the lease. Without Force it also waits
	// until no task runs on the VM.
	Reboot struct {
		VM    string
		Epoch uint64
		Until time.Time
		Force bool // the tasks had the drain timeout to end
	}
	// Reply answers an order.
	Reply struct {
		ID     uint64
		Result Result
	}
)
