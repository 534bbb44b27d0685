// Package publisher implements the controller's duty that publishes submitted
// object sets. It checks a set as a whole, writes it to the object store, and
// updates the head of the configuration in one conditional transaction together
// with the submission's row.
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

// queueDepth is the maximum number of submissions that wait for the one in
// progress. 72,000 changes a day are less than one per second on average.
const queueDepth = 32

// Submission is one operator's request to publish a set.
type Submission struct {
	ID   string // chosen by the submitter; the same when a submission is repeated
	Base uint64 // generation that the set is based on; 0 for the first set
	Set  structs.ObjectSet
	// Reply receives exactly one value. It must have capacity 1, because the
	// publisher doesn't wait for the receiver.
	Reply chan<- Reply
}

// Result says what was published.
type Result struct {
	Generation uint64
	Hash       string
	Rebased    bool // the published set also contains changes that generations after the base made
	Unchanged  bool // the head already had this content
	Repeated   bool // the submission was already published when it was submitted again
}

// Reply is the result of a submission or its error: a *Rejected, a
// *publication.Conflict, or one of the errors of this package, wrapped.
type Reply struct {
	Result Result
	Err    error
}

// Platform is the part of the platform's interface that the duty uses.
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
	Pool     pond.Pool     // runs submissions and pruning; must not block when its queue is full
	// Current returns the configuration that this process uses, or nil. Its set
	// saves a read from the object store if it has the right hash.
	Current func() *structs.Config
	// Published is called with the generation after each successful submission.
	Published func(ctx context.Context, generation uint64)
	Now       func() time.Time
	Log       hclog.Logger
	Metrics   *metrics.Registry
}

// Publisher publishes one submission at a time. Submit may be called by any
// goroutine; all other state belongs to the duty's goroutine.
type Publisher struct {
	opts    Options
	queue   *ring.Ring[Submission]
	results *ring.Ring[completion]

	inProgress *Submission // no submission is taken from the queue while it is not nil
}

// completion is a submission with its reply, sent from the pool to the duty.
type completion struct {
	submission Submission
	reply      Reply
}

// New returns a publisher. It fails if the metrics of its rings are already
// registered.
func New(o Options) (*Publisher, error) {
	p := &Publisher{
		opts:    o,
		queue:   ring.New[Submission]("publisher.queue", queueDepth, ring.Refuse),
		results: ring.New[completion]("publisher.results", 1, ring.Refuse), // one submission at a time
	}
	err := errors.Join(
		o.Metrics.WatchRing("publisher.queue", p.queue.Stats),
		o.Metrics.WatchRing("publisher.results", p.results.Stats),
	)
	return p, err
}

// Submit queues a submission. It returns an error that wraps ErrBusy if the
// queue is full or the duty is stopping; then nothing is sent to the reply
// channel.
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

// Duty returns the duty that the supervisor runs.
func (p *Publisher) Duty() duty.Duty {
	return duty.Duty{Name: "publisher", Run: p.run, Dump: func(context.Context) any {
		return State{Queue: p.queue.Stats()}
	}}
}

func (p *Publisher) run(ctx context.Context) error {
	for {
		next := p.queue.C()
		if p.inProgress != nil {
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

// start runs the submission in the pool. The submission's context is not
// cancelled with the duty's, so that a planned stop lets it finish within its
// deadline.
func (p *Publisher) start(ctx context.Context, s Submission) {
	p.inProgress = &s
	err := p.opts.Pool.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.opts.Deadline)
		defer cancel()
		// The reply is sent even if the submission panics; the duty would wait
		// for it forever otherwise.
		d := completion{submission: s, reply: Reply{Err: fmt.Errorf("%w: submission panicked", ErrOutcomeUnknown)}}
		defer func() { _ = p.results.Put(ctx, d) }()
		task := submissionTask{opts: &p.opts, submission: &s}
		d.reply.Result, d.reply.Err = task.run(ctx)
	})
	if err != nil {
		p.finish(ctx, completion{submission: s, reply: Reply{Err: fmt.Errorf("%w: %w", ErrBusy, err)}})
	}
}

// finish replies to the submitter and announces the generation. It starts the
// deletion of old rows every pruneInterval generations.
func (p *Publisher) finish(ctx context.Context, d completion) {
	p.inProgress = nil
	d.submission.Reply <- d.reply
	r := d.reply.Result
	if err := d.reply.Err; err != nil {
		p.opts.Metrics.Counter("publisher.refused").Inc(1)
		p.opts.Log.Warn("submission failed", "submission", d.submission.ID, "base", d.submission.Base, "error", err)
		return
	}
	p.opts.Metrics.Counter("publisher.published").Inc(1)
	p.opts.Log.Info("submission published", "submission", d.submission.ID, "generation", r.Generation,
		"rebased", r.Rebased, "unchanged", r.Unchanged, "repeated", r.Repeated)
	p.opts.Published(ctx, r.Generation)
	if r.Generation%pruneInterval == 0 && !r.Unchanged && !r.Repeated {
		p.startPrune(ctx, r.Generation)
	}
}

// startPrune runs prune in the pool. Nothing waits for the result: the next run
// deletes the rows that a failed one leaves.
func (p *Publisher) startPrune(ctx context.Context, head uint64) {
	opts, log := &p.opts, p.opts.Log
	err := p.opts.Pool.Go(func() {
		if err := prune(ctx, opts, head); err != nil {
			log.Debug("failed to delete old generations; the next run retries", "error", err)
		}
	})
	if err != nil {
		log.Debug("failed to delete old generations; the next run retries", "error", err)
	}
}

// stop waits for the submission in progress and rejects the queued ones.
func (p *Publisher) stop() {
	p.queue.Close()
	if p.inProgress != nil {
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
