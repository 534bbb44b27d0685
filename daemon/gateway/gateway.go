// Package gateway wires the duties of a gateway process: the dispatcher, which
// owns the queues and the endpoints' states, and the journal, which owns the
// idempotency records that are being written.
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

// Endpoints calls endpoints. The result says what is known of the attempt; no
// error is hidden and nothing is retried.
type Endpoints interface {
	Do(ctx context.Context, req *structs.Request, vm structs.VM, legacy structs.Legacy, attempt int) structs.EndpointResult
}

// Inputs are the rings through which other duties feed the dispatcher. Each
// has capacity 1 and keeps the newest value.
type Inputs struct {
	Configs *ring.Ring[*structs.Config]
	Fleets  *ring.Ring[*structs.FleetView]
	Members *ring.Ring[*structs.MemberView]
}

// Errors of Submit and of the calls that go through the dispatcher's rings.
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

// New returns a gateway. Its duties start with the supervisor that Register
// is given.
func New(
	p settings.Process, platform store.Platform, endpoints Endpoints, in Inputs,
	log hclog.Logger, reg *metrics.Registry,
) (*Gateway, error) {
	g := &Gateway{}
	g.journal = journal.New(journal.Config{
		Options: journal.Options{
			Batch: p.Gateway.JournalBatch, Linger: p.Gateway.JournalLinger, Workers: p.Gateway.JournalWorkers,
			Inline: p.Gateway.InlineAnswer, MaxBacklog: maxBacklog, MaxBytes: maxBacklogBytes,
		},
		Platform: platform,
		Timeout:  p.Platform.Timeout,
		Flush:    flushTimeout,
		Ring:     p.Gateway.EventRing,
		Reply:    func(r journal.Reply) { g.dispatcher.journalReplied(r) },
		Log:      logging.For(log, "journal"),
		Count:    journalCounters(reg),
	})
	g.dispatcher = newDispatcherDuty(p, endpoints, in, g.journal.Requests(), logging.For(log, "dispatcher"), reg)
	for _, stats := range append(g.journal.Rings(), g.dispatcher.rings()...) {
		if err := reg.WatchRing(stats().Name, stats); err != nil {
			return nil, fmt.Errorf("register metrics of ring %s: %w", stats().Name, err)
		}
	}
	return g, nil
}

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

// Bounds of what the journal keeps while the platform is down, and of the time
// that it has to store answers after a stop.
const (
	maxBacklog      = 16384
	maxBacklogBytes = 16 << 20
	flushTimeout    = 5 * time.Second
)

// Register adds the duties to a supervisor. The dispatcher stops before the
// journal, which then stores what is left.
func (g *Gateway) Register(s *duty.Supervisor) {
	s.Add(duty.Duty{Name: "journal", Run: g.journal.Run, Dump: g.journal.Dump})
	s.Add(duty.Duty{Name: "dispatcher", Run: g.dispatcher.run, Dump: g.dispatcher.dump})
}

// Submit hands a request to the dispatcher. The answer comes on reply, which
// must have capacity 1. It returns ErrBusy if the dispatcher's ring is full:
// the request was not run.
func (g *Gateway) Submit(req *structs.Request, reply chan structs.Answer) error {
	err := g.dispatcher.submits.Put(context.Background(), submission{req: req, reply: reply})
	switch {
	case errors.Is(err, ring.ErrFull):
		return ErrBusy
	case err != nil:
		return ErrStopped
	}
	return nil
}

// DrainVM stops new work to a VM and returns the number of requests that it
// still has in flight from this gateway.
func (g *Gateway) DrainVM(ctx context.Context, vm string, epoch uint64) (inFlight int, err error) {
	r, err := g.dispatcher.ask(ctx, question{kind: askDrain, vm: vm, epoch: epoch})
	return r.inFlight, err
}

// demandTimeout bounds the wait for the dispatcher in Demand.
const demandTimeout = time.Second

// Demand returns the load of each service over the last interval of at least
// one second, or nil if the dispatcher does not answer within a second.
func (g *Gateway) Demand() []structs.ServiceDemand {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	r, err := g.dispatcher.ask(ctx, question{kind: askDemand})
	if err != nil {
		return nil
	}
	return r.demand
}

// Ready reports whether the gateway takes new requests.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.dispatcher.ready.Load() }

// Drain refuses new requests and waits until those in the gateway are
// answered. When ctx or the settings' drain timeout ends first, the rest is
// answered by what is known of it, and an error tells how many there were.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	r, err := g.dispatcher.ask(ctx, question{kind: askStop})
	if err != nil {
		return err
	}
	if r.aborted > 0 {
		return fmt.Errorf("gateway: %d requests unfinished at the drain timeout", r.aborted)
	}
	return nil
}
