package process

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/settings"
	standin "github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/structs"
)

const jobConfig = `[pool p]
target = 3
max = 3
[pool s]
spare = true
target = 0
[team t]
jobs = 10
`

// Guards against jobs that never run, run twice or are unknown at the other
// controller: jobs submitted to any controller must run once under the leases that
// the pool keepers hold, even if run times differ widely from the declared ones.
func TestJobsRunUnderPoolKeeperLeases(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.Faults.RunSigma = 1.5
	for i := range 3 {
		cfg.VMs = append(cfg.VMs, structs.VM{ID: fmt.Sprint("v", i), Addr: "127.0.0.1:1", DataCentre: "dc",
			Rack: fmt.Sprint("r", i), State: structs.VMLive, Cores: 16, MemoryMB: 32000, Slots: 8, Connections: 64})
	}
	s := standin.New(cfg)
	require.NoError(t, s.Start())
	t.Cleanup(func() { require.NoError(t, s.Stop(context.Background())) })
	var clients []*operator.Client
	for i := range 2 {
		clients = append(clients, startController(t, s.Addr(), fmt.Sprint("c", i)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	_, err := clients[0].Submit(ctx, "first-set", 0, "set.ini", []byte(jobConfig))
	require.NoError(t, err)
	spec := func(i int) structs.JobSpec {
		return structs.JobSpec{ID: fmt.Sprint("j", i), Team: "t", Kind: "k", Class: structs.ClassUrgent, Pool: "p",
			MilliCores: 4000, MemoryMB: 1000, RunTime: 200 * time.Millisecond}
	}
	for i := range 20 {
		require.Eventually(t, func() bool {
			_, err := clients[i%2].SubmitJob(ctx, spec(i))
			var e *operator.Error
			require.False(t, errors.As(err, &e) && e.Code == operator.CodeConflict, "%v", err)
			return err == nil
		}, time.Minute, 50*time.Millisecond)
	}
	for i := range 20 {
		require.Eventually(t, func() bool {
			reply, err := clients[1-i%2].Job(ctx, spec(i).ID)
			return err == nil && reply.Job.State == structs.JobDone && reply.Job.Starts == 1
		}, time.Minute, 50*time.Millisecond, "job %d", i)
	}
}

func startController(t *testing.T, platformAddr, id string) *operator.Client {
	p := settings.DefaultProcess()
	p.ID, p.DataCentre, p.Platform.Addr = id, "dc", platformAddr
	p.Controller.OperatorKey, p.Controller.LeaseDuration = "0123456789abcdef", 2*time.Second
	p.Controller.Reconcile = 200 * time.Millisecond
	c, err := NewController(Options{Settings: p, Log: hclog.NewNullLogger(), Metrics: metrics.New(), Version: "test"})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- c.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-runErr) })
	return operator.NewClient(c.OperatorAddr(), p.Controller.OperatorKey)
}
