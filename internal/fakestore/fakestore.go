// Package fakestore provides an in-memory store.Platform for tests, with outages
// and lost answers. One goroutine owns the rows and objects.
package fakestore

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/carobwharf/carobwharf/internal/memtable"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Platform implements store.Platform.
type Platform struct {
	// Down makes every call fail with store.ErrUnavailable.
	Down atomic.Bool
	// LoseAnswers is the number of upcoming commits that take effect but
	// return store.ErrUnknown.
	LoseAnswers atomic.Int64
	// LoseCommits is the number of upcoming commits that take no effect and
	// return store.ErrUnknown.
	LoseCommits atomic.Int64
	// LosePuts is the number of upcoming object writes that take effect but
	// return store.ErrUnknown.
	LosePuts atomic.Int64
	// BeforeCommit, if not nil, runs before each commit, so that a test can
	// commit a conflicting change first. It must be set before the first call.
	BeforeCommit func()

	Commits atomic.Int64 // commits that took effect
	Reads   atomic.Int64 // calls of Get, Scan and GetObject

	calls chan func(*state)
}

type state struct {
	table   *memtable.Table
	objects map[string][]byte
}

// New returns an empty platform. It runs until ctx ends.
func New(ctx context.Context) *Platform {
	p := &Platform{calls: make(chan func(*state))}
	go func() {
		s := &state{table: memtable.New(), objects: map[string][]byte{}}
		for {
			select {
			case <-ctx.Done():
				return
			case call := <-p.calls:
				call(s)
			}
		}
	}()
	return p
}

// do runs call on the goroutine that owns the state and waits for it.
func (p *Platform) do(ctx context.Context, call func(*state)) error {
	if p.Down.Load() {
		return fmt.Errorf("fake platform: %w", store.ErrUnavailable)
	}
	done := make(chan struct{})
	select {
	case p.calls <- func(s *state) { call(s); close(done) }:
		<-done
		return nil
	case <-ctx.Done():
		return fmt.Errorf("fake platform: %w: %w", store.ErrUnavailable, ctx.Err())
	}
}

// Get implements store.Table.
func (p *Platform) Get(ctx context.Context, key string) (store.Row, error) {
	p.Reads.Add(1)
	var row store.Row
	var found bool
	if err := p.do(ctx, func(s *state) { row, found = s.table.Get(key) }); err != nil {
		return row, err
	}
	if !found {
		return row, fmt.Errorf("get %s: %w", key, store.ErrNotFound)
	}
	return row, nil
}

// Scan implements store.Table.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	p.Reads.Add(1)
	var out []store.Row
	err := p.do(ctx, func(s *state) { out = s.table.Scan(prefix, after, limit) })
	return out, err
}

// Commit implements store.Table.
func (p *Platform) Commit(ctx context.Context, ops []store.Op) ([]uint64, error) {
	if p.BeforeCommit != nil {
		p.BeforeCommit()
	}
	if p.LoseCommits.Add(-1) >= 0 {
		return nil, fmt.Errorf("commit: %w", store.ErrUnknown)
	}
	var versions []uint64
	var failed error
	if err := p.do(ctx, func(s *state) { versions, failed = s.table.Commit(ops) }); err != nil {
		return nil, err
	}
	if failed != nil {
		return nil, failed
	}
	p.Commits.Add(1)
	if p.LoseAnswers.Add(-1) >= 0 {
		return nil, fmt.Errorf("commit: %w", store.ErrUnknown)
	}
	return versions, nil
}

// PutObject implements store.Objects.
func (p *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	if err := p.do(ctx, func(s *state) { s.objects[name] = slices.Clone(data) }); err != nil {
		return err
	}
	if p.LosePuts.Add(-1) >= 0 {
		return fmt.Errorf("put %s: %w", name, store.ErrUnknown)
	}
	return nil
}

// GetObject implements store.Objects.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	p.Reads.Add(1)
	var data []byte
	var found bool
	if err := p.do(ctx, func(s *state) { data, found = s.objects[name] }); err != nil {
		return nil, err
	}
	if !found {
		return nil, fmt.Errorf("object %s: %w", name, store.ErrNotFound)
	}
	return data, nil
}

// ListVMs implements store.VMs with an empty list.
func (p *Platform) ListVMs(context.Context) ([]structs.VM, error) { return nil, nil }

// RebootVM implements store.VMs; no VM exists.
func (p *Platform) RebootVM(_ context.Context, id string) error {
	return fmt.Errorf("VM %s: %w", id, store.ErrNotFound)
}
