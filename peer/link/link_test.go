package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/membership"
	"github.com/carobwharf/carobwharf/peer/controller"
	"github.com/carobwharf/carobwharf/peer/gateway"
	"github.com/carobwharf/carobwharf/peer/link"
	"github.com/carobwharf/carobwharf/peer/member"
	"github.com/carobwharf/carobwharf/structs"
)

// fakePeer implements all services with fixed replies.
type fakePeer struct{ config []byte }

func (fakePeer) Heartbeat(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

func (p fakePeer) FetchConfig(_ context.Context, generation uint64) (member.ConfigBlob, error) {
	return member.ConfigBlob{Generation: generation, Hash: "h", Data: p.config}, nil
}

func (fakePeer) ConfirmDrain(_ context.Context, vm string, epoch uint64) (int, error) {
	if vm == "" {
		return 0, errors.New("no such VM")
	}
	return int(epoch), nil
}

func (fakePeer) Demand(context.Context) ([]structs.ServiceDemand, error) {
	return []structs.ServiceDemand{{Service: "s", Arrived: 1, Served: 2, Refused: 3, Queued: 4, InFlight: 5, Interval: time.Second}}, nil
}

func (fakePeer) Status(context.Context) (controller.Status, error) {
	return controller.Status{ID: "c", Generation: 2, Leases: []controller.Lease{{Pool: "p", Holder: "c", Token: 3}}, Moves: []string{"v"}}, nil
}

func (fakePeer) Drain(_ context.Context, o controller.DrainOrder) (controller.DrainResult, error) {
	return controller.DrainResult{Accepted: true, Epoch: 4, Holder: o.ID, Refusal: o.VM + o.ToPool + o.Reason}, nil
}

func startServer(t *testing.T, p fakePeer) string {
	t.Helper()
	s, err := link.Listen("127.0.0.1:0", hclog.NewNullLogger())
	require.NoError(t, err)
	require.NoError(t, member.Register(s, p, p))
	require.NoError(t, gateway.Register(s, p))
	require.NoError(t, controller.Register(s, p))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	return s.Addr()
}

func newDialer(t *testing.T, o link.DialerOptions) *link.Dialer {
	d := link.NewDialer(o)
	t.Cleanup(func() { require.NoError(t, d.Close()) })
	return d
}

// Guards against fields that are lost in the encoding, and against services that
// interfere with each other on a shared listener.
func TestRoundTripOfAllServices(t *testing.T) {
	ctx := context.Background()
	addr := startServer(t, fakePeer{config: []byte("set")})
	d := newDialer(t, link.DialerOptions{Timeout: 5 * time.Second})

	update := membership.Update{
		Member: structs.Member{ID: "i", Role: structs.RoleGateway, Addr: "a", AdminAddr: "b", DataCentre: "d", Incarnation: 1, Generation: 2},
		Status: membership.Suspect, Beat: 3,
	}
	sent := membership.Message{From: update, ConfigHash: "h", Updates: []membership.Update{update}}
	got, err := member.NewClient(d).Heartbeat(ctx, addr, sent)
	require.NoError(t, err)
	require.Equal(t, sent, got)
	blob, err := member.NewClient(d).FetchConfig(ctx, addr, 7)
	require.NoError(t, err)
	require.Equal(t, member.ConfigBlob{Generation: 7, Hash: "h", Data: []byte("set")}, blob)

	inFlight, err := gateway.NewClient(d).ConfirmDrain(ctx, addr, "v", 9)
	require.NoError(t, err)
	require.Equal(t, 9, inFlight)
	_, err = gateway.NewClient(d).ConfirmDrain(ctx, addr, "", 9)
	require.ErrorIs(t, err, link.ErrFailed)
	demand, err := gateway.NewClient(d).Demand(ctx, addr)
	require.NoError(t, err)
	want, _ := fakePeer{}.Demand(ctx)
	require.Equal(t, want, demand)

	status, err := controller.NewClient(d).Status(ctx, addr)
	require.NoError(t, err)
	wantStatus, _ := fakePeer{}.Status(ctx)
	require.Equal(t, wantStatus, status)
	result, err := controller.NewClient(d).Drain(ctx, addr, controller.DrainOrder{ID: "1", VM: "2", ToPool: "3", Reason: "4"})
	require.NoError(t, err)
	require.Equal(t, controller.DrainResult{Accepted: true, Epoch: 4, Holder: "1", Refusal: "234"}, result)
}

// Guards against unbounded memory use by oversized messages.
func TestOversizedMessagesRefused(t *testing.T) {
	ctx := context.Background()
	addr := startServer(t, fakePeer{config: make([]byte, member.MaxConfigSize+1)})
	client := member.NewClient(newDialer(t, link.DialerOptions{Timeout: 5 * time.Second}))
	_, err := client.FetchConfig(ctx, addr, 1)
	require.ErrorContains(t, err, member.ErrTooLarge.Error())
	_, err = client.Heartbeat(ctx, addr, membership.Message{Updates: make([]membership.Update, member.MaxUpdates+1)})
	require.ErrorContains(t, err, member.ErrTooLarge.Error())
	addr = startServer(t, fakePeer{config: make([]byte, member.MaxConfigSize)})
	_, err = client.FetchConfig(ctx, addr, 1)
	require.NoError(t, err)
}

// startProxy starts a TCP proxy to addr. After a call of mute, the proxy discards
// the data of all connections that exist at that time, while later connections
// work. dials counts the connections.
func startProxy(t *testing.T, addr string) (proxyAddr string, mute func(), dials *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var mutedUpTo, dialed atomic.Int64
	forward := func(n int64, from, to net.Conn) {
		buf := make([]byte, 4096)
		for {
			count, err := from.Read(buf)
			if err != nil {
				_ = to.Close()
				return
			}
			if n > mutedUpTo.Load() {
				_, _ = to.Write(buf[:count])
			}
		}
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", addr)
			if err != nil {
				_ = in.Close()
				continue
			}
			n := dialed.Add(1)
			go forward(n, in, out)
			go forward(n, out, in)
		}
	}()
	return listener.Addr().String(), func() { mutedUpTo.Store(dialed.Load()) }, &dialed
}

// Guards against one timeout for each dead idle connection: when all idle
// connections to a peer die silently, only the first call may time out.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ctx := context.Background()
	addr, mute, _ := startProxy(t, startServer(t, fakePeer{}))
	client := gateway.NewClient(newDialer(t, link.DialerOptions{Timeout: 300 * time.Millisecond, MaxIdle: 4}))
	results := make(chan error, 4)
	for range 4 { // concurrent calls leave several idle connections
		go func() { _, err := client.ConfirmDrain(ctx, addr, "v", 1); results <- err }()
	}
	for range 4 {
		require.NoError(t, <-results)
	}
	mute()
	_, err := client.ConfirmDrain(ctx, addr, "v", 1)
	require.ErrorIs(t, err, link.ErrTimeout)
	for range 4 {
		_, err = client.ConfirmDrain(ctx, addr, "v", 1)
		require.NoError(t, err)
	}
}

// Connections must be reused, but not beyond their maximum age, because load
// balancers and switches drop the state of old connections.
func TestConnectionReuseAndMaxAge(t *testing.T) {
	ctx := context.Background()
	addr, _, dials := startProxy(t, startServer(t, fakePeer{}))
	reusing := gateway.NewClient(newDialer(t, link.DialerOptions{Timeout: 5 * time.Second, MaxAge: time.Hour}))
	for range 5 {
		_, err := reusing.ConfirmDrain(ctx, addr, "v", 1)
		require.NoError(t, err)
	}
	require.Equal(t, int64(1), dials.Load())
	expiring := gateway.NewClient(newDialer(t, link.DialerOptions{Timeout: 5 * time.Second, MaxAge: time.Nanosecond}))
	for range 5 {
		_, err := expiring.ConfirmDrain(ctx, addr, "v", 1)
		require.NoError(t, err)
	}
	require.Equal(t, int64(6), dials.Load())
}

// A failed dial must be distinguishable from a missing reply, because nothing was
// sent to the peer.
func TestUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = gateway.NewClient(newDialer(t, link.DialerOptions{})).Demand(context.Background(), addr)
	require.ErrorIs(t, err, link.ErrUnreachable)
	require.NotErrorIs(t, err, io.EOF)
}
