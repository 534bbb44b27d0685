// Package configwatch implements the duty that keeps a process's configuration
// up to date. It learns of new generations by polling the platform's configuration
// head, which is the row that names the newest generation, and from hints of peers. It then applies the deltas in the platform's rows, or
// fetches the whole set from the platform or a peer, verifies the hash and
// publishes the configuration to the other duties.
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

// hintRingSize is the capacity of the ring of hints. Heartbeats repeat a
// generation until it is applied, so a dropped hint delays it by at most one
// heartbeat interval.
const hintRingSize = 64

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

// Options configures a Watch. All fields except Peers are required.
type Options struct {
	Platform     Platform
	Peers        PeerSource    // nil if the process has no peers
	PollInterval time.Duration // mean interval between reads of the configuration head
	Timeout      time.Duration // timeout of one call to the platform or a peer
	Pool         pond.Pool     // runs the calls; must not block when its queue is full
	// Subscribers receive each configuration that comes into force. They must
	// have the policy ring.KeepNewest, so that a slow duty does not block others.
	Subscribers []*ring.Ring[*structs.Config]
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

// Watch is the state of the duty. Current and Hint are safe for concurrent use;
// all other state is used by the duty's goroutine only.
type Watch struct {
	opts    Options
	hints   *ring.Ring[uint64]
	results *ring.Ring[result]
	current atomic.Pointer[structs.Config]

	hintedGeneration uint64 // highest generation in hints of peers
	fetching         bool
	failing          bool // the last fetch failed; only the first failure in a row is logged
	platformFailed   bool // the last call to the platform failed
}

type result struct {
	config *structs.Config // nil if there is nothing newer
	source string
	err    error

	platformFailed bool
}

// New returns a Watch. It fails if metrics of its rings are already registered.
func New(o Options) (*Watch, error) {
	w := &Watch{
		opts:    o,
		hints:   ring.New[uint64]("config.hints", hintRingSize, ring.KeepNewest),
		results: ring.New[result]("config.results", 1, ring.Refuse), // one fetch at a time
	}
	err := errors.Join(
		o.Metrics.WatchRing("config.hints", w.hints.Stats),
		o.Metrics.WatchRing("config.results", w.results.Stats),
	)
	return w, err
}

// Current returns the configuration in force, or nil if there is none. The caller
// must not change it.
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
	timer := time.NewTimer(0) // the first fetch starts at once
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			w.startFetch(ctx)
			timer.Reset(w.nextPollDelay())
		case generation := <-w.hints.C():
			w.handleHint(ctx, generation)
		case r := <-w.results.C():
			w.finishFetch(ctx, r)
		}
	}
}

// nextPollDelay returns a random delay of 0.5 to 1.5 poll intervals, so that
// processes that started together do not poll at the same time.
func (w *Watch) nextPollDelay() time.Duration {
	return w.opts.PollInterval/2 + rand.N(w.opts.PollInterval+1)
}

func (w *Watch) handleHint(ctx context.Context, generation uint64) {
	w.hintedGeneration = max(w.hintedGeneration, generation)
	if w.hintedGeneration > generationOf(w.Current()) {
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
	f := fetch{opts: &w.opts, current: w.Current(), hintedGeneration: w.hintedGeneration, platformFailed: w.platformFailed}
	err := w.opts.Pool.Go(func() {
		// A result is posted even if the fetch panics. Otherwise the duty would
		// wait for it forever.
		r := result{err: errors.New("fetch panicked")}
		defer func() { _ = w.results.Put(ctx, r) }()
		r = f.run(ctx)
	})
	if err != nil {
		w.recordFailure(err)
		return
	}
	w.fetching = true
}

func (w *Watch) finishFetch(ctx context.Context, r result) {
	w.fetching, w.platformFailed = false, r.platformFailed
	if r.err != nil {
		w.recordFailure(r.err)
		// Only the timer starts a fetch until a peer repeats the hint.
		w.hintedGeneration = 0
		return
	}
	w.failing = false
	if publication.Supersedes(w.Current(), r.config) {
		w.apply(ctx, r)
	}
	if r.config != nil && w.hintedGeneration > r.config.Generation {
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
			w.opts.Log.Warn("subscriber ring rejected the configuration", "ring", s.Stats().Name, "error", err)
		}
	}
}

func (w *Watch) recordFailure(err error) {
	w.opts.Metrics.Counter("config.fetch_failed").Inc(1)
	if !w.failing {
		w.opts.Log.Warn("fetching the configuration failed", "error", err)
	}
	w.failing = true
}
