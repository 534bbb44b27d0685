package structs

import "time"

// JobState is the state of a job.
type JobState string

// Job states. Each but JobQueued and JobRunning is final.
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

// JobSpec is a job as its team declares it. Sizes and the run time may be far
// from what the job uses.
type JobSpec struct {
	ID           string // chosen by the submitter; a repetition has the same id
	Team         string
	Kind         string // jobs of one kind use similar resources
	Class        Class
	Pool         string
	MilliCores   int
	MemoryMB     int
	Accelerators int
	RunTime      time.Duration // declared
	Attempts     int           // runs that may fail; 0 means the default
	Checkpoints  bool          // the task can save its progress before it is stopped
	Throttleable bool          // the task works on half of its processors
}

// Job is the state of a job as its row has it.
type Job struct {
	Spec      JobSpec
	Submitted time.Time
	State     JobState
	Reason    string        `json:",omitempty"` // why it failed or was refused
	Cancel    bool          `json:",omitempty"` // the team wants the job to end
	Worker    string        `json:",omitempty"` // of the current run
	Token     uint64        `json:",omitempty"` // fencing token of the last run
	Holder    string        `json:",omitempty"` // process that wrote the row last
	Starts    int           `json:",omitempty"`
	Failures  int           `json:",omitempty"`
	Progress  time.Duration `json:",omitempty"` // saved by a checkpoint
	Version   uint64        `json:"-"`          // version of the table row
}
