// Package workload has the types of jobs that consist of steps of many tasks,
// of the queues that they come through, and of the workers and machines that
// run them. It holds no decisions.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/placement"
)

// Queue is a way in for jobs. Its pool's workers run the tasks.
type Queue struct {
	Name        string
	Host        string // Host header that selects the queue
	Prefix      string // path prefix that selects the queue
	Pool        string
	Priority    int           // 0 comes first and may preempt others
	MaxAttempts int           // failed runs of one task that fail its job
	Stretch     float64       // objective, in multiples of the longest chain of work
	Target      time.Duration // objective beyond Stretch times the chain
	Policy      *PolicyTiming // nil: any worker may run the queue's steps
}

// PolicyTiming says what the placement policy service of a queue costs.
type PolicyTiming struct {
	Decide    time.Duration // of one call
	PerWorker time.Duration // more for each worker named in it
	Valid     time.Duration // of a ticket
}

// PoolOptions are the operator's settings of a pool.
type PoolOptions struct {
	Name    string
	Standby bool // its machines are off until they are moved elsewhere
}

// Configuration is one version of what operators want.
type Configuration struct {
	Version uint64
	Queues  []Queue
	Pools   []PoolOptions
}

// Match returns the queue with the longest prefix of path among those of the
// host, and the rest of the path.
func (c *Configuration) Match(host, path string) (q *Queue, rest string, ok bool) {
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

// Step is a group of like tasks of a job.
type Step struct {
	Count        int            `json:"n"`
	Size         placement.Size `json:"size"`
	Estimate     time.Duration  `json:"est"`             // rough, from the submitter
	After        []int          `json:"after,omitempty"` // steps that must be done first
	Checkpoints  bool           `json:"ckpt,omitempty"`
	Gang         bool           `json:"gang,omitempty"`    // all tasks run together or not at all
	OneRack      bool           `json:"rack1,omitempty"`   // a gang that is slow across racks
	Label        string         `json:"label,omitempty"`   // the worker must have it
	DataRack     string         `json:"data,omitempty"`    // slower on any other rack
	MaxPerWorker int            `json:"spread,omitempty"`  // 0: no bound
	Copies       bool           `json:"copies,omitempty"`  // tasks may run twice at the same time
	Lasting      bool           `json:"lasting,omitempty"` // runs until the job is cancelled
	Image        string         `json:"image,omitempty"`
	TailTarget   time.Duration  `json:"tail,omitempty"`  // of response times of a task that serves
	Fills        bool           `json:"fills,omitempty"` // uses only processor time that others leave
	MayMiss      int            `json:"miss,omitempty"`  // tasks that may be away by our own actions; 0: no budget
}

// Schedule repeats the steps of a job. The zero value runs them once, at once.
type Schedule struct {
	Count  int   `json:"n,omitempty"`
	Start  int64 `json:"start,omitempty"`  // Unix ms of occurrence 0
	Period int64 `json:"period,omitempty"` // ms between occurrences
}

// Submission is a job as its caller handed it in.
type Submission struct {
	ID       string   `json:"id"`
	Pool     string   `json:"pool"`  // at the time of submission
	Queue    Queue    `json:"queue"` // likewise; the job keeps its terms when the queue is removed
	Spec     string   `json:"spec"`
	Steps    []Step   `json:"steps"`
	Repeat   Schedule `json:"repeat,omitzero"`
	Accepted int64    `json:"at"` // Unix ms by the accepting VM's clock
}

// Validate returns why the submission can't be run, or nil.
func (s *Submission) Validate() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("job %s has no steps", s.ID)
	}
	for i, st := range s.Steps {
		if st.Count <= 0 {
			return fmt.Errorf("step %d has %d tasks, want at least 1", i, st.Count)
		}
		if st.Size.MilliCores < 0 || st.Size.MemoryMB < 0 || st.Size.Accelerators < 0 {
			return fmt.Errorf("step %d asks for a negative size", i)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d comes after step %d, which is not an earlier one", i, a)
			}
		}
	}
	return nil
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns ID.K.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+16)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID is the reverse of TaskID.String.
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

// Life identifies one life of a worker: a worker that starts again under its
// id knows nothing of before.
type Life struct {
	ID   string
	Born int64 // Unix ms of its start; 0 if not known
}

// Worker is a worker as it registered itself.
type Worker struct {
	Life
	Machine    string
	Pool       string
	Addr       string
	DataCentre string
	Draining   bool
	Remaining  time.Duration // least time left, while draining
	Capacity   placement.Size
	Labels     []string
}

// Rack returns the label that names the worker's rack, or "".
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

// Progress is what is kept of a job while it runs.
type Progress struct {
	State JobState   `json:"state"`
	Ended int64      `json:"ended,omitempty"` // Unix ms of the end of the job
	Next  int        `json:"next,omitempty"`  // occurrences before it have ended
	Tasks []TaskMark `json:"tasks,omitempty"` // those with something to keep
}

// TaskMark is what is kept of one task.
type TaskMark struct {
	Occurrence int    `json:"k,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Done       bool   `json:"d,omitempty"`
	Failed     int    `json:"f,omitempty"` // failed runs
	Counted    []int  `json:"e,omitempty"` // runs whose failure is counted
	Run        int    `json:"r,omitempty"` // greatest number of a run so far
	Saved      string `json:"c,omitempty"` // checkpoint
}

// Machine is a machine of the fleet.
type Machine struct {
	ID         string
	Pool       string
	State      MachineState
	DataCentre string
	Worker     string // id of its worker
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

// Wave is an operator's request to maintain machines in time.
type Wave struct {
	Number   int
	Machines []string
	Within   time.Duration
	MaxDown  int // machines in upkeep at the same time
}

// StepName returns ID.K.STEP.
func StepName(job string, occurrence, step int) string {
	return job + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}
