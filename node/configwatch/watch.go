// Package configwatch is the duty that keeps a process's configuration
// current. It learns of new generations from a jittered read of the
// platform's head and from peers, follows the deltas in the platform's rows or
// fetches the whole set from the platform or a peer, verifies its hash and
// publishes it to the other duties.
package configwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Heartbeats repeat a generation until it is applied, so a dropped hint costs
// at most one heartbeat interval.
const hintDepth = 64

// Platform is the part of the platform that the duty reads.
type Platform interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error)
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// PeerSource fetches configurations from the project's other processes.
type PeerSource interface {
	// FetchConfig returns a configuration of at least the given generation;
	// generation 0 asks for the newest that any peer has.
	FetchConfig(ctx context.Context, generation uint64) (*structs.Config, error)
}

// Options configures New. All fields but Peers are required.
type Options struct {
	Platform Platform
	Peers    PeerSource    // nil if the process has no peers
	Poll     time.Duration // mean interval between reads of the head
	Timeout  time.Duration // of one call to the platform or to a peer
	Pool     pond.Pool     // runs the calls; must not block when its queue is full
	// Subscribers receive each configuration that comes into force. Their
	// policy is ring.KeepNewest, so that a slow duty does not hold up others.
	Subscribers []*ring.Ring[*structs.Config]
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

// Watch is the duty's state. Current and Hint are safe for use by any
// goroutine; everything else belongs to the duty.
type Watch struct {
	opts    Options
	hints   *ring.Ring[uint64]
	results *ring.Ring[result]
	current atomic.Pointer[structs.Config]

	hinted         uint64 // highest generation that peers told of
	fetching       bool
	failing        bool // the last fetch failed; only the first failure in a row is logged
	platformFailed bool // the last call to the platform failed
}

type result struct {
	config *structs.Config // nil if there is nothing newer
	source string
	err    error

	platformFailed bool
}

// New returns the duty. It fails if the metrics of its rings are taken.
func New(o Options) (*Watch, error) {
	w := &Watch{
		opts:    o,
		hints:   ring.New[uint64]("config.hints", hintDepth, ring.KeepNewest),
		results: ring.New[result]("config.results", 1, ring.Refuse), // one fetch at a time
	}
	err := errors.Join(
		o.Metrics.WatchRing("config.hints", w.hints.Stats),
		o.Metrics.WatchRing("config.results", w.results.Stats),
	)
	return w, err
}

// Current returns the configuration in force, or nil. It must not be changed.
func (w *Watch) Current() *structs.Config { return w.current.Load() }

// Hint tells the duty that a peer has the given generation.
func (w *Watch) Hint(ctx context.Context, generation uint64) error {
	return w.hints.Put(ctx, generation)
}

// State is the duty's entry in the state dump.
type State struct {
	Generation uint64
	Hash       string
	Objects    int
}

// Duty returns the duty for the supervisor.
func (w *Watch) Duty() duty.Duty {
	return duty.Duty{Name: "config", Run: w.run, Dump: func(context.Context) any {
		c := w.Current()
		if c == nil {
			return State{}
		}
		return State{Generation: c.Generation, Hash: c.Hash, Objects: len(publication.Refs(&c.Set))}
	}}
}

func (w *Watch) run(ctx context.Context) error {
	timer := time.NewTimer(0) // the first read is at once
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			w.startFetch(ctx)
			timer.Reset(w.jittered())
		case generation := <-w.hints.C():
			w.noteHint(ctx, generation)
		case r := <-w.results.C():
			w.finishFetch(ctx, r)
		}
	}
}

// jittered returns half to one and a half of the poll interval, so that
// processes that started together do not read together.
func (w *Watch) jittered() time.Duration {
	return w.opts.Poll/2 + rand.N(w.opts.Poll+1)
}

func (w *Watch) noteHint(ctx context.Context, generation uint64) {
	w.hinted = max(w.hinted, generation)
	if w.hinted > generationOf(w.Current()) {
		w.startFetch(ctx)
	}
}

func generationOf(c *structs.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Generation
}

// startFetch starts a fetch unless one is running.
func (w *Watch) startFetch(ctx context.Context) {
	if w.fetching {
		return
	}
	f := fetch{opts: &w.opts, current: w.Current(), hinted: w.hinted, platformFailed: w.platformFailed}
	err := w.opts.Pool.Go(func() {
		// The result is posted even if the fetch panics, or the duty would
		// wait for it forever.
		r := result{err: errors.New("fetch panicked")}
		defer func() { _ = w.results.Put(ctx, r) }()
		r = f.run(ctx)
	})
	if err != nil {
		w.noteFailure(err)
		return
	}
	w.fetching = true
}

func (w *Watch) finishFetch(ctx context.Context, r result) {
	w.fetching, w.platformFailed = false, r.platformFailed
	if r.err != nil {
		w.noteFailure(r.err)
		// Peers repeat the hint. Until then only the timer starts a fetch.
		w.hinted = 0
		return
	}
	w.failing = false
	if publication.Supersedes(w.Current(), r.config) {
		w.apply(ctx, r)
	}
	if r.config != nil && w.hinted > r.config.Generation {
		w.startFetch(ctx)
	}
}

func (w *Watch) apply(ctx context.Context, r result) {
	w.current.Store(r.config)
	w.opts.Metrics.Gauge("config.generation").Update(int64(r.config.Generation))
	w.opts.Metrics.Counter("config.applied").Inc(1)
	w.opts.Log.Info("configuration in force", "generation", r.config.Generation, "hash", r.config.Hash, "source", r.source)
	for _, s := range w.opts.Subscribers {
		if err := s.Put(ctx, r.config); err != nil {
			w.opts.Log.Warn("subscriber does not take the configuration", "ring", s.Stats().Name, "error", err)
		}
	}
}

func (w *Watch) noteFailure(err error) {
	w.opts.Metrics.Counter("config.fetch_failed").Inc(1)
	if !w.failing {
		w.opts.Log.Warn("cannot read the configuration", "error", err)
	}
	w.failing = true
}
