package systemtest

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/load"
	"github.com/carobwharf/carobwharf/peer/caller"
	"github.com/carobwharf/carobwharf/peer/endpoint/wire"
	"github.com/carobwharf/carobwharf/structs"
)

// clockTicksPerSecond is the unit of CPU times in /proc (USER_HZ on Linux).
const clockTicksPerSecond = 100

// cpuTime returns the CPU time that the process has used.
func (c *child) cpuTime(b testing.TB) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	require.NoError(b, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(b, err)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// BenchmarkIdempotent compares calls made directly to the endpoint stand-in,
// through the pass-through stand-in and through the gateway on the same machine:
// latency of a call, and requests per second of CPU time of the intermediary.
func BenchmarkIdempotent(b *testing.B) {
	d := newDeployment(b, 1, 0, "--mean", "1ms", "--sigma", "0", "--slots", "64", "--connections", "512")
	vms := d.listVMs()
	endpointPath := string(wire.AppendPath(nil, "check", "quote"))
	gateway := d.startGateway()
	d.balancer.add(gateway)
	d.balancer.waitReady(1)
	args := []string{"standin", "passthrough"}
	for _, vm := range vms {
		args = append(args, "--endpoint", vm.Addr)
	}
	forwarder := startProcess(b, "passthrough", parseStandinReady, args...)
	for _, workers := range []int{1, 32} {
		run := func(name string, p *child, target string) {
			b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) {
				measureCalls(b, p, target, workers)
			})
		}
		run("direct", nil, vms[0].Addr+endpointPath)
		run("passthrough", forwarder, forwarder.addrs["listen"]+endpointPath)
		run("gateway", gateway, gateway.addrs["callers"]+"/v1/services/check/quote")
	}
}

// measureCalls makes b.N calls to target (IP:port and path) from the given number
// of workers. It reports calls per CPU second of p unless p is nil.
func measureCalls(b *testing.B, p *child, target string, workers int) {
	addr, _, _ := strings.Cut(target, "/")
	client := fasthttp.HostClient{Addr: addr, MaxConns: workers}
	var before time.Duration
	if p != nil {
		before = p.cpuTime(b)
	}
	results := make(chan []time.Duration, workers)
	b.ResetTimer()
	for w := range workers {
		go func() { results <- timeCalls(&client, target, w, (b.N+workers-1)/workers) }()
	}
	var latencies []time.Duration
	for range workers {
		latencies = append(latencies, <-results...)
	}
	b.StopTimer()
	client.CloseIdleConnections()
	slices.Sort(latencies)
	b.ReportMetric(float64(load.Percentile(latencies, 0.5).Microseconds()), "p50-us")
	b.ReportMetric(float64(load.Percentile(latencies, 0.99).Microseconds()), "p99-us")
	if p != nil {
		used := p.cpuTime(b) - before
		b.ReportMetric(float64(len(latencies))/max(used.Seconds(), 0.01), "req/cpu-s")
	}
}

func timeCalls(client *fasthttp.HostClient, target string, worker, n int) []time.Duration {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	latencies := make([]time.Duration, 0, n)
	for i := range n {
		req.Reset()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + target)
		req.Header.Set(caller.HeaderRequestID, fmt.Sprintf("bench-%d-%d", worker, i))
		req.SetBodyString("payload")
		begin := time.Now()
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			panic(fmt.Sprintf("call to %s: status %d, %v", target, resp.StatusCode(), err))
		}
		latencies = append(latencies, time.Since(begin))
	}
	return latencies
}

// listVMs returns the VMs that the platform lists.
func (d *deployment) listVMs() []structs.VM {
	client := d.platformClient()
	defer client.Close()
	vms, err := client.ListVMs(context.Background())
	require.NoError(d.t, err)
	return vms
}
