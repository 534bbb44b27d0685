package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/history"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/structs"
)

// Caller sends requests. Call waits for the answer; an error means that the call
// ended without one.
type Caller interface {
	Call(ctx context.Context, req *structs.Request) (structs.Answer, error)
}

// Options configures Run.
type Options struct {
	Mix         Mix
	Seed        uint64
	Length      time.Duration
	MaxInFlight int           // maximum calls in flight; further calls are refused and counted. The default is 4096
	Grace       time.Duration // how long a call waits for its answer after the deadline. The default is 5 s
	History     io.Writer     // if not nil, receives the history as JSON lines
}

const (
	defaultInFlight = 4096
	defaultGrace    = 5 * time.Second
	// The duty load-record writes a file and may be slow. It can fall behind by
	// this many events before the schedule has to wait for it.
	eventRingCapacity = 1 << 16
)

type eventKind int

const (
	eventSent eventKind = iota
	eventRefused
	eventAnswered
)

type event struct {
	kind   eventKind
	call   Call
	at     time.Duration
	answer structs.Answer
	err    error
}

type runner struct {
	opt           Options
	caller        Caller
	start         time.Time
	slots         chan struct{} // semaphore: holds one value for each call in flight
	pool          pond.Pool
	events        *ring.Ring[event]
	scheduleEnded chan struct{} // closed at the end of the schedule
	results       *resultCollector
	writer        *history.Writer
}

// Run generates the load and returns the results after the last call has ended.
// When ctx ends, it starts no further calls but still waits for those in flight.
func Run(ctx context.Context, caller Caller, opt Options) (*Result, error) {
	if err := opt.Mix.Check(); err != nil {
		return nil, err
	}
	poolCtx, stopPool := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPool()
	r := newRunner(poolCtx, caller, opt)
	sup := duty.NewSupervisor()
	sup.Add(duty.Duty{Name: "load-record", Run: r.recordEvents})
	sup.Add(duty.Duty{Name: "load-schedule", Run: func(stop context.Context) error { return r.schedule(ctx, stop) }})
	r.start = time.Now()
	sup.Start(ctx)
	var runErr error
	select {
	case <-r.scheduleEnded:
	case runErr = <-sup.Failed():
		r.events.Close()
	}
	r.awaitCalls()
	length := time.Since(r.start)
	if err := sup.Stop(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	if runErr == nil {
		runErr = pendingFailure(sup)
	}
	if runErr != nil {
		return nil, runErr
	}
	if r.writer != nil {
		if err := r.writer.Close(length); err != nil {
			return nil, fmt.Errorf("write history: %w", err)
		}
	}
	return r.results.result(min(length, opt.Length)), nil
}

func pendingFailure(sup *duty.Supervisor) error {
	select {
	case err := <-sup.Failed():
		return err
	default:
		return nil
	}
}

func newRunner(ctx context.Context, caller Caller, opt Options) *runner {
	if opt.MaxInFlight <= 0 {
		opt.MaxInFlight = defaultInFlight
	}
	if opt.Grace <= 0 {
		opt.Grace = defaultGrace
	}
	r := &runner{
		opt: opt, caller: caller, results: newResultCollector(),
		slots:         make(chan struct{}, opt.MaxInFlight),
		pool:          pond.NewPool(opt.MaxInFlight, pond.WithContext(ctx)),
		events:        ring.New[event]("load-record", eventRingCapacity, ring.Wait),
		scheduleEnded: make(chan struct{}),
	}
	if opt.History != nil {
		r.writer = history.NewWriter(opt.History)
	}
	return r
}

// schedule starts each call at its scheduled time. It returns at the end of the
// schedule, when the context of Run ends, or when the supervisor stops it.
func (r *runner) schedule(ctx, stop context.Context) error {
	defer close(r.scheduleEnded)
	s := NewSchedule(r.opt.Mix, r.opt.Seed, r.opt.Length)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		c, ok := s.Next()
		if !ok {
			return nil
		}
		if wait := c.At - time.Since(r.start); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return nil
			case <-stop.Done():
				return nil
			}
		}
		if err := r.startCall(stop, c); err != nil {
			return err
		}
	}
}

func (r *runner) startCall(ctx context.Context, c Call) error {
	now := time.Now()
	at := now.Sub(r.start)
	select {
	case r.slots <- struct{}{}:
	default:
		return r.events.Put(ctx, event{kind: eventRefused, call: c, at: at})
	}
	c.Request.Arrived = now
	c.Request.Deadline = now.Add(c.Flow.Deadline)
	if err := r.events.Put(ctx, event{kind: eventSent, call: c, at: at}); err != nil {
		return err
	}
	return r.pool.Go(func() { r.call(c) })
}

func (r *runner) call(c Call) {
	defer func() { <-r.slots }()
	ctx, cancel := context.WithDeadline(context.Background(), c.Request.Deadline.Add(r.opt.Grace))
	defer cancel()
	req := c.Request
	a, err := r.caller.Call(ctx, &req)
	// Put fails only after the duty load-record has failed, which ends the run.
	_ = r.events.Put(context.Background(), event{kind: eventAnswered, call: c, at: time.Since(r.start), answer: a, err: err})
}

// awaitCalls waits until no call is in flight, by acquiring every slot.
func (r *runner) awaitCalls() {
	for range cap(r.slots) {
		r.slots <- struct{}{}
	}
}

// recordEvents collects the results and writes the history. When it is stopped,
// it also processes the events that are left in the ring; all producers have ended
// by then.
func (r *runner) recordEvents(ctx context.Context) error {
	for {
		select {
		case e := <-r.events.C():
			if err := r.recordEvent(&e); err != nil {
				return fmt.Errorf("write history: %w", err)
			}
		case <-ctx.Done():
			return r.drainEvents()
		}
	}
}

func (r *runner) drainEvents() error {
	for {
		select {
		case e := <-r.events.C():
			if err := r.recordEvent(&e); err != nil {
				return fmt.Errorf("write history: %w", err)
			}
		default:
			return nil
		}
	}
}

func (r *runner) recordEvent(e *event) error {
	c := &e.call
	switch e.kind {
	case eventRefused:
		r.results.serviceStats(c.Flow.Service).Refused++
		return nil
	case eventSent:
		r.results.recordSent(c, e.at-c.At)
		if r.writer == nil {
			return nil
		}
		return r.writer.Request(history.NewRequest(&c.Request, c.Flow.Once, c.At, e.at, c.Flow.Deadline))
	}
	r.results.recordAnswer(c, e.at, e.answer, e.err)
	if r.writer == nil {
		return nil
	}
	return r.writer.Answer(history.NewAnswer(c.Request.ID, e.at, e.answer, e.err))
}
