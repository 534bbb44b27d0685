// Package members is the duty that keeps the view of the project's live
// processes. It alone owns a membership.View: heartbeats from peers, answers
// to its own heartbeats and table rows reach it through its ring, and blocking
// calls run in a bounded pool.
package members

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/membership"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Sender sends a heartbeat and returns the answer. Each call must end within
// a deadline of its own. *member.Client of package peer/member is one.
type Sender interface {
	Heartbeat(ctx context.Context, addr string, m membership.Message) (membership.Message, error)
}

// ConfigNews says that a peer has a configuration of a higher generation.
type ConfigNews struct {
	Generation uint64
	Hash       string
	From       structs.Member
}

// Options configures the duty.
type Options struct {
	Self        structs.Member // the duty sets the incarnation
	Seeds       []string       // IP:port of other processes
	Membership  settings.Membership
	Loss        float64 // fraction of outgoing heartbeats dropped
	Table       store.Table
	Sender      Sender
	Subscribers []*ring.Ring[*structs.MemberView] // KeepNewest, capacity 1
	ConfigNews  *ring.Ring[ConfigNews]            // may be nil
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

const (
	joinRounds = 4   // before a process takes it that it is alone
	eventRing  = 256 // some rounds of all expected peers
	maxUpdates = 64  // a message stays under about 10 KB
	// Members are heard of directly within a few rounds; relayed beats only
	// help across a link that is cut in one direction.
	relayed = 4
)

// Duty is the membership duty.
type Duty struct {
	opts       Options
	events     *ring.Ring[event]
	pool       pond.Pool
	view       *membership.View
	rng        *rand.Rand
	rows       []structs.Member // other processes' rows, as last read
	shown      uint64           // version of the view that was published last
	rowBusy    bool             // a row call is running
	registered bool             // the own row was written
	joined     bool             // a peer answered, or there is none
	rounds     int              // since the start, until joined
	written    chan struct{}    // closed when the own row was written for the first time
}

// New returns the duty; Run starts it.
func New(o Options) (*Duty, error) {
	d := &Duty{
		opts:    o,
		written: make(chan struct{}),
		events:  ring.New[event]("members", eventRing, ring.Wait),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if err := o.Metrics.WatchRing("members", d.events.Stats); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return d, nil
}

// Registered returns a channel that is closed when the own row was written for
// the first time.
func (d *Duty) Registered() <-chan struct{} { return d.written }

// Run runs the duty until ctx ends, and then tells some peers that this
// process has left and removes its row.
func (d *Duty) Run(ctx context.Context) error {
	workers := 4 * d.opts.Membership.Fanout
	d.pool = pond.NewPool(workers+1, pond.WithQueueSize(workers), pond.WithNonBlocking(true))
	defer d.pool.StopAndWait()
	defer d.events.Close()
	d.start(ctx)
	round := time.NewTicker(d.opts.Membership.Interval)
	defer round.Stop()
	rows := time.NewTicker(d.opts.Membership.RowLifetime / 3)
	defer rows.Stop()
	for {
		select {
		case <-ctx.Done():
			d.leave()
			return nil
		case e := <-d.events.C():
			e.apply(d, time.Now())
		case <-round.C:
			d.round(ctx)
		case <-rows.C:
			d.exchangeRows(ctx)
		}
		d.publish()
	}
}

// start takes an incarnation from the clock: it is above that of an earlier
// process with the same ID unless the clock went back, and then the first
// peer that knows a higher one makes this process go above it.
func (d *Duty) start(ctx context.Context) {
	m := d.opts.Membership
	self := d.opts.Self
	self.Incarnation = uint64(time.Now().UnixMilli())
	d.view = membership.New(self, membership.Config{
		Interval: m.Interval, Fanout: m.Fanout, SuspectAfter: m.SuspectAfter, RemoveAfter: m.RemoveAfter,
		MaxUpdates: maxUpdates, MinUpdates: relayed, LocalHealth: true,
	}, d.rng)
	d.publish()
	d.exchangeRows(ctx)
	d.round(ctx)
}

func (d *Duty) round(ctx context.Context) {
	d.rounds++
	targets := d.view.Tick(time.Now())
	for _, t := range targets {
		d.send(ctx, t.Addr, t.ID)
	}
	for _, addr := range d.strangers(max(1, d.opts.Membership.Fanout-len(targets))) {
		d.send(ctx, addr, "")
	}
	if !d.registered || (len(d.rows) == 0 && len(targets) == 0) {
		d.exchangeRows(ctx)
	}
	d.opts.Metrics.Gauge("members.live").Update(int64(len(d.view.Live())))
	d.opts.Metrics.Gauge("members.health").Update(int64(d.view.Health()))
}

// strangers returns up to n addresses, from settings and rows, at which the
// view has no live member.
func (d *Duty) strangers(n int) []string {
	known := map[string]bool{}
	for _, m := range d.view.Live() {
		known[m.Addr] = true
	}
	var out []string
	add := func(addr string) {
		if addr != "" && !known[addr] {
			known[addr] = true
			out = append(out, addr)
		}
	}
	for _, s := range d.opts.Seeds {
		add(s)
	}
	for _, m := range d.rows {
		add(m.Addr)
	}
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// publish shows a new view to the subscribers. The first one waits until the
// process has joined: a gateway that thinks that it is alone would take all
// slots of the endpoints for itself. If no peer answers, it waits for a few
// rounds only, so that a process also starts when all others are gone.
func (d *Duty) publish() {
	if !d.joined && d.rounds < joinRounds {
		return
	}
	if d.view.Version() == d.shown {
		return
	}
	d.shown = d.view.Version()
	snapshot := &structs.MemberView{Self: d.view.Self(), Live: d.view.Live(), Version: d.shown}
	for _, s := range d.opts.Subscribers {
		_ = s.Put(context.Background(), snapshot) // KeepNewest neither waits nor refuses
	}
}

// noteConfig tells the config duty that a peer is ahead of this process.
func (d *Duty) noteConfig(m membership.Message) {
	from := m.From.Member
	if d.opts.ConfigNews == nil || from.Generation <= d.view.Self().Generation {
		return
	}
	news := ConfigNews{Generation: from.Generation, Hash: m.ConfigHash, From: from}
	_ = d.opts.ConfigNews.Put(context.Background(), news) // the next heartbeat repeats it
}
