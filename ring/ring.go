// Package ring provides the bounded queue that connects duties. A Ring has any
// number of producers and one consumer. Its behaviour when full is fixed at
// construction, so that each use states what happens under overload.
package ring

import (
	"context"
	"errors"
	"sync/atomic"
)

// Policy determines what Put does when the ring is full.
type Policy int

// Policies.
const (
	Refuse     Policy = iota // Put returns ErrFull at once
	Wait                     // Put waits until there is space or the context ends
	KeepNewest               // Put discards the oldest value; for snapshots of which only the latest matters
)

// String returns the policy's name.
func (p Policy) String() string {
	switch p {
	case Refuse:
		return "refuse"
	case Wait:
		return "wait"
	case KeepNewest:
		return "keep-newest"
	}
	return "unknown"
}

// Errors of Put.
var (
	ErrFull   = errors.New("ring: full")
	ErrClosed = errors.New("ring: closed")
)

// Stats is a snapshot of a ring's counters.
type Stats struct {
	Name      string
	Policy    string
	Capacity  int
	Depth     int
	HighWater int64 // maximum depth so far
	Accepted  int64
	Refused   int64 // values that were refused, or that KeepNewest discarded
}

// Ring is a bounded FIFO queue. The zero value is not usable; call New.
type Ring[T any] struct {
	name      string
	policy    Policy
	buf       chan T
	closed    chan struct{}
	isClosed  atomic.Bool
	highWater atomic.Int64
	accepted  atomic.Int64
	refused   atomic.Int64
}

// New returns a ring that holds at most capacity values. It panics if
// capacity is not positive.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	if capacity <= 0 {
		panic("ring: capacity must be positive")
	}
	return &Ring[T]{
		name:   name,
		policy: policy,
		buf:    make(chan T, capacity),
		closed: make(chan struct{}),
	}
}

// Put adds v to the ring. If the ring is full, its policy applies: Put returns
// ErrFull with Refuse, and the context's error if the context ends with Wait.
// After Close it returns ErrClosed; KeepNewest has no other error.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	if r.isClosed.Load() {
		return ErrClosed
	}
	switch r.policy {
	case Wait:
		return r.putWait(ctx, v)
	case KeepNewest:
		r.putNewest(v)
		return nil
	default:
		return r.putRefuse(v)
	}
}

func (r *Ring[T]) putRefuse(v T) error {
	select {
	case r.buf <- v:
		r.recordAccepted()
		return nil
	default:
		r.refused.Add(1)
		return ErrFull
	}
}

func (r *Ring[T]) putWait(ctx context.Context, v T) error {
	select {
	case r.buf <- v:
		r.recordAccepted()
		return nil
	default:
	}
	select {
	case r.buf <- v:
		r.recordAccepted()
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		r.refused.Add(1)
		return ctx.Err()
	}
}

func (r *Ring[T]) putNewest(v T) {
	for {
		select {
		case r.buf <- v:
			r.recordAccepted()
			return
		default:
		}
		select {
		case <-r.buf:
			r.refused.Add(1)
		default:
		}
	}
}

func (r *Ring[T]) recordAccepted() {
	r.accepted.Add(1)
	depth := int64(len(r.buf))
	for {
		current := r.highWater.Load()
		if depth <= current || r.highWater.CompareAndSwap(current, depth) {
			return
		}
	}
}

// C returns the channel from which the consumer receives. It is never closed, so
// a consumer must also wait for its own stop signal.
func (r *Ring[T]) C() <-chan T { return r.buf }

// Close makes later calls of Put fail with ErrClosed and unblocks waiting
// producers. Values already in the ring can still be received.
func (r *Ring[T]) Close() {
	if r.isClosed.CompareAndSwap(false, true) {
		close(r.closed)
	}
}

// Stats returns the current counters.
func (r *Ring[T]) Stats() Stats {
	return Stats{
		Name:      r.name,
		Policy:    r.policy.String(),
		Capacity:  cap(r.buf),
		Depth:     len(r.buf),
		HighWater: r.highWater.Load(),
		Accepted:  r.accepted.Load(),
		Refused:   r.refused.Load(),
	}
}
