// Package memstore provides an in-memory store.Platform for tests. A function
// chosen by the test decides which calls fail, with or without effect.
package memstore

import (
	"context"
	"fmt"

	"github.com/carobwharf/carobwharf/internal/memtable"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Fault is the way in which a call fails.
type Fault int

// Kinds of faults.
const (
	None       Fault = iota
	Down             // store.ErrUnavailable, no effect
	LostAnswer       // store.ErrUnknown, with effect
	LostCall         // store.ErrUnknown, no effect
	Blocked          // the call returns store.ErrUnknown when its context ends, no effect
)

// Call describes a call to a Store before it takes effect.
type Call struct {
	Name string // get, scan, commit, put, object
	Ops  []store.Op
	Key  string
}

// Store is an in-memory store.Platform. It is safe for concurrent use.
type Store struct {
	lock    chan struct{} // contains one token while no goroutine uses the fields below
	table   *memtable.Table
	objects map[string][]byte
	fault   func(Call) Fault
	commits int
}

var _ store.Platform = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	s := &Store{lock: make(chan struct{}, 1), table: memtable.New(), objects: map[string][]byte{}}
	s.lock <- struct{}{}
	return s
}

// withLock runs f with exclusive access to the fields.
func (s *Store) withLock(f func()) {
	<-s.lock
	defer func() { s.lock <- struct{}{} }()
	f()
}

// SetFault sets the function that selects the fault of each call. If it is nil,
// all calls succeed.
func (s *Store) SetFault(f func(Call) Fault) { s.withLock(func() { s.fault = f }) }

// Commits returns the number of commits that took effect.
func (s *Store) Commits() (n int) {
	s.withLock(func() { n = s.commits })
	return n
}

// Row returns a row without injecting faults. It reports false if the row does
// not exist.
func (s *Store) Row(key string) (row store.Row, ok bool) {
	s.withLock(func() { row, ok = s.table.Get(key) })
	return row, ok
}

// call selects the fault of a call, runs f if the call takes effect, and returns
// the error of the fault or of f.
func (s *Store) call(ctx context.Context, c Call, f func() error) error {
	var fault Fault
	var err error
	s.withLock(func() {
		if s.fault != nil {
			fault = s.fault(c)
		}
		if fault == None || fault == LostAnswer {
			err = f()
		}
	})
	switch fault {
	case Down:
		return fmt.Errorf("%s: %w", c.Name, store.ErrUnavailable)
	case LostAnswer, LostCall:
		return fmt.Errorf("%s: %w", c.Name, store.ErrUnknown)
	case Blocked:
		<-ctx.Done()
		return fmt.Errorf("%s: %w", c.Name, store.ErrUnknown)
	}
	return err
}

// Get implements store.Table.
func (s *Store) Get(ctx context.Context, key string) (row store.Row, err error) {
	err = s.call(ctx, Call{Name: "get", Key: key}, func() error {
		var ok bool
		if row, ok = s.table.Get(key); !ok {
			return fmt.Errorf("row %s: %w", key, store.ErrNotFound)
		}
		return nil
	})
	return row, err
}

// Scan implements store.Table.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) (rows []store.Row, err error) {
	err = s.call(ctx, Call{Name: "scan", Key: prefix}, func() error {
		rows = s.table.Scan(prefix, after, limit)
		return nil
	})
	return rows, err
}

// Commit implements store.Table.
func (s *Store) Commit(ctx context.Context, ops []store.Op) (versions []uint64, err error) {
	err = s.call(ctx, Call{Name: "commit", Ops: ops}, func() error {
		var err error
		if versions, err = s.table.Commit(ops); err == nil {
			s.commits++
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}

// PutObject implements store.Objects.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	return s.call(ctx, Call{Name: "put", Key: name}, func() error {
		s.objects[name] = data
		return nil
	})
}

// GetObject implements store.Objects.
func (s *Store) GetObject(ctx context.Context, name string) (data []byte, err error) {
	err = s.call(ctx, Call{Name: "object", Key: name}, func() error {
		var ok bool
		if data, ok = s.objects[name]; !ok {
			return fmt.Errorf("object %s: %w", name, store.ErrNotFound)
		}
		return nil
	})
	return data, err
}

// ListVMs implements store.VMs with an empty list.
func (s *Store) ListVMs(context.Context) ([]structs.VM, error) { return nil, nil }

// RebootVM implements store.VMs and does nothing.
func (s *Store) RebootVM(context.Context, string) error { return nil }
