package poolkeeper

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"

	"github.com/carobwharf/carobwharf/buffer"
	"github.com/carobwharf/carobwharf/internal/storetest"
	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/node/fleetrows"
	"github.com/carobwharf/carobwharf/node/vmview"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// sim runs machines, gateways and the fake platform in virtual time. All
// randomness comes from the seed.
type sim struct {
	rng      *rand.Rand
	now      time.Time
	queue    timers
	seq      int
	f        *storetest.Fake
	set      structs.ObjectSet
	nodes    []*node
	gateways []*gateway
	reboot   time.Duration
	onReboot func(vm string)
	replies  map[uint64]Result
	broken   []string // invariants that did not hold
	demand   []structs.ServiceDemand
	overlap  bool // every node believes to hold all leases, all the time
	moves    int  // VMs that changed their pool
	history  []porcupine.Operation
	pools    map[string]string // VM: pool, as last written
}

type timer struct {
	at  time.Time
	seq int
	fn  func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// node is a controller.
type node struct {
	id     string
	m      *Machine
	d      *Duty
	frozen time.Time // until then
}

// gateway sends requests to the VMs that its view shows as active.
type gateway struct {
	member   structs.Member
	fleet    *fleetrows.Reader
	view     map[string]structs.Owner
	stopped  map[string]uint64 // VM: epoch of the drain it was told of
	inFlight map[string]int
	dead     bool
}

func newSim(seed uint64, controllers, gateways int, set structs.ObjectSet) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
		f: storetest.New(seed), set: set, reboot: 20 * time.Second, replies: map[uint64]Result{}, pools: map[string]string{},
	}
	s.f.OnCommit(s.check)
	for i := range gateways {
		g := &gateway{
			fleet:   fleetrows.NewReader(s.f),
			member:  structs.Member{ID: fmt.Sprintf("g%d", i), Role: structs.RoleGateway, Addr: fmt.Sprintf("g%d", i)},
			stopped: map[string]uint64{}, inFlight: map[string]int{},
		}
		s.gateways = append(s.gateways, g)
		s.every(10*time.Second, func() { s.writeRow(g) })
		s.every(time.Second, func() { s.refresh(g) })
		s.every(50*time.Millisecond, func() { s.traffic(g) })
	}
	for i := range controllers {
		s.addNode(fmt.Sprintf("c%d", i))
	}
	for _, n := range s.nodes {
		s.deliver(n, MembersSeen{View: s.members()})
		s.deliver(n, ConfigSeen{Config: &structs.Config{Generation: 1, Set: set}})
	}
	return s
}

func (s *sim) addNode(id string) {
	cfg := testConfig(id)
	cfg.LeaseDuration, cfg.Reconcile, cfg.RowLifetime = 10*time.Second, time.Second, 30*time.Second
	cfg.DrainTimeout, cfg.RebootTimeout, cfg.PauseFor = 20*time.Second, 2*time.Minute, 10*time.Minute
	cfg.DemandPoll = 2 * time.Second
	cfg.Buffer = buffer.Config{FillAfter: 5 * time.Second, ReturnAfter: time.Minute, Group: 5 * time.Second, MaxMoves: 8}
	n := &node{id: id, m: NewMachine(cfg)}
	platform := simPlatform{s.f, s}
	n.d = &Duty{
		opts:  Options{Timeout: time.Minute, Platform: platform, Gateways: s, Log: hclog.NewNullLogger(), Metrics: metrics.New()},
		fleet: fleetrows.NewReader(platform),
	}
	s.nodes = append(s.nodes, n)
	s.every(250*time.Millisecond, func() { s.step(n, Tick{}) })
	s.every(time.Second, func() {
		if v, _, err := vmview.ReadOnce(context.Background(), s.f, s.f); err == nil {
			v.ReadAt = s.now
			s.deliver(n, FleetSeen{View: v})
		}
	})
}

func (s *sim) members() *structs.MemberView {
	v := &structs.MemberView{}
	for _, n := range s.nodes {
		v.Live = append(v.Live, structs.Member{ID: n.id, Role: structs.RoleController})
	}
	for _, g := range s.gateways {
		if !g.dead {
			v.Live = append(v.Live, g.member)
		}
	}
	return v
}

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, timer{at: s.now.Add(d), seq: s.seq, fn: fn})
}

func (s *sim) every(d time.Duration, fn func()) {
	s.after(time.Duration(s.rng.Int64N(int64(d))), func() {
		fn()
		s.repeat(d, fn)
	})
}

func (s *sim) repeat(d time.Duration, fn func()) {
	s.after(d, func() { fn(); s.repeat(d, fn) })
}

// run advances virtual time until done holds or the time is over, and reports
// whether it holds.
func (s *sim) run(d time.Duration, done func() bool) bool {
	end := s.now.Add(d)
	for steps := 0; len(s.queue) > 0 && s.queue[0].at.Before(end); steps++ {
		t := heap.Pop(&s.queue).(timer)
		s.now = t.at
		t.fn()
		if steps%64 == 0 && done() {
			return true
		}
	}
	return done()
}

func (s *sim) latency() time.Duration { return time.Duration(1+s.rng.IntN(40)) * time.Millisecond }

func (s *sim) deliver(n *node, e Event) { s.after(s.latency(), func() { s.step(n, e) }) }

// whenAwake runs fn now, or when the node's pause is over.
func (s *sim) whenAwake(n *node, fn func()) {
	if s.now.Before(n.frozen) {
		s.after(n.frozen.Sub(s.now)+s.latency(), func() { s.whenAwake(n, fn) })
		return
	}
	fn()
}

func (s *sim) step(n *node, e Event) {
	s.whenAwake(n, func() {
		if s.overlap {
			s.holdAll(n)
		}
		for _, a := range n.m.Step(s.now, e) {
			if r, ok := a.(Reply); ok {
				s.replies[r.ID] = r.Result
				continue
			}
			begun := s.now
			s.after(s.latency(), func() { s.whenAwake(n, func() { s.perform(n, a, begun) }) })
		}
	})
}

func (s *sim) perform(n *node, a Action, begun time.Time) {
	if r, ok := a.(Reboot); ok && s.now.After(r.Until) {
		s.deliver(n, Rebooted{Reboot: r, Err: context.DeadlineExceeded})
		return
	}
	result := n.d.perform(context.Background(), a)
	switch e := result.(type) {
	case RowsRead:
		e.Started = begun
		result = e
	case Committed:
		e.Sent = begun
		result = e
	}
	s.record(result, begun)
	s.deliver(n, result)
}

func (s *sim) holdAll(n *node) {
	for _, p := range s.set.Pools {
		n.m.lease(p.Name).held = lease.Acquired(lease.Record{Duration: time.Hour}, s.now)
	}
}

// simPlatform reboots VMs in virtual time.
type simPlatform struct {
	*storetest.Fake
	s *sim
}

func (p simPlatform) RebootVM(ctx context.Context, id string) error {
	if err := p.Fake.RebootVM(ctx, id); err != nil {
		return err
	}
	vms, err := p.Fake.ListVMs(ctx)
	if err != nil {
		return err
	}
	p.s.onRebootVM(id)
	for _, vm := range vms {
		if vm.ID == id {
			p.Fake.RemoveVM(id)
			p.s.after(p.s.reboot, func() { p.Fake.AddVM(vm) })
		}
	}
	return nil
}

func (s *sim) onRebootVM(id string) {
	s.checkIdle(id, "reboot")
	if s.onReboot != nil {
		s.onReboot(id)
	}
}

// ConfirmDrain implements Gateways.
func (s *sim) ConfirmDrain(_ context.Context, addr, vm string, epoch uint64) (int, error) {
	for _, g := range s.gateways {
		if g.member.Addr == addr && !g.dead {
			g.stopped[vm] = max(g.stopped[vm], epoch)
			return g.inFlight[vm], nil
		}
	}
	return 0, context.DeadlineExceeded
}

// Demand implements Gateways.
func (s *sim) Demand(context.Context, string) ([]structs.ServiceDemand, error) { return s.demand, nil }

func (s *sim) writeRow(g *gateway) {
	if !g.dead {
		value, err := rows.EncodeMember(g.member)
		if err != nil {
			s.fail("member row: %v", err)
		}
		put := store.Op{Kind: store.OpPut, Key: store.KeyMember(g.member.ID), Value: value}
		_, _ = s.f.Commit(context.Background(), []store.Op{put})
	}
}

func (s *sim) refresh(g *gateway) {
	owners, _, _, err := g.fleet.Read(context.Background())
	if err != nil || g.dead {
		return
	}
	g.view = map[string]structs.Owner{}
	for _, o := range owners {
		g.view[o.VM] = o
	}
}

// traffic begins a request of up to 3 s at a random VM.
func (s *sim) traffic(g *gateway) {
	id := fmt.Sprintf("vm%03d", s.rng.IntN(max(len(g.view), 1)))
	o, ok := g.view[id]
	if g.dead || !ok || o.State != structs.OwnerActive || o.Epoch <= g.stopped[id] {
		return
	}
	g.inFlight[id]++
	s.after(time.Duration(s.rng.Int64N(int64(3*time.Second))), func() { g.inFlight[id]-- })
}
