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

// fleetTimeoutFactor is the timeout of one read of the fleet, as a multiple of the
// timeout of one platform call. A read of the fleet makes several such calls.
const fleetTimeoutFactor = 3

// viewRings are the rings on which one consumer receives the views of the shared
// duties. Each ring has capacity 1 and keeps the newest value. A ring is nil if the
// consumer does not use that view.
type viewRings struct {
	configs *ring.Ring[*structs.Config]
	fleets  *ring.Ring[*structs.FleetView]
	members *ring.Ring[*structs.MemberView]
}

func newViewRings(consumer string) viewRings {
	return viewRings{
		configs: ring.New[*structs.Config](consumer+"-configs", 1, ring.KeepNewest),
		fleets:  ring.New[*structs.FleetView](consumer+"-fleets", 1, ring.KeepNewest),
		members: ring.New[*structs.MemberView](consumer+"-members", 1, ring.KeepNewest),
	}
}

// Options configures a process.
type Options struct {
	Settings settings.Process
	Log      hclog.Logger
	Metrics  *metrics.Registry
	Version  any // shown at the admin address
}

// base holds what gateway and controller processes have in common.
type base struct {
	opts         Options
	settings     settings.Process
	platform     *platform.Client
	workers      *worker.Client // nil in a gateway
	dialer       *link.Dialer
	server       *link.Server
	memberClient *member.Client
	subscribers  subscribers
	configHints  *ring.Ring[members.ConfigHint]
	transfer     *configTransfer
	latest       *latestViews
}

// newBase creates the common part of a process and opens its peer listener. Each
// consumer receives the views for which it has a ring.
func newBase(o Options, consumers ...viewRings) (*base, error) {
	cfg := o.Settings
	b := &base{
		opts:     o,
		settings: cfg,
		platform: platform.New(platform.Options{
			Addr:           cfg.Platform.Addr,
			Timeout:        cfg.Platform.Timeout,
			MaxConnections: cfg.Platform.MaxConnections,
			MaxConnAge:     cfg.Platform.MaxConnAge,
		}),
		dialer:      link.NewDialer(link.DialerOptions{}),
		configHints: ring.New[members.ConfigHint]("config-news", 1, ring.KeepNewest),
		latest:      &latestViews{},
	}
	var err error
	if b.server, err = link.Listen(cfg.PeerListen, b.logger("peers")); err != nil {
		return nil, fmt.Errorf("open the peer listener: %w", err)
	}
	transferViews := newViewRings("transfer")
	b.subscribers = collectSubscribers(append(consumers, transferViews))
	b.memberClient = member.NewClient(b.dialer)
	b.transfer = newConfigTransfer(b.memberClient, transferViews, b.configHints, b.latest, b.logger("config"))
	return b, nil
}

func (b *base) logger(name string) hclog.Logger { return logging.For(b.opts.Log, name) }

// addSharedDuties adds the duties that both roles have, except the configuration
// duty.
func (b *base) addSharedDuties(role structs.Role, adminAddr string, watch *configwatch.Watch, add func(duty.Duty)) error {
	membersDuty, err := members.New(members.Options{
		Self: structs.Member{
			ID: b.settings.ID, Role: role, Addr: b.server.Addr(), AdminAddr: adminAddr, DataCentre: b.settings.DataCentre,
		},
		Seeds: b.settings.Seeds, Membership: b.settings.Membership, LossRate: b.settings.HeartbeatLossRate,
		Table: b.platform, Sender: b.memberClient, Subscribers: b.subscribers.members, ConfigHints: b.configHints,
		Log: b.logger("members"), Metrics: b.opts.Metrics,
	})
	if err != nil {
		return fmt.Errorf("create the membership duty: %w", err)
	}
	b.transfer.bind(watch, membersDuty)
	if err := member.Register(b.server, membersDuty, configSource{watch.Current}); err != nil {
		return fmt.Errorf("register the member service: %w", err)
	}
	var registered <-chan struct{}
	if role == structs.RoleGateway {
		registered = membersDuty.Registered()
	}
	vmViewDuty := vmview.New(vmview.Options{
		StartAfter:   registered,
		PollInterval: b.settings.View.FleetPoll, Timeout: fleetTimeoutFactor * b.settings.Platform.Timeout,
		Table: b.platform, VMs: b.platform, Subscribers: b.subscribers.fleets,
		Log: b.logger("vmview"), Metrics: b.opts.Metrics,
	})
	add(duty.Duty{Name: "config-transfer", Run: b.transfer.run})
	add(duty.Duty{Name: "vmview", Run: vmViewDuty.Run, Dump: vmViewDuty.Dump})
	add(duty.Duty{Name: "peers", Run: b.server.Run})
	add(duty.Duty{Name: "members", Run: membersDuty.Run, Dump: membersDuty.Dump})
	return nil
}

// close closes all connections. It must be called after the duties have ended.
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

func collectSubscribers(consumers []viewRings) subscribers {
	var s subscribers
	for _, c := range consumers {
		s.configs = appendIfSet(s.configs, c.configs)
		s.fleets = appendIfSet(s.fleets, c.fleets)
		s.members = appendIfSet(s.members, c.members)
	}
	return s
}

func appendIfSet[T any](list []*ring.Ring[T], r *ring.Ring[T]) []*ring.Ring[T] {
	if r == nil {
		return list
	}
	return append(list, r)
}

// latestViews holds the newest views, which are immutable, for the goroutines of the
// servers.
type latestViews struct {
	members atomic.Pointer[structs.MemberView]
	fleet   atomic.Pointer[structs.FleetView]
}
