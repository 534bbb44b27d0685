package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

const jobID = "5c0e7a21d94b36f8"

var start = time.Unix(1000, 0)

func configured(t *testing.T) *Machine {
	m := New()
	require.True(t, m.Configure(&workload.Configuration{Version: 3, Queues: []workload.Queue{
		{Name: "wide", Host: "h", Prefix: "/a/", Pool: "p1"},
		{Name: "narrow", Host: "h", Prefix: "/a/b/", Pool: "p2"},
	}}))
	return m
}

func request(kind Kind, path string) Request {
	return Request{
		Number: 1, Kind: kind, Host: "h", Path: path, Patience: 3 * time.Second,
		Submission: workload.Submission{Spec: "s", Steps: []workload.Step{{Count: 2}}},
	}
}

func onlyCall(t *testing.T, m *Machine) Call {
	calls, replies := m.Take()
	require.Empty(t, replies)
	require.Len(t, calls, 1)
	return calls[0]
}

func onlyReply(t *testing.T, m *Machine) Reply {
	calls, replies := m.Take()
	require.Empty(t, calls)
	require.Len(t, replies, 1)
	return replies[0]
}

// A job that was reported as accepted before its row was stored is lost with
// the VM.
func TestSubmissionIsAcceptedOnlyWhenStored(t *testing.T) {
	m := configured(t)
	m.Arrive(start, request(Submit, "/a/b/"+jobID))
	c := onlyCall(t, m)
	require.Equal(t, Insert, c.Op)
	require.Equal(t, "p2", c.Work.Pool, "the longest prefix selects the queue")
	m.Answered(start, Answer{Number: 1, Op: Insert, Result: Done})
	require.Equal(t, Accepted, onlyReply(t, m).Outcome)
}

// A write without an answer may still take effect: the caller must not be told
// that its job was not accepted.
func TestUnknownWriteIsNeverReportedAsRefused(t *testing.T) {
	m := configured(t)
	now := start
	m.Arrive(now, request(Submit, "/a/"+jobID))
	m.Answered(now, Answer{Number: 1, Op: onlyCall(t, m).Op, Result: Unknown})
	for {
		calls, replies := m.Take()
		if len(replies) > 0 {
			require.Equal(t, Unsure, replies[0].Outcome)
			return
		}
		require.Len(t, calls, 1)
		now = now.Add(100 * time.Millisecond)
		m.Answered(now, Answer{Number: 1, Op: Insert, Result: Unreached})
	}
}

// A store that takes nothing must not make callers wait until their deadline.
func TestRefusalIsEarlyAndSaysWhenToComeBack(t *testing.T) {
	m := configured(t)
	m.Arrive(start, request(Submit, "/a/"+jobID))
	onlyCall(t, m)
	m.Answered(start.Add(giveUpAfter), Answer{Number: 1, Op: Insert, Result: Unreached})
	r := onlyReply(t, m)
	require.Equal(t, NotAccepted, r.Outcome)
	require.Positive(t, r.Retry)
}

// A repeated submission with the same id is one job; another job with that id
// is refused.
func TestRepeatedSubmission(t *testing.T) {
	stored := request(Submit, "").Submission
	other := stored
	other.Spec = "other"
	for want, work := range map[Outcome]workload.Submission{Accepted: stored, Differs: other} {
		m := configured(t)
		m.Arrive(start, request(Submit, "/a/"+jobID))
		onlyCall(t, m)
		m.Answered(start, Answer{Number: 1, Op: Insert, Result: Exists, Work: work})
		require.Equal(t, want, onlyReply(t, m).Outcome)
	}
}

// The state of a job whose queue was given to another pool was answered as if
// there were no such job.
func TestStateIsFoundInThePoolOfTheSubmission(t *testing.T) {
	m := configured(t)
	m.Arrive(start, request(State, "/a/"+jobID))
	require.Equal(t, "p1", onlyCall(t, m).Pool)
	m.Answered(start, Answer{Number: 1, Op: ReadProgress, Result: Missing})
	require.Equal(t, ReadWork, onlyCall(t, m).Op)
	m.Answered(start, Answer{Number: 1, Op: ReadWork, Work: workload.Submission{Pool: "old"}})
	c := onlyCall(t, m)
	require.Equal(t, ReadProgress, c.Op)
	require.Equal(t, "old", c.Pool)
	m.Answered(start, Answer{Number: 1, Op: ReadProgress, Progress: workload.Progress{State: workload.Running}})
	require.Equal(t, workload.Running, onlyReply(t, m).State)
}

// Answers for each kind of request that needs no store, or finds nothing.
func TestPlainAnswers(t *testing.T) {
	m := New()
	m.Arrive(start, request(Submit, "/a/"+jobID))
	require.Equal(t, NotAccepted, onlyReply(t, m).Outcome, "without a configuration")

	m = configured(t)
	m.SetWaiting(map[string]int{"wide": 7})
	cases := []struct {
		name string
		r    Request
		want Outcome
	}{
		{"no queue", request(State, "/c/"+jobID), NoQueue},
		{"bad id", request(Submit, "/a/xyz"), Malformed},
		{"count", request(State, "/a/"), Count},
		{"no steps", Request{Number: 1, Kind: Submit, Host: "h", Path: "/a/" + jobID}, Malformed},
		{"unreadable", Request{Number: 1, Kind: Submit, Host: "h", Path: "/a/" + jobID, Bad: "not JSON"}, Malformed},
	}
	for _, c := range cases {
		m.Arrive(start, c.r)
		require.Equal(t, c.want, onlyReply(t, m).Outcome, c.name)
	}
	m.Arrive(start, request(Cancel, "/a/"+jobID))
	onlyCall(t, m)
	m.Answered(start, Answer{Number: 1, Op: ReadWork, Result: Missing})
	require.Equal(t, NoJob, onlyReply(t, m).Outcome)
}

// A configuration that arrives late must not bring an earlier one back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	m := configured(t)
	require.False(t, m.Configure(&workload.Configuration{Version: 2}))
	require.Equal(t, uint64(3), m.Version())
}

// While the store was silent each submission was sent to it, and its caller was
// told after 0.9 s that nothing is known, though a refusal would have been true.
func TestSilentStoreIsNotSentSubmissions(t *testing.T) {
	m := configured(t)
	arrive := func(number uint64, at time.Duration) {
		r := request(Submit, "/a/b/"+jobID)
		r.Number = number
		m.Arrive(start.Add(at), r)
	}
	arrive(1, 0)
	require.Equal(t, Insert, onlyCall(t, m).Op)
	arrive(2, 400*time.Millisecond)
	require.Equal(t, Insert, onlyCall(t, m).Op, "a slow store takes as long")
	arrive(3, 600*time.Millisecond)
	require.Equal(t, Insert, onlyCall(t, m).Op, "a probe")
	arrive(4, 650*time.Millisecond)
	r := onlyReply(t, m)
	require.Equal(t, NotAccepted, r.Outcome)
	require.Positive(t, r.Retry)
	arrive(5, 900*time.Millisecond)
	require.Equal(t, Insert, onlyCall(t, m).Op, "the next probe")
	m.Answered(start.Add(910*time.Millisecond), Answer{Number: 5, Op: Insert, Result: Done})
	require.Equal(t, Accepted, onlyReply(t, m).Outcome)
	arrive(6, 920*time.Millisecond)
	require.Equal(t, Insert, onlyCall(t, m).Op, "the store is back")
	// A long silence without calls says nothing about the store.
	m.Answered(start.Add(930*time.Millisecond), Answer{Number: 6, Op: Insert, Result: Done})
	m.Take()
	arrive(7, time.Minute)
	require.Equal(t, Insert, onlyCall(t, m).Op)
}
