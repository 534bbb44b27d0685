package fleet

import (
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/workload"
)

// Event is an input of the planner.
type Event interface{ event() }

// MachinesListed is the result of ListMachines.
type MachinesListed struct {
	OK bool // the call succeeded
	workload.MachineList
}

// PoolsUpdated carries the state of all pools by name.
type PoolsUpdated struct{ Pools map[string]Pool }

// Pool is the state of a pool.
type Pool struct {
	Standby bool          // its machines are spare and run no workers
	Owned   bool          // its lease is held, and its owner has stored a status
	Status  engine.Status // as stored by its owner
}

// WavesUpdated carries the operator's upkeep waves by number.
type WavesUpdated struct{ Waves map[int]WaveRequest }

// WaveRequest is an upkeep wave and the time since which it is known.
type WaveRequest struct {
	workload.Wave
	Since time.Time
}

// RowStored reports that the fleet's row was stored with the given machines to
// release.
type RowStored struct {
	Version  uint64
	Machines []string
}

// Result is the outcome of an order.
type Result int

// Results of orders.
const (
	Done      Result = iota
	Busy             // the machine is not up, or it is about to leave
	Refused          // the order can't be carried out at present
	Fenced           // a later lease holder has issued an order for the machine
	Unreached        // the order was certainly not carried out
	Unknown          // the order may have been carried out
)

var resultNames = [...]string{"done", "busy", "refused", "fenced", "unreached", "unknown"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// OrderResult is the result of a MoveMachine or StartUpkeep.
type OrderResult struct {
	Machine string
	Result  Result
}

// WaveStatusStored is the result of a StoreWaveStatus.
type WaveStatusStored struct {
	Wave int
	Done bool
	OK   bool // the status is in the store
}

func (MachinesListed) event()   {}
func (PoolsUpdated) event()     {}
func (WavesUpdated) event()     {}
func (RowStored) event()        {}
func (OrderResult) event()      {}
func (WaveStatusStored) event() {}

// Action is an output of the planner, to be executed by its caller.
type Action interface{ action() }

// ListMachines requests the platform's list of machines.
type ListMachines struct{}

// MoveMachine orders the move of a machine to another pool.
type MoveMachine struct {
	Token   uint64
	Machine string
	Pool    string
}

// StartUpkeep orders the upkeep of a machine as part of a wave.
type StartUpkeep struct {
	Token   uint64
	Machine string
	Wave    int
}

// StoreWaveStatus stores the status of a wave for the operator.
type StoreWaveStatus struct {
	Wave int
	Done bool // false: the wave is running
}

// Superseded reports that a later holder of the fleet's lease issues orders.
type Superseded struct{}

// Decision describes a decision or an order's result for the log.
type Decision struct {
	What    string
	Machine string
	Pool    string
	Wave    int
	Why     string
}

func (ListMachines) action()    {}
func (MoveMachine) action()     {}
func (StartUpkeep) action()     {}
func (StoreWaveStatus) action() {}
func (Superseded) action()      {}
func (Decision) action()        {}
