package rollout

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/budget"
	"github.com/carobwharf/carobwharf/structs"
)

func ExampleNext() {
	vms := []structs.VM{{ID: "v1", Rack: "r1"}, {ID: "v2", Rack: "r1"}, {ID: "v3", Rack: "r2"}}
	plan := structs.StopPlan{Name: "kernel", Pool: "p", Order: structs.DomainRack, Width: 2}
	limits := []structs.Budget{{Name: "b", Pool: "p", MaxUnavailable: 2}}
	d := Next(Input{Plan: plan, Ready: vms, Ledger: budget.New("p", limits, vms, nil)})
	fmt.Println(d.Stop, d.Hold)
	// Output: [v1 v2] width reached
}

// simulation runs one rollout in simulated time.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	plan         structs.StopPlan
	budget       structs.Budget
	progress     Progress
	vms          []structs.VM
	absent       map[string]structs.Absence
	returns      returnQueue
	failuresLeft int     // number of failures still to inject
	failed       int     // number of injected failures
	barrier      bool    // start a domain only when the one before it is done
	jitter       float64 // maximum of the random extra time of a stop, as a fraction of stopDuration
}

type vmReturn struct {
	at   time.Time
	vm   string
	done bool
}

type returnQueue []vmReturn

func (q returnQueue) Len() int           { return len(q) }
func (q returnQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q returnQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *returnQueue) Push(x any)        { *q = append(*q, x.(vmReturn)) }
func (q *returnQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	stopDuration = 3 * time.Minute // drain plus reboot
	pauseFor     = 5 * time.Minute
)

func newSimulation(seed uint64, failures int) *simulation {
	rng := rand.New(rand.NewPCG(seed, 3))
	r := &simulation{rng: rng, now: time.Unix(1e6, 0), absent: map[string]structs.Absence{}, failuresLeft: failures}
	n := 8 + rng.IntN(25)
	for i := range n {
		r.vms = append(r.vms, structs.VM{
			ID: fmt.Sprintf("v%02d", i), DataCentre: fmt.Sprint("dc", i%3), Rack: fmt.Sprint("r", i/3%(1+n/12)),
		})
	}
	levels := []structs.Domain{structs.DomainNone, structs.DomainRack, structs.DomainDataCentre}
	r.plan = structs.StopPlan{Name: "k", Pool: "p", Order: levels[rng.IntN(3)], Width: 1 + rng.IntN(4)}
	r.budget = structs.Budget{Name: "b", Pool: "p", MaxUnavailable: 1 + rng.IntN(4)}
	if r.budget.Survive = levels[rng.IntN(3)]; rng.IntN(2) == 0 {
		r.budget.MinAvailable = n / 3
	}
	r.progress, _ = CurrentCycle(Progress{}, r.plan, r.now)
	return r
}

func (r *simulation) absences() []structs.Absence {
	var out []structs.Absence
	for _, a := range r.absent {
		out = append(out, a)
	}
	return out
}

func (r *simulation) decide() Decision {
	ledger := budget.New("p", []structs.Budget{r.budget}, r.vms, r.absences())
	in := Input{
		Now: r.now, Plan: r.plan, Progress: r.progress, Absences: r.absences(), Ledger: ledger, PauseFor: pauseFor,
	}
	first := r.firstDomain()
	for _, vm := range r.vms {
		if d, _ := budget.DomainOf(vm, r.plan.Order); r.barrier && d != first {
			continue
		}
		if _, out := r.absent[vm.ID]; !out {
			in.Ready = append(in.Ready, vm)
		} else if !r.progress.IsDone(vm.ID) {
			in.Waiting++
		}
	}
	return Next(in)
}

// firstDomain returns the first domain with a VM that is not maintained yet.
func (r *simulation) firstDomain() string {
	first := ""
	for _, vm := range r.vms {
		if d, _ := budget.DomainOf(vm, r.plan.Order); !r.progress.IsDone(vm.ID) && (first == "" || d < first) {
			first = d
		}
	}
	return first
}

// checkBudget checks the absent VMs against the budget, without budget.Ledger.
func (r *simulation) checkBudget() error {
	if len(r.absent) > r.budget.MaxUnavailable {
		return fmt.Errorf("%d VMs are absent, more than the budget %+v allows", len(r.absent), r.budget)
	}
	if r.budget.MinAvailable == 0 {
		return nil
	}
	left, largest := 0, 0
	size := map[string]int{}
	for _, vm := range r.vms {
		if _, out := r.absent[vm.ID]; out {
			continue
		}
		left++
		if key, ok := budget.DomainOf(vm, r.budget.Survive); ok {
			size[key]++
			largest = max(largest, size[key])
		}
	}
	if left-largest < r.budget.MinAvailable {
		return fmt.Errorf("%d VMs remain if the largest domain fails, fewer than the budget %+v allows", left-largest, r.budget)
	}
	return nil
}

func (r *simulation) markAbsent(vm string, planned bool, d time.Duration) {
	r.absent[vm] = structs.Absence{VM: vm, Planned: planned, Plan: r.plan.Name, Since: r.now}
	heap.Push(&r.returns, vmReturn{at: r.now.Add(d), vm: vm, done: planned})
}

// injectFailure makes a random VM fail with a probability of 1 in 4, unless the
// VM is absent already or no failure is left to inject.
func (r *simulation) injectFailure() {
	if r.failuresLeft == 0 || r.rng.IntN(4) > 0 {
		return
	}
	vm := r.vms[r.rng.IntN(len(r.vms))].ID
	if _, out := r.absent[vm]; !out {
		r.failuresLeft--
		r.failed++
		r.markAbsent(vm, false, time.Duration(r.rng.IntN(15))*time.Minute)
	}
}

// runToEnd runs the rollout to its end and returns the simulated time that it
// took.
func (r *simulation) runToEnd() (took time.Duration, err error) {
	start := r.now
	for range 10_000 {
		d := r.decide()
		for _, vm := range d.Stop {
			r.markAbsent(vm, true, time.Duration(float64(stopDuration)*(1+r.jitter*r.rng.Float64())))
		}
		if len(d.Stop) > 0 {
			if err := r.checkBudget(); err != nil {
				return 0, err
			}
		}
		if len(r.returns) == 0 && d.Hold == HoldFinished {
			return r.now.Sub(start), nil
		}
		r.injectFailure()
		if len(r.returns) == 0 {
			return 0, fmt.Errorf("no VM is stopped or about to return, but the plan is not finished: %+v", d)
		}
		b := heap.Pop(&r.returns).(vmReturn)
		r.now = b.at
		delete(r.absent, b.vm)
		if b.done {
			r.progress = r.progress.WithDone(b.vm)
		}
	}
	return 0, fmt.Errorf("rollout not finished: %d of %d VMs maintained", len(r.progress.Done), len(r.vms))
}

// feasible reports whether the budget allows stopping any VM.
func (r *simulation) feasible() bool { return len(r.decide().Stop) > 0 }

// Guards against stops that exceed the budget, and against VMs that are left
// out, when VMs fail during a rollout. It simulates 10,000 rollouts.
func TestRolloutsKeepBudgetDuringFailures(t *testing.T) {
	failed, ran := 0, 0
	for seed := range uint64(10_000) {
		r := newSimulation(seed, 3)
		if !r.feasible() {
			continue
		}
		_, err := r.runToEnd()
		require.NoError(t, err, "seed %d", seed)
		require.Len(t, r.progress.Done, len(r.vms), "seed %d", seed)
		ran, failed = ran+1, failed+r.failed
	}
	require.Greater(t, ran, 8000)
	require.Greater(t, failed, ran, "too few failures were injected for a meaningful test")
}

// Guards against a plan that stops VMs shortly after an unplanned absence, which
// the rollout itself may have caused, or before the plan that it waits for has
// finished, and against a new cycle before the plan's period has passed.
func TestHoldsForFailurePredecessorAndPeriod(t *testing.T) {
	now := time.Unix(1e6, 0)
	vms := []structs.VM{{ID: "a"}, {ID: "b"}}
	in := Input{
		Now: now, Plan: structs.StopPlan{Name: "k", Every: time.Hour}, Ready: vms[:1], PauseFor: pauseFor,
		Absences: []structs.Absence{{VM: "b", Since: now.Add(-time.Minute)}}, Ledger: budget.New("p", nil, vms, nil),
	}
	require.Equal(t, HoldUnplanned, Next(in).Hold)
	in.Now = now.Add(pauseFor)
	require.Equal(t, []string{"a"}, Next(in).Stop)
	in.Plan.After = "other"
	require.Equal(t, HoldPredecessor, Next(in).Hold)
	in.After = &Progress{Finished: now}
	require.Equal(t, []string{"a"}, Next(in).Stop)
	in.Progress.Finished = now
	require.Equal(t, HoldFinished, Next(in).Hold)

	p := Progress{Plan: "k", Started: now, Finished: now.Add(time.Minute), Done: []string{"a"}}
	_, changed := CurrentCycle(p, in.Plan, now.Add(59*time.Minute))
	require.False(t, changed)
	p, changed = CurrentCycle(p, in.Plan, now.Add(time.Hour))
	require.True(t, changed)
	require.Empty(t, p.Done)
}

// BenchmarkRolloutTime reports the duration of rollouts relative to the lower
// bound: the number of VMs divided by the width, times the duration of a drain
// and a reboot. The target is 1.2.
func BenchmarkRolloutTime(b *testing.B) {
	for _, mode := range []struct {
		name     string
		failures int
		jitter   float64
		barrier  bool
	}{{"plain", 0, 0, false}, {"barrier", 0, 0, true}, {"late", 0, 0.3, false}, {"failures", 3, 0, false}} {
		b.Run(mode.name, func(b *testing.B) {
			sum, worst, n := 0.0, 0.0, 0
			for seed := uint64(0); b.Loop(); seed++ {
				r := newSimulation(seed, mode.failures)
				r.budget.MinAvailable, r.jitter, r.barrier = 0, mode.jitter, mode.barrier
				width := min(r.plan.Width, r.budget.MaxUnavailable)
				took, err := r.runToEnd()
				if err != nil {
					b.Fatal(err)
				}
				mean := float64(stopDuration) * (1 + mode.jitter/2)
				ratio := float64(took) * float64(width) / (mean * float64(len(r.vms)))
				sum, worst, n = sum+ratio, max(worst, ratio), n+1
			}
			b.ReportMetric(sum/float64(n), "times-lower-bound")
			b.ReportMetric(worst, "worst")
		})
	}
}
