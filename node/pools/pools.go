// Package pools is the duty that owns pools: it claims and renews their leases,
// runs an engine for each pool, executes its actions, and stores the state that
// must survive this process.
package pools

import (
	"context"
	"runtime"
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

// Queue sizes and limits of concurrent calls.
const (
	resultQueueSize = 1024
	deltaQueueSize  = 64
	// maxWorkerCalls is the number of concurrent calls to workers and to the
	// placement policy: a long-polling hold for each worker of several pools, and
	// other orders beside them.
	maxWorkerCalls = 1024
	maxStoreCalls  = 32
)

// claimDelayPerPool delays the claim of a pool for each pool that the process
// already holds, so that the pools are spread over the VMs.
const claimDelayPerPool = 150 * time.Millisecond

// Reading and writing of the store.
const (
	// urgentFlushInterval is the minimum time between transactions of a pool that
	// callers wait for; a partition of the store executes one in about 5 ms.
	urgentFlushInterval = 25 * time.Millisecond
	// flushInterval is the minimum time between transactions that nobody waits
	// for.
	flushInterval = 300 * time.Millisecond
	// maxFlushJobs is the maximum number of jobs in one transaction, which the
	// platform limits to 100 rows.
	maxFlushJobs = 80
	// loadWriteInterval is the minimum time between writes of the load row while
	// the load grows. The fleet's owner reads these rows every 120 ms.
	loadWriteInterval = 100 * time.Millisecond
	// jobsReadTimeout limits the time in which a new owner reads a pool's jobs:
	// several thousand jobs over a link of 10 Mbit/s that carries other traffic
	// too.
	jobsReadTimeout = 10 * time.Second
	jobsReadRetry   = 300 * time.Millisecond
)

// Worker is the adapter to one worker.
type Worker interface {
	Start(ctx context.Context, s engine.Start) (engine.Result, error)
	Stop(ctx context.Context, s engine.Stop) (engine.Result, error)
	Throttle(ctx context.Context, p engine.Throttle) (engine.Result, error)
	Hold(ctx context.Context, h engine.Hold) (engine.HoldReport, engine.Result, error)
	Close()
}

// Policy is the adapter to the placement policy service.
type Policy interface {
	Advise(ctx context.Context, a engine.Advise) (map[string]string, time.Duration, error)
}

// Options configures New.
type Options struct {
	Self             string
	Bounds           settings.Bounds
	CPUShare         float64 // share of a core that the VM has
	Table            store.Table
	Feed             store.Feed
	Dial             func(id, addr string) Worker
	Policy           Policy                                                  // nil: none is configured
	Decode           func(key string, value []byte) (workload.Worker, error) // decodes a registration
	FollowersEnabled map[string]*ring.Ring[bool]                             // by table: turns its follower on or off
	Log              hclog.Logger
	Metrics          *metrics.Registry
}

// Duty owns pools.
type Duty struct {
	Options
	Views          *ring.Ring[*board.View]
	Deltas         *ring.Ring[follow.Delta]
	Release        *ring.Ring[struct{}] // makes the duty release all pools
	stateRequester *duty.StateRequester
	results        *ring.Ring[any]
	load           loadMetrics
	callPool       pond.Pool
	storePool      pond.Pool

	view         *board.View
	pools        map[string]*pool
	names        []string
	registry     registry
	workFollowed bool // changes of the work table are received, so none is missed after a read of a pool's jobs
	clients      map[clientKey]Worker
	releasing    bool // no pools are claimed, and those that are held are released
	followersOn  bool
}

type clientKey struct{ id, addr string }

// New returns the duty.
func New(o Options) *Duty {
	return &Duty{
		Options:        o,
		Views:          ring.New[*board.View]("pool-views", 1, ring.KeepNewest),
		Deltas:         ring.New[follow.Delta]("pool-deltas", deltaQueueSize, ring.Wait),
		Release:        ring.New[struct{}]("pool-release", 1, ring.Refuse),
		stateRequester: duty.NewStateRequester("pools"),
		results:        ring.New[any]("pool-results", resultQueueSize, ring.Wait),
		load:           newLoadMetrics(o.Metrics),
		callPool:       pond.NewPool(maxWorkerCalls),
		storePool:      pond.NewPool(maxStoreCalls),
		pools:          map[string]*pool{}, registry: newRegistry(), clients: map[clientKey]Worker{},
	}
}

// Run owns pools until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer d.storePool.Stop()
	defer d.callPool.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-d.Views.C():
			d.handleView(v)
		case delta := <-d.Deltas.C():
			d.handleDelta(delta)
		case <-d.Release.C():
			d.releasing = true
		case r := <-d.results.C():
			d.handleResult(r)
		case reply := <-d.stateRequester.Requests():
			reply <- d.report()
		case <-timer.C:
		}
		// A goroutine that posts a result makes this one run next. Those whose calls
		// have been answered too post theirs first, so that all share one step.
		runtime.Gosched()
		d.handlePending()
		timer.Reset(d.runDue(ctx))
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
func (d *Duty) Dump(ctx context.Context) any { return d.stateRequester.State(ctx) }

func (d *Duty) report() []Report {
	list := make([]Report, 0, len(d.names))
	for _, name := range d.names {
		p := d.pools[name]
		list = append(list, Report{
			Pool: name, Held: p.Valid(d.now()), Active: p.engine != nil, Token: p.Control.Token,
			Version: p.Version(),
		})
		if p.engine != nil {
			list[len(list)-1].Status = p.engine.Status(d.now())
		}
	}
	return list
}

// handlePending handles the changes and results that have arrived already, so
// that they share one step of the engines.
func (d *Duty) handlePending() {
	for {
		select {
		case delta := <-d.Deltas.C():
			d.handleDelta(delta)
		case r := <-d.results.C():
			d.handleResult(r)
		default:
			return
		}
	}
}

// maxRunDueInterval is the maximum time between two calls of runDue.
const maxRunDueInterval = 250 * time.Millisecond

// runDue claims pools, does the work that is due for each pool, and returns the
// time after which it must be called again.
func (d *Duty) runDue(ctx context.Context) time.Duration {
	now := steady.Now()
	wake := now.Add(maxRunDueInterval)
	held := 0
	for _, name := range d.names {
		if d.pools[name].State != holder.Idle {
			held++
		}
	}
	for _, name := range d.names {
		p := d.pools[name]
		if !d.releasing && p.ClaimDue(now, d.view, time.Duration(held)*claimDelayPerPool) {
			d.startCommit(ctx, p, p.Claim(now, d.view))
			held++
		}
		wake = times.Earlier(wake, d.runPool(ctx, now, p))
	}
	d.updateFollowers(held > 0)
	return max(time.Millisecond, wake.Sub(steady.Now()))
}

// updateFollowers turns the followers of the large tables on if pools are held
// or claimed, and off otherwise.
func (d *Duty) updateFollowers(on bool) {
	if on == d.followersOn {
		return
	}
	d.followersOn = on
	d.workFollowed = false
	if !on {
		d.registry = newRegistry()
	}
	d.switchFollowers(on)
}

// switchFollowers turns the followers of the large tables on or off. A follower
// that is turned on while it is on reads its table again.
func (d *Duty) switchFollowers(on bool) {
	for table, enabled := range d.FollowersEnabled {
		if err := enabled.Put(context.Background(), on); err != nil { // KeepNewest never blocks
			d.Log.Warn("can't switch a table's follower on or off", "table", table, "error", err)
		}
	}
}

func (d *Duty) handleView(v *board.View) {
	if d.view != nil && d.view.MissedChanges != v.MissedChanges && d.followersOn {
		d.switchFollowers(true) // other tables may have missed changes too
	}
	d.view = v
	if v.Configuration == nil {
		return
	}
	for _, configured := range v.Configuration.Pools {
		if d.pools[configured.Name] == nil {
			d.pools[configured.Name] = &pool{Holder: holder.New(configured.Name, d.Self, d.CPUShare, d.Log), queues: map[string]bool{}}
			d.names = append(d.names, configured.Name)
		}
	}
	slices.Sort(d.names)
	now := d.now()
	for _, name := range d.names {
		p := d.pools[name]
		if p.Observe(now, v) {
			p.reset()
		}
		if p.configuration != v.Configuration {
			p.configuration = v.Configuration
			for _, q := range v.Configuration.Queues {
				queue := q.Key()
				if q.Pool != name || p.queues[queue] {
					continue
				}
				p.queues[queue] = true
				if p.engine != nil || p.readingJobs {
					p.unreadQueues = append(p.unreadQueues, queue)
				}
			}
			p.addEvent(engine.QueuesUpdated{Queues: v.Configuration.Queues})
		}
		p.addEvent(d.releaseEvent())
	}
}

// releaseEvent returns the event with the machines that the fleet's owner wants
// released, now or later.
func (d *Duty) releaseEvent() engine.ReleaseUpdated {
	e := engine.ReleaseUpdated{Machines: map[string]bool{}, Upcoming: map[string]bool{}}
	row := d.view.Leases[store.ControlFleet]
	e.Version = row.Version
	for _, m := range row.Release {
		e.Machines[m] = true
	}
	for _, m := range row.Due {
		e.Upcoming[m] = true
	}
	return e
}

// workerClient returns the client of a worker and creates it if necessary.
func (d *Duty) workerClient(t engine.Target) Worker {
	key := clientKey{id: t.Incarnation.ID, addr: t.Addr}
	w, ok := d.clients[key]
	if !ok {
		w = d.Dial(t.Incarnation.ID, t.Addr)
		d.clients[key] = w
	}
	return w
}

// closeClients closes the clients of workers that are no longer registered.
func (d *Duty) closeClients() {
	for key, c := range d.clients {
		if w, ok := d.registry.workers[key.id]; ok && w.Addr == key.addr {
			continue
		}
		c.Close()
		delete(d.clients, key)
	}
}
