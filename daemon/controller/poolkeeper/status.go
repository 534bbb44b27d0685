package poolkeeper

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// HeldLease is a lease that this process holds.
type HeldLease struct {
	Pool  string
	Token uint64
}

// Status is the state of the duty as shown to operators and in the state dump.
type Status struct {
	Generation uint64
	Up         bool // the platform was read recently
	Leases     []HeldLease
	Moves      []string // VMs that are moving to another pool
	Stops      []string // VMs that are being stopped or rebooted
	Absences   map[string][]structs.Absence
}

// Status returns the state of the machine at now.
func (m *Machine) Status(now time.Time) Status {
	s := Status{Generation: m.generation, Up: m.platformUp(now), Absences: map[string][]structs.Absence{}}
	for _, pool := range slices.Sorted(maps.Keys(m.leases)) {
		if m.holdsLease(now, pool) {
			s.Leases = append(s.Leases, HeldLease{Pool: pool, Token: m.leases[pool].held.Token})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.owners)) {
		o := m.owners[id]
		switch {
		case o.State == structs.OwnerActive:
		case o.Next != "":
			s.Moves = append(s.Moves, id)
		default:
			s.Stops = append(s.Stops, id)
		}
	}
	for pool, row := range m.absences {
		s.Absences[pool] = row.Absences
	}
	return s
}

// Drain submits an operator's order and waits for the result.
func (d *Duty) Drain(ctx context.Context, o DrainOrder) (DrainResult, error) {
	reply := make(chan DrainResult, 1)
	if err := d.events.Put(ctx, orderRequest{order: o, reply: reply}); err != nil {
		return DrainResult{}, fmt.Errorf("order not taken: %w", err)
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return DrainResult{}, fmt.Errorf("order %s: %w", o.ID, ctx.Err())
	}
}

// Status returns the duty's state.
func (d *Duty) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	if err := d.events.Put(ctx, statusRequest{reply: reply}); err != nil {
		return Status{}, fmt.Errorf("status not taken: %w", err)
	}
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// Dump returns the Status, or nil if ctx ends first.
func (d *Duty) Dump(ctx context.Context) any {
	s, err := d.Status(ctx)
	if err != nil {
		return nil
	}
	return s
}
