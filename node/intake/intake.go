// Package intake is the duty that answers callers: it owns the intake state
// machine and carries out its calls to the store.
package intake

import (
	"context"
	"errors"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/intake"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// Bounds of the duty.
const (
	requestDepth = 512 // requests that wait for the duty; more are refused
	answerDepth  = 512
	storeCalls   = 64 // at the same time
	// storeTimeout bounds one call; a silent connection costs this much.
	storeTimeout = 900 * time.Millisecond
)

// ErrStopped is returned to callers of a process that stops.
var ErrStopped = errors.New("intake has stopped")

type question struct {
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
	Views     *ring.Ring[*board.View]
	asker     *duty.Asker
	questions *ring.Ring[question]
	answers   *ring.Ring[intake.Answer]
	calls     pond.Pool
	machine   *intake.Handler
	asked     map[uint64]asked
	number    uint64
	ended     chan struct{}
}

type asked struct {
	reply chan intake.Reply
	since time.Time
	kind  intake.Kind
}

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Options:   o,
		Views:     ring.New[*board.View]("intake-views", 1, ring.KeepNewest),
		asker:     duty.NewAsker("intake"),
		questions: ring.New[question]("intake-questions", requestDepth, ring.Refuse),
		answers:   ring.New[intake.Answer]("intake-answers", answerDepth, ring.Wait),
		calls:     pond.NewPool(storeCalls, pond.WithQueueSize(requestDepth)),
		machine:   intake.New(),
		asked:     map[uint64]asked{},
		ended:     make(chan struct{}),
	}
}

// Ask posts a request to the duty and waits for the reply.
func (d *Duty) Ask(ctx context.Context, r intake.Request) (intake.Reply, error) {
	q := question{request: r, reply: make(chan intake.Reply, 1)}
	if err := d.questions.Put(ctx, q); err != nil {
		return intake.Reply{}, err
	}
	select {
	case reply := <-q.reply:
		return reply, nil
	case <-d.ended:
		select {
		case reply := <-q.reply:
			return reply, nil
		default:
			return intake.Reply{Outcome: intake.Unsure, Why: ErrStopped.Error()}, nil
		}
	}
}

// Run answers until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.ended)
	defer d.calls.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-d.Views.C():
			d.see(v)
		case q := <-d.questions.C():
			d.number++
			q.request.Number = d.number
			now := steady.Now()
			d.asked[d.number] = asked{reply: q.reply, since: now, kind: q.request.Kind}
			d.machine.HandleRequest(now, q.request)
		case reply := <-d.asker.Questions():
			reply <- Report{Configuration: d.machine.Version(), Pending: d.machine.Pending()}
		case a := <-d.answers.C():
			d.machine.HandleAnswer(steady.Now(), a)
		}
		d.act(ctx)
	}
}

// Report is the duty's entry in the state dump.
type Report struct {
	Configuration uint64 // version
	Pending       int    // requests without a reply
}

// Dump returns the state of the duty.
func (d *Duty) Dump(ctx context.Context) any { return d.asker.Ask(ctx) }

func (d *Duty) see(v *board.View) {
	if v.Configuration != nil {
		d.machine.Configure(v.Configuration)
	}
	counts := map[string]int{}
	for _, l := range v.Leases {
		for queue, n := range l.Waiting {
			counts[queue] += n
		}
	}
	d.machine.SetWaiting(counts)
}

func (d *Duty) act(ctx context.Context) {
	calls, replies := d.machine.TakeOutput()
	for _, c := range calls {
		task := func() { d.carryOut(ctx, c) }
		if _, ok := d.calls.TrySubmit(task); !ok {
			d.machine.HandleAnswer(steady.Now(), intake.Answer{Number: c.Number, Op: c.Op, Result: intake.Unavailable})
		}
	}
	for _, r := range replies {
		d.reply(r)
	}
}

func (d *Duty) reply(r intake.Reply) {
	a := d.asked[r.Number]
	delete(d.asked, r.Number)
	took := steady.Now().Sub(a.since)
	d.Metrics.Timer("intake." + kindNames[a.kind]).Update(took)
	d.Metrics.Counter("intake.outcome." + r.Outcome.String()).Inc(1)
	if a.kind != intake.State || r.Outcome == intake.Unsure {
		d.Log.Info("request answered", "kind", kindNames[a.kind], "job", r.Job, "outcome", r.Outcome.String(), "why", r.Why,
			"took_ms", took.Milliseconds(), "configuration", d.machine.Version())
	}
	a.reply <- r
}

var kindNames = [...]string{"submit", "state", "cancel"}

// carryOut makes one call to the store. It runs in the pool.
func (d *Duty) carryOut(ctx context.Context, c intake.Call) {
	if c.Delay > 0 {
		time.Sleep(c.Delay)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	a := d.call(callCtx, c)
	if err := d.answers.Put(ctx, a); err != nil {
		return // the duty has ended
	}
}

func (d *Duty) call(ctx context.Context, c intake.Call) intake.Answer {
	a := intake.Answer{Number: c.Number, Op: c.Op}
	queue := store.WorkQueue(c.Host, c.Prefix)
	var err error
	switch c.Op {
	case intake.Insert:
		err = d.insert(ctx, store.KeyWork(queue, c.Job), c, &a)
	case intake.PutCancel:
		_, err = d.Table.Commit(ctx, []store.Op{{Kind: store.OpPut, Key: store.KeyWorkCancel(queue, c.Job), Value: []byte("{}")}})
	case intake.ReadSubmission:
		var row store.Row
		if row, err = d.Table.Get(ctx, store.KeyWork(queue, c.Job)); err == nil {
			a.Submission, err = rows.DecodeWork(row.Value)
		}
	case intake.ReadProgress:
		var row store.Row
		if row, err = d.Table.Get(ctx, store.KeyProgress(c.Pool, c.Job)); err == nil {
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
		d.Log.Debug("call to the store failed", "job", c.Job, "error", err)
	}
	return a
}

func (d *Duty) insert(ctx context.Context, key string, c intake.Call, a *intake.Answer) error {
	value, err := rows.EncodeWork(c.Submission)
	if err != nil {
		return err
	}
	_, err = d.Table.Commit(ctx, []store.Op{{Kind: store.OpInsert, Key: key, Value: value}})
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	a.Result = intake.Exists
	if len(conflict.Rows) == 0 {
		return store.ErrUnavailable
	}
	a.Submission, err = rows.DecodeWork(conflict.Rows[0].Value)
	return err
}
