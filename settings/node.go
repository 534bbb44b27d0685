package settings

import "time"

// Node holds the settings of one node process, which runs on the users'
// platform. The platform's settings file gives its addresses and bounds.
type Node struct {
	ID         string
	DataCentre string
	Callers    string // IP:port for callers
	Ready      string // IP:port of the readiness check
	Admin      string // IP:port of health, metrics and dump; "" without one
	Store      string // IP:port of the platform's store
	Fleet      string // IP:port of the fleet service; "" without one
	Policy     string // IP:port of the placement policy service; "" without one
	Bounds     Bounds
	Processor  float64       // share of a core that the VM has
	StopWithin time.Duration // time between a termination signal and a kill
}

// Bounds are the platform's promises and demands that decisions depend on.
type Bounds struct {
	MaxLease     time.Duration // of runs at a worker
	CancelWithin time.Duration // after the answer to a cancellation, no task of the job may start
	KillGrace    time.Duration // that a stop takes at most
	MoveTime     time.Duration // a machine takes to change its pool
	UpkeepTime   time.Duration // a machine takes for its upkeep
	HolderChange time.Duration // least time between orders of two holders for one machine
}
