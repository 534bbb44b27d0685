package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
)

// Machines that were ordered only after a peak had started arrived 2 s late.
func TestPeakForecastUsesPeriodOfOtherPools(t *testing.T) {
	pl := New(start, config(), Former{})
	first, second := &pool{name: "a", baseSize: 10}, &pool{name: "b", baseSize: 10}
	pl.pools["a"], pl.pools["b"], pl.poolNames = first, second, []string{"a", "b"}
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	peak := func(p *pool, from float64, want int) {
		p.peaks.observe(at(from), 0.9, want)
		p.peaks.observe(at(from+4), 0.1, 1)
	}
	peak(first, 0, 15)
	peak(second, 4, 10)
	pl.now = at(17)
	require.Zero(t, pl.forecastSize(second, pl.peakPeriod(), turn{}), "no pool has peaked twice")
	peak(first, 16, 15)
	require.Equal(t, 16*time.Second, pl.peakPeriod())
	for s, want := range map[float64]int{17: 0, 18: 8, 20: 8, 21: 8, 22: 0} {
		pl.now = at(s)
		require.Equal(t, want, pl.forecastSize(second, pl.peakPeriod(), turn{}), "at %v s", s)
	}
	second.peaks.observe(at(20), 0.9, 12)
	pl.now = at(21.4)
	require.Equal(t, 8, pl.forecastSize(second, pl.peakPeriod(), turn{}), "the peak has started, and the load still rises")
	pl.now = at(21.6)
	require.Zero(t, pl.forecastSize(second, pl.peakPeriod(), turn{}))
}

// A pool got machines for its peak as its load rose, over three seconds, although the
// peaks of other pools had shown how many it would need.
func TestPeakOfKnownSizeGetsItsMachinesAtItsStart(t *testing.T) {
	pl, at := playTurns()
	pl.now = at(17.2)
	require.Equal(t, 16, pl.forecastSize(pl.pools["c"], 0, turn{}))
	pl.pools["c"].peaks.currentMax = 4
	require.Equal(t, 16, pl.forecastSize(pl.pools["c"], 0, turn{}), "the size of a peak that has just begun is no measure")
	pl.pools["a"].peaks.previousMax, pl.pools["b"].peaks.previousMax, pl.pools["c"].peaks.currentMax = 300, 300, 300
	require.Equal(t, 16, pl.forecastSize(pl.pools["c"], 0, turn{}), "a flood of other pools is no measure")
}

// idleHarness is a harness whose pool "p" has the given number of idle machines.
func idleHarness(machines int) *harness {
	h := newHarness(false)
	for n := range machines {
		id := fmt.Sprintf("m%02d", n)
		h.addMachine(id, "p", "w-"+id)
		h.addStatus(engine.MachineStatus{Machine: id, Worker: "w-" + id, Usable: true})
	}
	return h
}

// While the store was away for 4 s, the holder of the fleet's lease learned no loads. On
// the first step after that, it took the loads from before for 4 s without need and
// moved 362 machines out of a pool at its peak.
func TestSurplusIsNotCountedWhileLoadsAreUnknown(t *testing.T) {
	const machines = 25
	h := idleHarness(machines)
	h.endFirstPeak("p")
	h.advance(time.Second)
	h.now = h.now.Add(4 * time.Second)
	h.advance(time.Second)
	require.Empty(t, h.planner.MachinesToRelease())
	h.advance(time.Second)
	require.NotEmpty(t, h.planner.MachinesToRelease(), "the surplus has lasted for surplusDelay now")
}

// A pool's surplus was moved to the standby pool, and from there to a pool that had been
// short of machines all the time.
func TestSurplusGoesToAPoolThatNeedsIt(t *testing.T) {
	h := newHarness(false)
	add := func(pool string, n int, status *engine.Status, used int) {
		id := fmt.Sprintf("%s-%d", pool, n)
		h.addMachine(id, pool, "w-"+id)
		status.Machines = append(status.Machines, engine.MachineStatus{Machine: id, Worker: "w-" + id, Used: used, Runs: used / 1000, Usable: true})
	}
	idle, p := engine.Status{LargestMachine: 16000}, h.pools["p"]
	for n := range 20 {
		add("a", n, &idle, 0)
		add("p", n, &p.Status, 8000)
	}
	h.pools["a"], h.pools["p"] = Pool{Owned: true, Status: idle}, p
	h.endFirstPeak("a")
	h.advance(surplusDelay) // the next step finds both the surplus and the shortfall
	p.Status.Shortfall = 200000
	h.pools["p"] = p
	h.advance(100 * time.Millisecond)
	toPool := 0
	for _, id := range h.planner.MachinesToRelease() {
		if h.planner.machines[id].plan.targetPool == "p" {
			toPool++
		}
	}
	require.Equal(t, 12, toPool, "all but two thirds of its minimum size of 12")
}

// playTurns makes pools a, b and c of four peak in turn, each for 8 s, and returns the
// planner at 17 s, a second after the start of the third peak.
func playTurns() (pl *Planner, at func(seconds float64) time.Time) {
	pl = New(start, config(), Former{})
	at = func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, name := range []string{"a", "b", "c", "d"} {
		pl.now = start
		p := pl.pool(name)
		p.baseSize = 10
		p.recordLoad(start)
	}
	for i, name := range []string{"a", "b", "c"} {
		p := pl.pools[name]
		p.peaks.observe(at(float64(8*i)), 0.9, 20)
		if name != "c" {
			p.peaks.observe(at(float64(8*i+8)), 0.1, 1)
		}
	}
	pl.now = at(17)
	return pl, at
}

// The last pool to peak got its machines only after its peak had started, although two
// equal intervals between the peaks of the others had told its time.
func TestLastPoolOfATurnIsForecast(t *testing.T) {
	pl, at := playTurns()
	next := pl.nextTurn()
	require.Equal(t, turn{pool: pl.pools["d"], due: at(24)}, next)
	for s, want := range map[float64]int{17: 0, 22: 16, 24: 16, 26: 0} {
		pl.now = at(s)
		require.Equal(t, want, pl.forecastSize(pl.pools["d"], 0, next), "at %v s", s)
		require.Zero(t, pl.forecastSize(pl.pools["a"], 0, next))
	}
	pl.pools["d"].peaks.observe(at(24), 0.9, 20)
	require.Equal(t, turn{pool: pl.pools["a"], due: at(32)}, pl.nextTurn())
}

// The starts of peaks are seen up to 2 s late, depending on the work of the tasks. On
// lah-jobs-large scale-1, peaks at 0, 8.5 and 17 s were seen at 2.3, 9.1 and 18.7 s, and
// the next one was not forecast.
func TestTurnsAreSeenThoughStartsAreLate(t *testing.T) {
	pl, at := playTurns()
	for name, s := range map[string]float64{"a": 2.3, "b": 9.1, "c": 18.7} {
		pl.pools[name].peaks.starts[0] = at(s)
	}
	require.Equal(t, pl.pools["d"], pl.nextTurn().pool)
	require.InDelta(t, 26.9, pl.nextTurn().due.Sub(start).Seconds(), 0.1)
}

// Machines must not be moved for a peak that nothing foretells: two pools may be next,
// or the peaks are not evenly spaced.
func TestIrregularPeaksAreNotForecast(t *testing.T) {
	pl, at := playTurns()
	pl.pools["c"].peaks = peakHistory{}
	require.Nil(t, pl.nextTurn().pool)
	pl.pools["c"].peaks.observe(at(23), 0.9, 20)
	require.Nil(t, pl.nextTurn().pool)
}

// A new holder of the fleet's lease forgot the peaks: each pool kept all its machines
// until its next peak, and no peak was forecast.
func TestNewHolderKnowsPeaks(t *testing.T) {
	former, at := playTurns()
	pl := New(at(18), config(), Former{Exists: true, Peaks: former.Peaks()})
	pl.now = at(18)
	for _, name := range []string{"a", "b", "c", "d"} {
		pl.pool(name).recordLoad(at(18))
	}
	require.Equal(t, turn{pool: pl.pools["d"], due: at(25)}, pl.nextTurn(), "the record was made a second before")
	require.Equal(t, 8, pl.minimumSize(pl.pools["a"]))
	require.Equal(t, 10, pl.minimumSize(pl.pools["d"]))
	require.True(t, pl.pools["c"].peaks.inPeak)
}

// Fluctuations of the load within one peak were counted as several peaks.
func TestFluctuatingLoadIsOnePeak(t *testing.T) {
	var h peakHistory
	for i, load := range []float64{0.7, 0.5, 0.7, 0.2, 0.7, 0.2} {
		h.observe(start.Add(time.Duration(i)*time.Second), load, 5)
	}
	require.Len(t, h.starts, 1)
	require.Zero(t, h.period())
}

// A pool kept all its machines after a peak, although the next one was far
// away.
func TestPoolShrinksAfterItsPeak(t *testing.T) {
	const machines = 25
	h := idleHarness(machines)
	setUsed := func(n int) {
		p := h.pools["p"]
		p.Status.Machines = append([]engine.MachineStatus(nil), p.Status.Machines...)
		for i := range p.Status.Machines {
			p.Status.Machines[i].Used, p.Status.Machines[i].Runs = n, n/1000
		}
		h.pools["p"] = p
	}
	h.advance(3 * time.Second)
	require.Empty(t, h.planner.MachinesToRelease(), "the first peak can't be forecast")
	setUsed(14000)
	h.advance(time.Second)
	setUsed(0)
	h.advance(time.Second)
	require.Empty(t, h.planner.MachinesToRelease(), "surplusDelay has not passed")
	h.advance(2 * time.Second)
	require.Len(t, h.planner.MachinesToRelease(), 12, "keeps 2.5 times the square root of 25 machines")
}

// The load of long-running tasks kept the total above peakEndLoad, so the end
// of a peak was not detected.
func TestLongRunningTasksDoNotCountTowardsPeak(t *testing.T) {
	h := newHarness(false)
	for n := range 10 {
		id := fmt.Sprintf("m%02d", n)
		h.addMachine(id, "p", "w-"+id)
		h.addStatus(engine.MachineStatus{Machine: id, Worker: "w-" + id, Usable: true, Used: 12000, Runs: 1, LongRunning: 1})
	}
	p := h.pools["p"]
	p.Status.LongRunning = 120000
	h.pools["p"] = p
	h.advance(time.Second)
	require.Empty(t, h.planner.pools["p"].peaks.starts)
}

// A pool that had shrunk had no machine for the spread tasks of a machine that
// was due for upkeep, so the wave was late by 3 s and more.
func TestPoolHasMachinesForSpreadTasks(t *testing.T) {
	h := newHarness(false)
	p := h.pools["p"]
	p.Status.Spread = 5
	h.pools["p"] = p
	for n := range 3 {
		id := fmt.Sprintf("m%d", n)
		h.addMachine(id, "p", "w-"+id)
		h.addStatus(engine.MachineStatus{Machine: id, Worker: "w-" + id, Usable: true, Runs: 1, LongRunning: 1})
	}
	for n := range 9 {
		h.addMachine(fmt.Sprintf("s%d", n), "spare", "")
	}
	h.step()
	require.Len(t, h.moves, 3, "the spread of 5 and one in reserve")
	for i := range h.machines {
		if h.machines[i].Pool == "spare" && slices.ContainsFunc(h.moves, func(m MoveMachine) bool { return m.Machine == h.machines[i].ID }) {
			h.machines[i].Pool, h.machines[i].Worker = "p", "w-"+h.machines[i].ID
		}
	}
	h.advance(3 * time.Second)
	require.Len(t, h.moves, 3)
	h.step(waveRequested(1, "m0"))
	h.advance(time.Second)
	require.Len(t, h.moves, 4, "a replacement for the machine that is drained")
}
