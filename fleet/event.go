package fleet

import (
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/workload"
)

// Event is something that the machine learns.
type Event interface{ event() }

// Listed is the platform's list of machines.
type Listed struct {
	OK       bool
	Machines []workload.Machine
}

// PoolsSeen is the state of all pools.
type PoolsSeen struct{ Pools map[string]Pool }

// Pool is the state of a pool as its owner stored it.
type Pool struct {
	Standby bool
	Owned   bool
	Status  engine.Status
}

// WavesSeen is the operator's waves by number.
type WavesSeen struct{ Waves map[int]WaveSeen }

// WaveSeen is a wave and when it was requested, as far as is known.
type WaveSeen struct {
	workload.Wave
	Since time.Time
}

// RowStored says that the fleet's row with the given machines to release is in
// the store.
type RowStored struct {
	Version  uint64
	Machines []string
}

// Result is the outcome of an order.
type Result int

// Results.
const (
	Done      Result = iota
	Busy             // the machine is not up, or leaves
	Refused          // can never be carried out
	Fenced           // a later holder has given an order
	Unreached        // nothing was done
	Unknown          // may have been carried out
)

var resultNames = [...]string{"done", "busy", "refused", "fenced", "unreached", "unknown"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// Ordered is the outcome of a Move or Upkeep.
type Ordered struct {
	Machine string
	Result  Result
}

// StatusStored says whether a WaveStatus is in the store.
type StatusStored struct {
	Wave int
	Done bool
	OK   bool
}

func (Listed) event()       {}
func (PoolsSeen) event()    {}
func (WavesSeen) event()    {}
func (RowStored) event()    {}
func (Ordered) event()      {}
func (StatusStored) event() {}

// Action is something that the duty is to do.
type Action interface{ action() }

// List asks for the list of machines.
type List struct{}

// Move puts a machine into another pool.
type Move struct {
	Token   uint64
	Machine string
	Pool    string
}

// Upkeep begins the upkeep of a machine.
type Upkeep struct {
	Token   uint64
	Machine string
	Wave    int
}

// WaveStatus tells the operator how far a wave is.
type WaveStatus struct {
	Wave int
	Done bool
}

// Deposed says that another holder gives orders.
type Deposed struct{}

// Decision is a line for the log.
type Decision struct {
	What    string
	Machine string
	Pool    string
	Wave    int
	Why     string
}

func (List) action()       {}
func (Move) action()       {}
func (Upkeep) action()     {}
func (WaveStatus) action() {}
func (Deposed) action()    {}
func (Decision) action()   {}
