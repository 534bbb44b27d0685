package platform

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/peer/worker/wire"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Guards against errors in the state and progress of a run, which are computed on
// demand from throttling, checkpoints and leases. Every experiment with jobs
// depends on them.
func TestRunStateAtAnyTime(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * time.Second) }
	ts := newTaskTable()
	ts.setWorkers([]store.Worker{{ID: "w", MilliCores: 1000}}, time.Time{})
	_, err := ts.start(store.Task{ID: "a", Worker: "w", Token: 1, MilliCores: 1000, Lease: 150 * time.Second, Progress: 20 * time.Second}, at(0), 100*time.Second, 1, false)
	require.NoError(t, err)
	hold := store.Hold{Task: "a", Token: 1}
	_, err = ts.updateRun(hold, at(20), func(r *run) error { return ts.throttle(r, 500, at(20)) })
	require.NoError(t, err)
	run, err := ts.updateRun(hold, at(40), func(r *run) error { r.checkpoint = r.progressAt(r.phaseAt(at(40)), at(40)); return nil })
	require.NoError(t, err)
	require.Equal(t, 50*time.Second, run.Checkpoint)

	for _, tc := range []struct {
		at       int
		state    store.RunState
		progress float64
	}{
		{0, store.RunRunning, 20}, {10, store.RunRunning, 30}, {20, store.RunRunning, 40},
		{60, store.RunRunning, 60}, {139, store.RunRunning, 99.5}, {140, store.RunDone, 100}, {200, store.RunDone, 100},
	} {
		got := ts.usageReport(at(tc.at), "", 10)[0]
		require.Equal(t, tc.state, got.State, tc.at)
		require.Equal(t, tc.progress, got.Progress.Seconds(), tc.at)
		require.Equal(t, time.Duration(min(tc.at, 140))*time.Second, got.Ran)
	}
	require.Empty(t, ts.usageReport(at(-1), "", 10), "a lagging report must not show a run that started later")
	require.Empty(t, ts.usageReport(at(1000), "", 10), "runs that ended long ago must be removed")
	require.Empty(t, ts.runs)
}

// Guards against throttling that does not free processors for other tasks, and
// against a run that gets its processors back while another task uses them.
func TestThrottlingFreesProcessors(t *testing.T) {
	now := time.Unix(1000, 0)
	ts := newTaskTable()
	ts.setWorkers([]store.Worker{{ID: "w", MilliCores: 1000}}, now)
	start := func(id string) error {
		_, err := ts.start(store.Task{ID: id, Worker: "w", Token: 1, MilliCores: 1000, Lease: time.Hour}, now, time.Hour, 1, false)
		return err
	}
	throttle := func(to int) error {
		_, err := ts.updateRun(store.Hold{Task: "a", Token: 1}, now, func(r *run) error { return ts.throttle(r, to, now) })
		return err
	}
	require.NoError(t, start("a"))
	require.ErrorIs(t, start("b"), store.ErrNoRoom)
	require.NoError(t, throttle(0))
	require.NoError(t, start("b"))
	require.ErrorIs(t, throttle(1000), store.ErrNoRoom)
}

// Guards against a run that outlives its lease: it would still be running when the
// task is started elsewhere, and would keep its resources.
func TestRunEndsWithItsLease(t *testing.T) {
	now := time.Unix(1000, 0)
	ts := newTaskTable()
	ts.setWorkers([]store.Worker{{ID: "w", MilliCores: 1}}, now)
	_, err := ts.start(store.Task{ID: "a", Worker: "w", Token: 1, MilliCores: 1, Lease: time.Second}, now, time.Hour, 1, false)
	require.NoError(t, err)
	run, err := ts.updateRun(store.Hold{Task: "a", Token: 1}, now.Add(time.Second), func(r *run) error { r.leaseEnd = now.Add(time.Hour); return nil })
	require.NoError(t, err)
	require.Equal(t, store.RunExpired, run.State, "an expired lease must not be renewed")
	_, err = ts.start(store.Task{ID: "b", Worker: "w", Token: 1, MilliCores: 1, Lease: time.Second}, now.Add(time.Second), time.Hour, 1, false)
	require.NoError(t, err, "an expired run must release its resources")
}

// Guards against runs that seem to continue after their worker rebooted or was
// removed: their tasks would never be placed again.
func TestRunsFailWithTheirWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := DefaultConfig()
	cfg.VMs = []structs.VM{{ID: "v1", Cores: 1}, {ID: "v2", Cores: 1}}
	s := newState(cfg, new(atomic.Int64))
	s.now = func() time.Time { return now }
	for _, id := range []string{"v1", "v2"} {
		r := startTask{store.Task{ID: "on-" + id, Worker: id, Token: 1, MilliCores: 1000, Lease: time.Hour, Declared: time.Hour}}.apply(s)
		require.Equal(t, store.RunRunning, r.json.(store.Run).State)
	}
	now = now.Add(time.Second)
	require.Equal(t, 200, rebootVM{"v1"}.apply(s).status)
	require.Equal(t, statusUnavailable, startTask{store.Task{ID: "x", Worker: "v1", Token: 1, Lease: 1, Declared: 1}}.apply(s).status)
	setVMs{cfg.VMs[:1]}.apply(s)
	for _, run := range s.tasks.usageReport(now, "", 10) {
		require.Equal(t, store.RunFailed, run.State, run.Task)
	}
}

// Guards against a run that starts after a holder was told that there is none: a
// start that was sent earlier can arrive after the stop.
func TestNoStartAfterStopOfUnknownRun(t *testing.T) {
	cfg := DefaultConfig()
	cfg.VMs = []structs.VM{{ID: "v1", Cores: 1}}
	s := newState(cfg, new(atomic.Int64))
	start := func(token uint64) int {
		return startTask{store.Task{ID: "a", Worker: "v1", Token: token, MilliCores: 1, Lease: time.Hour, Declared: time.Hour}}.apply(s).status
	}
	require.Equal(t, 404, updateTask{wire.PathStop, wire.Hold{Hold: store.Hold{Task: "a", Token: 2}}}.apply(s).status)
	require.Equal(t, 409, start(2))
	require.Equal(t, 200, start(3))
}

// Guards against a run time that differs between runs of the same task, and
// against one that equals the declared run time despite a sigma above 0.
func TestSampledRunTimeDependsOnlyOnTheTask(t *testing.T) {
	task := store.Task{ID: "a", Declared: time.Minute}
	workTime, usageFactor := sampleRunTimeAndUsage(1, task, 1, 0)
	again, _ := sampleRunTimeAndUsage(1, task, 1, 0)
	require.Equal(t, workTime, again)
	require.NotEqual(t, task.Declared, workTime)
	require.Equal(t, 1.0, usageFactor)
	exact, _ := sampleRunTimeAndUsage(1, task, 0, 0)
	require.Equal(t, task.Declared, exact)
}
