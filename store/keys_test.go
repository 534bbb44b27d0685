package store

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/workload"
)

// Guards against keys that differ from those of rows that are stored already: their jobs
// would not be found, and their cancellations would not match them.
func TestKeysOfStoredJobs(t *testing.T) {
	job := workload.JobKey{Queue: workload.QueueKey("pule25.example", "/puxa400/"), ID: "5c0e7a21d94b36f8"}
	require.Equal(t, "work/ealdqopicc40-61/5c0e7a21d94b36f8", KeyWork(job))
	require.Equal(t, "work/ealdqopicc40-61/5c0e7a21d94b36f8/cancel", KeyWorkCancel(job))
}

// Guards against a cancellation that names another job than the one whose row it is
// stored with.
func TestCancellationNamesItsJob(t *testing.T) {
	job := workload.JobKey{Queue: workload.QueueKey("h", "/a/"), ID: "5c0e7a21d94b36f8"}
	got, ok := CancelledWork(KeyWorkCancel(job))
	require.True(t, ok)
	require.Equal(t, job, got)
	_, ok = CancelledWork(KeyWork(job))
	require.False(t, ok)
}
