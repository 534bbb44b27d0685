package poolkeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// BenchmarkRollout runs a stop plan over 30 VMs with width 3 through the whole
// duty in virtual time: polling, drains of up to 3 s, transactions of up to 80
// ms, reboots of 20 s. The lower bound is VMs / width * (mean drain of 2 s +
// reboot time); the target is 1.2 times the lower bound.
func BenchmarkRollout(b *testing.B) {
	const vms, width = 30, 3
	sum, runs := 0.0, 0
	for b.Loop() {
		s := newSim(uint64(runs), 2, 2, structs.ObjectSet{
			Pools:     []structs.Pool{{Name: "a", Target: vms}, {Name: "spare", Spare: true}},
			Budgets:   []structs.Budget{{Name: "a", Pool: "a", MaxUnavailable: width}},
			StopPlans: []structs.StopPlan{{Name: "k", Pool: "a", Order: structs.DomainRack, Width: width, DrainTimeout: time.Minute, RebootTimeout: 5 * time.Minute}},
		})
		addVMs(s.platform, vms)
		if !s.run(time.Hour, s.plansFinished("k")) || len(s.violations) > 0 {
			b.Fatal("stop plan not finished or invariants violated:", s.violations)
		}
		p := s.nodes[0].machine.plans["k"].Progress
		bound := time.Duration(vms/width) * (2*time.Second + s.rebootTime)
		sum += float64(p.Finished.Sub(p.Started)) / float64(bound)
		runs++
	}
	b.ReportMetric(sum/float64(runs), "times-lower-bound")
}

// BenchmarkStep measures one step of a machine that holds the leases of 6 of the
// 32 pools of a fleet of 15,000 VMs: for a drain confirmation, and for a read of
// all rows.
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
	m.Step(now, ConfigUpdated{Config: &structs.Config{Generation: 1, Set: set}})
	m.Step(now, FleetUpdated{View: fleet})
	m.Step(now, RowsRead{Started: now, Rows: rows})
	s := &sim{now: now, set: structs.ObjectSet{Pools: set.Pools[:6]}}
	s.holdAllLeases(&node{machine: m})
	for name, e := range map[string]Event{"confirmed": DrainConfirmed{Confirm: ConfirmDrain{VM: "vm1"}}, "rows": RowsRead{Started: now, Rows: rows}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m.Step(now, e)
			}
		})
	}
}
