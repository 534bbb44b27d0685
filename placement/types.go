// Package placement decides which job runs on which worker. It is a state
// machine: jobs, worker reports and the time go in, commands for workers come
// out. It corrects declared sizes by what earlier jobs of a team and kind
// used, shares the fleet among teams by weight, lets waiting jobs age so that
// long batch jobs finish in the end, and makes room for urgent work by
// throttling or checkpointing batch tasks.
package placement

import (
	"errors"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Size is an amount of a worker's resources.
type Size struct {
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Fits reports whether s is at most free in each dimension.
func (s Size) Fits(free Size) bool {
	return s.MilliCores <= free.MilliCores && s.MemoryMB <= free.MemoryMB && s.Accelerators <= free.Accelerators
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{s.MilliCores + o.MilliCores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns what is left of s without o.
func (s Size) Minus(o Size) Size {
	return Size{s.MilliCores - o.MilliCores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

func (s Size) cap(most Size) Size {
	return Size{min(s.MilliCores, most.MilliCores), min(s.MemoryMB, most.MemoryMB), min(s.Accelerators, most.Accelerators)}
}

func (s Size) atLeast(o Size) Size {
	return Size{max(s.MilliCores, o.MilliCores), max(s.MemoryMB, o.MemoryMB), max(s.Accelerators, o.Accelerators)}
}

// Job is a unit of work as its team declares it. Size and Runtime may be far
// from what the job uses.
type Job struct {
	ID           string
	Team         string
	Kind         string // jobs of one kind use similar resources
	Class        structs.Class
	Size         Size
	Runtime      time.Duration
	Submitted    time.Time
	Attempts     int  // starts that may fail, at most; 0 means Options.Attempts
	Checkpoints  bool // the task can save its progress before it is stopped
	Throttleable bool // the task works on half of its processors
}

// WorkerType is a group of workers with the same hardware. Watts and Price
// are per worker and are used by the pair scores only.
type WorkerType struct {
	Name     string
	Capacity Size
	Watts    float64
	Price    float64 // per hour
}

// Options are the parameters of a Scheduler. Zero values get defaults.
type Options struct {
	Policy       Policy
	Attempts     int           // default 3
	Lease        time.Duration // of a task, renewed by each report. Default 30 s
	AgeStep      time.Duration // wait that raises a job by one class. Default 10 min
	ReserveAfter time.Duration // wait after which a job that fits nowhere gets a worker reserved. Default 30 min
	HoldFor      time.Duration // a checkpoint that takes longer becomes a stop. Default 10 s
	Preemptions  int           // a batch task stopped this often is not stopped again. Default 3
	Declared     bool          // workers reserve the declared size: corrections never go below it
	Quarantine   time.Duration // first quarantine of a worker, doubled each time. Default 1 min
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
	setInt(&o.Attempts, 3)
	setInt(&o.Preemptions, 3)
	setDuration(&o.Lease, 30*time.Second)
	setDuration(&o.AgeStep, 10*time.Minute)
	setDuration(&o.ReserveAfter, 30*time.Minute)
	setDuration(&o.HoldFor, 10*time.Second)
	setDuration(&o.Quarantine, time.Minute)
	return o
}

// CommandKind is the kind of a Command.
type CommandKind string

// Command kinds. The last two inform the job's owner; the others go to the
// worker.
const (
	CommandStart      CommandKind = "start"
	CommandCheckpoint CommandKind = "checkpoint" // save the progress, then stop
	CommandThrottle   CommandKind = "throttle"   // go on with Size
	CommandRestore    CommandKind = "restore"    // end of a throttle: go on with Size
	CommandStop       CommandKind = "stop"
	CommandFailed     CommandKind = "failed"  // the job ended without success
	CommandRefused    CommandKind = "refused" // the job can never run
)

// Command is an instruction to a worker. The worker refuses it if it has seen
// a higher token for the job, and stops the task by itself at Expires unless
// the lease was renewed.
type Command struct {
	Kind     CommandKind
	Job      string
	Worker   string
	Token    uint64
	Size     Size
	Expires  time.Time
	Progress time.Duration // work that a checkpoint of an earlier run holds
	Reason   string
}

// ReportKind is what a worker says about a task.
type ReportKind string

// Report kinds.
const (
	ReportRunning      ReportKind = "running" // renews the lease
	ReportThrottled    ReportKind = "throttled"
	ReportCheckpointed ReportKind = "checkpointed" // progress saved, the task has stopped
	ReportStopped      ReportKind = "stopped"      // the task has stopped, progress is lost
	ReportFinished     ReportKind = "finished"
	ReportFailed       ReportKind = "failed" // includes failures to start
)

// Report is a worker's message about a task.
type Report struct {
	Kind     ReportKind
	Job      string
	Token    uint64
	Used     Size          // peak so far; zero if the worker does not know it yet
	Ran      time.Duration // of this run
	Progress time.Duration // saved by a checkpoint, as run time on this worker
}

// ErrFenced is returned for a report with a token that is not the job's
// current one. The worker that sent it must stop the task.
var ErrFenced = errors.New("placement: token is not current")

// RefusalError says why a job is refused for good.
type RefusalError struct {
	Job    string
	Reason string
}

// Error returns the reason.
func (e *RefusalError) Error() string { return fmt.Sprintf("job %s: %s", e.Job, e.Reason) }
