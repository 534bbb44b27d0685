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

// Worker is a machine that runs tasks.
type Worker struct {
	ID           string
	DataCentre   string
	Rack         string
	Cores        int
	MemoryMB     int
	Accelerators int
}

// Task is a task to start. The lease runs on the worker's clock from the time
// at which the worker takes the call; the holder counts from before it sends.
type Task struct {
	ID           string
	Worker       string
	Token        uint64 // fencing token; each placement of a task uses a higher one
	Cores        int
	MemoryMB     int
	Accelerators int
	Declared     time.Duration // run time as declared; the real one may differ widely
	Lease        time.Duration // the task ends when it is not renewed
	Progress     float64       // 0 to 1, from the checkpoint to resume from
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

// Run is one placement of a task as its worker reports it.
type Run struct {
	Task         string
	Worker       string
	Token        uint64
	State        RunState
	Progress     float64 // 0 to 1
	Checkpoint   float64 // progress that a later run can resume from
	Share        float64 // throttle: part of full speed, 0 to 1
	UsedCores    float64 // real use, which may differ from the declaration
	UsedMemoryMB float64
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
	Throttle(ctx context.Context, h Hold, share float64) (Run, error)
	Stop(ctx context.Context, h Hold) (Run, error)
	// Usage returns at most limit runs whose task sorts after the given one,
	// in order of task and token, as they were some time ago. Ended runs
	// stay in the report for some minutes.
	Usage(ctx context.Context, after string, limit int) ([]Run, error)
}
