package machine

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Config configures a Machine. All fields are required.
type Config struct {
	ID            string        // ID of this process, as in lease rows
	TaskLease     time.Duration // duration of a task's lease at its worker
	ScanInterval  time.Duration // interval between scans of the lease and job rows
	UsageInterval time.Duration // interval between reads of the usage report
	RetryDelay    time.Duration // delay after a failed call, read or write
	MaxStarts     int           // maximum number of jobs started in one scheduling pass
	MaxAttempts   int           // default number of a job's runs that may fail
}

// LeaseRow is the content of the table row lease/<pool>.
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
	CallCheckpoint CallKind = "checkpoint" // save a checkpoint, then stop
	CallThrottle   CallKind = "throttle"
	CallRestore    CallKind = "restore"
	CallStop       CallKind = "stop"
)

// Outcome is what is known about the effect of a write or a call.
type Outcome string

// Outcomes.
const (
	OutcomeDone       Outcome = "done"
	OutcomeNotApplied Outcome = "not made"  // it certainly had no effect
	OutcomeConflict   Outcome = "conflict"  // the row has another version
	OutcomeUnknown    Outcome = "unknown"   // it may have taken effect
	OutcomeFenced     Outcome = "fenced"    // the worker has seen a higher token
	OutcomeNoCapacity Outcome = "no room"   // the worker lacks free resources
	OutcomeNotFound   Outcome = "not found" // the worker does not know the run
)

// Run is one run of a job as its worker reports it.
type Run struct {
	Job        string
	Token      uint64
	State      RunState
	Ran        time.Duration // run time of this run
	Checkpoint time.Duration // work saved in the checkpoint that a later run can resume from
	MilliCores int           // in use
	MemoryMB   int           // in use
}

// RunState is the state of a run.
type RunState string

// Run states, with the values of store.RunState.
const (
	RunRunning RunState = "running"
	RunDone    RunState = "done"
	RunFailed  RunState = "failed"
	RunStopped RunState = "stopped"
	RunExpired RunState = "expired"
)

// Event is an input of Machine.Step.
type Event any

// Events.
type (
	// Tick triggers the periodic work that is due.
	Tick struct{}
	// FleetUpdated and ConfigUpdated carry the newest fleet view and
	// configuration.
	FleetUpdated  struct{ View *structs.FleetView }
	ConfigUpdated struct{ Config *structs.Config }
	// ScanResult is the result of Scan, started at Started. The leases are
	// read before the jobs.
	ScanResult struct {
		Started time.Time
		Leases  []LeaseRow
		Jobs    []structs.Job
		Failed  bool
	}
	// WriteResult is the result of WriteJob.
	WriteResult struct {
		Job     structs.Job
		Version uint64 // new version, if Outcome is OutcomeDone
		Outcome Outcome
	}
	// ReadResult is the result of ReadJob. Job is nil if there is no row.
	ReadResult struct {
		ID     string
		Job    *structs.Job
		Failed bool
	}
	// CallResult is the result of Call, sent at Sent. Run is set if Outcome is
	// OutcomeDone.
	CallResult struct {
		Call    Call
		Sent    time.Time
		Run     Run
		Outcome Outcome
	}
	// UsageResult is the result of ReadUsage.
	UsageResult struct {
		Runs   []Run
		Failed bool
	}
	// JobChanged carries a job row that the API of this process has written.
	JobChanged struct{ Job structs.Job }
)

// Action is an output of Machine.Step.
type Action any

// Actions.
type (
	// Scan reads the lease rows and then the job rows.
	Scan struct{}
	// ReadJob reads the row of one job.
	ReadJob struct{ ID string }
	// WriteJob writes the row of a job if its stored version is Job.Version.
	WriteJob struct{ Job structs.Job }
	// ReadUsage reads the usage report.
	ReadUsage struct{}
	// Call calls a worker about a run of a job.
	Call struct {
		Kind         CallKind
		Job          string
		Worker       string
		Token        uint64
		MilliCores   int
		MemoryMB     int
		Accelerators int
		Declared     time.Duration // declared run time
		Lease        time.Duration
		Progress     time.Duration
	}
)
