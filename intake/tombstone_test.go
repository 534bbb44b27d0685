package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cancelUnknownJob passes a cancellation to the handler and answers that no job with its id
// is stored.
func cancelUnknownJob(t *testing.T, h *Handler, now time.Time) {
	h.HandleRequest(now, newRequest(Cancel, "/a/"+jobID))
	require.Equal(t, ReadSubmission, onlyCall(t, h).Op)
	h.HandleAnswer(now, Answer{Number: 1, Op: ReadSubmission, Result: NotFound})
}

// A cancellation was acknowledged with "no such job" and forgotten, so a submission that
// was under way at a paused VM was accepted after it, and the job ran (review/2). It may
// be acknowledged only once a tombstone is stored.
func TestCancelOfUnknownJobIsAcknowledgedOnlyWhenStored(t *testing.T) {
	h := newConfiguredHandler(t)
	cancelUnknownJob(t, h, start)
	require.Equal(t, PutTombstone, onlyCall(t, h).Op)
	// Without an answer, the write is repeated.
	h.HandleAnswer(start, Answer{Number: 1, Op: PutTombstone, Result: Unknown})
	require.Equal(t, PutTombstone, onlyCall(t, h).Op)
	h.HandleAnswer(start, Answer{Number: 1, Op: PutTombstone, Result: Done})
	require.Equal(t, NoJob, onlyReply(t, h).Outcome)

	cancelUnknownJob(t, h, start)
	onlyCall(t, h)
	h.HandleAnswer(start.Add(maxRetryTime), Answer{Number: 1, Op: PutTombstone, Result: Unknown})
	require.Equal(t, Indeterminate, onlyReply(t, h).Outcome)
}

// A job that is stored between the two calls of a cancellation must be cancelled like any
// other, not reported as missing.
func TestJobStoredDuringCancelIsCancelled(t *testing.T) {
	h := newConfiguredHandler(t)
	cancelUnknownJob(t, h, start)
	onlyCall(t, h)
	h.HandleAnswer(start, Answer{Number: 1, Op: PutTombstone, Result: Exists})
	require.Equal(t, PutCancel, onlyCall(t, h).Op)
	h.HandleAnswer(start, Answer{Number: 1, Op: PutCancel, Result: Done})
	require.Equal(t, Accepted, onlyReply(t, h).Outcome)
}

// A caller whose id was cancelled must learn that the job is not accepted and that a
// retry does not help.
func TestSubmissionOfCancelledIDIsRefusedForGood(t *testing.T) {
	h := newConfiguredHandler(t)
	h.HandleRequest(start, newRequest(Submit, "/a/"+jobID))
	onlyCall(t, h)
	h.HandleAnswer(start, Answer{Number: 1, Op: Insert, Result: Cancelled})
	r := onlyReply(t, h)
	require.Equal(t, CancelledID, r.Outcome)
	require.Zero(t, r.RetryAfter)
}

// Cancellations of made-up ids could fill the store. Beyond the limit they are refused
// without being acknowledged, and those of stored jobs are not affected.
func TestTombstonesAreLimited(t *testing.T) {
	h := newConfiguredHandler(t)
	for range maxTombstoneBurst {
		cancelUnknownJob(t, h, start)
		require.Equal(t, PutTombstone, onlyCall(t, h).Op)
		h.HandleAnswer(start, Answer{Number: 1, Op: PutTombstone, Result: Done})
		onlyReply(t, h)
	}
	cancelUnknownJob(t, h, start)
	r := onlyReply(t, h)
	require.Equal(t, NotAccepted, r.Outcome)
	require.Positive(t, r.RetryAfter)

	h.HandleRequest(start, newRequest(Cancel, "/a/"+jobID))
	onlyCall(t, h)
	h.HandleAnswer(start, Answer{Number: 1, Op: ReadSubmission, Result: Done})
	require.Equal(t, PutCancel, onlyCall(t, h).Op)
	h.HandleAnswer(start, Answer{Number: 1, Op: PutCancel, Result: Done})
	onlyReply(t, h)

	cancelUnknownJob(t, h, start.Add(time.Second))
	require.Equal(t, PutTombstone, onlyCall(t, h).Op)
}

func wholePart(string) string { return "" }

// A tombstone that is removed while the submission that it has to stop may still arrive
// breaks the promise of its cancellation. One that is written again starts a new life.
func TestTombstoneIsKeptForItsLifetime(t *testing.T) {
	var stones Tombstones
	stones.Add(start, Tombstone{Key: "a", Version: 1})
	stones.Add(start.Add(time.Minute), Tombstone{Key: "a", Version: 1}) // read again
	stones.Add(start.Add(time.Second), Tombstone{Key: "b", Version: 2})
	require.Empty(t, stones.Expired(start.Add(TombstoneLifetime-1), 9, wholePart))
	require.Equal(t, []Tombstone{{Key: "a", Version: 1}}, stones.Expired(start.Add(TombstoneLifetime), 9, wholePart))
	require.Len(t, stones.Expired(start.Add(TombstoneLifetime+time.Second), 9, wholePart), 2)
	require.Len(t, stones.Expired(start.Add(TombstoneLifetime+time.Second), 1, wholePart), 1)

	stones.Add(start.Add(TombstoneLifetime), Tombstone{Key: "a", Version: 3})
	stones.Forget(Tombstone{Key: "a", Version: 1})
	require.Equal(t, []Tombstone{{Key: "b", Version: 2}}, stones.Expired(start.Add(TombstoneLifetime+time.Second), 9, wholePart))
	require.Equal(t, 2, stones.Len())
	stones.Remove("b")
	require.Equal(t, []Tombstone{{Key: "a", Version: 3}}, stones.Expired(start.Add(3*TombstoneLifetime), 9, wholePart))
	stones.Forget(Tombstone{Key: "a", Version: 3})
	require.Empty(t, stones.Expired(start.Add(3*TombstoneLifetime), 9, wholePart))
	require.Zero(t, stones.Len())
}

// The platform's transactions cover one part.
func TestExpiredTombstonesAreOfOnePart(t *testing.T) {
	var stones Tombstones
	for _, key := range []string{"x1", "y1", "x2"} {
		stones.Add(start, Tombstone{Key: key, Version: 1})
	}
	expired := stones.Expired(start.Add(TombstoneLifetime), 9, func(key string) string { return key[:1] })
	require.Equal(t, []Tombstone{{Key: "x1", Version: 1}, {Key: "x2", Version: 1}}, expired)
}
