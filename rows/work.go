package rows

import (
	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/workload"
)

// EncodeWork encodes a submission.
func EncodeWork(s workload.Submission) ([]byte, error) { return encode("submission", s) }

// DecodeWork is the reverse of EncodeWork.
func DecodeWork(value []byte) (workload.Submission, error) {
	return decode[workload.Submission]("submission", value)
}

// EncodeProgress encodes the progress of a job.
func EncodeProgress(p workload.Progress) ([]byte, error) { return encode("progress", p) }

// DecodeProgress is the reverse of EncodeProgress.
func DecodeProgress(value []byte) (workload.Progress, error) {
	return decode[workload.Progress]("progress", value)
}

// Control is the value of the lease row of a pool or of the fleet.
type Control struct {
	Lease
	Share   float64          // part of a core that the holder's VM has
	Waiting map[string]int   `json:",omitempty"` // by queue: jobs of a pool of which no task has started
	Queues  []string         `json:",omitempty"` // store.WorkQueue of those that the pool's open jobs came through
	Release []string         `json:",omitempty"` // machines that the fleet's holder wants without work
	Due     []string         `json:",omitempty"` // machines whose upkeep is still to come
	Kept    map[int][]string `json:",omitempty"` // by wave: machines whose upkeep has begun
}

// Record returns the lease of the row.
func (c *Control) Record() lease.Record { return lease.Record(c.Lease) }

// SetLease replaces the lease of the row.
func (c *Control) SetLease(r lease.Record) { c.Lease = Lease(r) }

// Load is what the holder of a pool's lease tells about its workers. Only the
// fleet's owner and a successor read it, so it is kept out of the lease row,
// which all processes follow.
type Load struct {
	Engaged []engine.EngagedWorker `json:",omitempty"` // workers that may have runs of the holder
	Status  engine.Status
}

// EncodeLoad encodes a load row.
func EncodeLoad(l Load) ([]byte, error) { return encode("load row", l) }

// DecodeLoad is the reverse of EncodeLoad.
func DecodeLoad(value []byte) (Load, error) { return decode[Load]("load row", value) }

// EncodeControl encodes a lease row.
func EncodeControl(c Control) ([]byte, error) { return encode("lease row", c) }

// DecodeControl is the reverse of EncodeControl.
func DecodeControl(value []byte) (Control, error) { return decode[Control]("lease row", value) }
