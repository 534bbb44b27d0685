package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/workload"
)

// BenchmarkPeak measures the step in which a pool of a large deployment asks
// for 70 machines while a wave of 150 is open: 350 machines in five pools.
func BenchmarkPeak(b *testing.B) {
	const pools, perPool, spare = 4, 74, 54
	var machines []workload.Machine
	seen := map[string]Pool{"spare": {Standby: true}}
	var due []string
	add := func(pool string, n int) {
		id := fmt.Sprintf("m-%s-%d", pool, n)
		machines = append(machines, workload.Machine{ID: id, Pool: pool, State: workload.MachineUp, Worker: "w-" + id})
		if n%5 < 2 {
			due = append(due, id)
		}
	}
	for p := range pools {
		name := fmt.Sprintf("p%d", p)
		status := engine.Status{PerMachine: 16000}
		for n := range perPool {
			add(name, n)
			status.Machines = append(status.Machines, engine.MachineStatus{
				Worker: fmt.Sprintf("w-m-%s-%d", name, n), Usable: true, Lasting: n % 3, Runs: n % 3, Used: 2000 * (n % 3),
			})
		}
		if p == 0 {
			status.Short = 140 * 16000
		}
		seen[name] = Pool{Owned: true, Status: status}
	}
	for n := range spare {
		add("spare", n)
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		m := New(start, config(), nil, false)
		m.Step(start, Listed{OK: true, Machines: machines}, PoolsSeen{Pools: seen})
		for _, x := range m.machines {
			x.plan = nil
		}
		wave := WavesSeen{Waves: map[int]WaveSeen{1: {
			Wave: workload.Wave{Number: 1, Machines: due, Within: 20 * time.Second, MaxDown: 60}, Since: start,
		}}}
		b.StartTimer()
		m.Step(start.Add(time.Millisecond), PoolsSeen{Pools: seen}, wave)
	}
}
