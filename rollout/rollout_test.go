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

// run is one roll-out in virtual time.
type run struct {
	rng      *rand.Rand
	now      time.Time
	plan     structs.StopPlan
	budget   structs.Budget
	progress Progress
	vms      []structs.VM
	absent   map[string]structs.Absence
	back     returns
	failures int // still to come
	failed   int
	barrier  bool    // a domain begins only when the one before it is done
	late     float64 // spread of the time that a stop takes
}

type ret struct {
	at   time.Time
	vm   string
	done bool
}

type returns []ret

func (q returns) Len() int           { return len(q) }
func (q returns) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q returns) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *returns) Push(x any)        { *q = append(*q, x.(ret)) }
func (q *returns) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	stopTime = 3 * time.Minute // drain plus reboot
	pause    = 5 * time.Minute
)

func newRun(seed uint64, failures int) *run {
	rng := rand.New(rand.NewPCG(seed, 3))
	r := &run{rng: rng, now: time.Unix(1e6, 0), absent: map[string]structs.Absence{}, failures: failures}
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
	r.progress, _ = Due(Progress{}, r.plan, r.now)
	return r
}

func (r *run) absences() []structs.Absence {
	var out []structs.Absence
	for _, a := range r.absent {
		out = append(out, a)
	}
	return out
}

func (r *run) decide() Decision {
	ledger := budget.New("p", []structs.Budget{r.budget}, r.vms, r.absences())
	in := Input{
		Now: r.now, Plan: r.plan, Progress: r.progress, Absences: r.absences(), Ledger: ledger, PauseFor: pause,
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

// firstDomain returns the first domain that is not done.
func (r *run) firstDomain() string {
	first := ""
	for _, vm := range r.vms {
		if d, _ := budget.DomainOf(vm, r.plan.Order); !r.progress.IsDone(vm.ID) && (first == "" || d < first) {
			first = d
		}
	}
	return first
}

// broken counts the budget from scratch.
func (r *run) broken() error {
	if len(r.absent) > r.budget.MaxUnavailable {
		return fmt.Errorf("%d absent, budget %+v", len(r.absent), r.budget)
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
		return fmt.Errorf("%d remain, budget %+v", left-largest, r.budget)
	}
	return nil
}

func (r *run) leave(vm string, planned bool, d time.Duration) {
	r.absent[vm] = structs.Absence{VM: vm, Planned: planned, Plan: r.plan.Name, Since: r.now}
	heap.Push(&r.back, ret{at: r.now.Add(d), vm: vm, done: planned})
}

// fail lets a VM that is in use fail, at most once in a step.
func (r *run) fail() {
	if r.failures == 0 || r.rng.IntN(4) > 0 {
		return
	}
	vm := r.vms[r.rng.IntN(len(r.vms))].ID
	if _, out := r.absent[vm]; !out {
		r.failures--
		r.failed++
		r.leave(vm, false, time.Duration(r.rng.IntN(15))*time.Minute)
	}
}

// all runs the roll-out to its end. It returns how long it took and the
// greatest number of VMs that the budget allows at once.
func (r *run) all() (took time.Duration, err error) {
	start := r.now
	for range 10_000 {
		d := r.decide()
		for _, vm := range d.Stop {
			r.leave(vm, true, time.Duration(float64(stopTime)*(1+r.late*r.rng.Float64())))
		}
		if len(d.Stop) > 0 {
			if err := r.broken(); err != nil {
				return 0, err
			}
		}
		if len(r.back) == 0 && d.Hold == HoldFinished {
			return r.now.Sub(start), nil
		}
		r.fail()
		if len(r.back) == 0 {
			return 0, fmt.Errorf("stuck: %+v", d)
		}
		b := heap.Pop(&r.back).(ret)
		r.now = b.at
		delete(r.absent, b.vm)
		if b.done {
			r.progress = r.progress.WithDone(b.vm)
		}
	}
	return 0, fmt.Errorf("not finished: %d of %d", len(r.progress.Done), len(r.vms))
}

// feasible reports whether the budget allows any stop at all.
func (r *run) feasible() bool { return len(r.decide().Stop) > 0 }

// In 10,000 roll-outs with failures in mid-wave, no stop may break the budget,
// and every VM must be maintained.
func TestRolloutsKeepBudget(t *testing.T) {
	failed, ran := 0, 0
	for seed := range uint64(10_000) {
		r := newRun(seed, 3)
		if !r.feasible() {
			continue
		}
		_, err := r.all()
		require.NoError(t, err, "seed %d", seed)
		require.Len(t, r.progress.Done, len(r.vms), "seed %d", seed)
		ran, failed = ran+1, failed+r.failed
	}
	require.Greater(t, ran, 8000)
	require.Greater(t, failed, ran, "too few failures to show anything")
}

// A stop during the pause after a failure would add to a wave that goes wrong;
// a plan whose predecessor is not finished must wait; and a finished cycle
// starts again after its period only.
func TestHolds(t *testing.T) {
	now := time.Unix(1e6, 0)
	vms := []structs.VM{{ID: "a"}, {ID: "b"}}
	in := Input{
		Now: now, Plan: structs.StopPlan{Name: "k", Every: time.Hour}, Ready: vms[:1], PauseFor: pause,
		Absences: []structs.Absence{{VM: "b", Since: now.Add(-time.Minute)}}, Ledger: budget.New("p", nil, vms, nil),
	}
	require.Equal(t, HoldUnplanned, Next(in).Hold)
	in.Now = now.Add(pause)
	require.Equal(t, []string{"a"}, Next(in).Stop)
	in.Plan.After = "other"
	require.Equal(t, HoldAfter, Next(in).Hold)
	in.After = &Progress{Finished: now}
	require.Equal(t, []string{"a"}, Next(in).Stop)
	in.Progress.Finished = now
	require.Equal(t, HoldFinished, Next(in).Hold)

	p := Progress{Plan: "k", Started: now, Finished: now.Add(time.Minute), Done: []string{"a"}}
	_, changed := Due(p, in.Plan, now.Add(59*time.Minute))
	require.False(t, changed)
	p, changed = Due(p, in.Plan, now.Add(time.Hour))
	require.True(t, changed)
	require.Empty(t, p.Done)
}

// BenchmarkRolloutTime reports the time of roll-outs relative to the lower
// bound: VMs over width, times drain plus reboot. The goal is 1.2.
func BenchmarkRolloutTime(b *testing.B) {
	for _, mode := range []struct {
		name     string
		failures int
		late     float64
		barrier  bool
	}{{"plain", 0, 0, false}, {"barrier", 0, 0, true}, {"late", 0, 0.3, false}, {"failures", 3, 0, false}} {
		b.Run(mode.name, func(b *testing.B) {
			sum, worst, n := 0.0, 0.0, 0
			for seed := uint64(0); b.Loop(); seed++ {
				r := newRun(seed, mode.failures)
				r.budget.MinAvailable, r.late, r.barrier = 0, mode.late, mode.barrier
				width := min(r.plan.Width, r.budget.MaxUnavailable)
				took, err := r.all()
				if err != nil {
					b.Fatal(err)
				}
				mean := float64(stopTime) * (1 + mode.late/2)
				ratio := float64(took) * float64(width) / (mean * float64(len(r.vms)))
				sum, worst, n = sum+ratio, max(worst, ratio), n+1
			}
			b.ReportMetric(sum/float64(n), "times-lower-bound")
			b.ReportMetric(worst, "worst")
		})
	}
}
