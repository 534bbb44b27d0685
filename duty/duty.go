// Package duty supervises the long-running goroutines of a process. Each duty
// exclusively owns its state; other duties communicate with it only through
// rings. Duties start in the order in which they were added and stop in reverse
// order.
package duty

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"
)

// Func runs a duty until ctx ends. Returning nil, or any error after ctx has
// ended, is a normal end. Any other error is a failure of the duty, which the
// supervisor reports through Failed.
type Func func(ctx context.Context) error

// Report is the entry of one duty in the state dump.
type Report struct {
	Name  string
	State any
}

// Duty describes one duty.
type Duty struct {
	Name string
	Run  Func
	// Dump returns the duty's state for the state dump. It may be nil. It is
	// called from another goroutine, so it must request the state through a
	// ring or return an immutable snapshot.
	Dump func(ctx context.Context) any
}

type entry struct {
	duty   Duty
	cancel context.CancelFunc
	done   chan struct{}
}

// Supervisor starts, stops and lists duties. It is not safe for concurrent use,
// except that other goroutines may call Dump after Start.
type Supervisor struct {
	entries []*entry
	failure chan error
}

// NewSupervisor returns an empty supervisor.
func NewSupervisor() *Supervisor {
	return &Supervisor{failure: make(chan error, 1)}
}

// Add registers a duty. It must be called before Start.
func (s *Supervisor) Add(d Duty) {
	s.entries = append(s.entries, &entry{duty: d, done: make(chan struct{})})
}

// Start starts all duties, each in its own goroutine. The end of ctx does not
// stop them; Stop does.
func (s *Supervisor) Start(ctx context.Context) {
	for _, e := range s.entries {
		dutyCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		e.cancel = cancel
		go s.run(dutyCtx, e)
	}
}

func (s *Supervisor) run(ctx context.Context, e *entry) {
	defer close(e.done)
	defer func() {
		if recovered := recover(); recovered != nil {
			s.fail(fmt.Errorf("duty %s panicked: %v\n%s", e.duty.Name, recovered, debug.Stack()))
		}
	}()
	if err := e.duty.Run(ctx); err != nil && ctx.Err() == nil {
		s.fail(fmt.Errorf("duty %s: %w", e.duty.Name, err))
	}
}

func (s *Supervisor) fail(err error) {
	select {
	case s.failure <- err:
	default:
	}
}

// Failed returns a channel that delivers the error of the first duty that fails.
func (s *Supervisor) Failed() <-chan error { return s.failure }

// Stop stops the duties one at a time, in the reverse of the order in which they
// were added: it waits for each to end before it stops the next. After the end of
// ctx it no longer waits, and returns an error that names the duties that are
// still running.
func (s *Supervisor) Stop(ctx context.Context) error {
	var stillRunning []string
	for i := len(s.entries) - 1; i >= 0; i-- {
		e := s.entries[i]
		if e.cancel == nil {
			continue
		}
		e.cancel()
		select {
		case <-e.done:
		case <-ctx.Done():
			stillRunning = append(stillRunning, e.duty.Name)
		}
	}
	if len(stillRunning) > 0 {
		return fmt.Errorf("duties still running at the stop deadline: %v", stillRunning)
	}
	return nil
}

// Names returns the names of the duties in start order.
func (s *Supervisor) Names() []string {
	names := make([]string, len(s.entries))
	for i, e := range s.entries {
		names[i] = e.duty.Name
	}
	return names
}

// Dump collects the states of all duties and waits at most timeout in total.
func (s *Supervisor) Dump(ctx context.Context, timeout time.Duration) []Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reports := make([]Report, 0, len(s.entries))
	for _, e := range s.entries {
		r := Report{Name: e.duty.Name}
		if e.duty.Dump != nil {
			r.State = e.duty.Dump(ctx)
		}
		reports = append(reports, r)
	}
	return reports
}
