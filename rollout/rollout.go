// Package rollout decides which VMs a stop plan stops next. It keeps as many VMs
// stopped as the plan's width and the budget allow, and goes through the failure
// domains one after another. There is no barrier between domains: while the last
// VMs of a domain are stopped, the rest of the width is used for the next
// domain.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/budget"
	"github.com/carobwharf/carobwharf/structs"
)

// Progress is the stored state of a stop plan.
type Progress struct {
	Plan     string
	Started  time.Time // of the current cycle
	Finished time.Time // of the current cycle; zero while the cycle runs
	Done     []string  // VMs maintained in the current cycle, sorted
}

// IsDone reports whether the VM was maintained in the current cycle.
func (p *Progress) IsDone(vm string) bool {
	_, ok := slices.BinarySearch(p.Done, vm)
	return ok
}

// WithDone returns a copy in which the VM is recorded as maintained.
func (p Progress) WithDone(vm string) Progress {
	i, ok := slices.BinarySearch(p.Done, vm)
	if !ok {
		p.Done = slices.Insert(slices.Clone(p.Done), i, vm)
	}
	return p
}

// HoldReason is the reason why a plan stops no further VM now.
type HoldReason string

// Reasons why a plan stops no further VM.
const (
	HoldNone        HoldReason = ""
	HoldFinished    HoldReason = "finished"
	HoldPredecessor HoldReason = "waits for another plan"
	HoldUnplanned   HoldReason = "unplanned absence"
	HoldWidth       HoldReason = "width reached"
	HoldBudget      HoldReason = "budget reached"
	HoldReturning   HoldReason = "waits for stopped VMs to return"
)

// Input is the input of Next.
type Input struct {
	Now      time.Time
	Plan     structs.StopPlan
	Progress Progress
	After    *Progress    // progress of the plan named in Plan.After; nil if none is stored
	Ready    []structs.VM // VMs of the pool that are active and live and whose drain is not deferred
	Waiting  int          // number of other VMs of the pool that are not maintained yet
	Absences []structs.Absence
	Ledger   *budget.Ledger
	// An unplanned absence pauses the plan until it has lasted this long. After
	// that it only counts against the budget, so that a VM that never returns
	// does not block the maintenance of its pool for good.
	PauseFor time.Duration
}

// Decision is the result of Next.
type Decision struct {
	Stop []string   // VMs to stop now, in order
	Hold HoldReason // why no further VM is stopped
}

// CurrentCycle returns the progress with which the plan continues. It is that of
// a new cycle if none was started, or if the plan's period has passed since the
// start of a finished one. changed reports whether it has to be stored.
func CurrentCycle(p Progress, plan structs.StopPlan, now time.Time) (next Progress, changed bool) {
	fresh := Progress{Plan: plan.Name, Started: now}
	if p.Started.IsZero() {
		return fresh, true
	}
	if !p.Finished.IsZero() && plan.Every > 0 && now.Sub(p.Started) >= plan.Every {
		return fresh, true
	}
	return p, false
}

// Next returns the VMs to stop now and records their absence in in.Ledger.
func Next(in Input) Decision {
	if hold := in.holdReason(); hold != HoldNone {
		return Decision{Hold: hold}
	}
	absent := in.planAbsences()
	candidates := in.candidates()
	if len(candidates) == 0 {
		if absent > 0 || in.Waiting > 0 {
			return Decision{Hold: HoldReturning}
		}
		return Decision{Hold: HoldFinished}
	}
	var d Decision
	for _, c := range candidates {
		if in.Plan.Width > 0 && absent+len(d.Stop) >= in.Plan.Width {
			d.Hold = HoldWidth
			return d
		}
		if in.Ledger.Permit(c.vm) != nil {
			d.Hold = HoldBudget
			continue
		}
		in.Ledger.RecordAbsence(c.vm)
		d.Stop = append(d.Stop, c.vm)
	}
	return d
}

func (in *Input) holdReason() HoldReason {
	if !in.Progress.Finished.IsZero() {
		return HoldFinished
	}
	if in.Plan.After != "" && (in.After == nil || in.After.Finished.IsZero()) {
		return HoldPredecessor
	}
	for _, a := range in.Absences {
		if !a.Planned && in.Now.Sub(a.Since) < in.PauseFor {
			return HoldUnplanned
		}
	}
	return HoldNone
}

func (in *Input) planAbsences() int {
	n := 0
	for _, a := range in.Absences {
		if a.Planned && a.Plan == in.Plan.Name {
			n++
		}
	}
	return n
}

// candidates returns the ready VMs that are not maintained yet, ordered by
// failure domain. Domains in progress come first, then larger ones: a budget
// with Survive counts the VMs outside the largest domain, which an absence in
// that domain does not reduce, so more VMs can be absent at once.
func (in *Input) candidates() []candidate {
	started := map[string]bool{}
	size := map[string]int{}
	var remaining []candidate
	for _, vm := range in.Ready {
		d, _ := budget.DomainOf(vm, in.Plan.Order)
		size[d]++
		if in.Progress.IsDone(vm.ID) {
			started[d] = true
			continue
		}
		remaining = append(remaining, candidate{vm: vm.ID, domain: d})
	}
	slices.SortFunc(remaining, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(rank(started[a.domain]), rank(started[b.domain])),
			cmp.Compare(size[b.domain], size[a.domain]),
			cmp.Compare(a.domain, b.domain),
			cmp.Compare(a.vm, b.vm),
		)
	})
	return remaining
}

type candidate struct{ vm, domain string }

func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}
