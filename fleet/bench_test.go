package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/workload"
)

// BenchmarkPeak measures the step in which a pool of a large deployment needs 70
// more machines while a wave of 150 machines is open: 350 machines in five
// pools.
func BenchmarkPeak(b *testing.B) {
	const pools, perPool, spare = 4, 74, 54
	var machines []workload.Machine
	poolStates := map[string]Pool{"spare": {Standby: true}}
	var upkeepDue []string
	add := func(pool string, n int) {
		id := fmt.Sprintf("m-%s-%d", pool, n)
		machines = append(machines, workload.Machine{ID: id, Pool: pool, State: workload.MachineUp, Worker: "w-" + id})
		if n%5 < 2 {
			upkeepDue = append(upkeepDue, id)
		}
	}
	for p := range pools {
		name := fmt.Sprintf("p%d", p)
		status := engine.Status{LargestMachine: 16000}
		for n := range perPool {
			add(name, n)
			status.Machines = append(status.Machines, engine.MachineStatus{
				Worker: fmt.Sprintf("w-m-%s-%d", name, n), Usable: true, LongRunning: n % 3, Runs: n % 3, Used: 2000 * (n % 3),
			})
		}
		if p == 0 {
			status.Shortfall = 140 * 16000
		}
		poolStates[name] = Pool{Owned: true, Status: status}
	}
	for n := range spare {
		add("spare", n)
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		pl := New(start, config(), Former{})
		pl.Step(start, MachinesListed{OK: true, MachineList: workload.MachineList{Machines: machines}}, PoolsUpdated{Pools: poolStates})
		for _, m := range pl.machines {
			m.plan = nil
		}
		wave := WavesUpdated{Waves: map[int]WaveRequest{1: {
			Wave: workload.Wave{Number: 1, Machines: upkeepDue, Within: 20 * time.Second, MaxDown: 60}, Since: start,
		}}}
		b.StartTimer()
		pl.Step(start.Add(time.Millisecond), PoolsUpdated{Pools: poolStates}, wave)
	}
}
