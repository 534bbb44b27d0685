// Package publisher is the controller's duty that publishes submitted object
// sets: it checks a set as a whole, writes its object and moves the head of
// the configuration in one conditional transaction with the submission's row.
package publisher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// queueDepth is the number of submissions that wait for the one in progress.
// At 72,000 changes a day less than one arrives in a second.
const queueDepth = 32

// Submission is one operator's request to publish a set.
type Submission struct {
	ID   string // chosen by the submitter; a repetition has the same id
	Base uint64 // generation that the set was made from; 0 for the first set
	Set  structs.ObjectSet
	// Reply receives exactly one value and has capacity 1.
	Reply chan<- Reply
}

// Result says what was published.
type Result struct {
	Generation uint64
	Hash       string
	Rebased    bool // the published set also has changes of later generations than the base
	Unchanged  bool // the head already had this content
	Repeated   bool // an earlier attempt of the same submission took effect
}

// Reply is the result of a submission or its error: a *Rejected, a
// *publication.Conflict, or one of the errors of this package, wrapped.
type Reply struct {
	Result Result
	Err    error
}

// Platform is the part of the platform that the duty uses.
type Platform interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error)
	Commit(ctx context.Context, ops []store.Op) ([]uint64, error)
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Options configures New. All fields are required.
type Options struct {
	Platform Platform
	Timeout  time.Duration // of one call to the platform
	Deadline time.Duration // of one submission
	Pool     pond.Pool     // runs the calls; must not block when its queue is full
	// Current returns the configuration in force in this process, or nil. Its
	// set saves a read of the object store when the hash is the wanted one.
	Current func() *structs.Config
	// Published is told of each new generation.
	Published func(ctx context.Context, generation uint64)
	Now       func() time.Time
	Log       hclog.Logger
	Metrics   *metrics.Registry
}

// Publisher is the duty's state. Submit is safe for use by any goroutine;
// everything else belongs to the duty.
type Publisher struct {
	opts    Options
	queue   *ring.Ring[Submission]
	results *ring.Ring[done]

	current *Submission // in progress; the queue waits while it is not nil
}

type done struct {
	submission Submission
	reply      Reply
}

// New returns the duty. It fails if the metrics of its rings are taken.
func New(o Options) (*Publisher, error) {
	p := &Publisher{
		opts:    o,
		queue:   ring.New[Submission]("publisher.queue", queueDepth, ring.Refuse),
		results: ring.New[done]("publisher.results", 1, ring.Refuse), // one submission at a time
	}
	err := errors.Join(
		o.Metrics.WatchRing("publisher.queue", p.queue.Stats),
		o.Metrics.WatchRing("publisher.results", p.results.Stats),
	)
	return p, err
}

// Submit queues a submission. It returns ErrBusy if the queue is full or the
// duty is stopping; then nothing is sent to the reply channel.
func (p *Publisher) Submit(ctx context.Context, s Submission) error {
	if err := p.queue.Put(ctx, s); err != nil {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return nil
}

// State is the duty's entry in the state dump.
type State struct {
	Queue ring.Stats
}

// Duty returns the duty for the supervisor.
func (p *Publisher) Duty() duty.Duty {
	return duty.Duty{Name: "publisher", Run: p.run, Dump: func(context.Context) any {
		return State{Queue: p.queue.Stats()}
	}}
}

func (p *Publisher) run(ctx context.Context) error {
	for {
		next := p.queue.C()
		if p.current != nil {
			next = nil
		}
		select {
		case <-ctx.Done():
			p.stop()
			return nil
		case s := <-next:
			p.start(ctx, s)
		case d := <-p.results.C():
			p.finish(ctx, d)
		}
	}
}

// start runs the submission in the pool. Its context does not end with the
// duty: a planned stop lets it finish, bounded by its deadline.
func (p *Publisher) start(ctx context.Context, s Submission) {
	p.current = &s
	err := p.opts.Pool.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.opts.Deadline)
		defer cancel()
		// The reply is posted even if the work panics, or the duty would wait
		// for it forever.
		d := done{submission: s, reply: Reply{Err: fmt.Errorf("%w: submission panicked", ErrUnsettled)}}
		defer func() { _ = p.results.Put(ctx, d) }()
		work := attempt{opts: &p.opts, submission: &s}
		d.reply.Result, d.reply.Err = work.run(ctx)
	})
	if err != nil {
		p.finish(ctx, done{submission: s, reply: Reply{Err: fmt.Errorf("%w: %w", ErrBusy, err)}})
	}
}

func (p *Publisher) finish(ctx context.Context, d done) {
	p.current = nil
	d.submission.Reply <- d.reply
	r := d.reply.Result
	if err := d.reply.Err; err != nil {
		p.opts.Metrics.Counter("publisher.refused").Inc(1)
		p.opts.Log.Warn("submission not published", "submission", d.submission.ID, "base", d.submission.Base, "error", err)
		return
	}
	p.opts.Metrics.Counter("publisher.published").Inc(1)
	p.opts.Log.Info("submission published", "submission", d.submission.ID, "generation", r.Generation,
		"rebased", r.Rebased, "unchanged", r.Unchanged, "repeated", r.Repeated)
	p.opts.Published(ctx, r.Generation)
	if r.Generation%pruneEvery == 0 && !r.Unchanged && !r.Repeated {
		p.startPrune(ctx, r.Generation)
	}
}

// startPrune deletes old rows in the pool. Nothing waits for the result: what
// is left, the next deletion finds.
func (p *Publisher) startPrune(ctx context.Context, head uint64) {
	opts, log := &p.opts, p.opts.Log
	err := p.opts.Pool.Go(func() {
		if err := prune(ctx, opts, head); err != nil {
			log.Debug("old generations stay for now", "error", err)
		}
	})
	if err != nil {
		log.Debug("old generations stay for now", "error", err)
	}
}

// stop waits for the submission in progress and refuses the queued ones.
func (p *Publisher) stop() {
	p.queue.Close()
	if p.current != nil {
		p.finish(context.Background(), <-p.results.C())
	}
	for {
		select {
		case s := <-p.queue.C():
			s.Reply <- Reply{Err: fmt.Errorf("%w: the process is stopping", ErrBusy)}
		default:
			return
		}
	}
}
