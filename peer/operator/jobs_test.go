package operator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/structs"
)

// fakeJobs replies with the values in the request and records page requests.
type fakeJobs struct{ request JobsRequest }

func (f *fakeJobs) SubmitJob(_ context.Context, s structs.JobSpec) (JobReply, error) {
	return JobReply{Job: structs.Job{Spec: s, State: structs.JobQueued}}, nil
}

func (f *fakeJobs) Job(_ context.Context, id string) (JobReply, error) {
	return JobReply{}, &Error{Code: CodeNotFound, Message: "no job " + id}
}

func (f *fakeJobs) CancelJob(_ context.Context, id string) (JobReply, error) {
	return JobReply{Job: structs.Job{Spec: structs.JobSpec{ID: id}, Cancel: true}}, nil
}

func (f *fakeJobs) Jobs(_ context.Context, r JobsRequest) (JobsReply, error) {
	f.request = r
	return JobsReply{More: true}, nil
}

// Calls about jobs must require the key, transfer every field in both
// directions, and refuse large bodies.
func TestJobCalls(t *testing.T) {
	jobs := &fakeJobs{}
	s, err := NewServer(Options{Addr: "127.0.0.1:0", Key: testKey, Timeout: 5 * time.Second, Handler: &fakeHandler{}, Jobs: jobs})
	require.NoError(t, err)
	serve(t, s.Run)
	ctx := context.Background()
	c := NewClient(s.Addr(), testKey)
	spec := structs.JobSpec{ID: "a b", Team: "t", Kind: "k", Class: structs.ClassBatch, Pool: "p", MilliCores: 1,
		MemoryMB: 2, Accelerators: 3, RunTime: time.Second, Attempts: 4, Checkpoints: true, Throttleable: true}
	got, err := c.SubmitJob(ctx, spec)
	require.NoError(t, err)
	require.Equal(t, spec, got.Job.Spec)
	cancelled, err := c.CancelJob(ctx, "a b")
	require.NoError(t, err)
	require.Equal(t, "a b", cancelled.Job.Spec.ID)
	list, err := c.Jobs(ctx, JobsRequest{Team: "t", After: "x"})
	require.NoError(t, err)
	require.True(t, list.More)
	require.Equal(t, JobsRequest{Team: "t", After: "x"}, jobs.request)
	var e *Error
	_, err = c.Job(ctx, "x")
	require.ErrorAs(t, err, &e)
	require.Equal(t, CodeNotFound, e.Code)
	spec.Kind = strings.Repeat("k", maxJobBody)
	_, err = c.SubmitJob(ctx, spec)
	require.ErrorAs(t, err, &e)
	require.Equal(t, CodeTooLarge, e.Code)
	for _, call := range []func(*Client) error{
		func(c *Client) error { _, err := c.SubmitJob(ctx, spec); return err },
		func(c *Client) error { _, err := c.Job(ctx, "x"); return err },
		func(c *Client) error { _, err := c.CancelJob(ctx, "x"); return err },
		func(c *Client) error { _, err := c.Jobs(ctx, JobsRequest{}); return err },
	} {
		err := call(NewClient(s.Addr(), "another key of sixteen"))
		require.ErrorAs(t, err, &e)
		require.Contains(t, []Code{CodeUnauthorized, CodeTooLarge}, e.Code)
	}
}
