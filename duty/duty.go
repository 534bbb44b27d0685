// Package duty supervises the long-lived goroutines of a process. A duty
// alone owns its state; other duties reach it only through rings. Duties
// start in the order in which they were added and stop in the reverse order.
package duty

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"
)

// Func runs a duty until ctx ends. A nil error, or ctx's own error, is a
// regular end; any other error stops the supervisor.
type Func func(ctx context.Context) error

// Report is a named value for the state dump.
type Report struct {
	Name  string
	State any
}

// Duty describes one duty.
type Duty struct {
	Name string
	Run  Func
	// Dump returns the duty's state for the state dump, or nil. It is called
	// from another goroutine, so it asks the duty through a ring or returns
	// an immutable snapshot.
	Dump func(ctx context.Context) any
}

type entry struct {
	duty   Duty
	cancel context.CancelFunc
	done   chan struct{}
}

// Supervisor starts, stops and lists duties. It is used from one goroutine;
// only Dump may be called from others, after Start.
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

// Start runs all duties.
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
		if p := recover(); p != nil {
			s.fail(fmt.Errorf("duty %s panicked: %v\n%s", e.duty.Name, p, debug.Stack()))
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

// Failed delivers the error of the first duty that failed.
func (s *Supervisor) Failed() <-chan error { return s.failure }

// Stop stops the duties one by one in reverse order, each after the one that
// was added later has ended. It returns an error that names the duties still
// running when ctx ends.
func (s *Supervisor) Stop(ctx context.Context) error {
	var late []string
	for i := len(s.entries) - 1; i >= 0; i-- {
		e := s.entries[i]
		if e.cancel == nil {
			continue
		}
		e.cancel()
		select {
		case <-e.done:
		case <-ctx.Done():
			late = append(late, e.duty.Name)
		}
	}
	if len(late) > 0 {
		return fmt.Errorf("duties still running at the stop deadline: %v", late)
	}
	return nil
}

// Names returns the duties' names in starting order.
func (s *Supervisor) Names() []string {
	names := make([]string, len(s.entries))
	for i, e := range s.entries {
		names[i] = e.duty.Name
	}
	return names
}

// Dump collects the state of every duty, waiting at most timeout for all.
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
