// Package intake is the duty that answers callers: it runs the intake.Handler and
// executes its calls to the store.
package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/intake"
	"github.com/carobwharf/carobwharf/internal/guard"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// Queue sizes and limits of calls.
const (
	requestQueueSize = 512 // requests beyond this are refused
	answerQueueSize  = 512
	maxStoreCalls    = 64 // concurrent calls
	// storeTimeout is the timeout of one call. A call on a dead connection takes
	// this long.
	storeTimeout = 900 * time.Millisecond
	// pauseCheckInterval is the maximum time between two turns of Run, unless the
	// process is suspended.
	pauseCheckInterval = time.Second
)

// ErrStopped is the reason in replies to requests that are open when the duty
// stops.
var ErrStopped = errors.New("intake has stopped")

// ErrSuspended is the error of Run after a suspension of the process that was too long to
// handle requests that may have been received before it.
var ErrSuspended = errors.New("the process was suspended")

// incomingRequest is a request that waits for the duty.
type incomingRequest struct {
	request intake.Request
	reply   chan intake.Reply // capacity 1
}

// Options configures New.
type Options struct {
	Table   store.Table
	Log     hclog.Logger
	Metrics *metrics.Registry
}

// Duty answers callers.
type Duty struct {
	Options
	Views          *ring.Ring[*board.View]
	stateRequester *duty.StateRequester
	incoming       *ring.Ring[incomingRequest]
	answers        *ring.Ring[intake.Answer]
	callPool       pond.Pool
	handler        *intake.Handler
	open           map[uint64]openRequest
	lastNumber     uint64
	lastTurn       time.Time // steady time of the last turn of Run
	stopped        chan struct{}
}

// openRequest is a request that the duty has received and not yet answered.
type openRequest struct {
	reply   chan intake.Reply
	arrived time.Time
	kind    intake.Kind
}

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Options:        o,
		Views:          ring.New[*board.View]("intake-views", 1, ring.KeepNewest),
		stateRequester: duty.NewStateRequester("intake"),
		incoming:       ring.New[incomingRequest]("intake-questions", requestQueueSize, ring.Refuse),
		answers:        ring.New[intake.Answer]("intake-answers", answerQueueSize, ring.Wait),
		callPool:       pond.NewPool(maxStoreCalls, pond.WithQueueSize(requestQueueSize)),
		handler:        intake.New(),
		open:           map[uint64]openRequest{},
		stopped:        make(chan struct{}),
	}
}

// Handle posts a request to the duty and waits for the reply.
func (d *Duty) Handle(ctx context.Context, r intake.Request) (intake.Reply, error) {
	q := incomingRequest{request: r, reply: make(chan intake.Reply, 1)}
	if err := d.incoming.Put(ctx, q); err != nil {
		return intake.Reply{}, err
	}
	select {
	case reply := <-q.reply:
		return reply, nil
	case <-d.stopped:
		select {
		case reply := <-q.reply:
			return reply, nil
		default:
			return intake.Reply{Outcome: intake.Indeterminate, Reason: ErrStopped.Error()}, nil
		}
	}
}

// Run answers requests until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.stopped)
	defer d.callPool.Stop()
	tick := time.NewTicker(pauseCheckInterval)
	defer tick.Stop()
	d.lastTurn = steady.Now()
	for {
		handle := func() {}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-d.Views.C():
			handle = func() { d.handleView(v) }
		case q := <-d.incoming.C():
			handle = func() { d.handleIncoming(q) }
		case reply := <-d.stateRequester.Requests():
			handle = func() { reply <- Report{Configuration: d.handler.Version(), Pending: d.handler.Pending()} }
		case a := <-d.answers.C():
			handle = func() { d.handler.HandleAnswer(steady.Now(), a) }
		case <-tick.C:
		}
		if err := d.checkPause(steady.Now()); err != nil {
			return err
		}
		handle()
		d.perform(ctx)
	}
}

// checkPause returns an error if the process has been suspended for longer than
// intake.MaxPause since the last turn of Run. The process then ends, and with it the
// connections that may hold submissions whose cancellations have been forgotten.
func (d *Duty) checkPause(now time.Time) error {
	pause := now.Sub(d.lastTurn)
	d.lastTurn = now
	if pause > intake.MaxPause {
		return fmt.Errorf("%w for %s", ErrSuspended, pause.Round(time.Second))
	}
	return nil
}

func (d *Duty) handleIncoming(q incomingRequest) {
	d.lastNumber++
	q.request.Number = d.lastNumber
	now := steady.Now()
	d.open[d.lastNumber] = openRequest{reply: q.reply, arrived: now, kind: q.request.Kind}
	d.handler.HandleRequest(now, q.request)
}

// Report is the duty's entry in the state dump.
type Report struct {
	Configuration uint64 // version of the configuration; 0: none
	Pending       int    // requests without a reply
}

// Dump returns the state of the duty.
func (d *Duty) Dump(ctx context.Context) any { return d.stateRequester.State(ctx) }

func (d *Duty) handleView(v *board.View) {
	if v.Configuration != nil {
		d.handler.Configure(v.Configuration)
	}
	d.handler.SetStoreFailing(v.StoreFailingSince())
	counts := map[string]int{}
	for _, l := range v.Leases {
		for queue, n := range l.Waiting {
			counts[queue] += n
		}
	}
	d.handler.SetWaiting(counts)
}

func (d *Duty) perform(ctx context.Context) {
	calls, replies := d.handler.TakeOutput()
	for _, c := range calls {
		task := func() { d.runCall(ctx, c) }
		if _, ok := d.callPool.TrySubmit(task); !ok {
			d.handler.HandleAnswer(steady.Now(), intake.Answer{Number: c.Number, Op: c.Op, Result: intake.Unavailable})
		}
	}
	for _, r := range replies {
		d.sendReply(r)
	}
}

func (d *Duty) sendReply(r intake.Reply) {
	a := d.open[r.Number]
	delete(d.open, r.Number)
	took := steady.Now().Sub(a.arrived)
	d.Metrics.Timer("intake." + kindNames[a.kind]).Update(took)
	d.Metrics.Counter("intake.outcome." + r.Outcome.String()).Inc(1)
	if a.kind != intake.QueryState || r.Outcome == intake.Indeterminate {
		d.Log.Info("request answered", "kind", kindNames[a.kind], "queue", r.Queue, "job", r.Job, "outcome", r.Outcome.String(), "why", r.Reason,
			"took_ms", took.Milliseconds(), "configuration", d.handler.Version())
	}
	a.reply <- r
}

var kindNames = [...]string{"submit", "state", "cancel"}

// runCall executes one call to the store and posts the answer. It runs on a
// goroutine of callPool.
func (d *Duty) runCall(ctx context.Context, c intake.Call) {
	if c.Delay > 0 {
		time.Sleep(c.Delay)
	}
	a := intake.Answer{Number: c.Number, Op: c.Op, Result: intake.Unavailable}
	// The process may have been paused since the call was decided. The caller has left
	// after its deadline and may have cancelled the job.
	if c.Op != intake.Insert || steady.Now().Before(c.Deadline) {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		failed := intake.Answer{Number: c.Number, Op: c.Op, Result: intake.Unknown}
		a = guard.Call(d.Log, "store call", failed, func() intake.Answer { return d.call(callCtx, c) })
	}
	if err := d.answers.Put(ctx, a); err != nil {
		return // the duty has stopped
	}
}

func (d *Duty) call(ctx context.Context, c intake.Call) intake.Answer {
	a := intake.Answer{Number: c.Number, Op: c.Op}
	var err error
	switch c.Op {
	case intake.Insert:
		err = d.insert(ctx, c, &a)
	case intake.PutCancel:
		err = d.putCancel(ctx, c.Job)
	case intake.PutTombstone:
		err = d.putTombstone(ctx, c.Job, &a)
	case intake.ReadSubmission:
		var row store.Row
		if row, err = d.Table.Get(ctx, store.KeyWork(c.Job)); err == nil {
			a.Submission, err = rows.DecodeWork(row.Value)
		}
	case intake.ReadProgress:
		var row store.Row
		if row, err = d.Table.Get(ctx, store.KeyProgress(c.Pool, c.Job.ID)); err == nil {
			a.Progress, err = rows.DecodeProgress(row.Value)
		}
	}
	switch {
	case err == nil:
	case errors.Is(err, store.ErrNotFound):
		a.Result = intake.NotFound
	case errors.Is(err, store.ErrUnknown):
		a.Result = intake.Unknown
	default:
		a.Result = intake.Unavailable
		d.Log.Debug("call to the store failed", "job", c.Job.ID, "error", err)
	}
	return a
}

// insert stores a submission unless one with its id or a tombstone for it exists.
func (d *Duty) insert(ctx context.Context, c intake.Call, a *intake.Answer) error {
	value, err := rows.EncodeWork(c.Submission)
	if err != nil {
		return err
	}
	if len(value) > rows.MaxWorkBytes {
		a.Result = intake.TooLarge
		return nil
	}
	work, cancel := store.KeyWork(c.Job), store.KeyWorkCancel(c.Job)
	_, err = d.Table.Commit(ctx, []store.Op{{Kind: store.OpInsert, Key: work, Value: value}, {Kind: store.OpCheck, Key: cancel}})
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if row, ok := conflict.Row(work); ok {
		a.Result = intake.Exists
		a.Submission, err = rows.DecodeWork(row.Value)
		return err
	}
	if _, ok := conflict.Row(cancel); ok {
		a.Result = intake.Cancelled
		return nil
	}
	return fmt.Errorf("%w: a conflict without the row", store.ErrUnavailable)
}

func (d *Duty) putCancel(ctx context.Context, job workload.JobKey) error {
	value, err := rows.EncodeCancellation(rows.Cancellation{})
	if err != nil {
		return err
	}
	_, err = d.Table.Commit(ctx, []store.Op{{Kind: store.OpPut, Key: store.KeyWorkCancel(job), Value: value}})
	return err
}

// putTombstone stores a tombstone for a job unless its submission exists. One that is
// there already is written again, so that its age counts from this cancellation.
func (d *Duty) putTombstone(ctx context.Context, job workload.JobKey, a *intake.Answer) error {
	value, err := rows.EncodeCancellation(rows.Cancellation{Unsubmitted: true})
	if err != nil {
		return err
	}
	_, err = d.Table.Commit(ctx, []store.Op{
		{Kind: store.OpCheck, Key: store.KeyWork(job)}, {Kind: store.OpPut, Key: store.KeyWorkCancel(job), Value: value},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		a.Result = intake.Exists
		return nil
	}
	return err
}
