package structs

import "time"

// JobState is the state of a job.
type JobState string

// Job states. All except JobQueued and JobRunning are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobRefused   JobState = "refused"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s != JobQueued && s != JobRunning }

// JobSpec is a job as its team declares it. The declared resources and run time
// may differ widely from what the job actually uses.
type JobSpec struct {
	ID           string // chosen by the submitter; a repeated submission has the same ID
	Team         string
	Kind         string // jobs of the same kind use similar amounts of resources
	Class        Class
	Pool         string
	MilliCores   int
	MemoryMB     int
	Accelerators int
	RunTime      time.Duration // declared
	Attempts     int           // failed runs after which the job fails; 0 means the default
	Checkpoints  bool          // the task can save its progress before it is stopped
	Throttleable bool          // the task can run with half of its declared processors
}

// Job is a job and its state, as stored in the job's table row.
type Job struct {
	Spec      JobSpec
	Submitted time.Time
	State     JobState
	Reason    string        `json:",omitempty"` // why it failed or was refused
	Cancel    bool          `json:",omitempty"` // the team has requested cancellation
	Worker    string        `json:",omitempty"` // worker of the current run
	Token     uint64        `json:",omitempty"` // fencing token of the most recent run
	Holder    string        `json:",omitempty"` // process that last wrote the row
	Starts    int           `json:",omitempty"`
	Failures  int           `json:",omitempty"`
	Progress  time.Duration `json:",omitempty"` // work saved by the last checkpoint
	Version   uint64        `json:"-"`          // version of the table row
}
