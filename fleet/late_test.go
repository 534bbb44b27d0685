package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
)

// backlogHarness is a harness in which pool "late" works off late jobs on ten full
// machines, and pool "p" has two machines that are full too.
func backlogHarness() *harness {
	h := newHarness(false)
	add := func(pool string, n int, status *engine.Status) {
		id := fmt.Sprintf("%s-%d", pool, n)
		h.addMachine(id, pool, "w-"+id)
		status.Machines = append(status.Machines, engine.MachineStatus{Machine: id, Worker: "w-" + id, Used: 16000, Runs: 8, Usable: true})
	}
	p := h.pools["p"]
	for n := range 2 {
		add("p", n, &p.Status)
	}
	h.pools["p"] = p
	backlog := engine.Status{LargestMachine: 16000, Shortfall: 160000, LateShortfall: 160000, LateUsed: 160000}
	for n := range 10 {
		add("late", n, &backlog)
	}
	h.pools["late"] = Pool{Owned: true, Status: backlog}
	return h
}

// endFirstPeak makes the planner take the first peak of a pool as past, after which the
// pool does not keep all its machines.
func (h *harness) endFirstPeak(pool string) {
	h.step()
	h.planner.pools[pool].peaks = peakHistory{starts: []time.Time{h.now}}
}

// After a peak that had asked for more than a pool held, the pool worked off jobs that
// were late already and gave no machine to the next pool at its peak, whose jobs were
// late in turn (lah-jobs-large trouble-1: peak at 24.5 s, machines from 28 s on).
func TestPoolWithLateWorkGivesMachinesToOneThatCanBeInTime(t *testing.T) {
	h := backlogHarness()
	h.endFirstPeak("late")
	p := h.pools["p"]
	p.Status.Shortfall = 48000
	h.pools["p"] = p
	h.advance(300 * time.Millisecond)
	require.GreaterOrEqual(t, len(h.planner.MachinesToRelease()), 3)
	for _, id := range h.planner.MachinesToRelease() {
		require.Equal(t, "late", h.planner.machines[id].Pool)
	}
	require.Empty(t, h.moves, "their runs end before they move")
}

// A pool with late work only must not take machines from other pools, but it may use
// those that nobody needs.
func TestLateWorkTakesOnlyStandbyMachines(t *testing.T) {
	h := backlogHarness()
	h.endFirstPeak("late")
	for n := range 3 {
		h.addMachine(fmt.Sprintf("s%d", n), "spare", "")
	}
	p := h.pools["p"]
	for i := range p.Status.Machines {
		p.Status.Machines[i].Used, p.Status.Machines[i].Runs = 0, 0
	}
	h.pools["p"] = p
	h.advance(3 * time.Second)
	require.Len(t, h.moves, 3)
	for _, m := range h.moves {
		require.Equal(t, "late", m.Pool)
	}
	for _, id := range h.planner.MachinesToRelease() {
		require.Contains(t, []string{"s0", "s1", "s2"}, id, "idle machines of p stay, and no machine of late is surplus")
	}
}
