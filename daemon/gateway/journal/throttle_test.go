package journal

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/store"
)

// Guards against a throttled transaction that is treated as an outage: it opened
// the circuit breaker, claims failed although the platform was up, and the p99
// latency of payouts rose to seconds. The rows must be sent again instead.
func TestThrottledRowsAreRetried(t *testing.T) {
	m := NewMachine(Options{Batch: 64, Workers: 8, MaxBacklog: 10, MaxBytes: 1 << 20})
	now := time.Unix(0, 0)
	for i := range 3 {
		m.Add(now, Request{
			Kind: Claim, Service: "s", Key: fmt.Sprint(i), VM: "v", VMVersion: 1,
			Claim: intent.Claim{Token: fmt.Sprint(i)}, Deadline: now.Add(time.Minute), Ref: uint64(i),
		})
	}
	tasks := m.Next(now)
	require.Len(t, tasks, 1)
	m.Completed(now, Result{Task: tasks[0], Err: fmt.Errorf("commit: %w", store.ErrThrottled)})
	require.Empty(t, m.Replies())
	require.Empty(t, m.Next(now), "the pacer must delay the retry")
	state := m.State()
	require.Equal(t, 3, state.Waiting)
	require.False(t, state.Down)
	require.Less(t, state.WriteRate, writePacing.Initial)
	require.Equal(t, int64(1), state.Totals.minus(Counters{}).Throttled, "throttled calls must be counted")

	now = m.NextWake(now)
	tasks = m.Next(now)
	require.Len(t, tasks, 1)
	require.Len(t, tasks[0].Ops, 4, "want three rows and the check of the VM's version")
	m.Completed(now, Result{Task: tasks[0], Versions: []uint64{1, 1, 1, 0}})
	replies := m.Replies()
	require.Len(t, replies, 3)
	for _, r := range replies {
		require.Equal(t, Granted, r.Status)
	}
}

// Guards against rows that don't share a transaction after they were delayed by
// the pacer: the platform's limit on transactions would also limit the rows.
func TestPacedTransactionTakesAllWaitingRows(t *testing.T) {
	m := NewMachine(Options{Batch: 64, Workers: 8, MaxBacklog: 100, MaxBytes: 1 << 20})
	now := time.Unix(0, 0)
	for i := range 50 {
		m.Add(now, Request{Kind: Claim, Service: "s", Key: fmt.Sprint(i), Deadline: now.Add(time.Minute)})
		for _, task := range m.Next(now) {
			m.Completed(now, Result{Task: task, Versions: make([]uint64, len(task.Ops))})
		}
	}
	require.Equal(t, int64(writePacing.Burst), m.Totals().Commits)
	m.Next(m.NextWake(now))
	require.Equal(t, int64(writePacing.Burst)+1, m.Totals().Commits)
	require.Equal(t, int64(50), m.Totals().Rows)
}
