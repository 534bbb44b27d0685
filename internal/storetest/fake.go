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

// Faults are the faults of the platform. Fields of type float64 are probabilities
// from 0 to 1 for each call.
type Faults struct {
	LoseCommit  float64       // Commit returns ErrUnknown without effect
	LoseAnswer  float64       // Commit takes effect and returns ErrUnknown
	Unavailable float64       // the call returns ErrUnavailable
	Conflict    float64       // Commit returns a ConflictError for its first key, without effect
	Delay       time.Duration // maximum delay before a call takes effect
	Outage      bool          // every call returns ErrUnavailable
}

// Fake is an in-memory store.Platform. It is safe for concurrent use.
type Fake struct {
	state chan *state // contains the state while no call uses it
}

type state struct {
	rng            *rand.Rand
	faults         Faults
	table          *memtable.Table
	objects        map[string][]byte
	vms            map[string]structs.VM
	rebootingUntil map[string]time.Time // by VM: when its last reboot ends
	rebootTime     time.Duration
	reboots        map[string]int
	onCommit       func(rows map[string]store.Row, ops []store.Op)
	commits        int
}

// New returns an empty platform. The seed determines which calls fail.
func New(seed uint64) *Fake {
	f := &Fake{state: make(chan *state, 1)}
	f.state <- &state{
		rng:   rand.New(rand.NewPCG(seed, seed)),
		table: memtable.New(), objects: map[string][]byte{}, vms: map[string]structs.VM{},
		rebootingUntil: map[string]time.Time{}, reboots: map[string]int{},
	}
	return f
}

// withState runs change with exclusive access to the state.
func (f *Fake) withState(change func(*state)) {
	s := <-f.state
	defer func() { f.state <- s }()
	change(s)
}

// SetFaults replaces the faults.
func (f *Fake) SetFaults(faults Faults) { f.withState(func(s *state) { s.faults = faults }) }

// SetRebootTime sets how long a rebooting VM is missing from the list.
func (f *Fake) SetRebootTime(d time.Duration) { f.withState(func(s *state) { s.rebootTime = d }) }

// OnCommit sets a function that is called with all rows after each commit that
// took effect. It must not retain or change the map.
func (f *Fake) OnCommit(check func(rows map[string]store.Row, ops []store.Op)) {
	f.withState(func(s *state) { s.onCommit = check })
}

// AddVM adds a VM to the list or replaces it.
func (f *Fake) AddVM(vm structs.VM) { f.withState(func(s *state) { s.vms[vm.ID] = vm }) }

// RemoveVM removes a VM from the list, as if it had failed.
func (f *Fake) RemoveVM(id string) { f.withState(func(s *state) { delete(s.vms, id) }) }

// Reboots returns how often each VM was rebooted.
func (f *Fake) Reboots() (out map[string]int) {
	f.withState(func(s *state) { out = maps.Clone(s.reboots) })
	return out
}

// Rows returns the rows whose keys have the prefix, in key order.
func (f *Fake) Rows(prefix string) (out []store.Row) {
	f.withState(func(s *state) { out = s.table.Scan(prefix, "", len(s.table.Rows())) })
	return out
}

// Commits returns the number of commits that took effect.
func (f *Fake) Commits() (n int) {
	f.withState(func(s *state) { n = s.commits })
	return n
}

// startCall waits for a random delay and returns store.ErrUnavailable if the call
// must fail.
func (f *Fake) startCall(ctx context.Context) error {
	var delay time.Duration
	var err error
	f.withState(func(s *state) {
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
