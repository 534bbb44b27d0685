package cli

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/structs"
)

// singleJobHandler is a job handler for one job. It reports the result of the
// first submission as unknown.
type singleJobHandler struct {
	operator.JobHandler
	calls int
	spec  structs.JobSpec
}

func (h *singleJobHandler) SubmitJob(_ context.Context, s structs.JobSpec) (operator.JobReply, error) {
	if h.calls++; h.calls == 1 {
		return operator.JobReply{}, &operator.Error{Code: operator.CodeUnknown, Message: "lost"}
	}
	h.spec = s
	return operator.JobReply{Job: structs.Job{Spec: s, State: structs.JobQueued}}, nil
}

func (h *singleJobHandler) Jobs(_ context.Context, r operator.JobsRequest) (operator.JobsReply, error) {
	return operator.JobsReply{More: true, Jobs: []structs.Job{{Spec: h.spec, State: structs.JobRunning, Cancel: true, Worker: r.Team}}}, nil
}

// A submission whose result is unknown must be repeated under the same id, and
// the values of the flags must be in the submitted job.
func TestJobCommands(t *testing.T) {
	handler := &singleJobHandler{}
	s, err := operator.NewServer(operator.Options{Addr: "127.0.0.1:0", Key: "0123456789abcdef", Timeout: time.Second,
		Handler: struct{ operator.Handler }{}, Jobs: handler})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-ended) })
	t.Setenv(operatorKeyEnv, "0123456789abcdef")
	out, _, code := run(t, "job", "submit", "--addr", s.Addr(), "--pool", "p", "--team", "t", "--class", "urgent",
		"--cores", "2500", "--memory", "7", "--run-time", "90s", "--checkpoints", "a1")
	require.Zero(t, code)
	require.Contains(t, out, "queued")
	require.Equal(t, structs.JobSpec{ID: "a1", Pool: "p", Team: "t", Class: structs.ClassUrgent, MilliCores: 2500,
		MemoryMB: 7, RunTime: 90 * time.Second, Checkpoints: true}, handler.spec)
	out, _, code = run(t, "job", "list", "--addr", s.Addr(), "--team", "t")
	require.Zero(t, code)
	require.Contains(t, out, "running (cancelling)")
	require.Contains(t, out, "--after a1")
	_, _, code = run(t, "job", "status", "--addr", s.Addr())
	require.Equal(t, ExitUsage, code)
}
