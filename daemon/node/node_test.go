package node

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/standin/users"
)

func freeAddr(t testing.TB) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// adminAddrs has the admin address of each node by its address for callers.
var adminAddrs = map[string]string{}

// startNode runs a node and returns its address for callers and a function
// that ends it as SIGTERM does.
func startNode(t testing.TB, p *users.Platform, id string) (addr string, stop func()) {
	set := settings.Node{
		ID: id, Callers: freeAddr(t), Ready: freeAddr(t),
		Store: p.StoreAddr, Fleet: p.FleetAddr,
		Bounds: settings.Bounds{
			MaxLease: 6 * time.Second, KillGrace: 900 * time.Millisecond, MoveTime: time.Second, UpkeepTime: time.Second,
			HolderChange: time.Second,
		},
		Processor: 1, StopWithin: time.Second,
	}
	set.Admin = freeAddr(t)
	adminAddrs[set.Callers] = set.Admin
	n, err := New(Options{Settings: set, Log: hclog.NewNullLogger(), Metrics: metrics.New()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			require.NoError(t, <-ended)
		}
	}
	t.Cleanup(stop)
	require.Eventually(t, func() bool { return n.ready.Load() }, 10*time.Second, 20*time.Millisecond)
	return set.Callers, stop
}

// An engineer who explains a failure finds the state of each duty and the
// counters at the admin address.
func TestAdminAddress(t *testing.T) {
	p, err := users.Start(users.Options{Workers: 1, TaskTime: 50 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	addr, _ := startNode(t, p, "node-1")
	path := users.Prefix + "00000000000000b1"
	status, _ := call(t, fasthttp.MethodPost, addr, path, jobBody)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Eventually(t, completed(t, addr, path), 20*time.Second, 50*time.Millisecond)
	admin := adminAddrs[addr]
	for path, want := range map[string]string{
		"/readyz": "ok", "/metrics": "intake.submit", "/dump": `"pools"`, "/healthz": "ok",
	} {
		status, body := call(t, fasthttp.MethodGet, admin, path, "")
		require.Equal(t, fasthttp.StatusOK, status, path)
		require.Contains(t, body, want, path)
	}
}

func call(t *testing.T, method, addr, path, body string) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetHost(users.Host)
	req.UseHostHeader = true
	req.SetBodyString(body)
	require.NoError(t, fasthttp.DoTimeout(req, resp, 5*time.Second))
	return resp.StatusCode(), string(resp.Body())
}

const jobBody = `{"spec":"x","steps":[{"count":3,"cpu":500,"mem-mb":100,"est-runtime-ms":100},{"count":2,"cpu":500,"mem-mb":100,"est-runtime-ms":100,"after":[0]}]}`

func completed(t *testing.T, addr, path string) func() bool {
	return func() bool {
		status, body := call(t, fasthttp.MethodGet, addr, path, "")
		return status == fasthttp.StatusOK && strings.Contains(body, `"completed"`)
	}
}

// The whole path: a job is accepted on one VM, runs once, and is shown as
// completed on another; a VM that leaves hands its pool over.
func TestJobsRunOnceThroughTwoVMs(t *testing.T) {
	p, err := users.Start(users.Options{Workers: 3, TaskTime: 100 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	first, stopFirst := startNode(t, p, "node-1")
	second, _ := startNode(t, p, "node-2")

	const jobs = 6
	path := func(n int) string { return fmt.Sprintf("%s%016x", users.Prefix, n) }
	for n := range jobs {
		status, _ := call(t, fasthttp.MethodPost, first, path(n), jobBody)
		require.Equal(t, fasthttp.StatusOK, status)
		status, _ = call(t, fasthttp.MethodPost, second, path(n), jobBody)
		require.Equal(t, fasthttp.StatusOK, status, "a repeated submission is one job")
	}
	for n := range jobs {
		require.Eventually(t, completed(t, second, path(n)), 20*time.Second, 50*time.Millisecond)
	}
	require.Equal(t, 5*jobs, p.Runs())

	status, _ := call(t, fasthttp.MethodGet, second, path(99), "")
	require.Equal(t, fasthttp.StatusGone, status)
	status, _ = call(t, fasthttp.MethodGet, second, "/nowhere/1", "")
	require.Equal(t, fasthttp.StatusNotFound, status)
	status, _ = call(t, fasthttp.MethodPost, second, path(50), "{")
	require.Equal(t, fasthttp.StatusBadRequest, status)

	stopFirst()
	status, _ = call(t, fasthttp.MethodPost, second, path(7), jobBody)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Eventually(t, completed(t, second, path(7)), 20*time.Second, 50*time.Millisecond)
	require.Empty(t, p.Twice())
}

// A store that is away must not end runs twice or lose jobs, and callers are
// refused at once meanwhile.
func TestStoreOutage(t *testing.T) {
	p, err := users.Start(users.Options{Workers: 2, TaskTime: 300 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	addr, _ := startNode(t, p, "node-1")
	path := users.Prefix + "00000000000000a1"
	status, _ := call(t, fasthttp.MethodPost, addr, path, jobBody)
	require.Equal(t, fasthttp.StatusOK, status)
	p.SetDown(true)
	status, _ = call(t, fasthttp.MethodPost, addr, users.Prefix+"00000000000000a2", jobBody)
	require.Equal(t, fasthttp.StatusServiceUnavailable, status)
	time.Sleep(2 * time.Second)
	p.SetDown(false)
	require.Eventually(t, completed(t, addr, path), 20*time.Second, 50*time.Millisecond)
	require.Empty(t, p.Twice())
}
