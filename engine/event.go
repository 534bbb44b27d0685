package engine

import (
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// Event is an input of Scheduler.Step.
type Event interface{ event() }

// JobAdded reports a job of the pool that is newly submitted or that a new owner
// has read from the store. A job that is already known is ignored.
type JobAdded struct {
	Submission workload.Submission
	Progress   *workload.Progress // nil: none stored yet
	// Recovered is set if the job was submitted before this owner took over the
	// pool, so a former owner may have started its tasks.
	Recovered bool
}

// CancelRequested reports a caller's request to cancel a job.
type CancelRequested struct{ Job workload.JobKey }

// QueuesUpdated carries the current configuration of all queues.
type QueuesUpdated struct{ Queues []workload.Queue }

// WorkersUpdated carries all workers that are registered in the pool.
type WorkersUpdated struct{ Workers []workload.Worker }

// MachinesRestarted carries by machine the newest worker that is registered on it in
// any pool.
type MachinesRestarted struct {
	Newest map[string]workload.Incarnation
}

// ReleaseUpdated carries the machines that the fleet's owner wants free of work,
// according to the given version of its row.
type ReleaseUpdated struct {
	Machines map[string]bool
	Upcoming map[string]bool // machines that must be released later
	Version  uint64
}

// Result is the outcome of a call to a worker.
type Result int

// Results of calls to workers.
const (
	OK           Result = iota
	Fenced              // the worker has seen a higher fencing token
	OldRun              // the worker has already seen this attempt or a later one
	Late                // the order arrived after its deadline by the worker's clock
	NoRoom              // the task does not fit the worker's free capacity
	NoTicket            // the placement policy's ticket is missing or expired
	Invalid             // the worker rejects the order as malformed
	Unhealthy           // the worker accepts no orders at present
	WrongWorker         // the address belongs to another worker or another incarnation of it
	NotDelivered        // the order certainly did not reach the worker
	Unknown             // the order may have been carried out, or may still be
)

var resultNames = [...]string{"ok", "fenced", "old-run", "late", "no-room", "no-ticket", "invalid", "unhealthy", "other-life", "not-delivered", "unknown"}

// String returns the result's name.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unnamed"
}

// RunReport is a run that a worker reports as running.
type RunReport struct {
	Task       workload.TaskID
	Attempt    int
	Checkpoint string // newest checkpoint
	Percent    int    // progress; for a long-running task, 100 means ready to serve
	Load       int    // tail latency in ms if the task serves requests, otherwise thousandths of a core used
}

// EndReport is the end of a run. A worker keeps and repeats it until it is
// acknowledged.
type EndReport struct {
	Number     int // counts from 1 in each incarnation of the worker
	Task       workload.TaskID
	Attempt    int
	Reason     EndReason
	Checkpoint string
}

// EndReason says how a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed"
	EndGangBroken     EndReason = "broken" // another member of the gang has ended
	EndGangIncomplete EndReason = "alone"  // not all members of the gang started in time
)

// HoldReport is a worker's answer to a hold.
type HoldReport struct {
	Clock   int64 // time on the worker's clock in ms
	Born    int64 // Unix ms at which the worker started, 0 if not reported
	Running []RunReport
	Ended   []EndReport
	// MoreEnds is set if the worker may have further ends that this report does not
	// list, so that a run that is in neither list may have ended.
	MoreEnds bool
}

// HoldAnswered is the outcome of a Hold.
type HoldAnswered struct {
	Worker workload.Incarnation
	Sent   time.Time
	Result Result
	Report HoldReport // valid if Result is OK
}

// StartAnswered is the outcome of a Start.
type StartAnswered struct {
	Worker  workload.Incarnation
	Task    workload.TaskID
	Attempt int
	Result  Result
}

// StopAnswered is the outcome of a Stop.
type StopAnswered struct {
	Worker  workload.Incarnation
	Task    workload.TaskID
	Attempt int
	Result  Result
}

// ThrottleAnswered is the outcome of a Throttle.
type ThrottleAnswered struct {
	Worker  workload.Incarnation
	Task    workload.TaskID
	Attempt int
	Percent int
	Result  Result
}

// AdviceAnswered is the outcome of an Advise about the workers in Asked. Tickets
// is keyed by the IDs of the workers that may run the step, and Valid is how long
// the tickets are valid.
type AdviceAnswered struct {
	Job        string
	Occurrence int
	Step       int
	Asked      []string
	OK         bool
	Tickets    map[string]string
	Valid      time.Duration
}

// Stored reports whether a batch of Collect is known to be in the store.
type Stored struct {
	Batch *Batch
	OK    bool
}

func (JobAdded) event()          {}
func (CancelRequested) event()   {}
func (QueuesUpdated) event()     {}
func (WorkersUpdated) event()    {}
func (ReleaseUpdated) event()    {}
func (MachinesRestarted) event() {}
func (HoldAnswered) event()      {}
func (StartAnswered) event()     {}
func (StopAnswered) event()      {}
func (ThrottleAnswered) event()  {}
func (AdviceAnswered) event()    {}
func (Stored) event()            {}

// Action is an output of Scheduler.Step for the caller to carry out.
type Action interface{ action() }

// Target is the worker that an order is sent to.
type Target struct {
	Incarnation workload.Incarnation
	Addr        string
}

// Hold extends the lease of all runs at a worker, acknowledges ends of runs
// that are stored, and asks for the runs and the unacknowledged ends.
type Hold struct {
	Target
	Token      uint64
	StoredEnds int           // acknowledges the ends up to this number; 0: none that are not acknowledged yet
	Deadline   int64         // end of the lease in ms on the worker's clock; 0: not extended
	Wait       time.Duration // how long the worker may delay its answer until a run ends
	Timeout    time.Duration // how long the call may take in addition to Wait
	SendBy     time.Time     // the call is not made later
}

// Start orders a worker to start a run.
type Start struct {
	Target
	Token      uint64
	Task       workload.TaskID
	Attempt    int
	Spec       string
	Deadline   int64 // ms on the worker's clock; the worker refuses the start after it
	Checkpoint string
	Ticket     string
	SendBy     time.Time // the call is not made later
}

// Stop orders a worker to stop a run, or to refuse it if its start has not
// arrived yet.
type Stop struct {
	Target
	Token   uint64
	Task    workload.TaskID
	Attempt int
}

// Throttle limits a task to a percentage of its full speed.
type Throttle struct {
	Target
	Token   uint64
	Task    workload.TaskID
	Attempt int
	Percent int
}

// Advise asks the placement policy which workers may run a step.
type Advise struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
}

// Superseded reports that a worker has accepted the token of a later owner, so
// this process no longer owns the pool.
type Superseded struct{ Worker string }

// Decision is a log entry about a change in the recorded state of a job, a run
// or a worker.
type Decision struct {
	What    string
	Job     string
	Task    string
	Worker  string
	Attempt int
	Why     string
}

func (Hold) action()       {}
func (Start) action()      {}
func (Stop) action()       {}
func (Throttle) action()   {}
func (Advise) action()     {}
func (Superseded) action() {}
func (Decision) action()   {}
