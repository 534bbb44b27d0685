package process

import (
	"time"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs"
	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
	"github.com/carobwharf/carobwharf/peer/worker"
)

const (
	maxJobCalls      = 32 // concurrent calls to the platform and to workers
	jobLeaseDuration = 30 * time.Second
	jobScanInterval  = 500 * time.Millisecond // urgent jobs start within 1.7 s (p99) with it
	jobUsageInterval = time.Second
	jobRetryDelay    = 500 * time.Millisecond
	maxJobStarts     = 256 // per scheduling pass
	maxJobAttempts   = 3
)

// newJobsDuty creates the duty that runs jobs on the workers. base.close closes the
// connections to the workers.
func newJobsDuty(b *base, views viewRings) (*jobs.Duty, error) {
	b.workers = worker.New(worker.Options{
		Addr: b.settings.Platform.Addr, Timeout: b.settings.Platform.Timeout,
		MaxConnections: maxJobCalls, MaxConnAge: b.settings.Platform.MaxConnAge,
	})
	return jobs.New(jobs.Options{
		Machine: machine.Config{
			ID: b.settings.ID, TaskLease: jobLeaseDuration, ScanInterval: jobScanInterval, UsageInterval: jobUsageInterval, RetryDelay: jobRetryDelay,
			MaxStarts: maxJobStarts, MaxAttempts: maxJobAttempts,
		},
		Timeout: b.settings.Platform.Timeout, MaxConcurrentCalls: maxJobCalls, Table: b.platform,
		Workers: b.workers, Fleet: views.fleets, Configs: views.configs,
		Log: b.logger("jobs"), Metrics: b.opts.Metrics,
	})
}
