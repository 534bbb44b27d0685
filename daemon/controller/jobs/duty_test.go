package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/structs"
)

// Jobs whose run times and sizes differ widely from the declared ones must all
// succeed without overlapping runs. Their ends are seen only in the usage
// report, which lags behind.
func TestJobsRunToCompletion(t *testing.T) {
	faults := platform.Faults{RunSigma: 1.5, UsageSigma: 0.7}
	cluster := newTestCluster(t, 4, faults)
	cluster.holdLease("c1", 1)
	n := cluster.node("c1", cluster.table, 2*time.Second)
	classes := []structs.Class{structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch}
	for i := range 60 {
		n.submit(t, jobSpec(fmt.Sprintf("j%02d", i), classes[i%3], 1+i%8, 50*time.Millisecond))
	}
	for i := range 60 {
		cluster.waitForState(fmt.Sprintf("j%02d", i), structs.JobDone)
	}
	require.Zero(t, cluster.server.State().Tasks.Overlaps)
}

// A job that is too large for every VM must be refused with a reason.
// Otherwise its team would wait forever.
func TestOversizedJobIsRefused(t *testing.T) {
	cluster := newTestCluster(t, 2, platform.Faults{})
	cluster.holdLease("c1", 1)
	n := cluster.node("c1", cluster.table, 2*time.Second)
	n.submit(t, jobSpec("big", structs.ClassStandard, 17, time.Second))
	require.Contains(t, cluster.waitForState("big", structs.JobRefused).Reason, "largest worker has 16000")
}
