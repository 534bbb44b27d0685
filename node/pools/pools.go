// Package pools is the duty that owns pools: it takes their leases, runs one
// engine for each, carries out its orders and stores what must outlive this
// process.
package pools

import (
	"context"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/node/holder"
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

// claimBackoff is how much longer a process waits for each pool that it owns
// already, so that pools spread over the VMs.
const claimBackoff = 150 * time.Millisecond

// Storing of progress.
const (
	// flushGap is the time between transactions of a pool that callers wait
	// for; a part of the store takes one in about 5 ms.
	flushGap = 25 * time.Millisecond
	// lazyFlushGap is the time between transactions that nobody waits for.
	lazyFlushGap = 300 * time.Millisecond
	// flushJobs bounds the jobs in one transaction: the platform takes 100 rows.
	flushJobs = 80
	// loadGap is the time between writes of a load that grows. The fleet's owner
	// reads these rows every 120 ms.
	loadGap = 100 * time.Millisecond
	// loadTimeout bounds the reading of a pool's jobs by its new owner: some
	// thousand jobs over a link of 10 Mbit/s that has other work too.
	loadTimeout = 10 * time.Second
	loadRetry   = 300 * time.Millisecond
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
	Self      string
	Bounds    settings.Bounds
	Processor float64 // part of a core that the VM has
	Table     store.Table
	Feed      store.Feed
	Dial      func(id, addr string) Worker
	Policy    Policy // nil: there is none
	Decode    func(key string, value []byte) (workload.Worker, error)
	Wanted    map[string]*ring.Ring[bool] // by table: turns its follower on
	Log       hclog.Logger
	Metrics   *metrics.Registry
}

// Duty owns pools.
type Duty struct {
	Options
	Views   *ring.Ring[*board.View]
	Deltas  *ring.Ring[follow.Delta]
	Release *ring.Ring[struct{}] // gives all pools up
	asker   *duty.Asker
	results *ring.Ring[any]
	calls   pond.Pool
	stores  pond.Pool

	view      *board.View
	pools     map[string]*pool
	names     []string
	registry  registry
	followed  bool // the work table is followed, so that a reading of a pool's jobs misses nothing
	clients   map[client]Worker
	leaving   bool
	following bool
}

type client struct{ id, addr string }

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Options: o,
		Views:   ring.New[*board.View]("pool-views", 1, ring.KeepNewest),
		Deltas:  ring.New[follow.Delta]("pool-deltas", deltaDepth, ring.Wait),
		Release: ring.New[struct{}]("pool-release", 1, ring.Refuse),
		asker:   duty.NewAsker("pools"),
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
		case <-d.Release.C():
			d.leaving = true
		case r := <-d.results.C():
			d.takeResult(r)
		case reply := <-d.asker.Questions():
			reply <- d.report()
		case <-timer.C:
		}
		d.drain()
		timer.Reset(d.work(ctx))
	}
}

// Report is the state of a pool in the state dump.
type Report struct {
	Pool    string
	Held    bool
	Active  bool
	Token   uint64
	Version uint64 // of the lease row
	Status  engine.Status
}

// Dump returns the state of all pools as this process sees them.
func (d *Duty) Dump(ctx context.Context) any { return d.asker.Ask(ctx) }

func (d *Duty) report() []Report {
	list := make([]Report, 0, len(d.names))
	for _, name := range d.names {
		p := d.pools[name]
		list = append(list, Report{
			Pool: name, Held: p.Valid(d.now()), Active: p.machine != nil, Token: p.Control.Token,
			Version: p.Version(),
		})
		if p.machine != nil {
			list[len(list)-1].Status = p.machine.Status(d.now())
		}
	}
	return list
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
		if d.pools[name].State != holder.Idle {
			held++
		}
	}
	for _, name := range d.names {
		p := d.pools[name]
		if !d.leaving && p.ClaimDue(now, d.view, time.Duration(held)*claimBackoff) {
			d.commit(ctx, p, p.Claim(now, d.view))
			held++
		}
		wake = times.Earlier(wake, d.drive(ctx, now, p))
	}
	d.follow(held > 0)
	return max(time.Millisecond, wake.Sub(steady.Now()))
}

// follow turns the followers of the large tables on while pools are owned.
func (d *Duty) follow(on bool) {
	if on == d.following {
		return
	}
	d.following = on
	d.followed = false
	if !on {
		d.registry = newRegistry()
	}
	d.want(on)
}

// want turns the followers of the large tables on or off. Each that is turned on
// again reads its table anew.
func (d *Duty) want(on bool) {
	for table, wanted := range d.Wanted {
		if err := wanted.Put(context.Background(), on); err != nil { // keeps the newest, so it never waits
			d.Log.Warn("a follower was not told", "table", table, "error", err)
		}
	}
}

func (d *Duty) see(v *board.View) {
	if d.view != nil && d.view.Missed != v.Missed && d.following {
		d.want(true) // other tables may have missed changes too
	}
	d.view = v
	if v.Configuration == nil {
		return
	}
	for _, o := range v.Configuration.Pools {
		if d.pools[o.Name] == nil {
			d.pools[o.Name] = &pool{Holder: holder.New(o.Name, d.Self, d.Processor, d.Log), queues: map[string]bool{}}
			d.names = append(d.names, o.Name)
		}
	}
	slices.Sort(d.names)
	now := d.now()
	for _, name := range d.names {
		p := d.pools[name]
		if p.Observe(now, v) {
			p.forget()
		}
		if p.configuration != v.Configuration {
			p.configuration = v.Configuration
			for _, q := range v.Configuration.Queues {
				if q.Pool == name {
					p.queues[store.WorkQueue(q.Host, q.Prefix)] = true
				}
			}
			p.add(engine.QueuesSeen{Queues: v.Configuration.Queues})
		}
		p.add(d.released())
	}
}

// released returns the machines that the fleet's owner wants without work.
func (d *Duty) released() engine.ReleaseSeen {
	e := engine.ReleaseSeen{Machines: map[string]bool{}, Due: map[string]bool{}}
	fleet := d.view.Leases[store.ControlFleet]
	e.Version = fleet.Version
	for _, m := range fleet.Release {
		e.Machines[m] = true
	}
	for _, m := range fleet.Due {
		e.Due[m] = true
	}
	return e
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
