package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/structs"
)

// Jobs whose run times and sizes are far from the declared ones must all end
// in success, each after one run, and be found done through a lagging report.
func TestJobsRunToTheEnd(t *testing.T) {
	faults := platform.Faults{RunSigma: 1.5, UsageSigma: 0.7}
	r := newRig(t, 4, faults)
	r.hold("c1", 1)
	n := r.node("c1", r.table, 2*time.Second)
	classes := []structs.Class{structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch}
	for i := range 60 {
		n.submit(t, spec(fmt.Sprintf("j%02d", i), classes[i%3], 1+i%8, 50*time.Millisecond))
	}
	for i := range 60 {
		r.wait(fmt.Sprintf("j%02d", i), structs.JobDone)
	}
	require.Zero(t, r.server.State().Tasks.Overlaps)
}

// A job that no VM can hold must be refused with the reason, or its team
// waits forever.
func TestImpossibleJobIsRefused(t *testing.T) {
	r := newRig(t, 2, platform.Faults{})
	r.hold("c1", 1)
	n := r.node("c1", r.table, 2*time.Second)
	n.submit(t, spec("big", structs.ClassStandard, 17, time.Second))
	require.Contains(t, r.wait("big", structs.JobRefused).Reason, "largest worker has 16000")
}
