package store

import (
	"context"
	"errors"
	"time"
)

// Errors that Workers returns in addition to ErrNotFound, ErrUnavailable and
// ErrUnknown.
var (
	// ErrFenced: the platform has seen a higher token for the task. The caller
	// no longer holds the task and must not act on it again.
	ErrFenced = errors.New("fenced by a higher token")
	// ErrNoRoom: the worker has too few free resources at the moment.
	ErrNoRoom = errors.New("no room on the worker")
	// ErrNeverFits: the task needs more resources than the worker has in total.
	ErrNeverFits = errors.New("task can never fit on the worker")
)

// Worker describes a VM that runs tasks. ID is the VM's ID.
type Worker struct {
	ID           string
	DataCentre   string
	Rack         string
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Task is a task to start. On the worker, the lease starts when the worker
// accepts the call. The holder counts the lease from before it sends the call, so
// that it never considers the lease valid for longer than the worker does.
type Task struct {
	ID           string
	Worker       string
	Token        uint64 // fencing token; it increases with each placement of the task
	MilliCores   int
	MemoryMB     int
	Accelerators int
	Declared     time.Duration // declared run time; the actual one may differ widely
	Lease        time.Duration // the worker ends the task if this is not renewed in time
	Progress     time.Duration // work saved in the checkpoint to resume from
}

// RunState is the state of a run.
type RunState string

// Run states. All except RunRunning are final.
const (
	RunRunning RunState = "running"
	RunDone    RunState = "done"
	RunFailed  RunState = "failed"
	RunStopped RunState = "stopped"
	RunExpired RunState = "expired" // the lease was not renewed
)

// Run is one placement of a task, as reported by its worker. Work is measured
// as run time on all declared processors.
type Run struct {
	Task           string
	Worker         string
	Token          uint64
	State          RunState
	Ran            time.Duration // run time of this run
	Progress       time.Duration // work done, including that of earlier runs
	Checkpoint     time.Duration // work saved by the last checkpoint, from which a later run can resume
	MilliCores     int           // allocated to the task; less than declared if throttled
	UsedMilliCores int           // actual use, which may differ from the declaration
	UsedMemoryMB   int
}

// Hold identifies a placement of a task that the caller holds.
type Hold struct {
	Task  string
	Token uint64
	Lease time.Duration // new length of the lease; used only by Renew
}

// Workers is the API that runs tasks. Start is idempotent for the same task,
// worker and token. The methods that take a Hold return the current state of the
// run, even if it has ended, or ErrFenced if the platform has seen a higher
// token.
type Workers interface {
	ListWorkers(ctx context.Context) ([]Worker, error)
	Start(ctx context.Context, t Task) (Run, error)
	Renew(ctx context.Context, h Hold) (Run, error)
	Checkpoint(ctx context.Context, h Hold) (Run, error)
	// Throttle sets the processor allocation of the task, up to the declared
	// one. It returns ErrNoRoom if an increase exceeds the worker's free
	// processors.
	Throttle(ctx context.Context, h Hold, milliCores int) (Run, error)
	// Stop ends the run. The answer shows how the run ended, also after the loss
	// of its worker. If Stop returns ErrNotFound or ErrFenced, no run of the task
	// with this token can be started any more, not even by a call that was sent
	// earlier.
	Stop(ctx context.Context, h Hold) (Run, error)
	// Usage returns at most limit runs whose task sorts after the given one,
	// ordered by task and token. The report lags behind the actual state, and
	// ended runs stay in it for some minutes.
	Usage(ctx context.Context, after string, limit int) ([]Run, error)
}
