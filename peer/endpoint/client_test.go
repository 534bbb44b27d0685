package endpoint_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peer "github.com/carobwharf/carobwharf/peer/endpoint"
	"github.com/carobwharf/carobwharf/standin/endpoint"
	"github.com/carobwharf/carobwharf/standin/units"
	"github.com/carobwharf/carobwharf/structs"
)

const shortTimeout = 400 * time.Millisecond // deadline of calls that must time out

func startEndpoints(t testing.TB, n int, service endpoint.Service) (*endpoint.Server, *peer.Client) {
	t.Helper()
	return startEndpointsWithSlots(t, n, 4, service)
}

func startEndpointsWithSlots(t testing.TB, n, slots int, service endpoint.Service) (*endpoint.Server, *peer.Client) {
	t.Helper()
	cfg := endpoint.DefaultConfig()
	vms, err := endpoint.Fleet(n, "127.0.0.1", 0, []string{"dc1"}, slots, 64)
	require.NoError(t, err)
	cfg.VMs, cfg.Default = vms, service
	s := endpoint.New(cfg)
	require.NoError(t, s.Start())
	c := peer.New(peer.Options{})
	t.Cleanup(func() {
		c.Close()
		require.NoError(t, s.Stop(context.Background()))
	})
	return s, c
}

func newRequest(id string, timeout time.Duration) *structs.Request {
	return &structs.Request{
		ID: id, Service: "payout", Operation: "pay", Key: "key-" + id,
		Deadline: time.Now().Add(timeout), Body: []byte("body of " + id), ContentType: "text/plain",
	}
}

// requireCompleteAnswer checks that the answer is complete and belongs to the
// request.
func requireCompleteAnswer(t *testing.T, req *structs.Request, res structs.EndpointResult) {
	t.Helper()
	require.Equal(t, structs.EndpointAnswered, res.Kind, res.Detail)
	var a endpoint.Answer
	require.NoError(t, json.Unmarshal(res.Body, &a))
	digest := sha256.Sum256(req.Body)
	require.Equal(t, hex.EncodeToString(digest[:]), a.Digest)
	require.Equal(t, req.ID, a.RequestID)
}

// Endpoints of every legacy behaviour must give complete answers on repeated
// calls. If the client does not find the end of an answer, answers are lost or
// mixed up.
func TestLegacyBehaviours(t *testing.T) {
	for _, legacy := range []structs.Legacy{structs.LegacyNone, structs.LegacyClose, structs.LegacyChunked, structs.LegacyStatus200} {
		t.Run(string(legacy), func(t *testing.T) {
			s, c := startEndpoints(t, 1, endpoint.Service{Legacy: legacy, FillerBytes: 10000})
			vm := s.VMs()[0]
			for i := range 3 {
				req := newRequest(fmt.Sprint(i), time.Minute)
				res := c.Do(context.Background(), req, vm, legacy, 1)
				requireCompleteAnswer(t, req, res)
				require.False(t, res.Failed || res.Leaving)
			}
			require.Len(t, s.Effects(0, 0).Effects, 3)

			require.NoError(t, s.SetFaults("", endpoint.Faults{FailAll: true}))
			res := c.Do(context.Background(), newRequest("f", time.Minute), vm, legacy, 1)
			require.Equal(t, structs.EndpointAnswered, res.Kind)
			require.True(t, res.Failed, "an error must be recognized with every legacy behaviour")
			require.Equal(t, 500, res.Status)

			require.NoError(t, s.SetFaults("", endpoint.Faults{Leaving: true}))
			res = c.Do(context.Background(), newRequest("l", time.Minute), vm, legacy, 1)
			require.Equal(t, structs.EndpointRefused, res.Kind)
			require.Equal(t, legacy != structs.LegacyClose, res.Leaving)
			require.Len(t, s.Effects(0, 0).Effects, 3, "a refused request must not run")
		})
	}
}

// A request that may have run must never be classified as not reached or
// refused, since it would be run again on another endpoint.
func TestFaultsAreClassified(t *testing.T) {
	late := units.Duration(4 * shortTimeout)
	cases := []struct {
		name     string
		faults   endpoint.Faults
		legacy   structs.Legacy
		want     structs.EndpointResultKind
		executed int
	}{
		{"answer lost", endpoint.Faults{LoseAnswer: 1}, structs.LegacyNone, structs.EndpointNoAnswer, 1},
		{"answer late", endpoint.Faults{AnswerDelay: late}, structs.LegacyNone, structs.EndpointTimedOut, 1},
		{"slow", endpoint.Faults{Slow: late}, structs.LegacyNone, structs.EndpointTimedOut, 1},
		{"frozen", endpoint.Faults{Freeze: true}, structs.LegacyNone, structs.EndpointTimedOut, 0},
		{"cut answer", endpoint.Faults{CutAnswer: 1}, structs.LegacyNone, structs.EndpointNoAnswer, 1},
		{"cut answer with close", endpoint.Faults{CutAnswer: 1}, structs.LegacyClose, structs.EndpointNoAnswer, 1},
		{"cut chunked answer", endpoint.Faults{CutAnswer: 1}, structs.LegacyChunked, structs.EndpointNoAnswer, 1},
		{"down", endpoint.Faults{Down: true}, structs.LegacyNone, structs.EndpointNotReached, 0},
		{"leaving", endpoint.Faults{Leaving: true}, structs.LegacyNone, structs.EndpointRefused, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, c := startEndpoints(t, 1, endpoint.Service{Legacy: tc.legacy})
			vm := s.VMs()[0]
			require.NoError(t, s.SetFaults(vm.ID, tc.faults))
			timeout := time.Minute
			if tc.want == structs.EndpointTimedOut {
				timeout = shortTimeout
			}
			res := c.Do(context.Background(), newRequest("1", timeout), vm, tc.legacy, 1)
			require.Equal(t, tc.want, res.Kind, res.Detail)
			require.Len(t, s.Effects(0, 0).Effects, tc.executed)
			require.Equal(t, tc.faults.Down || tc.faults.Leaving, res.Leaving)

			require.NoError(t, s.SetFaults(vm.ID, endpoint.Faults{}))
			req := newRequest("2", time.Minute)
			requireCompleteAnswer(t, req, c.Do(context.Background(), req, vm, tc.legacy, 1))
		})
	}
}

// An answer with another request's id must not be delivered, since it belongs
// to another caller.
func TestAnswerWithOtherRequestIDIsNotDelivered(t *testing.T) {
	s, c := startEndpoints(t, 1, endpoint.Service{})
	vm := s.VMs()[0]
	require.Equal(t, structs.EndpointAnswered, c.Do(context.Background(), newRequest("1", time.Minute), vm, structs.LegacyNone, 1).Kind)
	require.NoError(t, s.SetFaults("", endpoint.Faults{WrongID: 1}))
	res := c.Do(context.Background(), newRequest("2", time.Minute), vm, structs.LegacyNone, 1)
	require.Equal(t, structs.EndpointNoAnswer, res.Kind)
	require.Empty(t, res.Body)
}

// A connection must be closed after a timeout. If it were reused, the late
// answer would be read as the answer to the next request.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	s, c := startEndpoints(t, 1, endpoint.Service{})
	vm := s.VMs()[0]
	require.NoError(t, s.SetFaults("", endpoint.Faults{AnswerDelay: units.Duration(2 * shortTimeout)}))
	require.Equal(t, structs.EndpointTimedOut, c.Do(context.Background(), newRequest("1", shortTimeout), vm, structs.LegacyNone, 1).Kind)
	require.NoError(t, s.SetFaults("", endpoint.Faults{}))
	for i := range 20 {
		req := newRequest(fmt.Sprint("next-", i), time.Minute)
		requireCompleteAnswer(t, req, c.Do(context.Background(), req, vm, structs.LegacyNone, 1))
	}
}

// If all open connections stop responding at once, only the first call may
// time out; later calls must use new connections.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	s, c := startEndpoints(t, 1, endpoint.Service{Mean: 50 * time.Millisecond})
	vm := s.VMs()[0]
	done := make(chan structs.EndpointResult, 3)
	for i := range cap(done) {
		go func() {
			done <- c.Do(context.Background(), newRequest(fmt.Sprint(i), time.Minute), vm, structs.LegacyNone, 1)
		}()
	}
	for range cap(done) {
		require.Equal(t, structs.EndpointAnswered, (<-done).Kind)
	}
	require.NoError(t, s.SetFaults("", endpoint.Faults{Silence: true}))
	require.Equal(t, structs.EndpointTimedOut, c.Do(context.Background(), newRequest("a", shortTimeout), vm, structs.LegacyNone, 1).Kind)
	for i := range 3 {
		req := newRequest(fmt.Sprint("b", i), time.Minute)
		requireCompleteAnswer(t, req, c.Do(context.Background(), req, vm, structs.LegacyNone, 1))
	}
}

// An endpoint closes idle connections when it restarts. A request must not be
// written to such a connection: its result would be unknown although it never
// ran.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s, c := startEndpoints(t, 1, endpoint.Service{})
	vm := s.VMs()[0]
	require.Equal(t, structs.EndpointAnswered, c.Do(context.Background(), newRequest("1", time.Minute), vm, structs.LegacyNone, 1).Kind)
	require.NoError(t, s.SetFaults("", endpoint.Faults{Down: true}))
	require.NoError(t, s.SetFaults("", endpoint.Faults{}))
	require.Eventually(t, func() bool { return s.Totals()[0].Conns == 0 }, 10*time.Second, time.Millisecond)
	req := newRequest("2", time.Minute)
	requireCompleteAnswer(t, req, c.Do(context.Background(), req, vm, structs.LegacyNone, 1))
}

// Concurrent first calls to a new VM must all get a connection within the
// share of the process.
func TestConcurrentFirstCallsGetConnections(t *testing.T) {
	s, c := startEndpoints(t, 20, endpoint.Service{})
	done := make(chan structs.EndpointResult, 80)
	for i := range cap(done) {
		go func() {
			done <- c.Do(context.Background(), newRequest(fmt.Sprint(i), time.Minute), s.VMs()[i%20], structs.LegacyNone, 1)
		}()
	}
	for range cap(done) {
		require.Equal(t, structs.EndpointAnswered, (<-done).Kind)
	}
}

// A process must not open more connections than its share. Excess connections
// count against other gateways, and the endpoint then refuses requests of all
// of them.
func TestConnectionsStayWithinTheShare(t *testing.T) {
	s, c := startEndpoints(t, 1, endpoint.Service{})
	vm := s.VMs()[0]
	vm.Connections = 13
	c.SetShare(1, 6) // rank 0 gets 3, the others 2
	require.NoError(t, s.SetFaults("", endpoint.Faults{Freeze: true}))
	done := make(chan structs.EndpointResult, 4)
	for i := range cap(done) {
		go func() {
			done <- c.Do(context.Background(), newRequest(fmt.Sprint(i), time.Minute), vm, structs.LegacyNone, 1)
		}()
	}
	for range 2 {
		require.Equal(t, structs.EndpointNotReached, (<-done).Kind)
	}
	require.Eventually(t, func() bool { return s.Totals()[0].Held == 2 }, 10*time.Second, time.Millisecond)
	require.NoError(t, s.SetFaults("", endpoint.Faults{}))
	for range 2 {
		require.Equal(t, structs.EndpointAnswered, (<-done).Kind)
	}
	require.Equal(t, 2, s.Totals()[0].PeakConns)
}

// Connections beyond a reduced share and those to a removed VM must be closed.
// Otherwise they count against other gateways until their idle timeout.
func TestSmallerShareAndRemovedVMCloseConnections(t *testing.T) {
	s, c := startEndpoints(t, 1, endpoint.Service{})
	vm := s.VMs()[0]
	open := func(n int) {
		require.NoError(t, s.SetFaults("", endpoint.Faults{Freeze: true}))
		done := make(chan structs.EndpointResult, n)
		for i := range n {
			go func() {
				done <- c.Do(context.Background(), newRequest(fmt.Sprint(i), time.Minute), vm, structs.LegacyNone, 1)
			}()
		}
		require.Eventually(t, func() bool { return s.Totals()[0].Held == n }, 10*time.Second, time.Millisecond)
		require.NoError(t, s.SetFaults("", endpoint.Faults{}))
		for range n {
			require.Equal(t, structs.EndpointAnswered, (<-done).Kind)
		}
	}
	conns := func(n int) func() bool { return func() bool { return s.Totals()[0].Conns == n } }
	open(4)
	require.True(t, conns(4)())
	vm.Connections = 12
	c.SetShare(0, 6)
	open(1) // the call that applies the smaller limit closes the old connections
	open(2)
	require.Eventually(t, conns(2), 10*time.Second, time.Millisecond)
	c.Retain(nil)
	require.Eventually(t, conns(0), 10*time.Second, time.Millisecond)
}
