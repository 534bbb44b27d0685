// Package members implements the duty that maintains the view of the project's
// live processes. Only the duty's goroutine uses the membership.View. Heartbeats
// from peers, answers to its own heartbeats and table rows arrive through its
// ring, and blocking calls run in a bounded pool.
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

// Sender sends a heartbeat and returns the answer. An implementation must limit
// the duration of each call itself. *member.Client of package peer/member
// implements it.
type Sender interface {
	Heartbeat(ctx context.Context, addr string, m membership.Message) (membership.Message, error)
}

// ConfigHint reports that a peer has a configuration of a higher generation.
type ConfigHint struct {
	Generation uint64
	Hash       string
	From       structs.Member
}

// Options configures a Duty.
type Options struct {
	Self        structs.Member // the duty sets the incarnation
	Seeds       []string       // IP:port of other processes, to contact at the start
	Membership  settings.Membership
	LossRate    float64 // fraction of outgoing heartbeats to drop, for experiments
	Table       store.Table
	Sender      Sender
	Subscribers []*ring.Ring[*structs.MemberView] // KeepNewest, capacity 1
	ConfigHints *ring.Ring[ConfigHint]            // may be nil
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

const (
	maxJoinRounds = 4   // heartbeat rounds without an answer before the process assumes that it is alone
	eventRingSize = 256 // room for several rounds of heartbeats of all expected peers
	maxUpdates    = 64  // keeps a message under about 10 KB
	// A few relayed updates in each message are enough: processes contact each
	// other directly within a few rounds, and relayed updates only help across a
	// link that is cut in one direction.
	minUpdates = 4
)

// Duty maintains the membership view and publishes it to the subscribers.
type Duty struct {
	opts             Options
	events           *ring.Ring[event]
	pool             pond.Pool
	view             *membership.View
	rng              *rand.Rand
	peerRows         []structs.Member // member rows of other processes, as last read
	publishedVersion uint64           // view version that was published last
	exchangingRows   bool             // a task of exchangeRows is running
	registered       bool             // the row of this process was written
	joined           bool             // a peer answered, or there are no peers
	rounds           int              // rounds since the start
	registeredCh     chan struct{}    // closed when registered becomes true
}

// New returns a duty; Run starts it.
func New(o Options) (*Duty, error) {
	d := &Duty{
		opts:         o,
		registeredCh: make(chan struct{}),
		events:       ring.New[event]("members", eventRingSize, ring.Wait),
		rng:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if err := o.Metrics.WatchRing("members", d.events.Stats); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return d, nil
}

// Registered returns a channel that is closed when the member row of this
// process was written for the first time.
func (d *Duty) Registered() <-chan struct{} { return d.registeredCh }

// Run runs the duty until ctx is done. It then tells some peers that this
// process stops, and removes its member row.
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
			d.runRound(ctx)
		case <-rows.C:
			d.exchangeRows(ctx)
		}
		d.publish()
	}
}

// start creates the view and runs the first round. The incarnation is taken from
// the clock, so it is higher than that of an earlier process with the same ID
// unless the clock was set back. In that case the first peer that knows a higher
// incarnation makes this process exceed it.
func (d *Duty) start(ctx context.Context) {
	m := d.opts.Membership
	self := d.opts.Self
	self.Incarnation = uint64(time.Now().UnixMilli())
	d.view = membership.New(self, membership.Config{
		Interval: m.Interval, Fanout: m.Fanout, SuspectAfter: m.SuspectAfter, RemoveAfter: m.RemoveAfter,
		MaxUpdates: maxUpdates, MinUpdates: minUpdates, LocalHealth: true,
	}, d.rng)
	d.publish()
	d.exchangeRows(ctx)
	d.runRound(ctx)
}

func (d *Duty) runRound(ctx context.Context) {
	d.rounds++
	targets := d.view.Tick(time.Now())
	for _, t := range targets {
		d.sendHeartbeat(ctx, t.Addr, t.ID)
	}
	for _, addr := range d.undiscoveredAddrs(max(1, d.opts.Membership.Fanout-len(targets))) {
		d.sendHeartbeat(ctx, addr, "")
	}
	if !d.registered || (len(d.peerRows) == 0 && len(targets) == 0) {
		d.exchangeRows(ctx)
	}
	d.opts.Metrics.Gauge("members.live").Update(int64(len(d.view.Live())))
	d.opts.Metrics.Gauge("members.health").Update(int64(d.view.Health()))
}

// undiscoveredAddrs returns up to n random addresses of seeds and member rows at
// which the view has no live member.
func (d *Duty) undiscoveredAddrs(n int) []string {
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
	for _, m := range d.peerRows {
		add(m.Addr)
	}
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// publish sends the view to the subscribers if it has changed. The first view is
// held back until the process has joined, because a gateway that assumes that it
// is alone would take all slots of the endpoints for itself. If no peer answers,
// it is held back for maxJoinRounds only, so that a process can also start when
// no other one is left.
func (d *Duty) publish() {
	if !d.joined && d.rounds < maxJoinRounds {
		return
	}
	if d.view.Version() == d.publishedVersion {
		return
	}
	d.publishedVersion = d.view.Version()
	snapshot := &structs.MemberView{Self: d.view.Self(), Live: d.view.Live(), Version: d.publishedVersion}
	for _, s := range d.opts.Subscribers {
		_ = s.Put(context.Background(), snapshot) // KeepNewest neither blocks nor refuses
	}
}

// reportNewerConfig tells the config duty if the sender of the message has a
// configuration of a higher generation than this process.
func (d *Duty) reportNewerConfig(m membership.Message) {
	from := m.From.Member
	if d.opts.ConfigHints == nil || from.Generation <= d.view.Self().Generation {
		return
	}
	newer := ConfigHint{Generation: from.Generation, Hash: m.ConfigHash, From: from}
	_ = d.opts.ConfigHints.Put(context.Background(), newer) // the next heartbeat repeats it
}
