package machine

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Config configures a Machine. All fields are required.
type Config struct {
	ID        string        // of this process, as in lease rows
	Lease     time.Duration // of a task at its worker
	ScanEvery time.Duration // between readings of the leases and the job rows
	Usage     time.Duration // between readings of the usage report
	Retry     time.Duration // pause after a call or a write that failed
	Starts    int           // jobs started in one step, at most
	Attempts  int           // runs of a job that may fail, unless the job says otherwise
}

// LeaseRow is a row lease/<pool>.
type LeaseRow struct {
	Pool     string
	Version  uint64
	Holder   string
	Token    uint64
	Duration time.Duration
}

// CallKind is a kind of call to a worker.
type CallKind string

// Calls to workers.
const (
	CallStart      CallKind = "start"
	CallRenew      CallKind = "renew"
	CallCheckpoint CallKind = "checkpoint" // save the progress, then stop
	CallThrottle   CallKind = "throttle"
	CallRestore    CallKind = "restore"
	CallStop       CallKind = "stop"
)

// Outcome is what is known of a write or a call.
type Outcome string

// Outcomes.
const (
	Done     Outcome = "done"
	NotMade  Outcome = "not made"  // certainly no effect
	Conflict Outcome = "conflict"  // the row has another version
	Unknown  Outcome = "unknown"   // it may have taken effect
	Fenced   Outcome = "fenced"    // the worker saw a higher token
	NoRoom   Outcome = "no room"   // the worker lacks free resources
	Missing  Outcome = "not found" // the worker does not know the run
)

// Run is a run as its worker reports it.
type Run struct {
	Job        string
	Token      uint64
	State      RunState
	Ran        time.Duration
	Checkpoint time.Duration // work that a later run can resume from
	MilliCores int           // in use
	MemoryMB   int           // in use
}

// RunState is the state of a run.
type RunState string

// Run states, as package store has them.
const (
	RunRunning RunState = "running"
	RunDone    RunState = "done"
	RunFailed  RunState = "failed"
	RunStopped RunState = "stopped"
	RunExpired RunState = "expired"
)

// Event is an input of the Machine.
type Event any

// Events.
type (
	// Tick makes the machine look at the time.
	Tick struct{}
	// FleetSeen, ConfigSeen bring new views.
	FleetSeen  struct{ View *structs.FleetView }
	ConfigSeen struct{ Config *structs.Config }
	// Scanned is the result of Scan. The leases are read before the jobs.
	Scanned struct {
		Started time.Time
		Leases  []LeaseRow
		Jobs    []structs.Job
		Failed  bool
	}
	// Written is the result of Write.
	Written struct {
		Job     structs.Job
		Version uint64 // new version if it is done
		Outcome Outcome
	}
	// Read is the result of ReadJob. Job is nil if there is no row.
	Read struct {
		ID     string
		Job    *structs.Job
		Failed bool
	}
	// Called is the result of Call. Run is set if the outcome is Done.
	Called struct {
		Call    Call
		Sent    time.Time
		Run     Run
		Outcome Outcome
	}
	// UsageSeen is the result of ReadUsage.
	UsageSeen struct {
		Runs   []Run
		Failed bool
	}
	// Hint says that a job row was changed by this process's own API.
	Hint struct{ Job structs.Job }
)

// Action is an output of the Machine.
type Action any

// Actions.
type (
	// Scan reads the lease rows and then the job rows.
	Scan struct{}
	// ReadJob reads one row.
	ReadJob struct{ ID string }
	// Write writes a row that must have Job.Version.
	Write struct{ Job structs.Job }
	// ReadUsage reads the usage report.
	ReadUsage struct{}
	// Call calls a worker.
	Call struct {
		Kind         CallKind
		Job          string
		Worker       string
		Token        uint64
		MilliCores   int
		MemoryMB     int
		Accelerators int
		Declared     time.Duration
		Lease        time.Duration
		Progress     time.Duration
	}
)
