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

// Rows is the content of the table as read by ReadRows. The owners are read
// last.
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
	// Tick is sent periodically, so that the Machine acts on timeouts.
	Tick struct{}
	// FleetUpdated carries a new view of the VMs.
	FleetUpdated struct{ View *structs.FleetView }
	// MembersUpdated carries a new view of the processes.
	MembersUpdated struct{ View *structs.MemberView }
	// ConfigUpdated carries a new configuration.
	ConfigUpdated struct{ Config *structs.Config }
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
		Done     bool      // the change took effect; false: it did not, or the outcome is unknown
		Versions []uint64  // new versions of the rows: owners, then absence, lease and plan
		Err      error
	}
	// DrainConfirmed is the result of ConfirmDrain.
	DrainConfirmed struct {
		Confirm  ConfirmDrain
		InFlight int
		Err      error
	}
	// Rebooted is the result of Reboot.
	Rebooted struct {
		Reboot Reboot
		Err    error
	}
	// OrderReceived carries an operator's order.
	OrderReceived struct {
		ID    uint64 // returned in the Reply
		Order DrainOrder
	}
)

// DrainOrder is an operator's request to drain a VM.
type DrainOrder struct {
	ID     string // unique; an order that is sent again keeps its ID
	VM     string
	ToPool string // empty: reboot the VM and keep it in its pool
	Reason string
}

// DrainResult is the answer to a DrainOrder.
type DrainResult struct {
	Accepted bool
	Epoch    uint64 // of the ownership row that records the drain
	Pool     string // of the VM, if this process accepted the order
	Holder   string // process that holds the lease of the VM's pool, if it is another one
	Refusal  string // why the order was not accepted
}

// Action is an output of the Machine.
type Action any

// Actions.
type (
	// ReadRows reads the table.
	ReadRows struct{}
	// Change is one conditional transaction. The rows carry the versions that
	// the transaction expects; 0 means that the row must not exist.
	Change struct {
		Slot    string // at most one change of a slot is in flight; not related to the slots of VMs
		Kind    string // for the log
		Owners  []structs.Owner
		Absence *AbsenceRow
		Lease   *LeaseRow
		Plan    *PlanRow
		Order   uint64 // ID of the OrderReceived event that the result answers; 0: none
	}
	// ConfirmDrain tells a gateway about a drain and asks how many of its
	// requests are in flight on the VM.
	ConfirmDrain struct {
		Gateway structs.Member
		VM      string
		Epoch   uint64
	}
	// Reboot reboots a VM if its ownership row still has the epoch. It does
	// not start after Until, the end of the lease. Without Force it fails
	// while tasks run on the VM.
	Reboot struct {
		VM    string
		Epoch uint64
		Until time.Time
		Force bool // the drain timeout that tasks have to end has passed
	}
	// Reply answers an order.
	Reply struct {
		ID     uint64
		Result DrainResult
	}
)
