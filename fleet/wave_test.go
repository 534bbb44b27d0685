package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/workload"
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

// A wave for machines that had just been added was reported as completed without their
// upkeep: the planner's last list was from before, and machines that it lacked counted as
// gone (review/4).
func TestWaveOfNewMachinesIsNotCompletedWithoutTheirUpkeep(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "spare", "")
	h.step()
	h.addMachine("m2", "spare", "")
	h.addMachine("m3", "spare", "")
	h.step(waveRequested(2, "m2", "m3"))
	h.advance(200 * time.Millisecond)
	require.Len(t, h.upkeeps, 2, "the list is read again at once")
	require.Equal(t, []StoreWaveStatus{{Wave: 1}, {Wave: 1, Done: true}}, h.statuses)
}

// unansweredLists passes events to the planner and returns the number of lists that it
// requests and the statuses that it stores. The test decides when a list arrives.
func unansweredLists(pl *Planner, now time.Time, events ...Event) (lists int, statuses []StoreWaveStatus) {
	for _, a := range pl.Step(now, events...) {
		switch a := a.(type) {
		case ListMachines:
			lists++
		case StoreWaveStatus:
			statuses = append(statuses, a)
			_, more := unansweredLists(pl, now, WaveStatusStored{Wave: a.Wave, Done: a.Done, OK: true})
			statuses = append(statuses, more...)
		}
	}
	return lists, statuses
}

// A list that was requested before a wave was known says nothing about the wave's
// machines, even if it arrives later. A single later list without a machine is no proof
// either, because its pages are read one after the other.
func TestMachinesAreGoneOnlyByTwoLaterLists(t *testing.T) {
	without := MachinesListed{OK: true, MachineList: workload.MachineList{Machines: []workload.Machine{{ID: "m1", Pool: "p", State: workload.MachineUp}}}}
	with := MachinesListed{OK: true, MachineList: workload.MachineList{Machines: append(without.Machines, workload.Machine{ID: "m2", Pool: "p", State: workload.MachineUp})}}
	pl, now := New(start, config(), Former{}), start
	lists, _ := unansweredLists(pl, now)
	require.Equal(t, 1, lists)
	lists, statuses := unansweredLists(pl, now, waveRequested(1, "m2"))
	require.Zero(t, lists, "a list is under way")
	require.Equal(t, []StoreWaveStatus{{Wave: 1}}, statuses)
	nextList := func(e MachinesListed) (statuses []StoreWaveStatus) {
		_, statuses = unansweredLists(pl, now, e)
		now = now.Add(activeListInterval)
		lists, more := unansweredLists(pl, now)
		require.Equal(t, 1, lists)
		return append(statuses, more...)
	}
	require.Empty(t, nextList(without), "requested before the wave was known")
	require.Empty(t, nextList(without), "one list")
	require.Empty(t, nextList(with))
	require.Empty(t, nextList(without))
	require.Empty(t, nextList(MachinesListed{}), "a list that failed")
	_, statuses = unansweredLists(pl, now, without)
	require.Equal(t, []StoreWaveStatus{{Wave: 1, Done: true}}, statuses)
}

// A wave whose machines are all gone must still be reported as completed, and one whose
// machines are not known, because the machine service does not answer, as running.
func TestWaveOfGoneMachinesEnds(t *testing.T) {
	h := newHarness(false)
	h.step()
	h.step(waveRequested(1, "m8", "m9"))
	h.advance(2 * activeListInterval)
	require.Equal(t, []StoreWaveStatus{{Wave: 1}, {Wave: 1, Done: true}}, h.statuses)

	pl := New(start, config(), Former{})
	_, statuses := unansweredLists(pl, start, waveRequested(1, "m8"))
	require.Equal(t, []StoreWaveStatus{{Wave: 1}}, statuses)
	for n := range 20 {
		_, statuses := unansweredLists(pl, start.Add(time.Duration(n)*time.Second), MachinesListed{})
		require.Empty(t, statuses)
	}
}

// A refused upkeep counted as begun, so a wave that the machine service did not know yet,
// or knew otherwise, was reported as completed without it. It must be ordered again, each
// time after a longer wait, since a machine is emptied before each order.
func TestRefusedUpkeepIsNotBegun(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "spare", "")
	h.orderResult = Refused
	h.step(waveRequested(1, "m1"))
	h.advance(10 * time.Second)
	require.Len(t, h.upkeeps, 3, "at 0, 2 and 6 s")
	require.Equal(t, []StoreWaveStatus{{Wave: 1}}, h.statuses)
	require.Empty(t, h.planner.UpkeepStarted()[1])
	h.orderResult = Done
	h.advance(6 * time.Second)
	require.Len(t, h.upkeeps, 4)
	require.Equal(t, StoreWaveStatus{Wave: 1, Done: true}, h.statuses[len(h.statuses)-1])
}

// A machine whose entry in the list could not be decoded counted as gone: its wave was
// completed without its upkeep, and an order for it under way was forgotten.
func TestUnreadableMachineIsNotGone(t *testing.T) {
	h := newHarness(false)
	h.addMachine("m1", "spare", "")
	h.orderResult = Unknown
	h.step(waveRequested(2, "m1", "m2"))
	require.Equal(t, []string{"m1"}, h.planner.MachinesToRelease())
	h.machines, h.unreadable = nil, []string{"m1", "m2"}
	h.advance(5 * time.Second)
	require.Equal(t, []string{"m1"}, h.planner.MachinesToRelease())
	require.Equal(t, []StoreWaveStatus{{Wave: 1}}, h.statuses)
}

// A new holder ordered the upkeep of a machine while a call of the former holder for
// another one of the same wave could still be carried out, so that more machines than the
// wave allows could be down.
func TestNewHolderCountsOrdersOfFormerHolder(t *testing.T) {
	h := formerHarness()
	h.step(waveRequested(1, "m1", "m2", "m3"))
	h.advance(config().HolderChange - 200*time.Millisecond)
	require.Empty(t, h.upkeeps, "m1 or m2 may be down")
	h.advance(400 * time.Millisecond)
	require.Len(t, h.upkeeps, 1)
}
