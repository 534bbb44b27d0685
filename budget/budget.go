// Package budget decides whether the disruption budgets of a pool permit one more
// planned absence of a VM. Planned and unplanned absences count alike.
package budget

import (
	"fmt"

	"github.com/carobwharf/carobwharf/structs"
)

// Refusal names the budget and the rule that an absence would violate.
type Refusal struct {
	Budget    string
	Rule      string // max_unavailable, min_available or survive
	Limit     int    // number of VMs that the rule sets
	Projected int    // number of VMs that the absence would lead to
}

// Error returns the budget, the rule, its limit and the projected number of VMs.
func (r *Refusal) Error() string {
	return fmt.Sprintf("budget %s: %s is %d, would be %d", r.Budget, r.Rule, r.Limit, r.Projected)
}

// Ledger counts the absences of one pool against its budgets.
type Ledger struct {
	budgets   []structs.Budget
	vms       map[string]structs.VM
	absent    map[string]bool
	available map[structs.Domain]map[string]int // available VMs by level and domain, for the levels that the budgets name
}

// New returns the ledger of a pool. vms are all VMs of the pool, including absent
// ones. Budgets of other pools and absences of other VMs are ignored. A
// MaxUnavailable or MinAvailable of 0 sets no limit.
func New(pool string, budgets []structs.Budget, vms []structs.VM, absences []structs.Absence) *Ledger {
	l := &Ledger{
		vms: make(map[string]structs.VM, len(vms)), absent: map[string]bool{},
		available: map[structs.Domain]map[string]int{},
	}
	for _, b := range budgets {
		if b.Pool == pool {
			l.budgets = append(l.budgets, b)
			l.available[b.Survive] = map[string]int{}
		}
	}
	for _, vm := range vms {
		l.vms[vm.ID] = vm
		l.adjustAvailable(vm, 1)
	}
	for _, a := range absences {
		if _, ok := l.vms[a.VM]; ok {
			l.RecordAbsence(a.VM)
		}
	}
	return l
}

func (l *Ledger) adjustAvailable(vm structs.VM, delta int) {
	for level, domains := range l.available {
		if d, ok := DomainOf(vm, level); ok {
			domains[d] += delta
		}
	}
}

// Permit returns nil if the VM may become absent, and the refusal otherwise. It
// records nothing. A VM that is already absent may stay absent.
func (l *Ledger) Permit(vm string) *Refusal {
	if l.absent[vm] {
		return nil
	}
	l.RecordAbsence(vm)
	defer l.removeAbsence(vm)
	return l.Check()
}

// RecordAbsence records the absence of a VM. It does nothing if the VM is already absent.
func (l *Ledger) RecordAbsence(vm string) {
	if !l.absent[vm] {
		l.absent[vm] = true
		l.adjustAvailable(l.vms[vm], -1)
	}
}

func (l *Ledger) removeAbsence(vm string) {
	delete(l.absent, vm)
	l.adjustAvailable(l.vms[vm], 1)
}

// Check returns the first rule that the recorded absences violate, or nil.
func (l *Ledger) Check() *Refusal {
	if len(l.absent) == 0 {
		return nil
	}
	for _, b := range l.budgets {
		if r := l.checkBudget(b); r != nil {
			return r
		}
	}
	return nil
}

func (l *Ledger) checkBudget(b structs.Budget) *Refusal {
	if n := len(l.absent); b.MaxUnavailable > 0 && n > b.MaxUnavailable {
		return &Refusal{Budget: b.Name, Rule: "max_unavailable", Limit: b.MaxUnavailable, Projected: n}
	}
	if b.MinAvailable == 0 {
		return nil
	}
	remain, rule := l.remaining(b.Survive)
	if remain < b.MinAvailable {
		return &Refusal{Budget: b.Name, Rule: rule, Limit: b.MinAvailable, Projected: remain}
	}
	return nil
}

// remaining returns the number of VMs that stay available after the loss of the
// largest domain of the level, and the rule that the number is checked by. With
// no domain to lose, it is the number of available VMs.
func (l *Ledger) remaining(level structs.Domain) (count int, rule string) {
	largest := 0
	for _, count := range l.available[level] {
		largest = max(largest, count)
	}
	if largest > 0 {
		return len(l.vms) - len(l.absent) - largest, "survive"
	}
	return len(l.vms) - len(l.absent), "min_available"
}

// DomainOf returns the name of the VM's failure domain at the level: the data
// centre for DomainDataCentre, "data centre/rack" for DomainRack. ok is false for
// DomainNone.
func DomainOf(vm structs.VM, level structs.Domain) (name string, ok bool) {
	switch level {
	case structs.DomainDataCentre:
		return vm.DataCentre, true
	case structs.DomainRack:
		return vm.DataCentre + "/" + vm.Rack, true
	}
	return "", false
}
