package settings

import "time"

// Node holds the settings of one node process, which runs on the users'
// platform. They come from the settings file that this platform provides.
type Node struct {
	ID           string
	DataCentre   string
	CallerListen string // IP:port for callers
	ReadyListen  string // IP:port of the readiness check
	AdminListen  string // IP:port of health, metrics and dump; empty if disabled
	Store        string // IP:port of the platform's store
	Fleet        string // IP:port of the platform's machine service; empty if there is none
	Policy       string // IP:port of the placement policy service; empty if there is none
	Bounds       Bounds
	CPUShare     float64       // share of a CPU core that the VM has
	StopWithin   time.Duration // time from the termination signal until the process is killed
}

// Bounds holds the time limits that the platform guarantees or requires.
type Bounds struct {
	MaxLease     time.Duration // maximum lease of the runs on a worker
	CancelWithin time.Duration // no task of a job may start later than this after its cancellation was answered; 0 means no limit
	KillGrace    time.Duration // longest time that a stop of a task takes
	MoveTime     time.Duration // time that a move of a machine between pools takes
	UpkeepTime   time.Duration // time that the upkeep of a machine takes
	HolderChange time.Duration // minimum time between orders of two lease holders for one machine
}
