package process

import (
	"fmt"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/logging"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/configwatch"
	"github.com/carobwharf/carobwharf/node/members"
	"github.com/carobwharf/carobwharf/node/vmview"
	"github.com/carobwharf/carobwharf/peer/link"
	"github.com/carobwharf/carobwharf/peer/member"
	"github.com/carobwharf/carobwharf/peer/platform"
	"github.com/carobwharf/carobwharf/peer/worker"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

// fleetTimeoutCalls is the number of call timeouts that a reading of the fleet
// may take: it needs several calls to the platform.
const fleetTimeoutCalls = 3

// views are the subscriptions of one consumer to the shared duties. Each ring
// has capacity 1 and keeps the newest value. A ring is nil if the consumer does
// not use that view.
type views struct {
	configs *ring.Ring[*structs.Config]
	fleets  *ring.Ring[*structs.FleetView]
	members *ring.Ring[*structs.MemberView]
}

func newViews(consumer string) views {
	return views{
		configs: ring.New[*structs.Config](consumer+"-configs", 1, ring.KeepNewest),
		fleets:  ring.New[*structs.FleetView](consumer+"-fleets", 1, ring.KeepNewest),
		members: ring.New[*structs.MemberView](consumer+"-members", 1, ring.KeepNewest),
	}
}

// Options is what the command gives to a process.
type Options struct {
	Settings settings.Process
	Log      hclog.Logger
	Metrics  *metrics.Registry
	Version  any // shown at the admin address
}

// base is what both roles have in common.
type base struct {
	opts       Options
	set        settings.Process
	platform   *platform.Client
	workers    *worker.Client // nil in a gateway
	dialer     *link.Dialer
	server     *link.Server
	client     *member.Client
	subscribed subscribers
	news       *ring.Ring[members.ConfigHint]
	transfer   *configTransfer
	seen       *latest
}

// newBase opens the listener for peers. The consumers receive every view.
func newBase(o Options, consumers ...views) (*base, error) {
	set := o.Settings
	b := &base{
		opts: o,
		set:  set,
		platform: platform.New(platform.Options{
			Addr:           set.Platform.Addr,
			Timeout:        set.Platform.Timeout,
			MaxConnections: set.Platform.MaxConnections,
			MaxConnAge:     set.Platform.MaxConnAge,
		}),
		dialer: link.NewDialer(link.DialerOptions{}),
		news:   ring.New[members.ConfigHint]("config-news", 1, ring.KeepNewest),
		seen:   &latest{},
	}
	var err error
	if b.server, err = link.Listen(set.PeerListen, b.part("peers")); err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	own := newViews("transfer")
	b.subscribed = subscriptions(append(consumers, own))
	b.client = member.NewClient(b.dialer)
	b.transfer = newConfigTransfer(b.client, own, b.news, b.seen, b.part("config"))
	return b, nil
}

func (b *base) part(name string) hclog.Logger { return logging.For(b.opts.Log, name) }

// addShared registers the duties that both roles have besides the
// configuration duty.
func (b *base) addShared(role structs.Role, admin string, watch *configwatch.Watch, add func(duty.Duty)) error {
	view, err := members.New(members.Options{
		Self: structs.Member{
			ID: b.set.ID, Role: role, Addr: b.server.Addr(), AdminAddr: admin, DataCentre: b.set.DataCentre,
		},
		Seeds: b.set.Seeds, Membership: b.set.Membership, LossRate: b.set.PeerLoss,
		Table: b.platform, Sender: b.client, Subscribers: b.subscribed.members, ConfigHints: b.news,
		Log: b.part("members"), Metrics: b.opts.Metrics,
	})
	if err != nil {
		return fmt.Errorf("membership duty: %w", err)
	}
	b.transfer.bind(watch, view)
	if err := member.Register(b.server, view, configServer{watch.Current}); err != nil {
		return fmt.Errorf("register the member service: %w", err)
	}
	var registered <-chan struct{}
	if role == structs.RoleGateway {
		registered = view.Registered()
	}
	fleet := vmview.New(vmview.Options{
		StartAfter:   registered,
		PollInterval: b.set.View.FleetPoll, Timeout: fleetTimeoutCalls * b.set.Platform.Timeout,
		Table: b.platform, VMs: b.platform, Subscribers: b.subscribed.fleets,
		Log: b.part("vmview"), Metrics: b.opts.Metrics,
	})
	add(duty.Duty{Name: "config-transfer", Run: b.transfer.run})
	add(duty.Duty{Name: "vmview", Run: fleet.Run, Dump: fleet.Dump})
	add(duty.Duty{Name: "peers", Run: b.server.Run})
	add(duty.Duty{Name: "members", Run: view.Run, Dump: view.Dump})
	return nil
}

// close closes the connections after the duties have ended.
func (b *base) close() error {
	b.platform.Close()
	if b.workers != nil {
		b.workers.Close()
	}
	if err := b.dialer.Close(); err != nil {
		return fmt.Errorf("close peer connections: %w", err)
	}
	return nil
}

type subscribers struct {
	configs []*ring.Ring[*structs.Config]
	fleets  []*ring.Ring[*structs.FleetView]
	members []*ring.Ring[*structs.MemberView]
}

func subscriptions(consumers []views) subscribers {
	var s subscribers
	for _, c := range consumers {
		s.configs = appendRing(s.configs, c.configs)
		s.fleets = appendRing(s.fleets, c.fleets)
		s.members = appendRing(s.members, c.members)
	}
	return s
}

func appendRing[T any](list []*ring.Ring[T], r *ring.Ring[T]) []*ring.Ring[T] {
	if r == nil {
		return list
	}
	return append(list, r)
}

// latest keeps the newest immutable views for goroutines of servers.
type latest struct {
	members atomic.Pointer[structs.MemberView]
	fleet   atomic.Pointer[structs.FleetView]
}
