package process

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alitto/pond/v2"
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
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	configWorkers = 4
	configQueue   = 16
	// A reading of the fleet takes several calls to the platform.
	fleetTimeoutCalls = 3
)

// views are the subscriptions of one consumer to the shared duties. Each ring
// has capacity 1 and keeps the newest value.
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

// base is what both roles have in common.
type base struct {
	set      settings.Process
	log      hclog.Logger
	reg      *metrics.Registry
	sup      *duty.Supervisor
	platform *platform.Client
	dialer   *link.Dialer
	server   *link.Server
	members  *members.Duty
	watch    *configwatch.Watch
	pool     pond.Pool // platform and peer calls of the configuration duties
	transfer *configTransfer
}

// newBase builds the shared duties and registers them on the supervisor. The
// consumers receive every view.
func newBase(set settings.Process, role structs.Role, logOutput io.Writer, consumers ...views) (*base, error) {
	root, err := logging.New(logging.Options{Level: set.Log.Level, Format: logging.Format(set.Log.Format), Output: logOutput})
	if err != nil {
		return nil, fmt.Errorf("log settings: %w", err)
	}
	b := &base{
		set: set,
		log: root.With("process", set.ID),
		reg: metrics.New(),
		sup: duty.NewSupervisor(),
		platform: platform.New(platform.Options{
			Addr:           set.Platform.Addr,
			Timeout:        set.Platform.Timeout,
			MaxConnections: set.Platform.MaxConnections,
			MaxConnAge:     set.Platform.MaxConnAge,
		}),
		dialer: link.NewDialer(link.DialerOptions{}),
		pool:   pond.NewPool(configWorkers, pond.WithQueueSize(configQueue), pond.WithNonBlocking(true)),
	}
	if b.server, err = link.Listen(set.PeerListen, b.part("peers")); err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if err := b.addShared(role, consumers); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *base) part(name string) hclog.Logger { return logging.For(b.log, name) }

func (b *base) addShared(role structs.Role, consumers []views) error {
	own := newViews("transfer")
	subscribed := subscriptions(append(consumers, own))
	news := ring.New[members.ConfigNews]("config-news", 1, ring.KeepNewest)
	client := member.NewClient(b.dialer)
	b.transfer = newConfigTransfer(client, own, news, b.part("config"))
	var err error
	if b.watch, err = configwatch.New(configwatch.Options{
		Platform: b.platform, Peers: b.transfer,
		Poll: b.set.View.ConfigPoll, Timeout: b.set.Platform.Timeout, Pool: b.pool,
		Subscribers: subscribed.configs, Log: b.part("config"), Metrics: b.reg,
	}); err != nil {
		return fmt.Errorf("configuration duty: %w", err)
	}
	if b.members, err = members.New(members.Options{
		Self: structs.Member{
			ID: b.set.ID, Role: role, Addr: b.server.Addr(), DataCentre: b.set.DataCentre,
		},
		Seeds: b.set.Seeds, Membership: b.set.Membership, Loss: b.set.PeerLoss,
		Table: b.platform, Sender: client, Subscribers: subscribed.members, ConfigNews: news,
		Log: b.part("members"), Metrics: b.reg,
	}); err != nil {
		return fmt.Errorf("membership duty: %w", err)
	}
	b.transfer.bind(b.watch, b.members)
	if err := member.Register(b.server, b.members, configServer{b.watch.Current}); err != nil {
		return fmt.Errorf("register the member service: %w", err)
	}
	fleet := vmview.New(vmview.Options{
		Poll: b.set.View.FleetPoll, Timeout: fleetTimeoutCalls * b.set.Platform.Timeout,
		Table: b.platform, VMs: b.platform, Subscribers: subscribed.fleets,
		Log: b.part("vmview"), Metrics: b.reg,
	})
	b.sup.Add(b.watch.Duty())
	b.sup.Add(duty.Duty{Name: "config-transfer", Run: b.transfer.run})
	b.sup.Add(duty.Duty{Name: "vmview", Run: fleet.Run, Dump: fleet.Dump})
	b.sup.Add(duty.Duty{Name: "peers", Run: b.server.Run})
	b.sup.Add(duty.Duty{Name: "members", Run: b.members.Run, Dump: b.members.Dump})
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
		s.configs = append(s.configs, c.configs)
		s.fleets = append(s.fleets, c.fleets)
		s.members = append(s.members, c.members)
	}
	return s
}

// stop ends all duties and closes the connections.
func (b *base) stop(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := b.sup.Stop(ctx)
	b.pool.StopAndWait()
	b.platform.Close()
	if closeErr := b.dialer.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("close peer connections: %w", closeErr)
	}
	return err
}
