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

// sim simulates controllers, gateways and the fake platform in virtual time. All
// randomness is derived from the seed.
type sim struct {
	rng           *rand.Rand
	now           time.Time
	queue         timers
	seq           int
	platform      *storetest.Fake
	set           structs.ObjectSet
	nodes         []*node
	gateways      []*gateway
	rebootTime    time.Duration
	onReboot      func(vm string)
	replies       map[uint64]DrainResult
	violations    []string // invariant violations
	demand        []structs.ServiceDemand
	overlapLeases bool // every node always believes that it holds all leases
	moveCount     int  // number of times that a VM changed its pool
	history       []porcupine.Operation
	lastPool      map[string]string // by VM, as last written
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

// node is a simulated controller.
type node struct {
	id          string
	machine     *Machine
	duty        *Duty
	pausedUntil time.Time
}

// gateway is a simulated gateway. It sends requests to VMs that its view shows as
// active.
type gateway struct {
	member      structs.Member
	fleet       *fleetrows.Reader
	view        map[string]structs.Owner
	drainEpochs map[string]uint64 // by VM, epoch of the last drain that was requested
	inFlight    map[string]int    // requests by VM
	dead        bool
}

func newSim(seed uint64, controllers, gateways int, set structs.ObjectSet) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
		platform: storetest.New(seed), set: set, rebootTime: 20 * time.Second, replies: map[uint64]DrainResult{}, lastPool: map[string]string{},
	}
	s.platform.OnCommit(s.checkCommit)
	for i := range gateways {
		g := &gateway{
			fleet:       fleetrows.NewReader(s.platform),
			member:      structs.Member{ID: fmt.Sprintf("g%d", i), Role: structs.RoleGateway, Addr: fmt.Sprintf("g%d", i)},
			drainEpochs: map[string]uint64{}, inFlight: map[string]int{},
		}
		s.gateways = append(s.gateways, g)
		s.every(10*time.Second, func() { s.writeMemberRow(g) })
		s.every(time.Second, func() { s.refreshView(g) })
		s.every(50*time.Millisecond, func() { s.sendRequest(g) })
	}
	for i := range controllers {
		s.addNode(fmt.Sprintf("c%d", i))
	}
	for _, n := range s.nodes {
		s.deliver(n, MembersUpdated{View: s.members()})
		s.deliver(n, ConfigUpdated{Config: &structs.Config{Generation: 1, Set: set}})
	}
	return s
}

func (s *sim) addNode(id string) {
	cfg := testConfig(id)
	cfg.LeaseDuration, cfg.ReconcileInterval, cfg.RowLifetime = 10*time.Second, time.Second, 30*time.Second
	cfg.DrainTimeout, cfg.RebootTimeout, cfg.PauseFor = 20*time.Second, 2*time.Minute, 10*time.Minute
	cfg.DemandPollInterval = 2 * time.Second
	cfg.Buffer = buffer.Config{FillAfter: 5 * time.Second, ReturnAfter: time.Minute, MoveInterval: 5 * time.Second, MaxMoves: 8}
	n := &node{id: id, machine: NewMachine(cfg)}
	platform := simPlatform{s.platform, s}
	n.duty = &Duty{
		opts:        Options{Timeout: time.Minute, Platform: platform, Gateways: s, Log: hclog.NewNullLogger(), Metrics: metrics.New()},
		fleetReader: fleetrows.NewReader(platform),
	}
	s.nodes = append(s.nodes, n)
	s.every(250*time.Millisecond, func() { s.step(n, Tick{}) })
	s.every(time.Second, func() {
		if v, _, err := vmview.ReadOnce(context.Background(), s.platform, s.platform); err == nil {
			v.ReadAt = s.now
			s.deliver(n, FleetUpdated{View: v})
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

// run advances virtual time by up to d until done returns true, and reports
// whether it did.
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

// whenResumed runs fn now or, if the node is paused, after its pause.
func (s *sim) whenResumed(n *node, fn func()) {
	if s.now.Before(n.pausedUntil) {
		s.after(n.pausedUntil.Sub(s.now)+s.latency(), func() { s.whenResumed(n, fn) })
		return
	}
	fn()
}

func (s *sim) step(n *node, e Event) {
	s.whenResumed(n, func() {
		if s.overlapLeases {
			s.holdAllLeases(n)
		}
		for _, a := range n.machine.Step(s.now, e) {
			if r, ok := a.(Reply); ok {
				s.replies[r.ID] = r.Result
				continue
			}
			begun := s.now
			s.after(s.latency(), func() { s.whenResumed(n, func() { s.perform(n, a, begun) }) })
		}
	})
}

func (s *sim) perform(n *node, a Action, begun time.Time) {
	if r, ok := a.(Reboot); ok && s.now.After(r.Until) {
		s.deliver(n, Rebooted{Reboot: r, Err: context.DeadlineExceeded})
		return
	}
	result := n.duty.perform(context.Background(), a)
	switch e := result.(type) {
	case RowsRead:
		e.Started = begun
		result = e
	case Committed:
		e.Sent = begun
		result = e
	}
	s.recordHistory(result, begun)
	s.deliver(n, result)
}

func (s *sim) holdAllLeases(n *node) {
	for _, p := range s.set.Pools {
		n.machine.leaseStateOf(p.Name).held = lease.Acquired(lease.Record{Duration: time.Hour}, s.now)
	}
}

// simPlatform is the fake platform with reboots that take virtual time.
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
			p.s.after(p.s.rebootTime, func() { p.Fake.AddVM(vm) })
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
			g.drainEpochs[vm] = max(g.drainEpochs[vm], epoch)
			return g.inFlight[vm], nil
		}
	}
	return 0, context.DeadlineExceeded
}

// Demand implements Gateways.
func (s *sim) Demand(context.Context, string) ([]structs.ServiceDemand, error) { return s.demand, nil }

func (s *sim) writeMemberRow(g *gateway) {
	if !g.dead {
		value, err := rows.EncodeMember(g.member)
		if err != nil {
			s.recordViolation("member row: %v", err)
		}
		put := store.Op{Kind: store.OpPut, Key: store.KeyMember(g.member.ID), Value: value}
		_, _ = s.platform.Commit(context.Background(), []store.Op{put})
	}
}

func (s *sim) refreshView(g *gateway) {
	owners, _, _, err := g.fleet.Read(context.Background())
	if err != nil || g.dead {
		return
	}
	g.view = map[string]structs.Owner{}
	for _, o := range owners {
		g.view[o.VM] = o
	}
}

// sendRequest starts a request that takes up to 3 s on a random VM, unless the
// VM is not active in the gateway's view or was drained.
func (s *sim) sendRequest(g *gateway) {
	id := fmt.Sprintf("vm%03d", s.rng.IntN(max(len(g.view), 1)))
	o, ok := g.view[id]
	if g.dead || !ok || o.State != structs.OwnerActive || o.Epoch <= g.drainEpochs[id] {
		return
	}
	g.inFlight[id]++
	s.after(time.Duration(s.rng.Int64N(int64(3*time.Second))), func() { g.inFlight[id]-- })
}
