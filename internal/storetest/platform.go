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
	if err := f.enter(ctx); err != nil {
		return store.Row{}, err
	}
	f.with(func(s *state) {
		var ok bool
		if row, ok = s.rows[key]; !ok {
			err = store.ErrNotFound
		}
	})
	return row, err
}

// Scan implements store.Table.
func (f *Fake) Scan(ctx context.Context, prefix, after string, limit int) (out []store.Row, err error) {
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	f.with(func(s *state) { out = s.scan(prefix, after, limit) })
	return out, nil
}

// Commit implements store.Table.
func (f *Fake) Commit(ctx context.Context, ops []store.Op) (versions []uint64, err error) {
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	f.with(func(s *state) {
		if s.rng.Float64() < s.faults.LostBefore {
			err = store.ErrUnknown
			return
		}
		if len(ops) > 0 && s.rng.Float64() < s.faults.Conflict {
			err = &store.ConflictError{Keys: []string{ops[0].Key}}
			return
		}
		versions, err = s.commit(ops)
		if s.rng.Float64() < s.faults.LostAfter {
			versions, err = nil, store.ErrUnknown
		}
	})
	return versions, err
}

func (s *state) commit(ops []store.Op) ([]uint64, error) {
	var failed []string
	for _, op := range ops {
		if !s.holds(op) {
			failed = append(failed, op.Key)
		}
	}
	if len(failed) > 0 {
		return nil, &store.ConflictError{Keys: failed}
	}
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		switch op.Kind {
		case store.OpDelete:
			delete(s.rows, op.Key)
		case store.OpInsert, store.OpUpdate, store.OpPut:
			s.version++
			versions[i] = s.version
			s.rows[op.Key] = store.Row{Key: op.Key, Version: s.version, Value: bytes.Clone(op.Value)}
		}
	}
	s.commits++
	if s.onCommit != nil {
		s.onCommit(s.rows, ops)
	}
	return versions, nil
}

func (s *state) holds(op store.Op) bool {
	version := s.rows[op.Key].Version
	switch op.Kind {
	case store.OpInsert:
		return version == 0
	case store.OpUpdate, store.OpDelete:
		return version == op.Expect && version != 0
	case store.OpCheck:
		return version == op.Expect
	}
	return true
}

// PutObject implements store.Objects.
func (f *Fake) PutObject(ctx context.Context, name string, data []byte) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	f.with(func(s *state) { s.objects[name] = bytes.Clone(data) })
	return nil
}

// GetObject implements store.Objects.
func (f *Fake) GetObject(ctx context.Context, name string) (data []byte, err error) {
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	f.with(func(s *state) {
		var ok bool
		if data, ok = s.objects[name]; !ok {
			err = store.ErrNotFound
		}
	})
	return data, err
}

// ListVMs implements store.VMs.
func (f *Fake) ListVMs(ctx context.Context) (out []structs.VM, err error) {
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	f.with(func(s *state) {
		for id, vm := range s.vms {
			if !time.Now().Before(s.down[id]) {
				out = append(out, vm)
			}
		}
	})
	return out, nil
}

// RebootVM implements store.VMs.
func (f *Fake) RebootVM(ctx context.Context, id string) error {
	if err := f.enter(ctx); err != nil {
		return err
	}
	f.with(func(s *state) {
		s.down[id] = time.Now().Add(s.reboot)
		s.reboots[id]++
	})
	return nil
}
