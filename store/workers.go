package store

import (
	"context"
	"errors"
	"time"
)

// Errors of Workers besides ErrNotFound, ErrUnavailable and ErrUnknown.
var (
	// ErrFenced: a higher token was seen for the task; the caller no longer
	// holds it and must not act for it again.
	ErrFenced = errors.New("fenced by a higher token")
	// ErrNoRoom: the worker lacks free resources now.
	ErrNoRoom = errors.New("no room on the worker")
	// ErrNeverFits: the task needs more than the whole worker has.
	ErrNeverFits = errors.New("task can never fit on the worker")
)

// Worker is a VM as a machine that runs tasks; ID is the VM's.
type Worker struct {
	ID           string
	DataCentre   string
	Rack         string
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Task is a task to start. The lease runs on the worker's clock from the time
// at which the worker takes the call; the holder counts from before it sends.
type Task struct {
	ID           string
	Worker       string
	Token        uint64 // fencing token; each placement of a task uses a higher one
	MilliCores   int
	MemoryMB     int
	Accelerators int
	Declared     time.Duration // run time as declared; the real one may differ widely
	Lease        time.Duration // the task ends when it is not renewed
	Progress     time.Duration // work that the checkpoint to resume from holds
}

// RunState is the state of a run.
type RunState string

// Run states. Each but RunRunning is final.
const (
	RunRunning RunState = "running"
	RunDone    RunState = "done"
	RunFailed  RunState = "failed"
	RunStopped RunState = "stopped"
	RunExpired RunState = "expired" // the lease was not renewed
)

// Run is one placement of a task as its worker reports it. Work is measured
// as run time with all declared processors.
type Run struct {
	Task           string
	Worker         string
	Token          uint64
	State          RunState
	Ran            time.Duration // of this run
	Progress       time.Duration // work done, with that of earlier runs
	Checkpoint     time.Duration // work that a later run can resume from
	MilliCores     int           // given to the task, less than declared when throttled
	UsedMilliCores int           // real use, which may differ from the declaration
	UsedMemoryMB   int
}

// Hold names a placement that the caller holds.
type Hold struct {
	Task  string
	Token uint64
	Lease time.Duration // for Renew
}

// Workers runs tasks. Start is idempotent for the same task, worker and
// token. The calls with a Hold return the run in its present state, also if
// it has ended, and ErrFenced if a higher token was seen.
type Workers interface {
	ListWorkers(ctx context.Context) ([]Worker, error)
	Start(ctx context.Context, t Task) (Run, error)
	Renew(ctx context.Context, h Hold) (Run, error)
	Checkpoint(ctx context.Context, h Hold) (Run, error)
	// Throttle gives the task this many processors, at most the declared
	// ones; it returns ErrNoRoom if the worker has no more to give back.
	Throttle(ctx context.Context, h Hold, milliCores int) (Run, error)
	Stop(ctx context.Context, h Hold) (Run, error)
	// Usage returns at most limit runs whose task sorts after the given one,
	// in order of task and token, as they were some time ago. Ended runs
	// stay in the report for some minutes.
	Usage(ctx context.Context, after string, limit int) ([]Run, error)
}
