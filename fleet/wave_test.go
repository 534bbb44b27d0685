package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
)

// Machines with long-running tasks were drained at a pace that met the deadline of a
// wave only without any disturbance. An outage of the fleet's owner for 4 s made it late.
func TestWaveLeavesTimeForAnOutage(t *testing.T) {
	h := newHarness(false)
	var due []string
	for n := range 14 {
		id := fmt.Sprintf("m%02d", n)
		h.addMachine(id, "p", "w-"+id)
		h.addStatus(engine.MachineStatus{Machine: id, Worker: "w-" + id, Runs: 1, LongRunning: 1, Usable: true})
		due = append(due, id)
	}
	h.step()
	h.step(waveRequested(20, due...))
	// 14 machines of 6 s each, in three quarters of 20 s less the time of the last one
	require.Len(t, h.planner.MachinesToRelease(), 10)
}
