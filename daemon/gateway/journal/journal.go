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
	Platform Platform
	Timeout  time.Duration // of one call
	Flush    time.Duration // bound on storing answers after a stop
	Ring     int           // depth of the request ring
	// Reply takes each reply. It may wait, but must not depend on the journal.
	Reply func(Reply)
	Log   hclog.Logger
	// Count takes the increase of the counters; nil if they are not exported.
	Count func(Counters)
}

// Journal is the duty that owns a Machine.
type Journal struct {
	cfg      Config
	requests *ring.Ring[Request]
	results  *ring.Ring[Result]
	dumps    *ring.Ring[chan State] // each channel has capacity 1
	pool     pond.Pool
	machine  *Machine
	counted  Counters
}

// New returns a journal; Run starts it.
func New(c Config) *Journal {
	return &Journal{
		cfg:      c,
		requests: ring.New[Request]("journal.requests", c.Ring, ring.Refuse),
		dumps:    ring.New[chan State]("journal.dumps", 4, ring.Refuse),
		results:  ring.New[Result]("journal.results", 2*c.Workers, ring.Wait),
		machine:  NewMachine(c.Options),
	}
}

// Requests returns the ring through which operations are asked for.
func (j *Journal) Requests() *ring.Ring[Request] { return j.requests }

// Rings returns the counters of the journal's rings.
func (j *Journal) Rings() []func() ring.Stats {
	return []func() ring.Stats{j.requests.Stats, j.results.Stats}
}

// Dump returns the State, or nil if ctx ends first.
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

// Run is the duty. After ctx ends it goes on until the finished answers are
// stored, or the flush time is over.
func (j *Journal) Run(ctx context.Context) error {
	j.pool = pond.NewPool(j.cfg.Workers)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		j.arm(timer)
		select {
		case r := <-j.requests.C():
			j.machine.Add(time.Now(), r)
			j.takeMore()
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

// takeMore takes the requests that are in the ring already, so that they
// share a transaction.
func (j *Journal) takeMore() {
	for range j.cfg.Batch {
		select {
		case r := <-j.requests.C():
			j.machine.Add(time.Now(), r)
		default:
			return
		}
	}
}

func (j *Journal) arm(timer *time.Timer) {
	if next := j.machine.NextWake(time.Now()); !next.IsZero() {
		timer.Reset(max(0, time.Until(next)))
	} else {
		timer.Reset(time.Hour)
	}
}

func (j *Journal) advance() {
	for _, t := range j.machine.Next(time.Now()) {
		j.pool.Go(func() { j.run(t) })
	}
	for _, r := range j.machine.Replies() {
		j.cfg.Reply(r)
	}
	if now := j.machine.Totals(); j.cfg.Count != nil && now != j.counted {
		j.cfg.Count(now.minus(j.counted))
		j.counted = now
	}
}

func (j *Journal) flush(timer *time.Timer) error {
	j.requests.Close()
	j.takeAll()
	end := time.NewTimer(j.cfg.Flush)
	defer end.Stop()
	for j.machine.Pending() > 0 {
		j.advance()
		j.arm(timer)
		select {
		case r := <-j.results.C():
			j.machine.Completed(time.Now(), r)
		case <-timer.C:
		case <-end.C:
			j.cfg.Log.Warn("answers not stored at the stop deadline", "rows", j.machine.Pending())
			j.results.Close()
			return nil
		}
	}
	j.results.Close()
	j.pool.StopAndWait()
	return nil
}

func (j *Journal) takeAll() {
	for {
		select {
		case r := <-j.requests.C():
			j.machine.Add(time.Now(), r)
		default:
			return
		}
	}
}

// run makes one call in a worker of the pool and posts its result.
func (j *Journal) run(t *Task) {
	ctx, cancel := context.WithTimeout(context.Background(), j.cfg.Timeout)
	defer cancel()
	r := execute(ctx, j.cfg.Platform, t)
	if r.Err != nil {
		j.cfg.Log.Debug("platform call failed", "call", t.Kind, "err", r.Err)
	}
	// Only a stop that ran out of time closes the ring; the result has no use then.
	_ = j.results.Put(context.Background(), r)
}

// execute makes the call that a task describes.
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
