package poolkeeper

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/budget"
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
func (s *sim) check(rows map[string]store.Row, ops []store.Op) {
	for _, op := range ops {
		if id, ok := strings.CutPrefix(op.Key, store.PrefixVM); ok {
			var o structs.Owner
			if json.Unmarshal(op.Value, &o) == nil && (o.State == structs.OwnerRebooting || o.Epoch > 1 && o.Reason == planMove && o.State == structs.OwnerActive) {
				s.checkIdle(id, string(o.State))
			}
		}
	}
	if slices.ContainsFunc(ops, func(op store.Op) bool { return addsPermit(op) }) {
		s.checkBudgets(rows)
	}
}

// addsPermit reports whether the operation begins a planned absence.
func addsPermit(op store.Op) bool {
	var o structs.Owner
	return strings.HasPrefix(op.Key, store.PrefixVM) && json.Unmarshal(op.Value, &o) == nil && o.State == structs.OwnerDraining
}

// checkBudgets counts, besides the recorded absences, every VM that is not
// active: a permit that is missing from the absence row must be found.
func (s *sim) checkBudgets(rows map[string]store.Row) {
	vms := map[string][]structs.VM{}
	absent := map[string][]structs.Absence{}
	for key, r := range rows {
		if !strings.HasPrefix(key, store.PrefixVM) {
			continue
		}
		var o structs.Owner
		if json.Unmarshal(r.Value, &o) != nil {
			s.fail("row %s cannot be decoded", key)
			continue
		}
		vms[o.Pool] = append(vms[o.Pool], s.nodes[0].m.describe(o.VM))
		if o.State != structs.OwnerActive {
			absent[o.Pool] = append(absent[o.Pool], structs.Absence{VM: o.VM})
		}
	}
	for _, p := range s.set.Pools {
		var v absenceValue
		if r, ok := rows[store.KeyAbsence(p.Name)]; ok && json.Unmarshal(r.Value, &v) != nil {
			s.fail("absences of %s cannot be decoded", p.Name)
		}
		list := append(v.Absent, absent[p.Name]...)
		if !slices.ContainsFunc(list, func(a structs.Absence) bool { return a.Planned }) {
			continue
		}
		if r := budget.New(p.Name, s.set.Budgets, vms[p.Name], list).Check(); r != nil {
			s.fail("%s: pool %s: %v", s.now.Format("15:04:05.000"), p.Name, r)
		}
	}
}
