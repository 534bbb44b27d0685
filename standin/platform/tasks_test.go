package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/store"
)

// Progress, throttling, checkpoints and leases are computed on demand; an
// error there makes every experiment with jobs wrong.
func TestRunIsComputedAtAnyTime(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1000, 0).Add(time.Duration(s) * time.Second) }
	ts := newTasks([]store.Worker{{ID: "w", Cores: 1}})
	_, err := ts.start(store.Task{ID: "a", Worker: "w", Token: 1, Cores: 1, Lease: 150 * time.Second, Progress: 0.2}, at(0), 100*time.Second, 1, false)
	require.NoError(t, err)
	hold := store.Hold{Task: "a", Token: 1}
	_, err = ts.act(hold, at(20), func(r *run) { r.throttle(0.5, at(20)) })
	require.NoError(t, err)
	run, err := ts.act(hold, at(40), func(r *run) { r.checkpoint = r.progressIn(r.phaseAt(at(40)), at(40)) })
	require.NoError(t, err)
	require.InDelta(t, 0.5, run.Checkpoint, 1e-9)

	for _, tc := range []struct {
		at       int
		state    store.RunState
		progress float64
	}{
		{0, store.RunRunning, 0.2}, {10, store.RunRunning, 0.3}, {20, store.RunRunning, 0.4},
		{60, store.RunRunning, 0.6}, {139, store.RunRunning, 0.995}, {140, store.RunDone, 1}, {200, store.RunDone, 1},
	} {
		got := ts.usage(at(tc.at), "", 10)[0]
		require.Equal(t, tc.state, got.State, tc.at)
		require.InDelta(t, tc.progress, got.Progress, 1e-9, tc.at)
	}
	require.Empty(t, ts.usage(at(-1), "", 10), "a lagging report must not show a later start")
	require.Empty(t, ts.usage(at(1000), "", 10), "ended runs are forgotten")
	require.Empty(t, ts.runs)
}

func TestLeaseEndsRun(t *testing.T) {
	now := time.Unix(1000, 0)
	ts := newTasks([]store.Worker{{ID: "w", Cores: 1}})
	_, err := ts.start(store.Task{ID: "a", Worker: "w", Token: 1, Cores: 1, Lease: time.Second}, now, time.Hour, 1, false)
	require.NoError(t, err)
	run, err := ts.act(store.Hold{Task: "a", Token: 1}, now.Add(time.Second), func(r *run) { r.leaseEnd = now.Add(time.Hour) })
	require.NoError(t, err)
	require.Equal(t, store.RunExpired, run.State, "an expired lease cannot be renewed")
	_, err = ts.start(store.Task{ID: "b", Worker: "w", Token: 1, Cores: 1, Lease: time.Second}, now.Add(time.Second), time.Hour, 1, false)
	require.NoError(t, err, "an expired run must give its resources back")
}

// A task must take equally long wherever it runs, and differently from its
// declaration.
func TestTraitsDependOnTheTask(t *testing.T) {
	task := store.Task{ID: "a", Declared: time.Minute}
	real, usage := traits(1, task, 1, 0)
	again, _ := traits(1, task, 1, 0)
	require.Equal(t, real, again)
	require.NotEqual(t, task.Declared, real)
	require.Equal(t, 1.0, usage)
	exact, _ := traits(1, task, 0, 0)
	require.Equal(t, task.Declared, exact)
}
