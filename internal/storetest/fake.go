// Package storetest provides an in-memory store.Platform with fault injection
// for tests of other packages.
package storetest

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/carobwharf/carobwharf/internal/memtable"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Faults are probabilities (0 to 1) of faults in each call.
type Faults struct {
	LostBefore  float64       // Commit returns ErrUnknown without effect
	LostAfter   float64       // Commit returns ErrUnknown after taking effect
	Unavailable float64       // ErrUnavailable
	Conflict    float64       // Commit returns a ConflictError for its first key, without effect
	Delay       time.Duration // greatest delay before a call takes effect
	Outage      bool          // every call returns ErrUnavailable
}

// Fake is the platform. It may be used from many goroutines.
type Fake struct {
	state chan *state // holds the state while no call uses it
}

type state struct {
	rng      *rand.Rand
	faults   Faults
	table    *memtable.Table
	objects  map[string][]byte
	vms      map[string]structs.VM
	down     map[string]time.Time // rebooting VMs and when they return
	reboot   time.Duration
	reboots  map[string]int
	onCommit func(rows map[string]store.Row, ops []store.Op)
	commits  int
}

// New returns an empty platform. Faults are drawn from the seed.
func New(seed uint64) *Fake {
	f := &Fake{state: make(chan *state, 1)}
	f.state <- &state{
		rng:   rand.New(rand.NewPCG(seed, seed)),
		table: memtable.New(), objects: map[string][]byte{}, vms: map[string]structs.VM{},
		down: map[string]time.Time{}, reboots: map[string]int{},
	}
	return f
}

func (f *Fake) with(change func(*state)) {
	s := <-f.state
	defer func() { f.state <- s }()
	change(s)
}

// SetFaults replaces the faults.
func (f *Fake) SetFaults(faults Faults) { f.with(func(s *state) { s.faults = faults }) }

// SetReboot sets how long a rebooting VM is missing from the list.
func (f *Fake) SetReboot(d time.Duration) { f.with(func(s *state) { s.reboot = d }) }

// OnCommit sets a function that sees all rows after every commit that took
// effect. It must not keep the map.
func (f *Fake) OnCommit(check func(rows map[string]store.Row, ops []store.Op)) {
	f.with(func(s *state) { s.onCommit = check })
}

// AddVM adds a VM to the list or replaces it.
func (f *Fake) AddVM(vm structs.VM) { f.with(func(s *state) { s.vms[vm.ID] = vm }) }

// RemoveVM removes a VM from the list, as a failure does.
func (f *Fake) RemoveVM(id string) { f.with(func(s *state) { delete(s.vms, id) }) }

// Reboots returns how often each VM was rebooted.
func (f *Fake) Reboots() (out map[string]int) {
	f.with(func(s *state) { out = maps.Clone(s.reboots) })
	return out
}

// Rows returns the rows with the prefix, by key.
func (f *Fake) Rows(prefix string) (out []store.Row) {
	f.with(func(s *state) { out = s.table.Scan(prefix, "", len(s.table.Rows())) })
	return out
}

// Commits returns the number of commits that took effect.
func (f *Fake) Commits() (n int) {
	f.with(func(s *state) { n = s.commits })
	return n
}

// enter draws the delay and the fault of a call, and waits for the delay.
func (f *Fake) enter(ctx context.Context) error {
	var delay time.Duration
	var err error
	f.with(func(s *state) {
		if s.faults.Delay > 0 {
			delay = time.Duration(s.rng.Int64N(int64(s.faults.Delay)))
		}
		if s.faults.Outage || s.rng.Float64() < s.faults.Unavailable {
			err = store.ErrUnavailable
		}
	})
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return store.ErrUnavailable
		}
	}
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	return err
}
