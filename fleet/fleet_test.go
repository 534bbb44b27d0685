package fleet

import (
	"slices"
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

// harness runs a planner and answers its actions.
type harness struct {
	planner     *Planner
	now         time.Time
	machines    []workload.Machine
	unreadable  []string
	pools       map[string]Pool
	version     uint64
	moves       []MoveMachine
	upkeeps     []StartUpkeep
	statuses    []StoreWaveStatus
	orderResult Result
}

func newHarness(successor bool) *harness {
	h := &harness{planner: New(start, config(), Former{Exists: successor}), now: start, pools: map[string]Pool{}}
	h.pools["p"] = Pool{Owned: true, Status: engine.Status{LargestMachine: 16000}}
	h.pools["spare"] = Pool{Standby: true}
	return h
}

func (h *harness) addMachine(id, pool, worker string) {
	h.machines = append(h.machines, workload.Machine{ID: id, Pool: pool, State: workload.MachineUp, Worker: worker})
}

func (h *harness) addStatus(s engine.MachineStatus) {
	p := h.pools["p"]
	p.Status.Machines = append(p.Status.Machines, s)
	h.pools["p"] = p
}

// reportRelease updates the pool's status as its owner does after it has read
// the latest version of the fleet's row.
func (h *harness) reportRelease(released bool) {
	p := h.pools["p"]
	p.Status.ReleaseVersion = h.version
	for i := range p.Status.Machines {
		p.Status.Machines[i].Released = released
	}
	h.pools["p"] = p
}

func (h *harness) step(events ...Event) {
	h.apply(append(events, PoolsUpdated{Pools: h.pools})...)
	h.version++
	h.apply(RowStored{Version: h.version, Machines: h.planner.MachinesToRelease()})
}

// apply passes events to the planner and answers its actions.
func (h *harness) apply(events ...Event) {
	for len(events) > 0 {
		actions := h.planner.Step(h.now, events...)
		events = nil
		for _, a := range actions {
			switch a := a.(type) {
			case ListMachines:
				events = append(events, MachinesListed{OK: true, MachineList: workload.MachineList{Machines: slices.Clone(h.machines), Unreadable: h.unreadable}})
			case MoveMachine:
				h.moves = append(h.moves, a)
				events = append(events, OrderResult{Machine: a.Machine, Result: h.orderResult})
			case StartUpkeep:
				h.upkeeps = append(h.upkeeps, a)
				events = append(events, OrderResult{Machine: a.Machine, Result: h.orderResult})
			case StoreWaveStatus:
				h.statuses = append(h.statuses, a)
				events = append(events, WaveStatusStored{Wave: a.Wave, Done: a.Done, OK: true})
			}
		}
	}
}

func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.step()
	}
}

func waveRequested(maxDown int, machines ...string) WavesUpdated {
	return WavesUpdated{Waves: map[int]WaveRequest{1: {
		Wave: workload.Wave{Number: 1, Machines: machines, Within: 20 * time.Second, MaxDown: maxDown}, Since: start,
	}}}
}

// Runs were lost when upkeep was ordered before the pool's owner had released
// the machine.
func TestUpkeepWaitsForRelease(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "p", "w1")
	h.addStatus(engine.MachineStatus{Machine: "m1", Worker: "w1", Runs: 1, LongRunning: 1, Usable: true})
	h.step(waveRequested(1, "m1"))
	h.advance(time.Second)
	require.Equal(t, []string{"m1"}, h.planner.MachinesToRelease())
	require.Empty(t, h.upkeeps)
	// A release that answers an earlier version of the row does not count.
	p := h.pools["p"]
	p.Status.ReleaseVersion, p.Status.Machines[0].Released = 0, true
	h.pools["p"] = p
	h.advance(time.Second)
	require.Empty(t, h.upkeeps)
	h.reportRelease(true)
	h.advance(200 * time.Millisecond)
	require.Len(t, h.upkeeps, 1)
}

// The status of a machine's former worker, which has no runs, was used for the
// present worker, and the machine was stopped with runs on it.
func TestStatusOfFormerWorkerIsIgnored(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "p", "w2")
	h.addStatus(engine.MachineStatus{Machine: "m1", Worker: "w1", Usable: true})
	h.addStatus(engine.MachineStatus{Machine: "m1", Worker: "w2", Runs: 3, Usable: true})
	h.step(waveRequested(1, "m1"))
	h.advance(time.Second)
	p := h.pools["p"]
	p.Status.ReleaseVersion, p.Status.Machines[0].Released = h.version, true
	h.pools["p"] = p
	h.advance(time.Second)
	require.Empty(t, h.upkeeps)
}

// A wave must not have more machines in upkeep than MaxDown, and must be reported
// as completed only after the upkeep of each of its machines has started.
func TestWaveRespectsMaxDown(t *testing.T) {
	h := newHarness(false)
	for _, id := range []string{"m1", "m2", "m3"} {
		h.addMachine(id, "spare", "")
	}
	h.step(waveRequested(1, "m1", "m2", "m3"))
	h.advance(300 * time.Millisecond)
	require.Len(t, h.upkeeps, 1)
	require.Equal(t, []StoreWaveStatus{{Wave: 1}}, h.statuses)
	for n := range 3 {
		require.Len(t, h.upkeeps, n+1)
		for i := range h.machines {
			if h.machines[i].ID == h.upkeeps[n].Machine {
				h.machines[i].Worker = "new"
			}
		}
		h.advance(3 * time.Second)
	}
	require.Equal(t, StoreWaveStatus{Wave: 1, Done: true}, h.statuses[len(h.statuses)-1])
}

// An order whose result is unknown must be repeated until one is known to have
// been carried out, and not after that.
func TestOrderWithUnknownResultIsRetried(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "spare", "")
	h.orderResult = Unknown
	h.step(waveRequested(1, "m1"))
	h.advance(time.Second)
	require.Greater(t, len(h.upkeeps), 1)
	h.orderResult = Done
	h.advance(time.Second)
	n := len(h.upkeeps)
	h.advance(time.Second)
	require.Len(t, h.upkeeps, n)
}

// A new holder must not issue an order within HolderChange of an order of its
// predecessor.
func TestNewHolderDelaysFirstOrder(t *testing.T) {
	h := newHarness(true)
	h.addMachine("m1", "spare", "")
	h.step(waveRequested(1, "m1"))
	h.advance(2900 * time.Millisecond)
	require.Empty(t, h.upkeeps)
	h.advance(300 * time.Millisecond)
	require.Len(t, h.upkeeps, 1)
}

// formerHarness is a harness whose planner follows a holder that has ordered m1, and
// that may still order m2.
func formerHarness() *harness {
	h := newHarness(true)
	h.planner = New(start, config(), Former{Exists: true, OrdersListed: true, Release: []string{"m2"}, Ordered: []string{"m1"}})
	h.pools["p"] = Pool{} // needs no machines
	for _, id := range []string{"m1", "m2", "m3"} {
		h.addMachine(id, "spare", "")
	}
	return h
}

// After a change of the holder no machine was moved for 3 s, in which a pool at its
// peak got none. Only machines that the former holder may have ordered have to wait.
func TestNewHolderOrdersOtherMachinesAtOnce(t *testing.T) {
	h := formerHarness()
	h.step(waveRequested(3, "m1", "m2", "m3"))
	h.advance(200 * time.Millisecond)
	require.Equal(t, []StartUpkeep{{Token: 1, Machine: "m3", Wave: 1}}, h.upkeeps)
	h.advance(2600 * time.Millisecond)
	require.Len(t, h.upkeeps, 1, "m1 and m2 wait for HolderChange")
	h.advance(400 * time.Millisecond)
	require.Len(t, h.upkeeps, 3)
}

// A new holder emptied the list of machines to release at once, so that a late move
// of the former holder ended new runs.
func TestNewHolderKeepsReleaseOfFormerHolder(t *testing.T) {
	h := formerHarness()
	h.step()
	require.Equal(t, []string{"m2"}, h.planner.MachinesToRelease())
	require.Equal(t, []string{"m1"}, h.planner.RecentlyOrdered())
	h.advance(lateOrderTime)
	require.Empty(t, h.planner.MachinesToRelease())
	require.Equal(t, []string{"m1", "m2"}, h.planner.RecentlyOrdered())
	h.advance(config().HolderChange - lateOrderTime)
	require.Empty(t, h.planner.RecentlyOrdered())
}

// After all VMs had lost power at the start of a peak, 221 machines that had been ordered
// in the seconds before were neither used nor ordered for 3 s, although the process that
// had ordered them had ended (recorded day inc-defd of lah-jobs-large).
func TestMachinesOfAnEndedHolderAreUsedAtOnce(t *testing.T) {
	h := newHarness(true)
	h.planner = New(start, config(), Former{Exists: true, OrdersListed: true, Release: []string{"m1"}, Ordered: []string{"m2"}, ProcessEnded: true})
	h.pools["p"] = Pool{} // needs no machines
	h.addMachine("m1", "spare", "")
	h.addMachine("m2", "spare", "")
	h.step(waveRequested(2, "m1", "m2"))
	h.advance(100 * time.Millisecond)
	require.Len(t, h.upkeeps, 2)
}

// A successor learns from the row which machines may have been ordered, so no order
// may precede the row that names its machine, and the row has to name it for as long
// as the successor must not order it.
func TestRowNamesMachinesThatMayHaveBeenOrdered(t *testing.T) {
	h := newHarness(false)
	h.pools["p"] = Pool{} // needs no machines
	h.addMachine("m1", "spare", "")
	h.apply(waveRequested(1, "m1"), PoolsUpdated{Pools: h.pools})
	require.Equal(t, []string{"m1"}, h.planner.MachinesToRelease())
	require.Empty(t, h.upkeeps, "the row is not stored yet")
	h.apply(RowStored{Version: 1, Machines: []string{"m1"}})
	require.Len(t, h.upkeeps, 1)
	for range 29 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.machines[0].Worker = "new"
		h.step()
		require.Contains(t, append(h.planner.MachinesToRelease(), h.planner.RecentlyOrdered()...), "m1")
	}
	h.advance(300 * time.Millisecond)
	require.Empty(t, h.planner.MachinesToRelease())
	require.Empty(t, h.planner.RecentlyOrdered())
}

// A pool that is short of machines must get one of the standby pool.
func TestGrowingPoolGetsStandbyMachine(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "p", "w1")
	h.addMachine("m2", "spare", "")
	h.addStatus(engine.MachineStatus{Machine: "m1", Worker: "w1", Used: 16000, Runs: 10, Usable: true})
	p := h.pools["p"]
	p.Status.Shortfall = 20000
	h.pools["p"] = p
	h.step()
	require.Equal(t, []MoveMachine{{Token: 1, Machine: "m2", Pool: "p"}}, h.moves)
}

// A list that was requested before a move was carried out showed the machine in
// its former pool, and the machine was moved again without a release.
func TestListSentBeforeMoveIsIgnored(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "p", "w1")
	h.addMachine("m2", "spare", "")
	h.addStatus(engine.MachineStatus{Machine: "m1", Worker: "w1", Used: 16000, Runs: 10, Usable: true})
	p := h.pools["p"]
	p.Status.Shortfall = 20000
	h.pools["p"] = p
	h.advance(2 * time.Second) // the list still shows m2 in its former pool
	require.Len(t, h.moves, 1)
}

// A single list without a machine, whose pages were read while others left, dropped the
// machine's plan. Its pool used it again although an order for it could still be carried
// out and end the new runs.
func TestPlanOutlivesOneListWithoutItsMachine(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "p", "w1")
	h.addMachine("m2", "p", "w2")
	h.addStatus(engine.MachineStatus{Machine: "m1", Worker: "w1", Usable: true})
	h.orderResult = Unknown
	h.step(waveRequested(1, "m1"))
	h.reportRelease(true)
	h.advance(time.Second)
	require.NotEmpty(t, h.upkeeps)
	nextList := func() {
		h.now = h.planner.nextListAt
		h.step()
	}
	all := h.machines
	h.machines = all[1:]
	nextList()
	orders := len(h.upkeeps)
	h.advance(activeListInterval - 100*time.Millisecond)
	require.Equal(t, []string{"m1"}, h.planner.MachinesToRelease())
	require.Len(t, h.upkeeps, orders, "no order while the list lacks the machine")
	h.machines = all
	nextList()
	require.Equal(t, []string{"m1"}, h.planner.MachinesToRelease())
	h.machines = all[1:]
	h.advance(3 * activeListInterval)
	require.Empty(t, h.planner.MachinesToRelease(), "the machine has left")
}
