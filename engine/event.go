package engine

import (
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// Event is something that the machine learns.
type Event interface{ event() }

// JobSeen is a job that was submitted, or read back by a new owner.
type JobSeen struct {
	Submission workload.Submission
	Progress   *workload.Progress // nil: none kept yet
	// Recovered: the job was submitted before this owner took the pool, so an
	// earlier owner may have started its tasks.
	Recovered bool
}

// CancelSeen is a caller's wish to end a job.
type CancelSeen struct{ Job string }

// QueuesSeen is the newest configuration of all queues.
type QueuesSeen struct{ Queues []workload.Queue }

// WorkersSeen lists all workers registered in the pool.
type WorkersSeen struct{ Workers []workload.Worker }

// ReleaseSeen names the machines that the fleet's owner wants without work, as
// of a version of its row.
type ReleaseSeen struct {
	Machines map[string]bool
	Due      map[string]bool // machines that will have to be released
	Version  uint64
}

// Result is the outcome of a call to a worker.
type Result int

// Results.
const (
	OK           Result = iota
	Fenced              // the worker has seen a higher token
	OldRun              // the worker has seen this run or a later one
	Late                // the deadline had passed on the worker's clock
	NoRoom              // does not fit the worker's free capacity
	NoTicket            // the policy's ticket is missing or expired
	Invalid             // the worker does not understand the order
	Unhealthy           // the worker does nothing at present
	OtherLife           // the address answers for another worker or life
	NotDelivered        // certainly nothing was received
	Unknown             // may have been carried out, or may be later
)

var resultNames = [...]string{"ok", "fenced", "old-run", "late", "no-room", "no-ticket", "invalid", "unhealthy", "other-life", "not-delivered", "unknown"}

// String returns the result's name.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unnamed"
}

// RunReport is one entry of what a worker says that it runs.
type RunReport struct {
	Task    workload.TaskID
	Attempt int
	Saved   string // newest checkpoint
	Percent int    // done; of a lasting task 100 means at work
	Load    int    // tail of response times in ms if it serves, else thousandths of a core
}

// EndReport is one entry of the ends that a worker keeps.
type EndReport struct {
	Number  int // grows from 1 in each life
	Task    workload.TaskID
	Attempt int
	How     End
	Saved   string
}

// End says how a run ended.
type End string

// Ends.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLapsed  End = "lapsed"
	EndBroken  End = "broken" // another member of the gang ended
	EndAlone   End = "alone"  // the gang was not complete in time
)

// HoldReport is a worker's answer to a hold.
type HoldReport struct {
	Clock   int64 // ms on the worker's clock
	Born    int64 // Unix ms of the start of this life, 0 if not told
	Running []RunReport
	Ended   []EndReport
}

// HoldAnswered is the outcome of Hold.
type HoldAnswered struct {
	Worker workload.Life
	Sent   time.Time
	Result Result
	Report HoldReport // if Result is OK
}

// StartAnswered is the outcome of Start.
type StartAnswered struct {
	Worker  workload.Life
	Task    workload.TaskID
	Attempt int
	Result  Result
}

// StopAnswered is the outcome of Stop.
type StopAnswered struct {
	Worker  workload.Life
	Task    workload.TaskID
	Attempt int
	Result  Result
}

// PaceAnswered is the outcome of Pace.
type PaceAnswered struct {
	Worker  workload.Life
	Task    workload.TaskID
	Attempt int
	Percent int
	Result  Result
}

// AdviceAnswered is the outcome of Advise. Tickets has those of the workers
// that may run the step.
type AdviceAnswered struct {
	Job        string
	Occurrence int
	Step       int
	Asked      []string
	OK         bool
	Tickets    map[string]string
	Valid      time.Duration
}

// Stored says that a batch of Collect is in the store, or that it is not
// known to be.
type Stored struct {
	Batch *Batch
	OK    bool
}

func (JobSeen) event()        {}
func (CancelSeen) event()     {}
func (QueuesSeen) event()     {}
func (WorkersSeen) event()    {}
func (ReleaseSeen) event()    {}
func (HoldAnswered) event()   {}
func (StartAnswered) event()  {}
func (StopAnswered) event()   {}
func (PaceAnswered) event()   {}
func (AdviceAnswered) event() {}
func (Stored) event()         {}

// Action is something that the duty is to do.
type Action interface{ action() }

// Target is the worker that an order goes to.
type Target struct {
	Life workload.Life
	Addr string
}

// Hold extends the lease of all runs at a worker, forgets ends, and asks for
// what runs.
type Hold struct {
	Target
	Token    uint64
	Seen     int           // ends up to this number are stored
	Deadline int64         // ms on the worker's clock; 0: the lease is not extended
	Wait     time.Duration // the answer waits this long for an end
}

// Start starts a run.
type Start struct {
	Target
	Token    uint64
	Task     workload.TaskID
	Attempt  int
	Spec     string
	Deadline int64 // ms on the worker's clock; the worker refuses a later start
	Saved    string
	Ticket   string
}

// Stop ends a run, or forbids it if it has not arrived yet.
type Stop struct {
	Target
	Token   uint64
	Task    workload.TaskID
	Attempt int
}

// Pace lets a task work at a share of its speed.
type Pace struct {
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

// Deposed says that a worker follows a later owner: the pool is no longer
// this process's.
type Deposed struct{ Worker string }

// Decision is a line for the log: a change of what the machine believes about
// a job, a run or a worker.
type Decision struct {
	What    string
	Job     string
	Task    string
	Worker  string
	Attempt int
	Why     string
}

func (Hold) action()     {}
func (Start) action()    {}
func (Stop) action()     {}
func (Pace) action()     {}
func (Advise) action()   {}
func (Deposed) action()  {}
func (Decision) action() {}
