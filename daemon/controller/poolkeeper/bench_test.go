package poolkeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// BenchmarkRollout runs a stop plan over 30 VMs with width 3 through the whole
// duty in virtual time: polling, drains of up to 3 s, transactions of up to 80
// ms, reboots of 20 s. The lower bound is VMs over width, times the mean drain
// of 2 s plus the reboot; the goal is 1.2 times that.
func BenchmarkRollout(b *testing.B) {
	const vms, width = 30, 3
	sum, runs := 0.0, 0
	for b.Loop() {
		s := newSim(uint64(runs), 2, 2, structs.ObjectSet{
			Pools:     []structs.Pool{{Name: "a", Target: vms}, {Name: "spare", Spare: true}},
			Budgets:   []structs.Budget{{Name: "a", Pool: "a", MaxUnavailable: width}},
			StopPlans: []structs.StopPlan{{Name: "k", Pool: "a", Order: structs.DomainRack, Width: width, DrainTimeout: time.Minute, RebootTimeout: 5 * time.Minute}},
		})
		addVMs(s.f, vms)
		if !s.run(time.Hour, s.plansFinished("k")) || len(s.broken) > 0 {
			b.Fatal("not finished", s.broken)
		}
		p := s.nodes[0].m.plans["k"].Progress
		bound := time.Duration(vms/width) * (2*time.Second + s.reboot)
		sum += float64(p.Finished.Sub(p.Started)) / float64(bound)
		runs++
	}
	b.ReportMetric(sum/float64(runs), "times-lower-bound")
}

// BenchmarkStep measures one step of a machine that holds 6 of 32 pools of a
// fleet of 15,000 VMs: a confirmation of a drain, and a reading of all rows.
func BenchmarkStep(b *testing.B) {
	now := time.Unix(1e9, 0)
	set := structs.ObjectSet{}
	fleet, rows := &structs.FleetView{ReadAt: now}, Rows{}
	for i := range 32 {
		set.Pools = append(set.Pools, structs.Pool{Name: fmt.Sprintf("p%02d", i), Target: 468, Spare: i == 0})
	}
	for i := range 15_000 {
		vm := testVM(fmt.Sprintf("vm%d", i))
		fleet.VMs = append(fleet.VMs, vm)
		rows.Owners = append(rows.Owners, structs.Owner{VM: vm.ID, Pool: fmt.Sprintf("p%02d", i%32), State: structs.OwnerActive, Epoch: 1, Version: uint64(i + 1)})
	}
	m := NewMachine(testConfig("c"))
	m.Step(now, ConfigSeen{Config: &structs.Config{Generation: 1, Set: set}})
	m.Step(now, FleetSeen{View: fleet})
	m.Step(now, RowsRead{Started: now, Rows: rows})
	s := &sim{now: now, set: structs.ObjectSet{Pools: set.Pools[:6]}}
	s.holdAll(&node{m: m})
	for name, e := range map[string]Event{"confirmed": Confirmed{Confirm: Confirm{VM: "vm1"}}, "rows": RowsRead{Started: now, Rows: rows}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m.Step(now, e)
			}
		})
	}
}
