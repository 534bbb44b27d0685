package rows

import (
	"fmt"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/workload"
)

// MaxWorkBytes is the maximum size of a submission's row. It is the limit of the
// platform's store for one value.
const MaxWorkBytes = 64 << 10

// EncodeWork encodes a caller's submission of work.
func EncodeWork(s workload.Submission) ([]byte, error) { return encode("submission", s) }

// DecodeWork decodes a caller's submission of work.
func DecodeWork(value []byte) (workload.Submission, error) {
	return decode[workload.Submission]("submission", value)
}

// Cancellation is the value of a cancellation's row in the table store.TableWork.
type Cancellation struct {
	// Unsubmitted marks a tombstone: the id was cancelled while no submission with it
	// was stored. The row and a submission never exist at the same time.
	Unsubmitted bool `json:"unsubmitted,omitempty"`
}

// EncodeCancellation encodes a cancellation.
func EncodeCancellation(c Cancellation) ([]byte, error) { return encode("cancellation", c) }

// DecodeCancellation decodes a cancellation.
func DecodeCancellation(value []byte) (Cancellation, error) {
	return decode[Cancellation]("cancellation", value)
}

// EncodeProgress encodes the progress of a job.
func EncodeProgress(p workload.Progress) ([]byte, error) { return encode("progress", p) }

// DecodeProgress decodes the progress of a job and validates it.
func DecodeProgress(value []byte) (workload.Progress, error) {
	p, err := decode[workload.Progress]("progress", value)
	if err != nil {
		return p, err
	}
	if err := p.Validate(); err != nil {
		return p, fmt.Errorf("decode progress: %w", err)
	}
	return p, nil
}

// Control is the value of a lease row in the table store.TableControl: the lease
// of a pool or of the fleet, and the data that its holder shares with all
// processes.
type Control struct {
	Lease
	Share   float64          // CPU share of the holder's VM, as a fraction of a core
	Waiting map[string]int   `json:",omitempty"` // by queue: number of the pool's jobs without a started task
	Queues  []string         `json:",omitempty"` // keys of the queues of the pool's open jobs
	Release []string         `json:",omitempty"` // machines that the holder of the fleet's lease asks the pools to free of work
	Ordered []string         `json:",omitempty"` // other machines that the holder of the fleet's lease has ordered recently
	Listed  bool             `json:",omitempty"` // Release and Ordered name all machines that may have been ordered recently
	Due     []string         `json:",omitempty"` // machines whose upkeep has not begun
	Kept    map[int][]string `json:",omitempty"` // by wave: machines whose upkeep has begun
	Peaks   map[string]Peaks `json:",omitempty"` // by pool, for the next holder of the fleet's lease
}

// Peaks is what is known of the peaks of a pool's load.
type Peaks struct {
	Starts []int64 `json:",omitempty"` // starts of the last peaks in Unix ms, by the clock of the VM that wrote them
	InPeak bool    `json:",omitempty"` // the last one has not ended
	Size   int     `json:",omitempty"` // number of machines needed in a peak
	Base   int     `json:",omitempty"` // size of the pool before its first peak
}

// Record returns the lease of the row.
func (c *Control) Record() lease.Record { return lease.Record(c.Lease) }

// SetLease replaces the lease of the row.
func (c *Control) SetLease(r lease.Record) { c.Lease = Lease(r) }

// Load is what the holder of a pool's lease reports about the pool's workers.
// It has a row of its own because all processes follow the lease row, and only
// the holder of the fleet's lease and the next holder of the pool's read this.
type Load struct {
	Engaged []engine.EngagedWorker `json:",omitempty"` // workers that may have runs that this holder started
	Status  engine.Status
}

// EncodeLoad encodes a load row.
func EncodeLoad(l Load) ([]byte, error) { return encode("load row", l) }

// DecodeLoad decodes a load row.
func DecodeLoad(value []byte) (Load, error) { return decode[Load]("load row", value) }

// EncodeControl encodes a lease row of store.TableControl.
func EncodeControl(c Control) ([]byte, error) { return encode("lease row", c) }

// DecodeControl decodes a lease row.
func DecodeControl(value []byte) (Control, error) { return decode[Control]("lease row", value) }
