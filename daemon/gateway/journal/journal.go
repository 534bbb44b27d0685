package journal

import (
	"context"
	"errors"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
)

// Platform is the part of the platform that the journal uses.
type Platform interface {
	store.Table
	store.Objects
}

// Config configures a Journal.
type Config struct {
	Options
	Platform     Platform
	Timeout      time.Duration // limit of one call to the platform
	FlushTimeout time.Duration // limit of storing the remaining answers after Run's context ends
	RingDepth    int           // capacity of the request ring
	// Reply is called with each reply. It may block, but must not wait for the
	// journal, which would deadlock.
	Reply func(Reply)
	Log   hclog.Logger
	// AddCounters is called with the increase of the counters since the previous
	// call. It is nil if they are not exported.
	AddCounters func(Counters)
}

// Journal is the duty that owns a Machine and makes its calls to the platform
// in a pool of workers.
type Journal struct {
	cfg              Config
	requests         *ring.Ring[Request]
	results          *ring.Ring[Result]
	dumps            *ring.Ring[chan State] // each channel has capacity 1
	pool             pond.Pool
	machine          *Machine
	reportedCounters Counters
}

// New returns a Journal that does nothing until Run is called.
func New(c Config) *Journal {
	return &Journal{
		cfg:      c,
		requests: ring.New[Request]("journal.requests", c.RingDepth, ring.Refuse),
		dumps:    ring.New[chan State]("journal.dumps", 4, ring.Refuse),
		results:  ring.New[Result]("journal.results", 2*c.Workers, ring.Wait),
		machine:  NewMachine(c.Options),
	}
}

// Requests returns the ring into which producers put their requests.
func (j *Journal) Requests() *ring.Ring[Request] { return j.requests }

// RingStats returns the functions that read the counters of the journal's rings.
func (j *Journal) RingStats() []func() ring.Stats {
	return []func() ring.Stats{j.requests.Stats, j.results.Stats}
}

// Dump returns the Machine's State, or nil if ctx ends first.
func (j *Journal) Dump(ctx context.Context) any {
	reply := make(chan State, 1)
	if j.dumps.Put(ctx, reply) != nil {
		return nil
	}
	select {
	case s := <-reply:
		return s
	case <-ctx.Done():
		return nil
	}
}

// Run processes requests until ctx ends. It then accepts no more requests and
// returns when the pending ones are stored or Config.FlushTimeout has passed.
func (j *Journal) Run(ctx context.Context) error {
	j.pool = pond.NewPool(j.cfg.Workers)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		j.resetTimer(timer)
		select {
		case r := <-j.requests.C():
			j.machine.Add(time.Now(), r)
			j.addQueuedBatch()
		case r := <-j.results.C():
			j.machine.Completed(time.Now(), r)
		case reply := <-j.dumps.C():
			reply <- j.machine.State()
		case <-timer.C:
		case <-ctx.Done():
		}
		j.advance()
	}
	return j.flush(timer)
}

// addQueuedBatch adds up to a batch of the requests that are already in the
// ring, so that they share a transaction.
func (j *Journal) addQueuedBatch() {
	for range j.cfg.Batch {
		select {
		case r := <-j.requests.C():
			j.machine.Add(time.Now(), r)
		default:
			return
		}
	}
}

func (j *Journal) resetTimer(timer *time.Timer) {
	if next := j.machine.NextWake(time.Now()); !next.IsZero() {
		timer.Reset(max(0, time.Until(next)))
	} else {
		timer.Reset(time.Hour)
	}
}

func (j *Journal) advance() {
	for _, t := range j.machine.Next(time.Now()) {
		j.pool.Go(func() { j.runTask(t) })
	}
	for _, r := range j.machine.Replies() {
		j.cfg.Reply(r)
	}
	if now := j.machine.Totals(); j.cfg.AddCounters != nil && now != j.reportedCounters {
		j.cfg.AddCounters(now.minus(j.reportedCounters))
		j.reportedCounters = now
	}
}

func (j *Journal) flush(timer *time.Timer) error {
	j.requests.Close()
	j.addAllQueued()
	flushTimer := time.NewTimer(j.cfg.FlushTimeout)
	defer flushTimer.Stop()
	for j.machine.Pending() > 0 {
		j.advance()
		j.resetTimer(timer)
		select {
		case r := <-j.results.C():
			j.machine.Completed(time.Now(), r)
		case <-timer.C:
		case <-flushTimer.C:
			j.cfg.Log.Warn("stopping with unstored answers after the flush timeout", "rows", j.machine.Pending())
			j.results.Close()
			return nil
		}
	}
	j.results.Close()
	j.pool.StopAndWait()
	return nil
}

func (j *Journal) addAllQueued() {
	for {
		select {
		case r := <-j.requests.C():
			j.machine.Add(time.Now(), r)
		default:
			return
		}
	}
}

// runTask executes a task in a worker of the pool and puts its result into the
// results ring.
func (j *Journal) runTask(t *Task) {
	ctx, cancel := context.WithTimeout(context.Background(), j.cfg.Timeout)
	defer cancel()
	r := execute(ctx, j.cfg.Platform, t)
	if r.Err != nil {
		j.cfg.Log.Debug("platform call failed", "call", t.Kind, "err", r.Err)
	}
	// Put fails only if the flush timed out and closed the ring: nobody needs
	// the result then.
	_ = j.results.Put(context.Background(), r)
}

// execute makes a task's call to the platform.
func execute(ctx context.Context, p Platform, t *Task) Result {
	r := Result{Task: t}
	switch t.Kind {
	case CommitRows:
		r.Versions, r.Err = p.Commit(ctx, t.Ops)
	case ReadRows:
		r.Rows, r.Err = readRows(ctx, p, t.Keys)
	case PutObject:
		r.Err = p.PutObject(ctx, t.Object, t.Data)
	case GetObject:
		r.Data, r.Err = p.GetObject(ctx, t.Object)
	}
	return r
}

func readRows(ctx context.Context, p Platform, keys []string) (map[string]*store.Row, error) {
	rows := make(map[string]*store.Row, len(keys))
	for _, k := range keys {
		row, err := p.Get(ctx, k)
		switch {
		case errors.Is(err, store.ErrNotFound):
			rows[k] = nil
		case err != nil:
			return nil, err
		default:
			rows[k] = &row
		}
	}
	return rows, nil
}
