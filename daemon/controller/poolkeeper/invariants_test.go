package poolkeeper

import (
	"encoding/json"
	"fmt"
	"path"
	"strings"

	"github.com/carobwharf/carobwharf/budget"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

func (s *sim) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// checkIdle checks that no live gateway has a request in flight on the VM.
func (s *sim) checkIdle(vm, what string) {
	for _, g := range s.gateways {
		if !g.dead && g.inFlight[vm] > 0 {
			s.recordViolation("%s: %s of %s interrupts %d requests of %s", s.now.Format("15:04:05.000"), what, vm, g.inFlight[vm], g.member.ID)
		}
	}
}

// checkCommit runs after every commit. It checks that a VM changes its pool or
// reboots only after every gateway has finished the drain, and that no planned
// absence violates a budget.
func (s *sim) checkCommit(table map[string]store.Row, ops []store.Op) {
	for _, op := range ops {
		if strings.HasPrefix(op.Key, store.PrefixVM) {
			id := path.Base(op.Key)
			var o structs.Owner
			if json.Unmarshal(op.Value, &o) == nil && (o.State == structs.OwnerRebooting || s.changesPool(o)) {
				s.checkIdle(id, string(o.State))
			}
		}
	}
	for _, op := range ops {
		if pool, ok := beginsPlannedAbsence(op); ok {
			s.checkBudgets(table, pool)
		}
	}
}

// testVM returns the description of a VM with an ID of the form vm000.
func testVM(id string) structs.VM {
	var i int
	if _, err := fmt.Sscanf(id, "vm%d", &i); err != nil {
		panic(err)
	}
	return structs.VM{
		ID: id, DataCentre: fmt.Sprintf("dc%d", i%3), Rack: fmt.Sprintf("r%d", i/3%2), State: structs.VMLive, Slots: 8,
	}
}

// changesPool reports whether the written row has another pool than the previous
// version of the row.
func (s *sim) changesPool(o structs.Owner) bool {
	old, ok := s.lastPool[o.VM]
	s.lastPool[o.VM] = o.Pool
	if !ok || old == o.Pool {
		return false
	}
	s.moveCount++
	return true
}

// beginsPlannedAbsence reports whether the operation begins a planned absence, and
// in which pool. Budgets are checked only then, because unplanned absences may
// exceed them.
func beginsPlannedAbsence(op store.Op) (pool string, ok bool) {
	var o structs.Owner
	if !strings.HasPrefix(op.Key, store.PrefixVM) || json.Unmarshal(op.Value, &o) != nil {
		return "", false
	}
	return o.Pool, o.State == structs.OwnerDraining
}

// checkBudgets checks the pool's budgets. Besides the recorded absences it counts
// every VM that is not active, to detect a planned absence that is missing from
// the absence row.
func (s *sim) checkBudgets(table map[string]store.Row, pool string) {
	var vms []structs.VM
	var absent rows.Absences
	if r, ok := table[store.KeyAbsence(pool)]; ok {
		var err error
		if absent, err = rows.DecodeAbsences(r.Value); err != nil {
			s.recordViolation("%v", err)
		}
	}
	for key, r := range table {
		if !strings.HasPrefix(key, store.PrefixVM) {
			continue
		}
		var o structs.Owner
		if json.Unmarshal(r.Value, &o) != nil {
			s.recordViolation("row %s cannot be decoded", key)
			continue
		}
		if o.Pool != pool {
			continue
		}
		vms = append(vms, testVM(o.VM))
		if o.State != structs.OwnerActive {
			absent.Absent = append(absent.Absent, structs.Absence{VM: o.VM})
		}
	}
	if r := budget.New(pool, s.set.Budgets, vms, absent.Absent).Check(); r != nil {
		s.recordViolation("%s: pool %s: %v", s.now.Format("15:04:05.000"), pool, r)
	}
}
