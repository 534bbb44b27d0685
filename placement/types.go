// Package placement decides which job runs on which worker. It is a state
// machine without I/O: its inputs are jobs, worker reports and the time, its
// outputs are commands for workers. It corrects declared sizes by the measured
// use of earlier jobs of the same team and kind, shares the fleet among teams
// by weight, raises the priority of waiting jobs with time so that none
// starves, and reclaims capacity for urgent jobs by throttling, checkpointing
// or stopping batch tasks.
package placement

import (
	"errors"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Size is an amount of resources: the demand of a job or the capacity of a
// worker.
type Size struct {
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Fits reports whether s does not exceed free in any dimension.
func (s Size) Fits(free Size) bool {
	return s.MilliCores <= free.MilliCores && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{s.MilliCores + o.MilliCores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns the difference of s and o; its fields may be negative.
func (s Size) Minus(o Size) Size {
	return Size{s.MilliCores - o.MilliCores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

func (s Size) componentMin(o Size) Size {
	return Size{min(s.MilliCores, o.MilliCores), min(s.MemoryMB, o.MemoryMB), min(s.Accelerators, o.Accelerators)}
}

func (s Size) componentMax(o Size) Size {
	return Size{max(s.MilliCores, o.MilliCores), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Job is a unit of work as declared by its team. Size and Runtime are estimates
// that may be far from the actual use.
type Job struct {
	ID           string
	Team         string
	Kind         string // jobs of the same kind are expected to use similar resources
	Class        structs.Class
	Size         Size
	Runtime      time.Duration
	Submitted    time.Time
	MaxAttempts  int  // failed runs after which the job fails; 0 means Options.MaxAttempts
	Checkpoints  bool // the task can save its progress before it is stopped
	Throttleable bool // the task can run on half of its processors
}

// WorkerType describes the hardware that a group of workers has in common.
// Watts and Price are per worker and are used by PolicyPairs only.
type WorkerType struct {
	Name     string
	Capacity Size
	Watts    float64
	Price    float64 // per hour
}

// Options are the parameters of a Scheduler. A zero value selects the default.
type Options struct {
	Policy              Policy
	MaxAttempts         int           // failed runs after which a job fails. Default 3
	TaskLease           time.Duration // lease of a task, renewed by each ReportRunning. Default 30 s
	AgingInterval       time.Duration // waiting time that raises a job's priority by one class. Default 10 min
	ReserveAfter        time.Duration // waiting time after which a worker is reserved for a job that fits nowhere. Default 30 min
	ReclaimTimeout      time.Duration // tasks that have not released capacity by then are stopped. Default 10 s
	MaxPreemptions      int           // preemptions after which urgent jobs do not preempt a batch job again. Default 3
	ReserveDeclaredSize bool          // workers reserve the declared size, so corrections must not go below it
	InitialQuarantine   time.Duration // of a worker, doubled for each further one in a row. Default 1 min
}

func (o Options) withDefaults() Options {
	setInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setDuration := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	setInt(&o.MaxAttempts, 3)
	setInt(&o.MaxPreemptions, 3)
	setDuration(&o.TaskLease, 30*time.Second)
	setDuration(&o.AgingInterval, 10*time.Minute)
	setDuration(&o.ReserveAfter, 30*time.Minute)
	setDuration(&o.ReclaimTimeout, 10*time.Second)
	setDuration(&o.InitialQuarantine, time.Minute)
	return o
}

// CommandKind is the kind of a Command.
type CommandKind string

// Kinds of commands. CommandFailed and CommandRefused inform the job's owner;
// the others go to the worker.
const (
	CommandStart      CommandKind = "start"
	CommandCheckpoint CommandKind = "checkpoint" // save the progress, then stop the task
	CommandThrottle   CommandKind = "throttle"   // continue with the reduced Size
	CommandRestore    CommandKind = "restore"    // end of a throttle: continue with the full Size
	CommandStop       CommandKind = "stop"
	CommandFailed     CommandKind = "failed"  // the job ended without success
	CommandRefused    CommandKind = "refused" // the job can never run
)

// Command is an instruction to a worker. The worker rejects it if it has seen
// a higher token for the job. It stops the task on its own at Expires unless
// the lease has been renewed by then.
type Command struct {
	Kind     CommandKind
	Job      string
	Worker   string
	Token    uint64
	Size     Size
	Expires  time.Time
	Progress time.Duration // saved by a checkpoint of an earlier run
	Reason   string
}

// ReportKind is the kind of a Report.
type ReportKind string

// Kinds of reports.
const (
	ReportRunning      ReportKind = "running"      // renews the lease
	ReportThrottled    ReportKind = "throttled"    // the task runs on half of its processors
	ReportCheckpointed ReportKind = "checkpointed" // the task has stopped, progress is saved
	ReportStopped      ReportKind = "stopped"      // the task has stopped, progress is lost
	ReportFinished     ReportKind = "finished"
	ReportFailed       ReportKind = "failed" // the task failed or could not start
)

// Report is a worker's message about the state of a task.
type Report struct {
	Kind     ReportKind
	Job      string
	Token    uint64
	Used     Size          // peak use so far; zero if the worker does not know it yet
	Ran      time.Duration // run time of this run
	Progress time.Duration // saved by a checkpoint, as run time on this worker
}

// ErrFenced is returned for a report whose token is not the job's current one.
// The worker that sent it must stop the task.
var ErrFenced = errors.New("placement: token is not current")

// RefusalError is the reason for which a job is permanently refused.
type RefusalError struct {
	Job    string
	Reason string
}

// Error returns the job and the reason.
func (e *RefusalError) Error() string { return fmt.Sprintf("job %s: %s", e.Job, e.Reason) }
