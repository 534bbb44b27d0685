package settings

import "time"

// Node holds the settings of one node process, which runs on the users'
// platform. The platform's settings file gives its addresses and bounds.
type Node struct {
	ID         string
	DataCentre string
	Callers    string // IP:port for callers
	Ready      string // IP:port of the readiness check
	Ports      [2]int // first and last port that is free for the process's own use
	Store      NodeStore
	Fleet      string // IP:port of the fleet service; "" without one
	Policy     string // IP:port of the placement policy service; "" without one
	Bounds     Bounds
	Processor  float64       // share of a core that the VM has
	StopWithin time.Duration // time between a termination signal and a kill
}

// NodeStore says how the platform's store is reached and what it takes.
type NodeStore struct {
	Addr         string
	WritesPerS   float64 // of all processes together
	ReadsPerS    float64 // of all processes together
	MaxRow       int     // bytes of a value
	PartWritesPS float64 // transactions of one part per second
}

// Bounds are the platform's promises and demands that decisions depend on.
type Bounds struct {
	MaxLease     time.Duration // of runs at a worker
	CancelWithin time.Duration // after the answer to a cancellation, no task of the job may start
	KillGrace    time.Duration // that a stop takes at most
	GangWait     time.Duration // that a member of a gang waits for the others
	FarFactor    float64       // run time away from the data, relative
	Early        time.Duration // tolerance before the due time
	AtWork       time.Duration // a lasting task not at work for longer counts as away
	TailBreach   time.Duration // a tail over its target for longer is a breach
	MoveTime     time.Duration // a machine takes to change its pool
	UpkeepTime   time.Duration // a machine takes for its upkeep
	HolderChange time.Duration // least time between orders of two holders for one machine
	FleetCalls   float64       // moves and upkeeps per second that the fleet service takes
}
