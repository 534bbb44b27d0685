// Package budget decides whether one more VM of a pool may be absent on
// purpose. Planned and unplanned absences count alike.
package budget

import (
	"fmt"

	"github.com/carobwharf/carobwharf/structs"
)

// Refusal says which rule of which budget a permit would break.
type Refusal struct {
	Budget string
	Rule   string // max_unavailable, min_available or survive
	Limit  int    // VMs
	Would  int    // VMs after the permit
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("budget %s: %s is %d, would be %d", r.Budget, r.Rule, r.Limit, r.Would)
}

// Ledger counts the absences of one pool against its budgets.
type Ledger struct {
	budgets   []structs.Budget
	vms       map[string]structs.VM
	absent    map[string]bool
	available map[structs.Domain]map[string]int // VMs by domain, for the levels that the budgets name
}

// New returns the ledger of a pool. vms are all VMs that belong to the pool,
// those that are absent included. Absences of other VMs are left out.
// A MaxUnavailable or MinAvailable of 0 sets no limit.
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
		l.count(vm, 1)
	}
	for _, a := range absences {
		if _, ok := l.vms[a.VM]; ok {
			l.Take(a.VM)
		}
	}
	return l
}

func (l *Ledger) count(vm structs.VM, by int) {
	for level, domains := range l.available {
		if d, ok := DomainOf(vm, level); ok {
			domains[d] += by
		}
	}
}

// Permit returns nil if the VM may become absent, or the refusal. A VM that
// is absent already may stay so.
func (l *Ledger) Permit(vm string) *Refusal {
	if l.absent[vm] {
		return nil
	}
	l.Take(vm)
	defer l.giveBack(vm)
	return l.Check()
}

// Take records the absence of a VM whose permit was granted.
func (l *Ledger) Take(vm string) {
	if !l.absent[vm] {
		l.absent[vm] = true
		l.count(l.vms[vm], -1)
	}
}

func (l *Ledger) giveBack(vm string) {
	delete(l.absent, vm)
	l.count(l.vms[vm], 1)
}

// Check returns the rule that the present absences break, or nil.
func (l *Ledger) Check() *Refusal {
	if len(l.absent) == 0 {
		return nil
	}
	for _, b := range l.budgets {
		if r := l.brokenBy(b); r != nil {
			return r
		}
	}
	return nil
}

func (l *Ledger) brokenBy(b structs.Budget) *Refusal {
	if n := len(l.absent); b.MaxUnavailable > 0 && n > b.MaxUnavailable {
		return &Refusal{Budget: b.Name, Rule: "max_unavailable", Limit: b.MaxUnavailable, Would: n}
	}
	if b.MinAvailable == 0 {
		return nil
	}
	remain, rule := l.remaining(b.Survive)
	if remain < b.MinAvailable {
		return &Refusal{Budget: b.Name, Rule: rule, Limit: b.MinAvailable, Would: remain}
	}
	return nil
}

// remaining returns the available VMs that are left after the loss of the
// largest domain of the level.
func (l *Ledger) remaining(level structs.Domain) (n int, rule string) {
	largest := 0
	for _, n := range l.available[level] {
		largest = max(largest, n)
	}
	if largest > 0 {
		return len(l.vms) - len(l.absent) - largest, "survive"
	}
	return len(l.vms) - len(l.absent), "min_available"
}

// DomainOf returns the name of the VM's failure domain of the level: the data
// centre, or the data centre, a slash and the rack. ok is false for
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
