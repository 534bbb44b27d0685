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

// process answers all services with fixed values.
type process struct{ config []byte }

func (process) Heartbeat(_ context.Context, m membership.Message) (membership.Message, error) {
	return m, nil
}

func (p process) FetchConfig(_ context.Context, generation uint64) (member.ConfigBlob, error) {
	return member.ConfigBlob{Generation: generation, Hash: "h", Data: p.config}, nil
}

func (process) ConfirmDrain(_ context.Context, vm string, epoch uint64) (int, error) {
	if vm == "" {
		return 0, errors.New("no such VM")
	}
	return int(epoch), nil
}

func (process) Demand(context.Context) ([]structs.ServiceDemand, error) {
	return []structs.ServiceDemand{{Service: "s", Arrived: 1, Served: 2, Refused: 3, Queued: 4, InFlight: 5, Interval: time.Second}}, nil
}

func (process) Status(context.Context) (controller.Status, error) {
	return controller.Status{ID: "c", Generation: 2, Leases: []controller.Lease{{Pool: "p", Holder: "c", Token: 3}}, Moves: []string{"v"}}, nil
}

func (process) Drain(_ context.Context, o controller.DrainOrder) (controller.DrainResult, error) {
	return controller.DrainResult{Accepted: true, Epoch: 4, Holder: o.ID, Refusal: o.VM + o.ToPool + o.Reason}, nil
}

func serve(t *testing.T, p process) string {
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

func dialer(t *testing.T, o link.DialerOptions) *link.Dialer {
	d := link.NewDialer(o)
	t.Cleanup(func() { require.NoError(t, d.Close()) })
	return d
}

// Every field must survive the way over the wire, with all services on one
// listener.
func TestServicesOnOneListener(t *testing.T) {
	ctx := context.Background()
	addr := serve(t, process{config: []byte("set")})
	d := dialer(t, link.DialerOptions{Timeout: 5 * time.Second})

	full := membership.Update{
		Member: structs.Member{ID: "i", Role: structs.RoleGateway, Addr: "a", AdminAddr: "b", DataCentre: "d", Incarnation: 1, Generation: 2},
		Status: membership.Suspect, Beat: 3,
	}
	sent := membership.Message{From: full, ConfigHash: "h", Updates: []membership.Update{full}}
	got, err := member.NewClient(d).Heartbeat(ctx, addr, sent)
	require.NoError(t, err)
	require.Equal(t, sent, got)
	blob, err := member.NewClient(d).FetchConfig(ctx, addr, 7)
	require.NoError(t, err)
	require.Equal(t, member.ConfigBlob{Generation: 7, Hash: "h", Data: []byte("set")}, blob)

	n, err := gateway.NewClient(d).ConfirmDrain(ctx, addr, "v", 9)
	require.NoError(t, err)
	require.Equal(t, 9, n)
	_, err = gateway.NewClient(d).ConfirmDrain(ctx, addr, "", 9)
	require.ErrorIs(t, err, link.ErrFailed)
	demand, err := gateway.NewClient(d).Demand(ctx, addr)
	require.NoError(t, err)
	want, _ := process{}.Demand(ctx)
	require.Equal(t, want, demand)

	status, err := controller.NewClient(d).Status(ctx, addr)
	require.NoError(t, err)
	wantStatus, _ := process{}.Status(ctx)
	require.Equal(t, wantStatus, status)
	result, err := controller.NewClient(d).Drain(ctx, addr, controller.DrainOrder{ID: "1", VM: "2", ToPool: "3", Reason: "4"})
	require.NoError(t, err)
	require.Equal(t, controller.DrainResult{Accepted: true, Epoch: 4, Holder: "1", Refusal: "234"}, result)
}

// A message beyond its bound must be refused, not kept in memory.
func TestSizeBounds(t *testing.T) {
	ctx := context.Background()
	addr := serve(t, process{config: make([]byte, member.MaxConfig+1)})
	c := member.NewClient(dialer(t, link.DialerOptions{Timeout: 5 * time.Second}))
	_, err := c.FetchConfig(ctx, addr, 1)
	require.ErrorContains(t, err, member.ErrTooLarge.Error())
	_, err = c.Heartbeat(ctx, addr, membership.Message{Updates: make([]membership.Update, member.MaxUpdates+1)})
	require.ErrorContains(t, err, member.ErrTooLarge.Error())
	addr = serve(t, process{config: make([]byte, member.MaxConfig)})
	_, err = c.FetchConfig(ctx, addr, 1)
	require.NoError(t, err)
}

// proxy forwards connections to addr. While silent is set, the bytes of those
// connections that exist are swallowed; connections made later work.
func proxy(t *testing.T, addr string) (proxyAddr string, silence func(), made *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var muted, dialed atomic.Int64
	forward := func(n int64, from, to net.Conn) {
		buf := make([]byte, 4096)
		for {
			k, err := from.Read(buf)
			if err != nil {
				_ = to.Close()
				return
			}
			if n > muted.Load() {
				_, _ = to.Write(buf[:k])
			}
		}
	}
	go func() {
		for {
			in, err := l.Accept()
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
	return l.Addr().String(), func() { muted.Store(dialed.Load()) }, &dialed
}

// A connection that goes silent for good must cost one deadline, although
// several idle connections have gone silent with it.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ctx := context.Background()
	addr, silence, _ := proxy(t, serve(t, process{}))
	c := gateway.NewClient(dialer(t, link.DialerOptions{Timeout: 300 * time.Millisecond, Idle: 4}))
	results := make(chan error, 4)
	for range 4 { // calls at the same time leave several idle connections
		go func() { _, err := c.ConfirmDrain(ctx, addr, "v", 1); results <- err }()
	}
	for range 4 {
		require.NoError(t, <-results)
	}
	silence()
	_, err := c.ConfirmDrain(ctx, addr, "v", 1)
	require.ErrorIs(t, err, link.ErrTimeout)
	for range 4 {
		_, err = c.ConfirmDrain(ctx, addr, "v", 1)
		require.NoError(t, err)
	}
}

// Connections must be reused, but not beyond their age: a load balancer or a
// switch forgets old ones.
func TestConnectionAge(t *testing.T) {
	ctx := context.Background()
	addr, _, made := proxy(t, serve(t, process{}))
	young := gateway.NewClient(dialer(t, link.DialerOptions{Timeout: 5 * time.Second, MaxAge: time.Hour}))
	for range 5 {
		_, err := young.ConfirmDrain(ctx, addr, "v", 1)
		require.NoError(t, err)
	}
	require.Equal(t, int64(1), made.Load())
	old := gateway.NewClient(dialer(t, link.DialerOptions{Timeout: 5 * time.Second, MaxAge: time.Nanosecond}))
	for range 5 {
		_, err := old.ConfirmDrain(ctx, addr, "v", 1)
		require.NoError(t, err)
	}
	require.Equal(t, int64(6), made.Load())
}

// A peer that cannot be reached must be told apart from one that did not
// answer: nothing was sent to it.
func TestUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = gateway.NewClient(dialer(t, link.DialerOptions{})).Demand(context.Background(), addr)
	require.ErrorIs(t, err, link.ErrUnreachable)
	require.NotErrorIs(t, err, io.EOF)
}
