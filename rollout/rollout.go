// Package rollout decides which VMs a stop plan stops next. It keeps as many
// VMs stopped as the plan's width and the budget allow, and goes through the
// failure domains one after the other. There is no barrier between domains:
// when the last VMs of a domain are out, free places go to the next domain.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/budget"
	"github.com/carobwharf/carobwharf/structs"
)

// Progress is the durable state of a stop plan.
type Progress struct {
	Plan     string
	Started  time.Time // of the current cycle
	Finished time.Time // of the current cycle; zero while it runs
	Done     []string  // VMs maintained in the current cycle, sorted
}

// IsDone reports whether the VM was maintained in the current cycle.
func (p *Progress) IsDone(vm string) bool {
	_, ok := slices.BinarySearch(p.Done, vm)
	return ok
}

// WithDone returns a copy in which the VM is done.
func (p Progress) WithDone(vm string) Progress {
	i, ok := slices.BinarySearch(p.Done, vm)
	if !ok {
		p.Done = slices.Insert(slices.Clone(p.Done), i, vm)
	}
	return p
}

// Hold is the reason why a plan stops no VM now.
type Hold string

// Reasons.
const (
	HoldNone      Hold = ""
	HoldFinished  Hold = "finished"
	HoldAfter     Hold = "waits for another plan"
	HoldUnplanned Hold = "unplanned absence"
	HoldWidth     Hold = "width reached"
	HoldBudget    Hold = "budget reached"
	HoldReturn    Hold = "waits for stopped VMs to return"
)

// Input is what a decision depends on.
type Input struct {
	Now      time.Time
	Plan     structs.StopPlan
	Progress Progress
	After    *Progress    // of the plan named in Plan.After; nil if there is no record of it
	Ready    []structs.VM // VMs of the pool that are active, listed as live and not deferred
	Waiting  int          // VMs of the pool that are not ready for another reason
	Absences []structs.Absence
	Ledger   *budget.Ledger
	// An unplanned absence younger than this pauses the plan. An older one
	// still counts against the budget: a VM that is gone for good must not
	// stop maintenance of the pool for ever.
	PauseFor time.Duration
}

// Decision is the result of Next.
type Decision struct {
	Stop []string // VMs to stop now, in order
	Hold Hold     // why there are no more
}

// Due returns the progress with which the plan goes on: a new cycle if none
// was started or the period has passed since the start of a finished one.
// changed reports whether it has to be stored.
func Due(p Progress, plan structs.StopPlan, now time.Time) (next Progress, changed bool) {
	fresh := Progress{Plan: plan.Name, Started: now}
	if p.Started.IsZero() {
		return fresh, true
	}
	if !p.Finished.IsZero() && plan.Every > 0 && now.Sub(p.Started) >= plan.Every {
		return fresh, true
	}
	return p, false
}

// Next returns the VMs to stop now. Each of them has been taken in the
// ledger.
func Next(in Input) Decision {
	if hold := in.blocked(); hold != HoldNone {
		return Decision{Hold: hold}
	}
	out := in.ownAbsences()
	left := in.candidates()
	if len(left) == 0 {
		if out > 0 || in.Waiting > 0 {
			return Decision{Hold: HoldReturn}
		}
		return Decision{Hold: HoldFinished}
	}
	var d Decision
	for _, c := range left {
		if in.Plan.Width > 0 && out+len(d.Stop) >= in.Plan.Width {
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

func (in *Input) blocked() Hold {
	if !in.Progress.Finished.IsZero() {
		return HoldFinished
	}
	if in.Plan.After != "" && (in.After == nil || in.After.Finished.IsZero()) {
		return HoldAfter
	}
	for _, a := range in.Absences {
		if !a.Planned && in.Now.Sub(a.Since) < in.PauseFor {
			return HoldUnplanned
		}
	}
	return HoldNone
}

func (in *Input) ownAbsences() int {
	n := 0
	for _, a := range in.Absences {
		if a.Planned && a.Plan == in.Plan.Name {
			n++
		}
	}
	return n
}

// candidates returns the VMs that are left, by domain. Domains that are in
// progress come first, then larger ones: under a survive rule, the absence of
// a VM of the largest domain leaves the remainder as it is, so more VMs can be
// out at once.
func (in *Input) candidates() []candidate {
	begun := map[string]bool{}
	size := map[string]int{}
	var left []candidate
	for _, vm := range in.Ready {
		d, _ := budget.DomainOf(vm, in.Plan.Order)
		size[d]++
		if in.Progress.IsDone(vm.ID) {
			begun[d] = true
			continue
		}
		left = append(left, candidate{vm: vm.ID, domain: d})
	}
	slices.SortFunc(left, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(rank(begun[a.domain]), rank(begun[b.domain])),
			cmp.Compare(size[b.domain], size[a.domain]),
			cmp.Compare(a.domain, b.domain),
			cmp.Compare(a.vm, b.vm),
		)
	})
	return left
}

type candidate struct{ vm, domain string }

func rank(first bool) int {
	if first {
		return 0
	}
	return 1
}
