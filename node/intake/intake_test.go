package intake

import (
	"context"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/intake"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// fakeTable counts the transactions.
type fakeTable struct {
	store.Table
	commits int
}

func (f *fakeTable) Commit(context.Context, []store.Op) ([]uint64, error) {
	f.commits++
	return []uint64{1}, nil
}

// The store refuses a row beyond its limit with a status that does not tell why, so
// such a submission must not be sent.
func TestSubmissionTooLargeForARowIsNotSent(t *testing.T) {
	f := &fakeTable{}
	d := New(Options{Table: f, Log: hclog.NewNullLogger(), Metrics: metrics.New()})
	call := intake.Call{Number: 1, Op: intake.Insert, Job: workload.JobKey{ID: "5c0e7a21d94b36f8"}, Submission: workload.Submission{Spec: strings.Repeat("x", 70_000)}}
	require.Equal(t, intake.TooLarge, d.call(context.Background(), call).Result)
	require.Zero(t, f.commits)
	call.Submission.Spec = strings.Repeat("x", 4000)
	require.Equal(t, intake.Done, d.call(context.Background(), call).Result)
	require.Equal(t, 1, f.commits)
}
