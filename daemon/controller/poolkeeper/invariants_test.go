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

func (s *sim) fail(format string, args ...any) {
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// checkIdle holds when no gateway that is alive has a request on the VM.
func (s *sim) checkIdle(vm, what string) {
	for _, g := range s.gateways {
		if !g.dead && g.inFlight[vm] > 0 {
			s.fail("%s: %s of %s cuts off %d requests of %s", s.now.Format("15:04:05.000"), what, vm, g.inFlight[vm], g.member.ID)
		}
	}
}

// check runs after every commit: a VM changes its pool only out of a drain
// that every gateway has finished, and no planned absence breaks a budget.
func (s *sim) check(table map[string]store.Row, ops []store.Op) {
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
		if pool, ok := addsPermit(op); ok {
			s.checkBudgets(table, pool)
		}
	}
}

// testVM describes the VM with an ID of the form vm000.
func testVM(id string) structs.VM {
	var i int
	if _, err := fmt.Sscanf(id, "vm%d", &i); err != nil {
		panic(err)
	}
	return structs.VM{
		ID: id, DataCentre: fmt.Sprintf("dc%d", i%3), Rack: fmt.Sprintf("r%d", i/3%2), State: structs.VMLive, Slots: 8,
	}
}

// changesPool reports whether the written row has another pool than the one
// before it.
func (s *sim) changesPool(o structs.Owner) bool {
	old, ok := s.pools[o.VM]
	s.pools[o.VM] = o.Pool
	if !ok || old == o.Pool {
		return false
	}
	s.moves++
	return true
}

// addsPermit reports whether the operation begins a planned absence, and in
// which pool. Absences that are not planned may exceed a budget at other times.
func addsPermit(op store.Op) (pool string, ok bool) {
	var o structs.Owner
	if !strings.HasPrefix(op.Key, store.PrefixVM) || json.Unmarshal(op.Value, &o) != nil {
		return "", false
	}
	return o.Pool, o.State == structs.OwnerDraining
}

// checkBudgets counts, besides the recorded absences, every VM that is not
// active: a permit that is missing from the absence row must be found.
func (s *sim) checkBudgets(table map[string]store.Row, pool string) {
	var vms []structs.VM
	var absent rows.Absences
	if r, ok := table[store.KeyAbsence(pool)]; ok {
		var err error
		if absent, err = rows.DecodeAbsences(r.Value); err != nil {
			s.fail("%v", err)
		}
	}
	for key, r := range table {
		if !strings.HasPrefix(key, store.PrefixVM) {
			continue
		}
		var o structs.Owner
		if json.Unmarshal(r.Value, &o) != nil {
			s.fail("row %s cannot be decoded", key)
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
		s.fail("%s: pool %s: %v", s.now.Format("15:04:05.000"), pool, r)
	}
}
