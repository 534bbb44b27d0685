package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/internal/memstore"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/peer/caller"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// fakeEndpoints answers every request with its body in upper case, unless
// answer is set.
type fakeEndpoints struct {
	runs   atomic.Int64
	answer func(ctx context.Context, req *structs.Request, vm structs.VM, attempt int) structs.EndpointResult
}

func (f *fakeEndpoints) Do(
	ctx context.Context, req *structs.Request, vm structs.VM, _ structs.Legacy, attempt int,
) structs.EndpointResult {
	f.runs.Add(1)
	if f.answer != nil {
		return f.answer(ctx, req, vm, attempt)
	}
	return answered(req, vm, attempt)
}

func answered(req *structs.Request, vm structs.VM, attempt int) structs.EndpointResult {
	return structs.EndpointResult{
		RequestID: req.ID, Attempt: attempt, VM: vm.ID, Kind: structs.EndpointAnswered, Status: 200,
		Body: []byte(strings.ToUpper(string(req.Body))), Latency: time.Millisecond,
	}
}

// testGateway is a gateway with an in-memory platform and fake endpoints.
type testGateway struct {
	*Gateway
	t         testing.TB
	store     *memstore.Store
	endpoints *fakeEndpoints
	in        Inputs
	fleet     structs.FleetView
	sup       *duty.Supervisor
}

func testConfig() *structs.Config {
	return &structs.Config{Generation: 1, Set: structs.ObjectSet{
		Pools: []structs.Pool{{Name: "counter"}},
		Services: []structs.Service{{
			Name: "grant", Pool: "counter", Share: 0.5, Idempotent: []string{"check"}, Once: []string{"pay"},
			Timeout: 2 * time.Second, Queue: 1000, RetryRatio: 0.1, Retention: time.Hour,
		}},
	}}
}

// newTestGateway starts a gateway with a pool of the given number of VMs.
func newTestGateway(t testing.TB, vms int) *testGateway {
	g := &testGateway{t: t, store: memstore.New()}
	for i := range vms {
		id := fmt.Sprintf("vm%d", i)
		v, err := g.store.Commit(context.Background(), []store.Op{
			{Kind: store.OpInsert, Key: store.KeyVM(id), Value: []byte("{}")},
		})
		require.NoError(t, err)
		g.fleet.VMs = append(g.fleet.VMs, structs.VM{ID: id, State: structs.VMLive, Slots: 8})
		g.fleet.Owners = append(g.fleet.Owners, structs.Owner{
			VM: id, Pool: "counter", State: structs.OwnerActive, Epoch: 1, Version: v[0],
		})
	}
	g.start()
	return g
}

// start starts a gateway with the platform in g.store.
func (g *testGateway) start() {
	t := g.t
	g.endpoints, g.sup = &fakeEndpoints{}, duty.NewSupervisor()
	g.in = Inputs{
		Configs: ring.New[*structs.Config]("configs", 1, ring.KeepNewest),
		Fleets:  ring.New[*structs.FleetView]("fleets", 1, ring.KeepNewest),
		Members: ring.New[*structs.MemberView]("members", 1, ring.KeepNewest),
	}
	ctx := context.Background()
	p := settings.DefaultProcess()
	p.ID = "gateway-1"
	p.Gateway.DrainTimeout = 500 * time.Millisecond
	var err error
	g.Gateway, err = New(p, g.store, g.endpoints, g.in, hclog.NewNullLogger(), metrics.New())
	require.NoError(t, err)
	g.Register(g.sup)
	self := structs.Member{ID: "gateway-1", Role: structs.RoleGateway}
	require.NoError(t, g.in.Configs.Put(ctx, testConfig()))
	require.NoError(t, g.in.Fleets.Put(ctx, &g.fleet))
	require.NoError(t, g.in.Members.Put(ctx, &structs.MemberView{Self: self, Live: []structs.Member{self}}))
	g.sup.Start(ctx)
	t.Cleanup(func() { require.NoError(t, g.sup.Stop(ctx)) })
	require.Eventually(t, g.Ready, time.Second, time.Millisecond)
}

func (g *testGateway) submit(op, key, body string) chan structs.Answer {
	return g.submitWithin(2*time.Second, op, key, body, "id-"+body)
}

func (g *testGateway) submitWithin(d time.Duration, op, key, body, id string) chan structs.Answer {
	reply := make(chan structs.Answer, 1)
	require.NoError(g.t, g.Submit(&structs.Request{
		ID: id, Service: "grant", Operation: op, Key: key, Body: []byte(body), Arrived: time.Now(),
		Deadline: time.Now().Add(d),
	}, reply))
	return reply
}

func (g *testGateway) record(key string) (rec intent.Record) {
	row, ok := g.store.Row(store.KeyIntent("grant", key))
	require.True(g.t, ok)
	require.NoError(g.t, json.Unmarshal(row.Value, &rec))
	return rec
}

var _ caller.Submitter = (*Gateway)(nil)

// Guards against answers that are lost or reach the wrong caller, and against a
// second run of a non-idempotent request with the same key.
func TestIdempotentAndNonIdempotentRequests(t *testing.T) {
	g := newTestGateway(t, 2)
	a := <-g.submit("check", "", "hello")
	require.Equal(t, structs.OutcomeDone, a.Outcome)
	require.Equal(t, "HELLO", string(a.Body))
	require.Equal(t, "id-hello", a.RequestID)

	a = <-g.submit("pay", "k1", "once")
	require.Equal(t, "ONCE", string(a.Body))
	require.Equal(t, intent.Finished, g.record("k1").State)
	a = <-g.submit("pay", "k1", "once")
	require.True(t, a.Replayed)
	require.Equal(t, "ONCE", string(a.Body))
	require.Equal(t, int64(2), g.endpoints.runs.Load())
}

// Guards against an outage of the platform that stops idempotent requests, and
// against a non-idempotent request that is sent without a record.
func TestPlatformDown(t *testing.T) {
	g := newTestGateway(t, 1)
	g.store.SetFault(func(memstore.Call) memstore.Fault { return memstore.Down })
	pay := g.submitWithin(200*time.Millisecond, "pay", "k", "pay", "p")
	require.Equal(t, structs.OutcomeDone, (<-g.submit("check", "", "check")).Outcome)
	a := <-pay
	require.Equal(t, structs.OutcomeNotRun, a.Outcome)
	require.Equal(t, structs.ReasonPlatformDown, a.Reason)
	require.Positive(t, a.RetryAfter)
	require.Equal(t, int64(1), g.endpoints.runs.Load())
}

// blockEndpoints makes endpoint calls wait until release is called.
func (g *testGateway) blockEndpoints() (release func()) {
	ch := make(chan struct{})
	g.endpoints.answer = func(_ context.Context, req *structs.Request, vm structs.VM, attempt int) structs.EndpointResult {
		<-ch
		return answered(req, vm, attempt)
	}
	return func() { close(ch) }
}

// Guards against a drain reported as complete while requests are in flight, and
// against new work for a drained VM.
func TestDrainVM(t *testing.T) {
	g := newTestGateway(t, 1)
	release := g.blockEndpoints()
	first := g.submit("check", "", "first")
	require.Eventually(t, func() bool { return g.endpoints.runs.Load() == 1 }, time.Second, time.Millisecond)
	n, err := g.DrainVM(context.Background(), "vm0", 1)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	second := g.submitWithin(100*time.Millisecond, "check", "", "second", "s")
	release()
	require.Equal(t, structs.OutcomeDone, (<-first).Outcome)
	n, err = g.DrainVM(context.Background(), "vm0", 1)
	require.NoError(t, err)
	require.Zero(t, n)
	require.Equal(t, structs.ReasonNoEndpoint, (<-second).Reason)
}

// Guards against a graceful stop that aborts requests before the drain timeout,
// admits new ones, or never ends.
func TestDrain(t *testing.T) {
	for _, inTime := range []bool{true, false} {
		g := newTestGateway(t, 1)
		release := g.blockEndpoints()
		first := g.submit("check", "", "first")
		require.Eventually(t, func() bool { return g.endpoints.runs.Load() == 1 }, time.Second, time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- g.Drain(context.Background()) }()
		require.Eventually(t, func() bool { return !g.Ready() }, time.Second, time.Millisecond)
		// Requests that arrive before the stop are admitted and end at their deadline.
		require.Eventually(t, func() bool {
			return (<-g.submitWithin(time.Millisecond, "check", "", "x", "x")).Reason == structs.ReasonDraining
		}, time.Second, time.Millisecond)
		if inTime {
			release()
			require.Equal(t, structs.OutcomeDone, (<-first).Outcome)
			require.NoError(t, <-done)
			continue
		}
		require.Error(t, <-done)
		require.Equal(t, structs.OutcomeUnknown, (<-first).Outcome)
		release()
	}
}

// Guards against an answer that reaches the caller of another request, and
// against a panic in a call that leaves its caller without an answer.
func TestMismatchedAnswersAndPanics(t *testing.T) {
	g := newTestGateway(t, 1)
	g.endpoints.answer = func(_ context.Context, req *structs.Request, vm structs.VM, attempt int) structs.EndpointResult {
		if string(req.Body) == "panic" {
			panic("broken call")
		}
		res := answered(req, vm, attempt)
		res.RequestID = "another"
		return res
	}
	for _, body := range []string{"foreign", "panic"} {
		a := <-g.submitWithin(100*time.Millisecond, "pay", body, body, body)
		require.Equal(t, structs.OutcomeUnknown, a.Outcome, body)
		require.Equal(t, body, a.RequestID)
		require.Equal(t, intent.Started, g.record(body).State)
	}
}

// BenchmarkGateway measures one request through the rings, the dispatcher and the
// endpoint workers, with an endpoint that answers at once.
func BenchmarkGateway(b *testing.B) {
	for _, op := range []string{"check", "pay"} {
		b.Run(op, func(b *testing.B) {
			g := newTestGateway(b, 50)
			var n atomic.Int64
			b.SetParallelism(20)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					reply := make(chan structs.Answer, 1)
					id := fmt.Sprint(n.Add(1))
					req := &structs.Request{ID: id, Service: "grant", Operation: op, Key: id}
					if err := g.Submit(req, reply); err != nil {
						b.Error(err)
						return
					}
					if a := <-reply; a.Outcome != structs.OutcomeDone {
						b.Errorf("got outcome %s with reason %s, want done", a.Outcome, a.Reason)
						return
					}
				}
			})
		})
	}
}
