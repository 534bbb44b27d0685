package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
)

// Machines that were ordered only when a peak showed itself came 2 s late.
func TestPeakIsForeseenFromTheTurnsOfAllPools(t *testing.T) {
	m := New(start, config(), nil, false)
	first, second := &pool{name: "a"}, &pool{name: "b"}
	m.pools["a"], m.pools["b"], m.names = first, second, []string{"a", "b"}
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	peak := func(p *pool, from float64, want int) {
		p.cycle.observe(at(from), 0.9, want)
		p.cycle.observe(at(from+4), 0.1, 1)
	}
	peak(first, 0, 15)
	peak(second, 4, 10)
	m.now = at(17)
	require.Zero(t, m.foreseen(second, m.period()), "no pool has peaked twice")
	peak(first, 16, 15)
	require.Equal(t, 16*time.Second, m.period())
	for s, want := range map[float64]int{17: 0, 18: 8, 20: 8, 21: 8, 22: 0} {
		m.now = at(s)
		require.Equal(t, want, m.foreseen(second, m.period()), "at %v s", s)
	}
	second.cycle.observe(at(20), 0.9, 12)
	m.now = at(20)
	require.Zero(t, m.foreseen(second, m.period()), "the peak has begun")
}

// A load that wavers within one peak was taken for several.
func TestOnePeakIsCountedOnce(t *testing.T) {
	var c cycle
	for i, part := range []float64{0.7, 0.5, 0.7, 0.2, 0.7, 0.2} {
		c.observe(start.Add(time.Duration(i)*time.Second), part, 5)
	}
	require.Len(t, c.rises, 1)
	require.Zero(t, c.period())
}

// A pool kept all its machines after its peak, though the next one was far away.
func TestPoolGivesItsBaseAwayAfterItsPeak(t *testing.T) {
	const machines = 25
	r := newRig(false)
	for n := range machines {
		id := fmt.Sprintf("m%02d", n)
		r.add(id, "p", "w-"+id)
		r.load(engine.MachineStatus{Machine: id, Worker: "w-" + id, Usable: true})
	}
	setUsed := func(n int) {
		p := r.pools["p"]
		p.Status.Machines = append([]engine.MachineStatus(nil), p.Status.Machines...)
		for i := range p.Status.Machines {
			p.Status.Machines[i].Used, p.Status.Machines[i].Runs = n, n/1000
		}
		r.pools["p"] = p
	}
	r.pass(3 * time.Second)
	require.Empty(t, r.m.Release(), "a peak may come at any moment")
	setUsed(14000)
	r.pass(time.Second)
	setUsed(0)
	r.pass(time.Second)
	require.Empty(t, r.m.Release(), "the load may come back")
	r.pass(2 * time.Second)
	require.Len(t, r.m.Release(), 12, "all but 2.5 times the square root of 25")
}

// Lasting tasks hid the end of a peak: the load never fell below its bound.
func TestLastingTasksAreNoPeak(t *testing.T) {
	r := newRig(false)
	for n := range 10 {
		id := fmt.Sprintf("m%02d", n)
		r.add(id, "p", "w-"+id)
		r.load(engine.MachineStatus{Machine: id, Worker: "w-" + id, Usable: true, Used: 12000, Runs: 1, Lasting: 1})
	}
	p := r.pools["p"]
	p.Status.Lasting = 120000
	r.pools["p"] = p
	r.pass(time.Second)
	require.Empty(t, r.m.pools["p"].cycle.rises)
}

// A pool that had given its base away had no machine for the tasks of one that
// was due for upkeep, so its wave was late by 3 s and more.
func TestPoolHasMachinesForTasksThatMustBeApart(t *testing.T) {
	r := newRig(false)
	p := r.pools["p"]
	p.Status.Spread = 5
	r.pools["p"] = p
	for n := range 3 {
		id := fmt.Sprintf("m%d", n)
		r.add(id, "p", "w-"+id)
		r.load(engine.MachineStatus{Machine: id, Worker: "w-" + id, Usable: true, Runs: 1, Lasting: 1})
	}
	for n := range 9 {
		r.add(fmt.Sprintf("s%d", n), "spare", "")
	}
	r.step()
	require.Len(t, r.moves, 3, "one more than must be apart")
	for i := range r.machines {
		if r.machines[i].Pool == "spare" && slices.ContainsFunc(r.moves, func(m Move) bool { return m.Machine == r.machines[i].ID }) {
			r.machines[i].Pool, r.machines[i].Worker = "p", "w-"+r.machines[i].ID
		}
	}
	r.pass(3 * time.Second)
	require.Len(t, r.moves, 3)
	r.step(requested(1, "m0"))
	r.pass(time.Second)
	require.Len(t, r.moves, 4, "one for the machine that is emptied")
}
