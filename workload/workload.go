// Package workload defines the data types of jobs, which consist of steps with
// many tasks each, of the queues that they are submitted to, and of the workers
// and machines that run them. It makes no decisions.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/placement"
)

// Queue accepts jobs. The workers of its pool run their tasks.
type Queue struct {
	Name        string
	Host        string // Host header that selects the queue
	Prefix      string // path prefix that selects the queue
	Pool        string
	Priority    int           // 0 is the highest and may preempt others
	MaxAttempts int           // number of failed runs of one task after which its job fails
	Stretch     float64       // objective for the time to finish, as a multiple of the critical path
	Target      time.Duration // part of the objective that is added to Stretch times the critical path
	Policy      *PolicyTiming // nil: no placement policy; any worker may run the queue's steps
}

// PolicyTiming describes the timing of a queue's placement policy service.
type PolicyTiming struct {
	Decide    time.Duration // fixed part of the time that one call takes
	PerWorker time.Duration // additional time for each worker named in the call
	Valid     time.Duration // validity of a ticket
}

// PoolOptions are the operator's settings of a pool.
type PoolOptions struct {
	Name    string
	Standby bool // its machines run no workers until they are moved to another pool
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version uint64
	Queues  []Queue
	Pools   []PoolOptions
}

// Match returns the queue of the host with the longest prefix that matches path,
// and the remainder of the path.
func (c *Configuration) Match(host, path string) (q *Queue, remainder string, ok bool) {
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.Prefix) {
			continue
		}
		if q == nil || len(candidate.Prefix) > len(q.Prefix) {
			q = candidate
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count            int            `json:"n"`
	Size             placement.Size `json:"size"`
	Estimate         time.Duration  `json:"est"`             // run time of a task, roughly, as given by the caller
	After            []int          `json:"after,omitempty"` // indexes of the steps that must be done first
	Checkpoints      bool           `json:"ckpt,omitempty"`
	Gang             bool           `json:"gang,omitempty"`    // all tasks run at the same time or none does
	OneRack          bool           `json:"rack1,omitempty"`   // the gang runs slowly if it spans racks
	Label            string         `json:"label,omitempty"`   // label that the worker must have
	DataRack         string         `json:"data,omitempty"`    // rack of the input data; tasks run slower on other racks
	MaxPerWorker     int            `json:"spread,omitempty"`  // tasks on one worker; 0: no limit
	Speculative      bool           `json:"copies,omitempty"`  // a task may have several runs at the same time
	LongRunning      bool           `json:"lasting,omitempty"` // runs until the job is cancelled
	Image            string         `json:"image,omitempty"`
	TailTarget       time.Duration  `json:"tail,omitempty"`  // tail latency objective of a task that serves requests
	BestEffort       bool           `json:"fills,omitempty"` // uses only CPU time that other tasks leave unused
	DisruptionBudget int            `json:"miss,omitempty"`  // tasks that scheduling may make unavailable at the same time; 0: none set
}

// Schedule repeats the steps of a job. The zero value runs them once, without
// delay.
type Schedule struct {
	Count  int   `json:"n,omitempty"`
	Start  int64 `json:"start,omitempty"`  // Unix ms of occurrence 0
	Period int64 `json:"period,omitempty"` // ms between occurrences
}

// Submission is a job as its caller submitted it.
type Submission struct {
	ID       string   `json:"id"`
	Pool     string   `json:"pool"`  // at the time of submission
	Queue    Queue    `json:"queue"` // at the time of submission; it applies to the job even if the queue is removed
	Spec     string   `json:"spec"`
	Steps    []Step   `json:"steps"`
	Repeat   Schedule `json:"repeat,omitzero"`
	Accepted int64    `json:"at"` // Unix ms of the acceptance by the clock of the accepting VM
}

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+16)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the result of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q does not have four parts", s)
	}
	t := TaskID{Job: parts[0]}
	for i, p := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %q is not a number", s, parts[i+1])
		}
		*p = n
	}
	return t, nil
}

// Incarnation identifies one incarnation of a worker. A worker that restarts
// under the same ID has no state of its earlier incarnation.
type Incarnation struct {
	ID   string
	Born int64 // Unix ms of its start; 0: unknown
}

// Worker is a worker as it registered itself.
type Worker struct {
	Incarnation
	Machine    string
	Pool       string
	Addr       string
	DataCentre string
	Draining   bool
	Remaining  time.Duration // minimum time until the worker stops; valid while it drains
	Capacity   placement.Size
	Labels     []string
	Complete   bool // has all fields that each worker reports; if not, it may not come from a worker
}

// Rack returns the last label, which is the worker's rack, or "" if there are
// fewer than two.
func (w *Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// JobState is the state of a job as callers see it.
type JobState string

// Job states.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is the stored state of a job.
type Progress struct {
	Queue          string         `json:"q,omitempty"` // key of the job's queue; "": written by an earlier build
	State          JobState       `json:"state"`
	Ended          int64          `json:"ended,omitempty"` // Unix ms of the end of the job; 0: not ended
	NextOccurrence int            `json:"next,omitempty"`  // first occurrence that has not ended
	LaterEnded     []int          `json:"later,omitempty"` // occurrences after NextOccurrence that have ended
	Tasks          []TaskProgress `json:"tasks,omitempty"` // tasks with state to store
}

// TaskProgress is the stored state of one task.
type TaskProgress struct {
	Occurrence      int    `json:"k,omitempty"`
	Step            int    `json:"s,omitempty"`
	Index           int    `json:"i,omitempty"`
	Done            bool   `json:"d,omitempty"`
	Failures        int    `json:"f,omitempty"`
	CountedFailures []int  `json:"e,omitempty"` // attempts whose failure is included in Failures, so that each is counted once
	LastAttempt     int    `json:"r,omitempty"` // highest attempt number so far
	Checkpoint      string `json:"c,omitempty"` // newest checkpoint
}

// Machine is a machine of the fleet.
type Machine struct {
	ID         string
	Pool       string
	State      MachineState
	DataCentre string
	Worker     string // ID of its worker
}

// MachineList is the platform's list of machines.
type MachineList struct {
	Machines   []Machine
	Unreadable []string // IDs of listed machines of which nothing else is known
}

// MachineState is the state of a machine.
type MachineState string

// Machine states.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Wave is an operator's request for the upkeep of a set of machines within a
// given time.
type Wave struct {
	Number   int
	Machines []string
	Within   time.Duration
	MaxDown  int // maximum number of machines in upkeep at the same time
}

// StepName returns JOB.OCCURRENCE.STEP.
func StepName(job string, occurrence, step int) string {
	return job + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}
