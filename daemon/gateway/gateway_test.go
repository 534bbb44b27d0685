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

type rig struct {
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

func newRig(t testing.TB, vms int) *rig {
	r := &rig{t: t, store: memstore.New()}
	for i := range vms {
		id := fmt.Sprintf("vm%d", i)
		v, err := r.store.Commit(context.Background(), []store.Op{
			{Kind: store.OpInsert, Key: store.KeyVM(id), Value: []byte("{}")},
		})
		require.NoError(t, err)
		r.fleet.VMs = append(r.fleet.VMs, structs.VM{ID: id, State: structs.VMLive, Slots: 8})
		r.fleet.Owners = append(r.fleet.Owners, structs.Owner{
			VM: id, Pool: "counter", State: structs.OwnerActive, Epoch: 1, Version: v[0],
		})
	}
	r.start()
	return r
}

// start runs a gateway at the rig's platform.
func (r *rig) start() {
	t := r.t
	r.endpoints, r.sup = &fakeEndpoints{}, duty.NewSupervisor()
	r.in = Inputs{
		Configs: ring.New[*structs.Config]("configs", 1, ring.KeepNewest),
		Fleets:  ring.New[*structs.FleetView]("fleets", 1, ring.KeepNewest),
		Members: ring.New[*structs.MemberView]("members", 1, ring.KeepNewest),
	}
	ctx := context.Background()
	p := settings.DefaultProcess()
	p.ID = "gateway-1"
	p.Gateway.DrainTimeout = 500 * time.Millisecond
	var err error
	r.Gateway, err = New(p, r.store, r.endpoints, r.in, hclog.NewNullLogger(), metrics.New())
	require.NoError(t, err)
	r.Register(r.sup)
	self := structs.Member{ID: "gateway-1", Role: structs.RoleGateway}
	require.NoError(t, r.in.Configs.Put(ctx, testConfig()))
	require.NoError(t, r.in.Fleets.Put(ctx, &r.fleet))
	require.NoError(t, r.in.Members.Put(ctx, &structs.MemberView{Self: self, Live: []structs.Member{self}}))
	r.sup.Start(ctx)
	t.Cleanup(func() { require.NoError(t, r.sup.Stop(ctx)) })
	require.Eventually(t, r.Ready, time.Second, time.Millisecond)
}

func (r *rig) send(op, key, body string) chan structs.Answer {
	return r.sendWithin(2*time.Second, op, key, body, "id-"+body)
}

func (r *rig) sendWithin(d time.Duration, op, key, body, id string) chan structs.Answer {
	reply := make(chan structs.Answer, 1)
	require.NoError(r.t, r.Submit(&structs.Request{
		ID: id, Service: "grant", Operation: op, Key: key, Body: []byte(body), Arrived: time.Now(),
		Deadline: time.Now().Add(d),
	}, reply))
	return reply
}

func (r *rig) record(key string) (rec intent.Record) {
	row, ok := r.store.Row(store.KeyIntent("grant", key))
	require.True(r.t, ok)
	require.NoError(r.t, json.Unmarshal(row.Value, &rec))
	return rec
}

var _ caller.Submitter = (*Gateway)(nil)

// Guards against a path that loses or mixes up answers, and against a second
// run of a non-idempotent request.
func TestServesBothKindsOfRequests(t *testing.T) {
	r := newRig(t, 2)
	a := <-r.send("check", "", "hello")
	require.Equal(t, structs.OutcomeDone, a.Outcome)
	require.Equal(t, "HELLO", string(a.Body))
	require.Equal(t, "id-hello", a.RequestID)

	a = <-r.send("pay", "k1", "once")
	require.Equal(t, "ONCE", string(a.Body))
	require.Equal(t, intent.Finished, r.record("k1").State)
	a = <-r.send("pay", "k1", "once")
	require.True(t, a.Replayed)
	require.Equal(t, "ONCE", string(a.Body))
	require.Equal(t, int64(2), r.endpoints.runs.Load())
}

// Guards against idempotent work that stops with the platform, and against a
// non-idempotent request that is sent without a record.
func TestPlatformDown(t *testing.T) {
	r := newRig(t, 1)
	r.store.SetFault(func(memstore.Call) memstore.Fault { return memstore.Down })
	pay := r.sendWithin(200*time.Millisecond, "pay", "k", "pay", "p")
	require.Equal(t, structs.OutcomeDone, (<-r.send("check", "", "check")).Outcome)
	a := <-pay
	require.Equal(t, structs.OutcomeNotRun, a.Outcome)
	require.Equal(t, structs.ReasonPlatformDown, a.Reason)
	require.Positive(t, a.RetryAfter)
	require.Equal(t, int64(1), r.endpoints.runs.Load())
}

// blocked makes the endpoints wait for the returned function.
func (r *rig) blocked() (release func()) {
	ch := make(chan struct{})
	r.endpoints.answer = func(_ context.Context, req *structs.Request, vm structs.VM, attempt int) structs.EndpointResult {
		<-ch
		return answered(req, vm, attempt)
	}
	return func() { close(ch) }
}

// Guards against a drain that is confirmed while requests are in flight, and
// against new work for a drained VM.
func TestDrainVM(t *testing.T) {
	r := newRig(t, 1)
	release := r.blocked()
	first := r.send("check", "", "first")
	require.Eventually(t, func() bool { return r.endpoints.runs.Load() == 1 }, time.Second, time.Millisecond)
	n, err := r.DrainVM(context.Background(), "vm0", 1)
	require.NoError(t, err)
	require.Equal(t, 1, n)
	second := r.sendWithin(100*time.Millisecond, "check", "", "second", "s")
	release()
	require.Equal(t, structs.OutcomeDone, (<-first).Outcome)
	n, err = r.DrainVM(context.Background(), "vm0", 1)
	require.NoError(t, err)
	require.Zero(t, n)
	require.Equal(t, structs.ReasonNoEndpoint, (<-second).Reason)
}

// Guards against a graceful stop that cuts off requests, takes new ones, or
// never ends.
func TestDrain(t *testing.T) {
	for _, inTime := range []bool{true, false} {
		r := newRig(t, 1)
		release := r.blocked()
		first := r.send("check", "", "first")
		require.Eventually(t, func() bool { return r.endpoints.runs.Load() == 1 }, time.Second, time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- r.Drain(context.Background()) }()
		require.Eventually(t, func() bool { return !r.Ready() }, time.Second, time.Millisecond)
		// A request that comes before the stop is taken; it ends by its own deadline.
		require.Eventually(t, func() bool {
			return (<-r.sendWithin(time.Millisecond, "check", "", "x", "x")).Reason == structs.ReasonDraining
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
func TestForeignAnswersAndPanics(t *testing.T) {
	r := newRig(t, 1)
	r.endpoints.answer = func(_ context.Context, req *structs.Request, vm structs.VM, attempt int) structs.EndpointResult {
		if string(req.Body) == "panic" {
			panic("broken call")
		}
		res := answered(req, vm, attempt)
		res.RequestID = "another"
		return res
	}
	for _, body := range []string{"foreign", "panic"} {
		a := <-r.sendWithin(100*time.Millisecond, "pay", body, body, body)
		require.Equal(t, structs.OutcomeUnknown, a.Outcome, body)
		require.Equal(t, body, a.RequestID)
		require.Equal(t, intent.Started, r.record(body).State)
	}
}

// The cost of one request through the rings, the dispatcher and the endpoint
// pool, with an endpoint that answers at once.
func BenchmarkGateway(b *testing.B) {
	for _, op := range []string{"check", "pay"} {
		b.Run(op, func(b *testing.B) {
			r := newRig(b, 50)
			var n atomic.Int64
			b.SetParallelism(20)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					reply := make(chan structs.Answer, 1)
					id := fmt.Sprint(n.Add(1))
					req := &structs.Request{ID: id, Service: "grant", Operation: op, Key: id}
					if err := r.Submit(req, reply); err != nil {
						b.Error(err)
						return
					}
					if a := <-reply; a.Outcome != structs.OutcomeDone {
						b.Errorf("outcome %s, reason %s", a.Outcome, a.Reason)
						return
					}
				}
			})
		})
	}
}
