package intake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

const jobID = "5c0e7a21d94b36f8"

var start = time.Unix(1000, 0)

func newConfiguredHandler(t *testing.T) *Handler {
	h := New()
	require.True(t, h.Configure(&workload.Configuration{Version: 3, Queues: []workload.Queue{
		{Name: "wide", Host: "h", Prefix: "/a/", Pool: "p1"},
		{Name: "narrow", Host: "h", Prefix: "/a/b/", Pool: "p2"},
	}}))
	return h
}

func newRequest(kind Kind, path string) Request {
	return Request{
		Number: 1, Kind: kind, Host: "h", Path: path, Timeout: 3 * time.Second,
		Submission: workload.Submission{Spec: "s", Steps: []workload.Step{{Count: 2}}},
	}
}

func onlyCall(t *testing.T, h *Handler) Call {
	calls, replies := h.TakeOutput()
	require.Empty(t, replies)
	require.Len(t, calls, 1)
	return calls[0]
}

func onlyReply(t *testing.T, h *Handler) Reply {
	calls, replies := h.TakeOutput()
	require.Empty(t, calls)
	require.Len(t, replies, 1)
	return replies[0]
}

// A job that is reported as accepted before its row is stored is lost if the VM
// fails.
func TestSubmissionIsAcceptedOnlyWhenStored(t *testing.T) {
	h := newConfiguredHandler(t)
	h.HandleRequest(start, newRequest(Submit, "/a/b/"+jobID))
	c := onlyCall(t, h)
	require.Equal(t, Insert, c.Op)
	require.Equal(t, "p2", c.Submission.Pool, "the longest prefix selects the queue")
	h.HandleAnswer(start, Answer{Number: 1, Op: Insert, Result: Done})
	require.Equal(t, Accepted, onlyReply(t, h).Outcome)
}

// A write without an answer may still take effect, so its caller must not be
// told that the job was not accepted, even if all retries fail.
func TestUnknownWriteIsNeverReportedAsRefused(t *testing.T) {
	h := newConfiguredHandler(t)
	now := start
	h.HandleRequest(now, newRequest(Submit, "/a/"+jobID))
	h.HandleAnswer(now, Answer{Number: 1, Op: onlyCall(t, h).Op, Result: Unknown})
	for {
		calls, replies := h.TakeOutput()
		if len(replies) > 0 {
			require.Equal(t, Indeterminate, replies[0].Outcome)
			return
		}
		require.Len(t, calls, 1)
		now = now.Add(100 * time.Millisecond)
		h.HandleAnswer(now, Answer{Number: 1, Op: Insert, Result: Unavailable})
	}
}

// A submission that no row can hold was refused as if the store were away, and its
// caller was asked to come back with it for ever.
func TestSubmissionTooLargeForARowIsMalformed(t *testing.T) {
	h := newConfiguredHandler(t)
	h.HandleRequest(start, newRequest(Submit, "/a/"+jobID))
	onlyCall(t, h)
	h.HandleAnswer(start, Answer{Number: 1, Op: Insert, Result: TooLarge})
	r := onlyReply(t, h)
	require.Equal(t, Malformed, r.Outcome)
	require.NotEmpty(t, r.Reason)
	require.Zero(t, h.Pending())
}

// If the store is unavailable, the caller must be refused well before its
// deadline, so that it can retry at another VM.
func TestRefusalIsEarlyWithRetryTime(t *testing.T) {
	h := newConfiguredHandler(t)
	h.HandleRequest(start, newRequest(Submit, "/a/"+jobID))
	onlyCall(t, h)
	h.HandleAnswer(start.Add(maxRetryTime), Answer{Number: 1, Op: Insert, Result: Unavailable})
	r := onlyReply(t, h)
	require.Equal(t, NotAccepted, r.Outcome)
	require.Positive(t, r.RetryAfter)
}

// A retried submission must be accepted as the same job; a different job with
// the same id must be refused.
func TestRepeatedSubmission(t *testing.T) {
	stored := newRequest(Submit, "").Submission
	other := stored
	other.Spec = "other"
	for want, existing := range map[Outcome]workload.Submission{Accepted: stored, IDConflict: other} {
		h := newConfiguredHandler(t)
		h.HandleRequest(start, newRequest(Submit, "/a/"+jobID))
		onlyCall(t, h)
		h.HandleAnswer(start, Answer{Number: 1, Op: Insert, Result: Exists, Submission: existing})
		require.Equal(t, want, onlyReply(t, h).Outcome)
	}
}

// After the queue of a job is assigned to another pool, the job's progress is
// still in the former pool. Reading only the queue's present pool would report
// the job as missing.
func TestStateIsReadFromPoolOfSubmission(t *testing.T) {
	h := newConfiguredHandler(t)
	h.HandleRequest(start, newRequest(QueryState, "/a/"+jobID))
	require.Equal(t, "p1", onlyCall(t, h).Pool)
	h.HandleAnswer(start, Answer{Number: 1, Op: ReadProgress, Result: NotFound})
	require.Equal(t, ReadSubmission, onlyCall(t, h).Op)
	h.HandleAnswer(start, Answer{Number: 1, Op: ReadSubmission, Submission: workload.Submission{Pool: "old"}})
	c := onlyCall(t, h)
	require.Equal(t, ReadProgress, c.Op)
	require.Equal(t, "old", c.Pool)
	h.HandleAnswer(start, Answer{Number: 1, Op: ReadProgress, Progress: workload.Progress{State: workload.Running}})
	require.Equal(t, workload.Running, onlyReply(t, h).State)
}

// A pool had a job with the ID that the caller asked for, of another queue. Its state was
// shown to the caller, whose own job is in the queue's former pool, or was never submitted.
func TestStateOfAnotherQueuesJobIsNotShown(t *testing.T) {
	foreign := Answer{Number: 1, Op: ReadProgress, Progress: workload.Progress{Queue: workload.QueueKey("h", "/a/b/"), State: workload.Completed}}
	own := foreign
	own.Progress = workload.Progress{Queue: workload.QueueKey("h", "/a/"), State: workload.Running}
	ask := func() *Handler {
		h := newConfiguredHandler(t)
		h.HandleRequest(start, newRequest(QueryState, "/a/"+jobID))
		onlyCall(t, h)
		h.HandleAnswer(start, foreign)
		require.Equal(t, ReadSubmission, onlyCall(t, h).Op)
		return h
	}
	h := ask()
	h.HandleAnswer(start, Answer{Number: 1, Op: ReadSubmission, Result: NotFound})
	require.Equal(t, NoJob, onlyReply(t, h).Outcome)

	h = ask()
	h.HandleAnswer(start, Answer{Number: 1, Op: ReadSubmission, Submission: workload.Submission{Pool: "old"}})
	require.Equal(t, "old", onlyCall(t, h).Pool)
	h.HandleAnswer(start, own)
	require.Equal(t, workload.Running, onlyReply(t, h).State)

	h = ask()
	h.HandleAnswer(start, Answer{Number: 1, Op: ReadSubmission, Submission: workload.Submission{Pool: "old"}})
	onlyCall(t, h)
	h.HandleAnswer(start, foreign)
	require.Equal(t, workload.Queued, onlyReply(t, h).State)
}

// Replies that need no call to the store, and the cancellation of a job that
// does not exist.
func TestSimpleReplies(t *testing.T) {
	h := New()
	h.HandleRequest(start, newRequest(Submit, "/a/"+jobID))
	require.Equal(t, NotAccepted, onlyReply(t, h).Outcome, "without a configuration")

	h = newConfiguredHandler(t)
	h.SetWaiting(map[string]int{"wide": 7})
	cases := []struct {
		name string
		r    Request
		want Outcome
	}{
		{"no queue", newRequest(QueryState, "/c/"+jobID), NoQueue},
		{"bad id", newRequest(Submit, "/a/xyz"), Malformed},
		{"count", newRequest(QueryState, "/a/"), WaitingCount},
		{"no steps", Request{Number: 1, Kind: Submit, Host: "h", Path: "/a/" + jobID}, Malformed},
		{"unreadable", Request{Number: 1, Kind: Submit, Host: "h", Path: "/a/" + jobID, DecodeError: "not JSON"}, Malformed},
	}
	for _, c := range cases {
		h.HandleRequest(start, c.r)
		require.Equal(t, c.want, onlyReply(t, h).Outcome, c.name)
	}
	h.HandleRequest(start, newRequest(Cancel, "/a/"+jobID))
	onlyCall(t, h)
	h.HandleAnswer(start, Answer{Number: 1, Op: ReadSubmission, Result: NotFound})
	require.Equal(t, PutTombstone, onlyCall(t, h).Op)
	h.HandleAnswer(start, Answer{Number: 1, Op: PutTombstone, Result: Done})
	require.Equal(t, NoJob, onlyReply(t, h).Outcome)
}

// A configuration that arrives late must not replace a later one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	h := newConfiguredHandler(t)
	require.False(t, h.Configure(&workload.Configuration{Version: 2}))
	require.Equal(t, uint64(3), h.Version())
}

// Guards against sending every submission to a store that does not answer: each
// caller then got an unknown outcome after 0.9 s, although a definite refusal was
// possible.
func TestUnresponsiveStoreIsNotSentSubmissions(t *testing.T) {
	h := newConfiguredHandler(t)
	arrive := func(number uint64, at time.Duration) {
		r := newRequest(Submit, "/a/b/"+jobID)
		r.Number = number
		h.HandleRequest(start.Add(at), r)
	}
	arrive(1, 0)
	require.Equal(t, Insert, onlyCall(t, h).Op)
	arrive(2, 400*time.Millisecond)
	require.Equal(t, Insert, onlyCall(t, h).Op, "the store may only be slow")
	arrive(3, 600*time.Millisecond)
	require.Equal(t, Insert, onlyCall(t, h).Op, "first probe")
	arrive(4, 650*time.Millisecond)
	r := onlyReply(t, h)
	require.Equal(t, NotAccepted, r.Outcome)
	require.Positive(t, r.RetryAfter)
	arrive(5, 900*time.Millisecond)
	require.Equal(t, Insert, onlyCall(t, h).Op, "next probe")
	h.HandleAnswer(start.Add(910*time.Millisecond), Answer{Number: 5, Op: Insert, Result: Done})
	require.Equal(t, Accepted, onlyReply(t, h).Outcome)
	arrive(6, 920*time.Millisecond)
	require.Equal(t, Insert, onlyCall(t, h).Op, "the store answers again")
	// Without calls, the time since the last answer says nothing about the store.
	h.HandleAnswer(start.Add(930*time.Millisecond), Answer{Number: 6, Op: Insert, Result: Done})
	h.TakeOutput()
	arrive(7, time.Minute)
	require.Equal(t, Insert, onlyCall(t, h).Op)
}

// After an outage of the store all callers returned in the same second, since each was
// told the same fixed time.
func TestCallersReturnSpreadAfterAnOutage(t *testing.T) {
	refusals := func(outage time.Duration) (times []time.Duration) {
		h := newConfiguredHandler(t)
		h.unansweredSince = start
		for n := range 200 {
			r := newRequest(Submit, fmt.Sprintf("/a/%016x", n))
			r.Number = uint64(n + 1)
			h.nextProbe = start.Add(time.Hour)
			h.HandleRequest(start.Add(outage), r)
			_, replies := h.TakeOutput()
			require.Equal(t, NotAccepted, replies[0].Outcome)
			times = append(times, replies[0].RetryAfter)
		}
		return times
	}
	for outage, bounds := range map[time.Duration][2]time.Duration{
		time.Second:      {time.Second, 2 * time.Second},
		5 * time.Second:  {2500 * time.Millisecond, 5 * time.Second},
		60 * time.Second: {4 * time.Second, 8 * time.Second},
	} {
		times := refusals(outage)
		slices.Sort(times)
		require.GreaterOrEqual(t, times[0], bounds[0])
		require.LessOrEqual(t, times[len(times)-1], bounds[1])
		middle := (bounds[0] + bounds[1]) / 2
		first := slices.IndexFunc(times, func(d time.Duration) bool { return d >= middle })
		require.InDelta(t, 100, first, 30, "half of the callers in each half")
	}
}

// In a deployment of 97 VMs each VM got less than one submission in probeInterval, so
// that during an outage of the store of 4 s, 312 of 414 were sent as probes and answered
// as unsure after a second, and 1,140 state queries waited as long.
func TestRequestsAreRefusedAtOnceWhileReadsFail(t *testing.T) {
	h := newConfiguredHandler(t)
	kinds := map[Kind]string{Submit: "/a/b/" + jobID, QueryState: "/a/b/" + jobID, Cancel: "/a/b/" + jobID}
	ask := func(kind Kind, at time.Duration) {
		h.HandleRequest(start.Add(at), newRequest(kind, kinds[kind]))
	}
	h.SetStoreFailing(start)
	for kind := range kinds {
		ask(kind, 100*time.Millisecond)
		calls, replies := h.TakeOutput()
		require.Len(t, calls, 1, "the connections may have been reset")
		require.Empty(t, replies)
		h.HandleAnswer(start.Add(100*time.Millisecond), Answer{Number: 1, Op: calls[0].Op, Result: TooLarge})
		h.TakeOutput()
		delete(h.requests, 1)
	}
	for kind := range kinds {
		ask(kind, 5*time.Second)
		r := onlyReply(t, h)
		require.Equal(t, NotAccepted, r.Outcome)
		require.GreaterOrEqual(t, r.RetryAfter, 2500*time.Millisecond, "half of the outage")
	}
	h.SetStoreFailing(time.Time{})
	for kind := range kinds {
		ask(kind, 5100*time.Millisecond)
		calls, _ := h.TakeOutput()
		require.Len(t, calls, 1, "the store is back")
	}
}

// A VM whose own calls have had no answer for a while refuses as soon as its reads fail.
func TestOwnCallsConfirmFailingReads(t *testing.T) {
	h := newConfiguredHandler(t)
	h.HandleRequest(start, newRequest(Submit, "/a/b/"+jobID))
	require.Equal(t, Insert, onlyCall(t, h).Op)
	h.SetStoreFailing(start.Add(600 * time.Millisecond))
	r := newRequest(Submit, "/a/b/"+jobID)
	r.Number = 2
	h.HandleRequest(start.Add(610*time.Millisecond), r)
	require.Equal(t, NotAccepted, onlyReply(t, h).Outcome)
}
