// Package gateway implements the data path of a gateway process with two duties:
// the dispatcher, which owns the request queues and the state of the endpoints,
// and the journal, which owns the pending writes of idempotency records.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/carobwharf/carobwharf/daemon/gateway/journal"
	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/logging"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Endpoints makes one call to an endpoint, without retries. The result tells
// what is known of the attempt and includes every error.
type Endpoints interface {
	Do(ctx context.Context, req *structs.Request, vm structs.VM, legacy structs.Legacy, attempt int) structs.EndpointResult
}

// Inputs are the rings from which the dispatcher reads the configuration and the
// views of the fleet and of the members. Each has capacity 1 and keeps the newest
// value.
type Inputs struct {
	Configs *ring.Ring[*structs.Config]
	Fleets  *ring.Ring[*structs.FleetView]
	Members *ring.Ring[*structs.MemberView]
}

// Errors of Submit and of the methods that send a command to the dispatcher.
var (
	ErrBusy    = errors.New("gateway: event ring is full")
	ErrStopped = errors.New("gateway: stopped")
)

// Gateway is the data path of a gateway process.
type Gateway struct {
	dispatcher *dispatcherDuty
	journal    *journal.Journal
	draining   atomic.Bool
}

// New returns a gateway. Its duties start with the supervisor to which Register
// adds them.
func New(
	p settings.Process, platform store.Platform, endpoints Endpoints, in Inputs,
	log hclog.Logger, reg *metrics.Registry,
) (*Gateway, error) {
	g := &Gateway{}
	g.journal = journal.New(journal.Config{
		Options: journal.Options{
			Batch: p.Gateway.JournalBatch, Linger: p.Gateway.JournalLinger, Workers: p.Gateway.JournalWorkers,
			MaxInlineBytes: p.Gateway.MaxInlineAnswer, MaxBacklog: maxBacklog, MaxBytes: maxBacklogBytes,
		},
		Platform:     platform,
		Timeout:      p.Platform.Timeout,
		FlushTimeout: flushTimeout,
		RingDepth:    p.Gateway.EventRing,
		Reply:        func(r journal.Reply) { g.dispatcher.journalReplied(r) },
		Log:          logging.For(log, "journal"),
		AddCounters:  journalCounters(reg),
	})
	g.dispatcher = newDispatcherDuty(p, endpoints, in, g.journal.Requests(), logging.For(log, "dispatcher"), reg)
	for _, stats := range append(g.journal.RingStats(), g.dispatcher.ringStats()...) {
		if err := reg.WatchRing(stats().Name, stats); err != nil {
			return nil, fmt.Errorf("register metrics of ring %s: %w", stats().Name, err)
		}
	}
	return g, nil
}

// journalCounters returns a function that adds the journal's counters to the
// metrics.
func journalCounters(reg *metrics.Registry) func(journal.Counters) {
	c := func(name string) gometrics.Counter { return reg.Counter("journal." + name) }
	commits, rows, conflicts := c("commits"), c("rows"), c("conflicts")
	unknown, unavailable, dropped := c("unknown"), c("unavailable"), c("dropped")
	throttled := c("throttled")
	return func(n journal.Counters) {
		commits.Inc(n.Commits)
		rows.Inc(n.Rows)
		conflicts.Inc(n.Conflicts)
		unknown.Inc(n.Unknown)
		unavailable.Inc(n.Unavailable)
		throttled.Inc(n.Throttled)
		dropped.Inc(n.Dropped)
	}
}

const (
	// maxBacklog and maxBacklogBytes limit the operations that the journal keeps
	// while the platform is unavailable.
	maxBacklog      = 16384
	maxBacklogBytes = 16 << 20
	// flushTimeout limits how long the journal stores answers after a stop.
	flushTimeout = 5 * time.Second
)

// Register adds the duties to a supervisor. The dispatcher stops before the
// journal, which then stores the remaining answers.
func (g *Gateway) Register(s *duty.Supervisor) {
	s.Add(duty.Duty{Name: "journal", Run: g.journal.Run, Dump: g.journal.Dump})
	s.Add(duty.Duty{Name: "dispatcher", Run: g.dispatcher.run, Dump: g.dispatcher.dump})
}

// Submit hands a request to the dispatcher, which sends the answer on reply.
// reply must have capacity 1. If Submit returns an error, the request does not
// run; ErrBusy means that the dispatcher's ring is full.
func (g *Gateway) Submit(req *structs.Request, reply chan structs.Answer) error {
	err := g.dispatcher.submissions.Put(context.Background(), submission{req: req, reply: reply})
	switch {
	case errors.Is(err, ring.ErrFull):
		return ErrBusy
	case err != nil:
		return ErrStopped
	}
	return nil
}

// DrainVM stops new work for a VM and returns the number of requests that this
// gateway has in flight there.
func (g *Gateway) DrainVM(ctx context.Context, vm string, epoch uint64) (inFlight int, err error) {
	r, err := g.dispatcher.execute(ctx, command{kind: drainVM, vm: vm, epoch: epoch})
	return r.inFlight, err
}

// demandTimeout limits how long Demand waits for the dispatcher.
const demandTimeout = time.Second

// Demand returns the load of each service over the last interval of at least
// one second, or nil if the dispatcher does not answer within a second.
func (g *Gateway) Demand() []structs.ServiceDemand {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	r, err := g.dispatcher.execute(ctx, command{kind: readDemand})
	if err != nil {
		return nil
	}
	return r.demand
}

// Ready reports whether the gateway accepts new requests.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.dispatcher.ready.Load() }

// Drain refuses new requests and waits until all admitted requests are answered.
// At the drain timeout of the settings, each remaining request is answered with
// what is known of its outcome, and Drain returns an error with their number. If
// ctx ends first, Drain returns its error.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	r, err := g.dispatcher.execute(ctx, command{kind: stopRequests})
	if err != nil {
		return err
	}
	if r.aborted > 0 {
		return fmt.Errorf("gateway: %d requests unfinished at the drain timeout", r.aborted)
	}
	return nil
}
