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

	"github.com/carobwharf/carobwharf/internal/memtable"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/standin/users"
	"github.com/carobwharf/carobwharf/store"
)

func freeAddr(t testing.TB) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// adminAddrs maps each node's address for callers to its admin address.
var adminAddrs = map[string]string{}

// startNode starts a node and returns its address for callers and a function that
// stops it gracefully, like SIGTERM.
func startNode(t testing.TB, p *users.Platform, id string) (addr string, stop func()) {
	cfg := settings.Node{
		ID: id, CallerListen: freeAddr(t), ReadyListen: freeAddr(t),
		Store: p.StoreAddr, Fleet: p.FleetAddr,
		Bounds: settings.Bounds{
			MaxLease: 6 * time.Second, KillGrace: 900 * time.Millisecond, MoveTime: time.Second, UpkeepTime: time.Second,
			HolderChange: time.Second,
		},
		CPUShare: 1, StopWithin: time.Second,
	}
	cfg.AdminListen = freeAddr(t)
	adminAddrs[cfg.CallerListen] = cfg.AdminListen
	n, err := New(Options{Settings: cfg, Log: hclog.NewNullLogger(), Metrics: metrics.New()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			require.NoError(t, <-runErr)
		}
	}
	t.Cleanup(stop)
	require.Eventually(t, func() bool { return n.ready.Load() }, 10*time.Second, 20*time.Millisecond)
	return cfg.CallerListen, stop
}

// Guards against an admin address without health, readiness, the counters or the
// state of the duties, which are needed to diagnose failures.
func TestAdminAddress(t *testing.T) {
	p, err := users.Start(users.Options{Workers: 1, TaskTime: 50 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	addr, _ := startNode(t, p, "node-1")
	path := users.Prefix + "00000000000000b1"
	status, _ := request(t, fasthttp.MethodPost, addr, path, jobBody)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Eventually(t, jobCompleted(t, addr, path), 20*time.Second, 50*time.Millisecond)
	admin := adminAddrs[addr]
	for path, want := range map[string]string{
		"/readyz": "ok", "/metrics": "intake.submit", "/dump": `"pools"`, "/healthz": "ok",
	} {
		status, body := request(t, fasthttp.MethodGet, admin, path, "")
		require.Equal(t, fasthttp.StatusOK, status, path)
		require.Contains(t, body, want, path)
	}
}

func request(t *testing.T, method, addr, path, body string) (int, string) {
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

func jobCompleted(t *testing.T, addr, path string) func() bool {
	return func() bool {
		status, body := request(t, fasthttp.MethodGet, addr, path, "")
		return status == fasthttp.StatusOK && strings.Contains(body, `"completed"`)
	}
}

// Guards against jobs that are lost, run twice or are visible at only one node: a
// job submitted to both nodes must run once and be reported as completed by the
// second, which must take over the pool when the first node shuts down.
func TestJobsRunOnceAcrossTwoNodes(t *testing.T) {
	p, err := users.Start(users.Options{Workers: 3, TaskTime: 100 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	first, stopFirst := startNode(t, p, "node-1")
	second, _ := startNode(t, p, "node-2")

	const jobs = 6
	path := func(n int) string { return fmt.Sprintf("%s%016x", users.Prefix, n) }
	for n := range jobs {
		status, _ := request(t, fasthttp.MethodPost, first, path(n), jobBody)
		require.Equal(t, fasthttp.StatusOK, status)
		status, _ = request(t, fasthttp.MethodPost, second, path(n), jobBody)
		require.Equal(t, fasthttp.StatusOK, status, "a repeated submission must be accepted as the same job")
	}
	for n := range jobs {
		require.Eventually(t, jobCompleted(t, second, path(n)), 20*time.Second, 50*time.Millisecond)
	}
	require.Equal(t, 5*jobs, p.CompletedRuns())

	status, _ := request(t, fasthttp.MethodGet, second, path(99), "")
	require.Equal(t, fasthttp.StatusGone, status)
	status, _ = request(t, fasthttp.MethodGet, second, "/nowhere/1", "")
	require.Equal(t, fasthttp.StatusNotFound, status)
	status, _ = request(t, fasthttp.MethodPost, second, path(50), "{")
	require.Equal(t, fasthttp.StatusBadRequest, status)

	stopFirst()
	status, _ = request(t, fasthttp.MethodPost, second, path(7), jobBody)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Eventually(t, jobCompleted(t, second, path(7)), 20*time.Second, 50*time.Millisecond)
	require.Empty(t, p.OverlappingTasks())
}

// Guards against tasks that run twice and jobs that are lost because of a store
// outage. During the outage, submissions must be refused.
func TestStoreOutage(t *testing.T) {
	p, err := users.Start(users.Options{Workers: 2, TaskTime: 300 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	addr, _ := startNode(t, p, "node-1")
	path := users.Prefix + "00000000000000a1"
	status, _ := request(t, fasthttp.MethodPost, addr, path, jobBody)
	require.Equal(t, fasthttp.StatusOK, status)
	p.SetStoreDown(true)
	status, _ = request(t, fasthttp.MethodPost, addr, users.Prefix+"00000000000000a2", jobBody)
	require.Equal(t, fasthttp.StatusServiceUnavailable, status)
	time.Sleep(2 * time.Second)
	p.SetStoreDown(false)
	require.Eventually(t, jobCompleted(t, addr, path), 20*time.Second, 50*time.Millisecond)
	require.Empty(t, p.OverlappingTasks())
}

// Guards against submissions that are refused while the store is slow, because
// those of a queue wait for one another in a few parts of the table.
func TestSlowStoreTakesConcurrentSubmissions(t *testing.T) {
	p, err := users.Start(users.Options{Workers: 1, TaskTime: 50 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	addr, _ := startNode(t, p, "node-1")
	p.SetFaults(users.Faults{TransactionTime: 300 * time.Millisecond})
	t.Cleanup(func() { p.SetFaults(users.Faults{}) })
	statuses := make(chan int, 48)
	for n := range cap(statuses) {
		go func() {
			status, _ := request(t, fasthttp.MethodPost, addr, fmt.Sprintf("%s%016x", users.Prefix, n), jobBody)
			statuses <- status
		}()
	}
	accepted := 0
	for range cap(statuses) {
		if <-statuses == fasthttp.StatusOK {
			accepted++
		}
	}
	require.Equal(t, cap(statuses), accepted, "accepted submissions")
}

// The status "running" that the store executed late replaced "completed", and the
// operator saw the wave as running for ever.
func TestLateWaveStatusDoesNotReplaceCompletion(t *testing.T) {
	table := memtable.New()
	_, err := table.Commit([]store.Op{waveStatusOp(1, true)})
	require.NoError(t, err)
	_, err = table.Commit([]store.Op{waveStatusOp(1, false)})
	require.Error(t, err)
	_, err = table.Commit([]store.Op{waveStatusOp(1, true)})
	require.NoError(t, err)
	_, err = table.Commit([]store.Op{waveStatusOp(2, false), waveStatusOp(3, true)})
	require.NoError(t, err)
}
