package operator

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/structs"
)

// fakeJobs answers with what it was asked.
type fakeJobs struct{ listed JobsRequest }

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
	f.listed = r
	return JobsReply{More: true}, nil
}

// The calls about jobs must need the key like all others, carry every field
// there and back, and refuse large bodies.
func TestJobCalls(t *testing.T) {
	jobs := &fakeJobs{}
	s, err := NewServer(Options{Addr: "127.0.0.1:0", Key: key, Timeout: 5 * time.Second, Handler: &fake{}, Jobs: jobs})
	require.NoError(t, err)
	serve(t, s.Run)
	ctx := context.Background()
	c := NewClient(s.Addr(), key)
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
	require.Equal(t, JobsRequest{Team: "t", After: "x"}, jobs.listed)
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
