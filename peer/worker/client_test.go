package worker_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/peer/worker"
	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/store"
)

func startPlatform(t *testing.T) (*platform.Server, *worker.Client) {
	t.Helper()
	cfg := platform.DefaultConfig()
	cfg.Workers = []store.Worker{{ID: "w1", MilliCores: 4000, MemoryMB: 100}, {ID: "w2", MilliCores: 4000, MemoryMB: 100}}
	s := platform.New(cfg)
	require.NoError(t, s.Start())
	c := worker.New(worker.Options{Addr: s.Addr(), Timeout: 10 * time.Second})
	t.Cleanup(func() {
		c.Close()
		require.NoError(t, s.Stop(context.Background()))
	})
	return s, c
}

func newTask(id, workerID string, token uint64) store.Task {
	return store.Task{ID: id, Worker: workerID, Token: token, MilliCores: 2000, MemoryMB: 10, Declared: time.Hour, Lease: time.Hour}
}

// A controller that was paused must not act on a task that another controller
// has placed elsewhere in the meantime.
func TestOldTokensAreFenced(t *testing.T) {
	s, c := startPlatform(t)
	ctx := context.Background()
	first, err := c.Start(ctx, newTask("a", "w1", 1))
	require.NoError(t, err)
	again, err := c.Start(ctx, newTask("a", "w1", 1))
	require.NoError(t, err)
	require.Equal(t, first.Token, again.Token, "a repeated start must not start twice")
	_, err = c.Start(ctx, newTask("a", "w2", 2))
	require.NoError(t, err)
	for name, call := range map[string]func() error{
		"start":      func() error { _, err := c.Start(ctx, newTask("a", "w2", 1)); return err },
		"renew":      func() error { _, err := c.Renew(ctx, store.Hold{Task: "a", Token: 1, Lease: time.Hour}); return err },
		"checkpoint": func() error { _, err := c.Checkpoint(ctx, store.Hold{Task: "a", Token: 1}); return err },
		"throttle":   func() error { _, err := c.Throttle(ctx, store.Hold{Task: "a", Token: 1}, 1000); return err },
		"stop":       func() error { _, err := c.Stop(ctx, store.Hold{Task: "a", Token: 1}); return err },
	} {
		require.ErrorIs(t, call(), store.ErrFenced, name)
	}
	require.Equal(t, int64(2), s.State().Tasks.Started)
	require.Equal(t, int64(1), s.State().Tasks.Overlaps)
}

// The errors must be distinguishable: the scheduler tries another worker, waits,
// or gives up, depending on the error.
func TestCapacityAndErrors(t *testing.T) {
	s, c := startPlatform(t)
	ctx := context.Background()
	big := newTask("big", "w1", 1)
	big.MilliCores = 5000
	_, err := c.Start(ctx, big)
	require.ErrorIs(t, err, store.ErrNeverFits)
	for _, id := range []string{"a", "b"} {
		_, err = c.Start(ctx, newTask(id, "w1", 1))
		require.NoError(t, err)
	}
	_, err = c.Start(ctx, newTask("c", "w1", 1))
	require.ErrorIs(t, err, store.ErrNoRoom)
	run, err := c.Stop(ctx, store.Hold{Task: "a", Token: 1})
	require.NoError(t, err)
	require.Equal(t, store.RunStopped, run.State)
	_, err = c.Start(ctx, newTask("c", "w1", 1))
	require.NoError(t, err, "a stopped task must give its resources back")
	_, err = c.Stop(ctx, store.Hold{Task: "x", Token: 1})
	require.ErrorIs(t, err, store.ErrNotFound)
	_, err = c.Start(ctx, store.Task{ID: "no-lease", Worker: "w1", Token: 1})
	require.ErrorIs(t, err, store.ErrUnavailable)

	s.SetFaults(platform.Faults{LoseAnswer: 1})
	_, err = c.Start(ctx, newTask("d", "w2", 1))
	require.ErrorIs(t, err, store.ErrUnknown)
	s.SetFaults(platform.Faults{FailWorkers: []string{"w2"}})
	run, err = c.Start(ctx, newTask("d", "w2", 1))
	require.NoError(t, err, "a start whose response was lost can be repeated")
	require.Equal(t, store.RunRunning, run.State)

	_, err = c.Start(ctx, newTask("e", "w2", 1))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		runs, err := c.Usage(ctx, "d", 10)
		return err == nil && len(runs) == 1 && runs[0].Task == "e" && runs[0].State == store.RunFailed
	}, 10*time.Second, 10*time.Millisecond, "a task on a failing worker must fail")
	workers, err := c.ListWorkers(ctx)
	require.NoError(t, err)
	require.Equal(t, "w2", workers[1].ID)
}
