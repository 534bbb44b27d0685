package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/standin/units"
	"github.com/carobwharf/carobwharf/structs"
)

func startServer(t *testing.T, slots, connections int) (*Server, structs.VM) {
	t.Helper()
	cfg := DefaultConfig()
	vms, err := Fleet(1, "127.0.0.1", 0, []string{"dc1"}, slots, connections)
	require.NoError(t, err)
	cfg.VMs = vms
	s := New(cfg)
	require.NoError(t, s.Start())
	t.Cleanup(func() { require.NoError(t, s.Stop(context.Background())) })
	return s, s.VMs()[0]
}

func call(t *testing.T, url, body string) (int, string) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(body)
	require.NoError(t, fasthttp.DoTimeout(req, resp, 10*time.Second))
	return resp.StatusCode(), string(resp.Body())
}

// The dispatcher shares out the slots of an endpoint. A stand-in that executed
// more requests than it has slots would hide oversubscription.
func TestSlotsAreLimited(t *testing.T) {
	s, vm := startServer(t, 2, 64)
	require.NoError(t, s.SetFaults("", Faults{Freeze: true}))
	done := make(chan int, 5)
	for range cap(done) {
		go func() { status, _ := call(t, "http://"+vm.Addr+"/s/o", "x"); done <- status }()
	}
	require.Eventually(t, func() bool { return s.Totals()[0].Held == cap(done) }, 10*time.Second, time.Millisecond)
	require.NoError(t, s.SetFaults("", Faults{Slow: units.Duration(time.Second)}))
	counts := map[int]int{}
	for range cap(done) {
		counts[<-done]++
	}
	require.Equal(t, map[int]int{200: 2, 429: 3}, counts)
	require.Len(t, s.Effects(0, 0).Effects, 2)
	require.Equal(t, 2, s.Totals()[0].PeakBusy)
}

// The connections of an endpoint are shared out among the gateways like its
// slots. A stand-in without a limit would hide that a gateway opens too many.
func TestConnectionsAreLimited(t *testing.T) {
	s, vm := startServer(t, 1, 2)
	for i, want := range []string{"HTTP/1.1 200", "HTTP/1.1 200", "HTTP/1.1 429"} {
		c, err := net.Dial("tcp", vm.Addr)
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("POST /s/o HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
		require.NoError(t, err)
		buf := make([]byte, len(want))
		_, err = io.ReadFull(c, buf)
		require.NoError(t, err)
		require.Equal(t, want, string(buf), i)
	}
	require.Len(t, s.Effects(0, 0).Effects, 2)
}

// A silent connection whose caller disconnected must not count towards the
// limit, or new connections would be refused.
func TestSilentConnectionClosesWhenCallerDisconnects(t *testing.T) {
	s, vm := startServer(t, 1, 1)
	c, err := net.Dial("tcp", vm.Addr)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Totals()[0].Conns == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, s.SetFaults("", Faults{Silence: true}))
	_, err = c.Write([]byte("POST /s/o HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return s.Totals()[0].Conns == 0 }, 10*time.Second, time.Millisecond)
	status, _ := call(t, "http://"+vm.Addr+"/s/o", "x")
	require.Equal(t, 200, status)
}

// A leaving endpoint must refuse connections after RefuseAfter and serve again
// once the switch is reset.
func TestLeavingEndpointRefusesConnections(t *testing.T) {
	s, vm := startServer(t, 2, 64)
	status, _ := call(t, "http://"+s.Addr()+"/faults", `{"endpoint":"vm-001","faults":{"leaving":true,"refuse_after":"50ms"}}`)
	require.Equal(t, 200, status)
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", vm.Addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	}, 10*time.Second, 5*time.Millisecond)
	status, _ = call(t, "http://"+s.Addr()+"/faults", `{"faults":{"leaving":false}}`)
	require.Equal(t, 200, status)
	status, body := call(t, "http://"+vm.Addr+"/s/o%20p", "x")
	require.Equal(t, 200, status)
	var a Answer
	require.NoError(t, json.Unmarshal([]byte(body), &a))
	require.Equal(t, "o p", a.Operation)
	status, body = call(t, "http://"+s.Addr()+"/faults", `{"faults":{"leafing":false}}`)
	require.Equal(t, 400, status)
	require.Contains(t, body, "leafing")
}

// A request that a reboot interrupts must be counted, or a stop that is not
// graceful would stay undetected, and must not finish afterwards.
func TestGoingDownInterruptsRequests(t *testing.T) {
	s, vm := startServer(t, 2, 64)
	require.NoError(t, s.SetFaults("", Faults{Slow: units.Duration(500 * time.Millisecond)}))
	done := make(chan error)
	go func() {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + vm.Addr + "/s/o")
		req.Header.SetMethod(fasthttp.MethodPost)
		done <- fasthttp.DoTimeout(req, resp, 10*time.Second)
	}()
	require.Eventually(t, func() bool { return s.Totals()[0].Busy == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, s.SetDown(vm.ID, true))
	require.Error(t, <-done)
	require.NoError(t, s.SetDown(vm.ID, false))
	require.Eventually(t, func() bool { return s.Totals()[0].Conns == 0 }, 10*time.Second, time.Millisecond, "the handler of the interrupted request must have ended")
	require.True(t, s.Effects(0, 0).Effects[0].Finished.IsZero())
	got := s.Totals()[0]
	require.Equal(t, int64(1), got.CutOff)
	require.Zero(t, got.Busy)
}

// The tests of ejection need endpoints that fail for a while and then recover.
func TestFlappingAlternates(t *testing.T) {
	f, since := Faults{FlapPeriod: units.Duration(2 * time.Second)}, time.Unix(1000, 0)
	for ms, want := range map[int]bool{0: true, 999: true, 1000: false, 1999: false, 2000: true} {
		require.Equal(t, want, f.failing(since, since.Add(time.Duration(ms)*time.Millisecond)), ms)
	}
}

// Experiments compute the load from the configured mean service time; a different
// actual mean would distort their results.
func TestServiceTimeMatchesMean(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s, sum, n := Service{Mean: time.Second, Sigma: 0.8}, time.Duration(0), 100_000
	for range n {
		sum += s.sample(rng)
	}
	require.InDelta(t, 1, sum.Seconds()/float64(n), 0.02)
}

// The effect log is limited, so that a long run does not exhaust memory, and must
// count the effects that it omits.
func TestEffectsBeyondLimitAreCounted(t *testing.T) {
	st := newState(Config{MaxEffects: 2}, nil)
	for range 3 {
		st.record(Effect{}, "vm", time.Now())
	}
	reply := make(chan EffectPage, 1)
	readEffects{after: 1, limit: 5, reply: reply}.apply(st)
	log := <-reply
	require.Len(t, log.Effects, 1)
	require.Equal(t, int64(1), log.Dropped)
}
