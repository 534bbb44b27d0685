package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/workload"
)

var start = time.Unix(1000, 0)

func config() Config {
	return Config{
		Token: 1, HolderChange: 3 * time.Second, MoveTime: 1500 * time.Millisecond,
		UpkeepTime: 2 * time.Second, MaxLease: 6 * time.Second,
	}
}

// rig answers the orders of a machine.
type rig struct {
	m        *Machine
	now      time.Time
	machines []workload.Machine
	pools    map[string]Pool
	version  uint64
	moves    []Move
	upkeeps  []Upkeep
	statuses []WaveStatus
	result   Result
}

func newRig(successor bool) *rig {
	r := &rig{m: New(start, config(), nil, successor), now: start, pools: map[string]Pool{}}
	r.pools["p"] = Pool{Owned: true, Status: engine.Status{PerMachine: 16000}}
	r.pools["spare"] = Pool{Standby: true}
	return r
}

func (r *rig) add(id, pool, worker string) {
	r.machines = append(r.machines, workload.Machine{ID: id, Pool: pool, State: workload.MachineUp, Worker: worker})
}

func (r *rig) load(s engine.MachineStatus) {
	p := r.pools["p"]
	p.Status.Machines = append(p.Status.Machines, s)
	r.pools["p"] = p
}

// release answers the row's release as the pool's owner does.
func (r *rig) release(free bool) {
	p := r.pools["p"]
	p.Status.Release = r.version
	for i := range p.Status.Machines {
		p.Status.Machines[i].Released = free
	}
	r.pools["p"] = p
}

func (r *rig) step(events ...Event) {
	events = append(events, PoolsSeen{Pools: r.pools})
	for len(events) > 0 {
		actions := r.m.Step(r.now, events...)
		events = nil
		for _, a := range actions {
			switch a := a.(type) {
			case List:
				events = append(events, Listed{OK: true, Machines: append([]workload.Machine(nil), r.machines...)})
			case Move:
				r.moves = append(r.moves, a)
				events = append(events, Ordered{Machine: a.Machine, Result: r.result})
			case Upkeep:
				r.upkeeps = append(r.upkeeps, a)
				events = append(events, Ordered{Machine: a.Machine, Result: r.result})
			case WaveStatus:
				r.statuses = append(r.statuses, a)
				events = append(events, StatusStored{Wave: a.Wave, Done: a.Done, OK: true})
			}
		}
	}
	r.version++
	r.m.Step(r.now, RowStored{Version: r.version, Machines: r.m.Release()})
}

func (r *rig) pass(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		r.step()
	}
}

func requested(max int, machines ...string) WavesSeen {
	return WavesSeen{Waves: map[int]WaveSeen{1: {
		Wave: workload.Wave{Number: 1, Machines: machines, Within: 20 * time.Second, MaxDown: max}, Since: start,
	}}}
}

// A machine that was stopped before its pool's owner had released it took its
// runs with it.
func TestMachineIsStoppedOnlyAfterItsRelease(t *testing.T) {
	r := newRig(false)
	r.add("m1", "p", "w1")
	r.load(engine.MachineStatus{Machine: "m1", Worker: "w1", Runs: 1, Lasting: 1, Usable: true})
	r.step(requested(1, "m1"))
	r.pass(time.Second)
	require.Equal(t, []string{"m1"}, r.m.Release())
	require.Empty(t, r.upkeeps)
	// An answer to an earlier version of the row says nothing about this one.
	p := r.pools["p"]
	p.Status.Release, p.Status.Machines[0].Released = 0, true
	r.pools["p"] = p
	r.pass(time.Second)
	require.Empty(t, r.upkeeps)
	r.release(true)
	r.pass(200 * time.Millisecond)
	require.Len(t, r.upkeeps, 1)
}

// The entry of a machine's former worker was taken for that of the present one.
func TestLoadOfAFormerWorkerIsIgnored(t *testing.T) {
	r := newRig(false)
	r.add("m1", "p", "w2")
	r.load(engine.MachineStatus{Machine: "m1", Worker: "w1", Usable: true})
	r.load(engine.MachineStatus{Machine: "m1", Worker: "w2", Runs: 3, Usable: true})
	r.step(requested(1, "m1"))
	r.pass(time.Second)
	p := r.pools["p"]
	p.Status.Release, p.Status.Machines[0].Released = r.version, true
	r.pools["p"] = p
	r.pass(time.Second)
	require.Empty(t, r.upkeeps)
}

// No more machines of a wave are down than it allows, and the wave is reported
// as completed only when the upkeep of each machine has begun.
func TestWaveKeepsItsBoundAndIsCompletedAtItsEnd(t *testing.T) {
	r := newRig(false)
	for _, id := range []string{"m1", "m2", "m3"} {
		r.add(id, "spare", "")
	}
	r.step(requested(1, "m1", "m2", "m3"))
	r.pass(300 * time.Millisecond)
	require.Len(t, r.upkeeps, 1)
	require.Equal(t, []WaveStatus{{Wave: 1}}, r.statuses)
	for n := range 3 {
		require.Len(t, r.upkeeps, n+1)
		for i := range r.machines {
			if r.machines[i].ID == r.upkeeps[n].Machine {
				r.machines[i].Worker = "new"
			}
		}
		r.pass(3 * time.Second)
	}
	require.Equal(t, WaveStatus{Wave: 1, Done: true}, r.statuses[len(r.statuses)-1])
}

// An order without an answer is repeated until it is known to be carried out.
func TestUnknownOrderIsRepeated(t *testing.T) {
	r := newRig(false)
	r.add("m1", "spare", "")
	r.result = Unknown
	r.step(requested(1, "m1"))
	r.pass(time.Second)
	require.Greater(t, len(r.upkeeps), 1)
	r.result = Done
	r.pass(time.Second)
	n := len(r.upkeeps)
	r.pass(time.Second)
	require.Len(t, r.upkeeps, n)
}

// Two holders must not give orders for one machine within the bound.
func TestSuccessorWaitsBeforeItsFirstOrder(t *testing.T) {
	r := newRig(true)
	r.add("m1", "spare", "")
	r.step(requested(1, "m1"))
	r.pass(2900 * time.Millisecond)
	require.Empty(t, r.upkeeps)
	r.pass(300 * time.Millisecond)
	require.Len(t, r.upkeeps, 1)
}

// A pool whose load outgrows its machines gets those of the standby pool.
func TestGrowingPoolGetsStandbyMachines(t *testing.T) {
	r := newRig(false)
	r.add("m1", "p", "w1")
	r.add("m2", "spare", "")
	r.load(engine.MachineStatus{Machine: "m1", Worker: "w1", Used: 16000, Runs: 10, Usable: true})
	p := r.pools["p"]
	p.Status.Short = 20000
	r.pools["p"] = p
	r.step()
	require.Equal(t, []Move{{Token: 1, Machine: "m2", Pool: "p"}}, r.moves)
}

// A list that was asked for before a move was carried out showed the machine
// in its former pool, and it was moved again without a release.
func TestListOlderThanAnOrderIsNotBelieved(t *testing.T) {
	r := newRig(false)
	r.add("m1", "p", "w1")
	r.add("m2", "spare", "")
	r.load(engine.MachineStatus{Machine: "m1", Worker: "w1", Used: 16000, Runs: 10, Usable: true})
	p := r.pools["p"]
	p.Status.Short = 20000
	r.pools["p"] = p
	r.pass(2 * time.Second) // the list goes on to show m2 in its former pool
	require.Len(t, r.moves, 1)
}
