package intake

import (
	"time"

	"github.com/carobwharf/carobwharf/pacing"
)

// A submission may still be under way when its caller cancels it: at a VM that is paused,
// or as a write that the store executes late. A cancellation of a job that is not stored
// therefore stores a tombstone, and no submission is stored while there is one for its id.

// Tombstones are rows for jobs that may never exist, so each VM stores a limited number
// of them.
const (
	// tombstonesPerSecond is the lasting rate of tombstones of one VM.
	tombstonesPerSecond = 1
	// maxTombstoneBurst is the number of tombstones that a VM may store at once, for
	// the callers that give up together after an outage.
	maxTombstoneBurst = 100
)

func newTombstonePacer() *pacing.Pacer {
	return pacing.New(pacing.Options{Initial: tombstonesPerSecond, Min: tombstonesPerSecond, Max: tombstonesPerSecond, Burst: maxTombstoneBurst})
}

// cancelUnstored handles the cancellation of a job that is not stored.
func (h *Handler) cancelUnstored(now time.Time, p *pendingRequest) {
	if !h.tombstones.Ready(now) {
		wait := max(h.retryAfter(now, p), h.tombstones.NextAt(now).Sub(now))
		h.addReply(p, Reply{Outcome: NotAccepted, Reason: "too many cancellations of jobs that are not stored", RetryAfter: wait})
		return
	}
	h.tombstones.Take(now)
	h.addCall(now, p, Call{Op: PutTombstone})
}

func (h *Handler) handleTombstone(now time.Time, p *pendingRequest, a Answer) {
	if a.Result == Exists {
		h.addCall(now, p, Call{Op: PutCancel}) // the job was stored after the read
		return
	}
	h.addReply(p, Reply{Outcome: NoJob, Reason: "the id is not accepted any more"})
}
