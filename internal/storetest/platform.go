package storetest

import (
	"bytes"
	"context"
	"time"

	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

var _ store.Platform = (*Fake)(nil)

// Get implements store.Table.
func (f *Fake) Get(ctx context.Context, key string) (row store.Row, err error) {
	if err := f.startCall(ctx); err != nil {
		return store.Row{}, err
	}
	f.withState(func(s *state) {
		var ok bool
		if row, ok = s.table.Get(key); !ok {
			err = store.ErrNotFound
		}
	})
	return row, err
}

// Scan implements store.Table.
func (f *Fake) Scan(ctx context.Context, prefix, after string, limit int) (out []store.Row, err error) {
	if err := f.startCall(ctx); err != nil {
		return nil, err
	}
	f.withState(func(s *state) { out = s.table.Scan(prefix, after, limit) })
	return out, nil
}

// Commit implements store.Table.
func (f *Fake) Commit(ctx context.Context, ops []store.Op) (versions []uint64, err error) {
	if err := f.startCall(ctx); err != nil {
		return nil, err
	}
	f.withState(func(s *state) {
		if s.rng.Float64() < s.faults.LoseCommit {
			err = store.ErrUnknown
			return
		}
		if len(ops) > 0 && s.rng.Float64() < s.faults.Conflict {
			err = &store.ConflictError{Keys: []string{ops[0].Key}}
			return
		}
		versions, err = s.commit(ops)
		if s.rng.Float64() < s.faults.LoseAnswer {
			versions, err = nil, store.ErrUnknown
		}
	})
	return versions, err
}

func (s *state) commit(ops []store.Op) ([]uint64, error) {
	versions, err := s.table.Commit(ops)
	if err != nil {
		return nil, err
	}
	s.commits++
	if s.onCommit != nil {
		s.onCommit(s.table.Rows(), ops)
	}
	return versions, nil
}

// PutObject implements store.Objects.
func (f *Fake) PutObject(ctx context.Context, name string, data []byte) error {
	if err := f.startCall(ctx); err != nil {
		return err
	}
	f.withState(func(s *state) { s.objects[name] = bytes.Clone(data) })
	return nil
}

// GetObject implements store.Objects.
func (f *Fake) GetObject(ctx context.Context, name string) (data []byte, err error) {
	if err := f.startCall(ctx); err != nil {
		return nil, err
	}
	f.withState(func(s *state) {
		var ok bool
		if data, ok = s.objects[name]; !ok {
			err = store.ErrNotFound
		}
	})
	return data, err
}

// ListVMs implements store.VMs.
func (f *Fake) ListVMs(ctx context.Context) (out []structs.VM, err error) {
	if err := f.startCall(ctx); err != nil {
		return nil, err
	}
	f.withState(func(s *state) {
		for id, vm := range s.vms {
			if !time.Now().Before(s.rebootingUntil[id]) {
				out = append(out, vm)
			}
		}
	})
	return out, nil
}

// RebootVM implements store.VMs.
func (f *Fake) RebootVM(ctx context.Context, id string) error {
	if err := f.startCall(ctx); err != nil {
		return err
	}
	f.withState(func(s *state) {
		s.rebootingUntil[id] = time.Now().Add(s.rebootTime)
		s.reboots[id]++
	})
	return nil
}
