package process

import (
	"time"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs"
	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
	"github.com/carobwharf/carobwharf/peer/worker"
)

const (
	jobCalls    = 32 // calls to the platform and to workers at the same time
	jobLease    = 30 * time.Second
	jobScan     = 500 * time.Millisecond // an urgent job starts within 1.7 s at p99
	jobUsage    = time.Second
	jobRetry    = 500 * time.Millisecond
	jobStarts   = 256 // in one step
	jobAttempts = 3
)

// newJobs builds the duty that runs jobs on the workers. The base closes the
// connections to them.
func newJobs(b *base, in views) (*jobs.Duty, error) {
	b.workers = worker.New(worker.Options{
		Addr: b.set.Platform.Addr, Timeout: b.set.Platform.Timeout,
		MaxConnections: jobCalls, MaxConnAge: b.set.Platform.MaxConnAge,
	})
	return jobs.New(jobs.Options{
		Machine: machine.Config{
			ID: b.set.ID, Lease: jobLease, ScanInterval: jobScan, UsageInterval: jobUsage, RetryDelay: jobRetry,
			MaxStarts: jobStarts, Attempts: jobAttempts,
		},
		Timeout: b.set.Platform.Timeout, MaxConcurrentCalls: jobCalls, Table: b.platform,
		Workers: b.workers, Fleet: in.fleets, Configs: in.configs,
		Log: b.part("jobs"), Metrics: b.opts.Metrics,
	})
}
