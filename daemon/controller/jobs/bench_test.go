package jobs

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/daemon/controller/jobs/machine"
	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// startRecorder records the times at which workers confirmed starts.
type startRecorder struct {
	store.Workers
	confirmed chan startTime
}

type startTime struct {
	job string
	at  time.Time
}

func (s startRecorder) Start(ctx context.Context, t store.Task) (store.Run, error) {
	run, err := s.Workers.Start(ctx, t)
	if err == nil {
		s.confirmed <- startTime{t.ID, time.Now()}
	}
	return run, err
}

// BenchmarkUrgentStart measures the time from the submission of an urgent job
// to its start at 80% load on 50 workers. Jobs are submitted to a controller
// that does not hold the lease. The actual run time is the declared one times a
// lognormal factor with sigma 1. The platform stand-in limits reads and writes to
// the rates that the system is designed for.
func BenchmarkUrgentStart(b *testing.B) {
	const urgent = 200
	for range b.N {
		delays, load := measureUrgentDelays(b, urgent)
		b.ReportMetric(100*load, "load-%")
		slices.Sort(delays)
		b.ReportMetric(delays[len(delays)/2].Seconds(), "p50-s")
		b.ReportMetric(delays[len(delays)*99/100].Seconds(), "p99-s")
	}
}

func measureUrgentDelays(b *testing.B, urgent int) (delays []time.Duration, load float64) {
	faults := platform.DefaultFaults()
	faults.RunSigma, faults.UsageSigma = 1, 0.3
	cluster := newTestCluster(b, 50, faults)
	starts := startRecorder{cluster.workerClient, make(chan startTime, 10000)}
	cluster.holdLease("c1", 1)
	cluster.workersOverride = starts
	cluster.configure = func(c *machine.Config) { c.ScanInterval, c.UsageInterval = 500*time.Millisecond, time.Second }
	cluster.node("c1", cluster.table, 30*time.Second)
	other := cluster.node("c2", cluster.table, 30*time.Second)
	// 640 of 800 cores are used by batch jobs that outlast the measurement and
	// by short standard jobs.
	for i := range 123 {
		other.submit(b, jobSpec(fmt.Sprintf("batch%03d", i), structs.ClassBatch, 4, time.Hour))
	}
	submitted := map[string]time.Time{}
	for i := range urgent {
		id := fmt.Sprintf("urgent%03d", i)
		submitted[id] = time.Now()
		other.submit(b, jobSpec(id, structs.ClassUrgent, 4, 2*time.Second))
		other.submit(b, jobSpec(fmt.Sprintf("standard%03d", i), structs.ClassStandard, 4, 2*time.Second))
		load += cluster.load() / float64(urgent)
		time.Sleep(130 * time.Millisecond)
	}
	deadline := time.After(time.Minute)
	for len(submitted) > 0 {
		select {
		case s := <-starts.confirmed:
			if at, ok := submitted[s.job]; ok {
				delays = append(delays, s.at.Sub(at))
				delete(submitted, s.job)
			}
		case <-deadline:
			require.Empty(b, submitted, "urgent jobs that did not start within a minute")
		}
	}
	return delays, load
}

// load returns the fraction of the cores that running tasks have reserved.
func (cluster *testCluster) load() float64 {
	used := 0
	for _, run := range cluster.server.Runs() {
		if run.State == store.RunRunning {
			used += run.MilliCores
		}
	}
	return float64(used) / float64(16000*len(cluster.vms))
}
