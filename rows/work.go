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
	Engaged []engine.Engaged `json:",omitempty"` // workers that may have runs of the holder
	Status  engine.Status    `json:",omitzero"`  // of a pool
	Release []string         `json:",omitempty"` // machines that the fleet's holder wants without work
	Due     []string         `json:",omitempty"` // machines whose upkeep is still to come
	Kept    map[int][]string `json:",omitempty"` // by wave: machines whose upkeep has begun
}

// Record returns the lease of the row.
func (c *Control) Record() lease.Record { return lease.Record(c.Lease) }

// SetLease replaces the lease of the row.
func (c *Control) SetLease(r lease.Record) { c.Lease = Lease(r) }

// EncodeControl encodes a lease row.
func EncodeControl(c Control) ([]byte, error) { return encode("lease row", c) }

// DecodeControl is the reverse of EncodeControl.
func DecodeControl(value []byte) (Control, error) { return decode[Control]("lease row", value) }
