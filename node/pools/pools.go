// Package pools is the duty that owns pools: it takes their leases, runs one
// engine for each, carries out its orders and stores what must outlive this
// process.
package pools

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// Bounds of the duty.
const (
	resultDepth = 1024
	deltaDepth  = 64
	// workerCalls bounds the calls to workers at the same time: a hold at each
	// worker of several pools, and orders beside them.
	workerCalls = 1024
	storeCalls  = 32
)

// Leases of pools.
const (
	// leaseTime is how long a pool is left alone when its owner is silent. It
	// is several times the slowest regular answer of the store.
	leaseTime = 2 * time.Second
	// claimSpread keeps processes from claiming one lease at the same moment.
	claimSpread = 150 * time.Millisecond
	// claimBackoff is how much longer a process waits for each pool that it
	// owns already, so that pools spread over the VMs.
	claimBackoff = 400 * time.Millisecond
)

// Storing of progress.
const (
	// flushGap is the time between transactions of a pool that callers wait
	// for; a part of the store takes one in about 5 ms.
	flushGap = 25 * time.Millisecond
	// lazyFlushGap is the time between transactions that nobody waits for.
	lazyFlushGap = 300 * time.Millisecond
	// flushJobs bounds the jobs in one transaction: the platform takes 100 rows.
	flushJobs = 80
	// storeTimeout bounds a transaction. A later answer would leave too little
	// of the lease.
	storeTimeout = 900 * time.Millisecond
	// loadTimeout bounds the reading of a pool's jobs by its new owner.
	loadTimeout = 4 * time.Second
)

// Worker is the adapter to one worker.
type Worker interface {
	Start(ctx context.Context, s engine.Start) (engine.Result, error)
	Stop(ctx context.Context, s engine.Stop) (engine.Result, error)
	Pace(ctx context.Context, p engine.Pace) (engine.Result, error)
	Hold(ctx context.Context, h engine.Hold, timeout time.Duration) (engine.HoldReport, engine.Result, error)
	Close()
}

// Policy is the adapter to the placement policy service.
type Policy interface {
	Advise(ctx context.Context, a engine.Advise) (map[string]string, time.Duration, error)
}

// Options configures New.
type Options struct {
	Self    string
	Bounds  settings.Bounds
	Table   store.Table
	Feed    store.Feed
	Dial    func(id, addr string) Worker
	Policy  Policy // nil: there is none
	Decode  func(key string, value []byte) (workload.Worker, error)
	Wanted  map[string]*ring.Ring[bool] // by table: turns its follower on
	Log     hclog.Logger
	Metrics *metrics.Registry
}

// Duty owns pools.
type Duty struct {
	Options
	Views   *ring.Ring[*board.View]
	Deltas  *ring.Ring[follow.Delta]
	Release *ring.Ring[chan struct{}] // gives all pools up; the channel is closed when that is stored
	results *ring.Ring[any]
	calls   pond.Pool
	stores  pond.Pool

	view      *board.View
	pools     map[string]*pool
	names     []string
	registry  registry
	clients   map[client]Worker
	leaving   chan struct{}
	following bool
}

type client struct{ id, addr string }

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Options: o,
		Views:   ring.New[*board.View]("pool-views", 1, ring.KeepNewest),
		Deltas:  ring.New[follow.Delta]("pool-deltas", deltaDepth, ring.Wait),
		Release: ring.New[chan struct{}]("pool-release", 1, ring.Refuse),
		results: ring.New[any]("pool-results", resultDepth, ring.Wait),
		calls:   pond.NewPool(workerCalls),
		stores:  pond.NewPool(storeCalls),
		pools:   map[string]*pool{}, registry: newRegistry(), clients: map[client]Worker{},
	}
}

// Run owns pools until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer d.stores.Stop()
	defer d.calls.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-d.Views.C():
			d.see(v)
		case delta := <-d.Deltas.C():
			d.takeDelta(delta)
		case done := <-d.Release.C():
			d.leaving = done
		case r := <-d.results.C():
			d.takeResult(r)
		case <-timer.C:
		}
		d.drain()
		timer.Reset(d.work(ctx))
	}
}

// drain takes in what has arrived meanwhile, so that it shares one step.
func (d *Duty) drain() {
	for {
		select {
		case delta := <-d.Deltas.C():
			d.takeDelta(delta)
		case r := <-d.results.C():
			d.takeResult(r)
		default:
			return
		}
	}
}

// idleWake is the longest time between two passes of work.
const idleWake = 250 * time.Millisecond

// work does what is due and returns the time until the next pass.
func (d *Duty) work(ctx context.Context) time.Duration {
	now := steady.Now()
	wake := now.Add(idleWake)
	held := 0
	for _, name := range d.names {
		if d.pools[name].state != idle {
			held++
		}
	}
	for _, name := range d.names {
		p := d.pools[name]
		if p.state == idle && d.leaving == nil && d.claimDue(now, p, held) {
			d.claim(ctx, now, p)
			held++
		}
		wake = minTime(wake, d.drive(ctx, now, p))
	}
	d.follow(ctx, held > 0)
	d.finishLeaving(held)
	return max(time.Millisecond, wake.Sub(steady.Now()))
}

// follow turns the followers of the large tables on while pools are owned.
func (d *Duty) follow(ctx context.Context, on bool) {
	if on == d.following {
		return
	}
	d.following = on
	if !on {
		d.registry = newRegistry()
	}
	for table, wanted := range d.Wanted {
		if err := wanted.Put(ctx, on); err != nil {
			d.Log.Warn("a follower was not told", "table", table, "error", err)
		}
	}
}

func (d *Duty) finishLeaving(held int) {
	if d.leaving == nil || held > 0 {
		return
	}
	select {
	case <-d.leaving:
	default:
		close(d.leaving)
	}
}

func (d *Duty) see(v *board.View) {
	d.view = v
	if v.Configuration == nil {
		return
	}
	// A pool without a queue has nothing to run, but may have jobs of a queue
	// that was removed.
	for _, p := range v.Configuration.Pools {
		if d.pools[p.Name] == nil {
			d.pools[p.Name] = &pool{name: p.Name, jitter: rand.N(claimSpread)}
			d.names = append(d.names, p.Name)
		}
	}
	slices.Sort(d.names)
	released := map[string]bool{}
	if fleet, ok := v.Leases[store.ControlFleet]; ok {
		for _, m := range fleet.Release {
			released[m] = true
		}
	}
	for _, name := range d.names {
		p := d.pools[name]
		p.observe(v.Leases[name], d.Self)
		if p.configuration != v.Configuration {
			p.configuration = v.Configuration
			p.add(engine.QueuesSeen{Queues: v.Configuration.Queues})
		}
		p.add(engine.ReleaseSeen{Machines: released})
	}
}

// claimDue reports whether the lease of a pool should be taken.
func (d *Duty) claimDue(now time.Time, p *pool, held int) bool {
	if d.view == nil || d.view.LeasesRead.IsZero() || now.Before(p.retryAt) {
		return false
	}
	wait := p.jitter + time.Duration(held)*claimBackoff
	seen, ok := d.view.Leases[p.name]
	if !ok {
		if p.absent.IsZero() {
			p.absent = now
		}
		return now.Sub(p.absent) >= wait
	}
	// Silence counts only up to the last reading of the rows.
	silent := d.view.LeasesRead.Sub(seen.Since)
	if seen.Holder == "" {
		return silent >= wait
	}
	return silent >= seen.Duration+wait
}

// dial returns the client of a worker.
func (d *Duty) dial(t engine.Target) Worker {
	key := client{id: t.Life.ID, addr: t.Addr}
	w, ok := d.clients[key]
	if !ok {
		w = d.Dial(t.Life.ID, t.Addr)
		d.clients[key] = w
	}
	return w
}

// closeClients closes the connections to workers that no pool has any more.
func (d *Duty) closeClients() {
	for key, c := range d.clients {
		if w, ok := d.registry.workers[key.id]; ok && w.Addr == key.addr {
			continue
		}
		c.Close()
		delete(d.clients, key)
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
