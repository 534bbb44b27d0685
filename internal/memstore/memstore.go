// Package memstore is a platform in memory for tests of packages that use the
// store contract. Its calls can be made to fail with and without effect.
package memstore

import (
	"context"
	"fmt"

	"github.com/carobwharf/carobwharf/internal/memtable"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Fault is what happens to a call.
type Fault int

// Faults.
const (
	None           Fault = iota
	Down                 // store.ErrUnavailable, no effect
	LostAnswer           // store.ErrUnknown, with effect
	LostCall             // store.ErrUnknown, no effect
	BlockedForEver       // the call waits for the end of its context, no effect
)

// Call describes a call to a Store before it takes effect.
type Call struct {
	Name string // get, scan, commit, put, object
	Ops  []store.Op
	Key  string
}

// Store is a store.Platform in memory. It may be used by several goroutines.
type Store struct {
	lock    chan struct{} // holds one token; whoever takes it owns the fields
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

func (s *Store) owned(f func()) {
	<-s.lock
	defer func() { s.lock <- struct{}{} }()
	f()
}

// SetFault sets the function that decides what happens to each call; nil
// means that all calls succeed.
func (s *Store) SetFault(f func(Call) Fault) { s.owned(func() { s.fault = f }) }

// Commits returns the number of transactions that took effect.
func (s *Store) Commits() (n int) {
	s.owned(func() { n = s.commits })
	return n
}

// Row returns a row without any fault; ok is false if it does not exist.
func (s *Store) Row(key string) (row store.Row, ok bool) {
	s.owned(func() { row, ok = s.table.Get(key) })
	return row, ok
}

func (s *Store) call(ctx context.Context, c Call, f func() error) error {
	var fault Fault
	var err error
	s.owned(func() {
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
	case BlockedForEver:
		<-ctx.Done()
		return fmt.Errorf("%s: %w", c.Name, store.ErrUnknown)
	}
	return err
}

// Get returns a row.
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

// Scan returns rows in key order.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) (rows []store.Row, err error) {
	err = s.call(ctx, Call{Name: "scan", Key: prefix}, func() error {
		rows = s.table.Scan(prefix, after, limit)
		return nil
	})
	return rows, err
}

// Commit applies a transaction.
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

// PutObject writes an object.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	return s.call(ctx, Call{Name: "put", Key: name}, func() error {
		s.objects[name] = data
		return nil
	})
}

// GetObject reads an object.
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

// ListVMs returns no VMs.
func (s *Store) ListVMs(context.Context) ([]structs.VM, error) { return nil, nil }

// RebootVM does nothing.
func (s *Store) RebootVM(context.Context, string) error { return nil }
