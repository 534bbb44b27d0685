package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/history"
	"github.com/carobwharf/carobwharf/load"
	"github.com/carobwharf/carobwharf/node/fleetrows"
	"github.com/carobwharf/carobwharf/peer/caller"
	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/peer/platform"
	"github.com/carobwharf/carobwharf/standin/endpoint"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	operatorKey = "systemtest-operator-key"
	vmCount     = 50
)

// deployment is a set of processes with the demonstration's configuration.
type deployment struct {
	t                   testing.TB
	dir                 string
	platform, endpoints *child
	controllers         []*child
	balancer            *balancer
	seeds               []string
	processCount        int
	timingSettings      string // appended to each settings file
	peerLoss            float64
	observeLog          func(process, line string) // receives the daemons' log lines; may be nil
}

// shortTiming shortens leases and lifetimes, so that they expire within seconds
// in a test. Its first keys belong to the section controller.
const shortTiming = `lease_duration = 3s
reconcile = 300ms
[membership]
interval = 200ms
suspect_after = 1s
remove_after = 1s
row_lifetime = 5s
`

// newDeployment starts the stand-ins, controllers and gateways, submits the
// demonstration's configuration and waits until the gateways are ready.
// endpointArgs are added to the arguments of the endpoint stand-in.
func newDeployment(t testing.TB, controllers, gateways int, endpointArgs ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), balancer: newBalancer(t), timingSettings: shortTiming}
	args := []string{"standin", "endpoint", "--control", "127.0.0.1:0",
		"--count", strconv.Itoa(vmCount), "--port", "0", "--mean", "20ms", "--sigma", "0.5",
		"--service", "catalogue=legacy:chunked", "--service", "registry=legacy:close"}
	d.endpoints = startProcess(t, "endpoints", parseStandinReady, append(args, endpointArgs...)...)
	d.platform = startProcess(t, "platform", parseStandinReady, "standin", "platform", "--listen", "127.0.0.1:0",
		"--reboot-time", "1s", "--vm-lag", "500ms", "--endpoints", d.endpoints.addrs["listen"])
	d.registerVMs()
	for range controllers {
		d.controllers = append(d.controllers, d.startController())
	}
	d.submitDemoConfig()
	d.waitForAdoption()
	for range gateways {
		d.balancer.add(d.startGateway())
	}
	d.balancer.waitReady(gateways)
	return d
}

func (d *deployment) writeSettings(role string) (name, file string) {
	d.processCount++
	name = fmt.Sprintf("%s-%d", role, d.processCount)
	text := fmt.Sprintf(`[process]
id = %s
data_centre = dc%d
peer_listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
peer_loss = %g
%s
[log]
level = info
format = json
[platform]
addr = %s
timeout = 1s
[gateway]
listen = 127.0.0.1:0
drain_grace = 1s
[controller]
operator_listen = 127.0.0.1:0
operator_key = %s
%s`, name, d.processCount%3+1, d.peerLoss, d.seedsSetting(), d.platform.addrs["listen"], operatorKey, d.timingSettings)
	file = filepath.Join(d.dir, name+".ini")
	require.NoError(d.t, os.WriteFile(file, []byte(text), 0o600))
	return name, file
}

func (d *deployment) seedsSetting() string {
	if len(d.seeds) == 0 {
		return ""
	}
	return "seeds = " + strings.Join(d.seeds, ", ")
}

func (d *deployment) logObserver(name string) func(string) {
	return func(line string) {
		if d.observeLog != nil {
			d.observeLog(name, line)
		}
	}
}

func (d *deployment) startController() *child {
	name, file := d.writeSettings("controller")
	return startProcessObserved(d.t, name, parseDaemonReady, d.logObserver(name), "controller", "--settings", file)
}

func (d *deployment) startGateway() *child {
	name, file := d.writeSettings("gateway")
	c := startProcessObserved(d.t, name, parseDaemonReady, d.logObserver(name), "gateway", "--settings", file)
	d.seeds = append(d.seeds, c.addrs["peers"])
	return c
}

func (d *deployment) submitDemoConfig() {
	text, err := os.ReadFile("../../demo/fleet.ini")
	require.NoError(d.t, err)
	client := operator.NewClient(d.controllers[0].addrs["operators"], operatorKey)
	_, err = client.Submit(context.Background(), "systemtest-1", 0, "fleet.ini", text)
	require.NoError(d.t, err)
}

// registerVMs sets the platform's VM list to the endpoints of the stand-in.
func (d *deployment) registerVMs() {
	var vms []structs.VM
	d.readControl("/vms", &vms)
	require.Len(d.t, vms, vmCount)
	require.NoError(d.t, endpoint.RegisterVMs(d.platform.addrs["listen"], vms))
}

// readControl decodes the JSON at a path of the endpoint stand-in's control address.
func (d *deployment) readControl(path string, into any) {
	resp, err := http.Get("http://" + d.endpoints.addrs["listen"] + path)
	require.NoError(d.t, err)
	defer resp.Body.Close()
	require.NoError(d.t, json.NewDecoder(resp.Body).Decode(into))
}

// waitForAdoption waits until every VM belongs to a pool.
func (d *deployment) waitForAdoption() {
	client := d.platformClient()
	defer client.Close()
	require.Eventually(d.t, func() bool {
		rows, err := store.ScanAll(context.Background(), client, store.PrefixVM)
		return err == nil && len(rows) == vmCount
	}, 30*time.Second, 100*time.Millisecond)
}

// readOwners returns the ownership rows of the VMs.
func (d *deployment) readOwners() []structs.Owner {
	client := d.platformClient()
	defer client.Close()
	owners, bad, _, err := fleetrows.NewReader(client).Read(context.Background())
	require.NoError(d.t, err)
	require.Empty(d.t, bad)
	return owners
}

func (d *deployment) platformClient() *platform.Client {
	return platform.New(platform.Options{Addr: d.platform.addrs["listen"]})
}

// setPlatformFaults changes fault settings of the platform stand-in.
func (d *deployment) setPlatformFaults(faults string) {
	resp, err := http.Post("http://"+d.platform.addrs["listen"]+"/faults", "application/json", strings.NewReader(faults))
	require.NoError(d.t, err)
	require.NoError(d.t, resp.Body.Close())
	require.Equal(d.t, http.StatusOK, resp.StatusCode)
}

// runLoad applies the demonstration's request mix while injectFaults runs, and
// returns the results and the report of the history check.
func (d *deployment) runLoad(duration time.Duration, seed uint64, injectFaults func()) (*load.Result, *history.Report) {
	mix, err := load.ReadMix("../../demo/mix.ini")
	require.NoError(d.t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		injectFaults()
	}()
	var recorded bytes.Buffer
	result, err := load.Run(context.Background(), d.balancer, load.Options{Mix: mix, Seed: seed, Length: duration, History: &recorded})
	require.NoError(d.t, err)
	<-done
	h, err := history.Read(&recorded)
	require.NoError(d.t, err)
	h.Effects = d.readEffects()
	d.logUnanswered(h)
	report := history.Check(h, history.Options{})
	report.Findings = append(report.Findings, history.Linearize(h, history.Options{}, 10*time.Second)...)
	d.t.Logf("seed %d\n%s\n%s", seed, result, report)
	return result, report
}

// logUnanswered logs the number of calls without an answer for each error.
func (d *deployment) logUnanswered(h *history.History) {
	count := map[string]int{}
	for _, a := range h.Answers {
		if a.Error != "" {
			count[a.Error]++
		}
	}
	for text, n := range count {
		d.t.Logf("%d calls without an answer: %s", n, text)
	}
}

func (d *deployment) readEffects() []history.Effect {
	var log endpoint.EffectPage
	d.readControl("/effects", &log)
	require.Zero(d.t, log.Dropped)
	out := make([]history.Effect, len(log.Effects))
	for i, e := range log.Effects {
		out[i] = history.Effect{ID: e.ID, Key: e.Key, Service: e.Service, Operation: e.Operation, VM: e.VM, Digest: e.BodyHash}
	}
	return out
}

// balancer sends calls to the ready gateways in turn, as the platform's load
// balancer does.
type balancer struct {
	t        testing.TB
	gateways chan []*target // the current list; received and sent back, as with a lock
	ready    atomic.Pointer[[]*target]
	next     atomic.Uint64
}

type target struct {
	addr   string // for callers
	client *caller.Client
	admin  *operator.Client
}

// healthCheckInterval is well below the gateways' drain_grace, so that a gateway
// that stops gets no new calls by the end of it.
const healthCheckInterval = 50 * time.Millisecond

func newBalancer(t testing.TB) *balancer {
	b := &balancer{t: t, gateways: make(chan []*target, 1)}
	b.gateways <- nil
	b.ready.Store(&[]*target{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		tick := time.NewTicker(healthCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				b.checkHealth(ctx)
			}
		}
	}()
	return b
}

func (b *balancer) add(c *child) {
	list := <-b.gateways
	b.gateways <- append(list[:len(list):len(list)], &target{
		addr:   c.addrs["callers"],
		client: caller.NewClient(caller.ClientConfig{Addr: c.addrs["callers"], MaxConnections: 512}),
		admin:  operator.NewClient(c.addrs["admin"], ""),
	})
}

func (b *balancer) checkHealth(ctx context.Context) {
	list := <-b.gateways
	b.gateways <- list
	var ready []*target
	for _, g := range list {
		probe, cancel := context.WithTimeout(ctx, healthCheckInterval)
		if _, err := g.admin.Admin(probe, "/readyz"); err == nil {
			ready = append(ready, g)
		}
		cancel()
	}
	b.ready.Store(&ready)
}

// waitReady waits until at least n gateways are ready.
func (b *balancer) waitReady(n int) {
	require.Eventually(b.t, func() bool { return len(*b.ready.Load()) >= n }, 30*time.Second, healthCheckInterval)
}

// Call sends the request through the next ready gateway.
func (b *balancer) Call(ctx context.Context, req *structs.Request) (structs.Answer, error) {
	ready := *b.ready.Load()
	if len(ready) == 0 {
		return structs.Answer{}, caller.ErrNoAnswer
	}
	return ready[b.next.Add(1)%uint64(len(ready))].client.Call(ctx, req)
}

// addresses returns the addresses for callers in the order of add.
func (b *balancer) addresses() []string {
	list := <-b.gateways
	b.gateways <- list
	out := make([]string, len(list))
	for i, g := range list {
		out[i] = g.addr
	}
	return out
}

// admin returns a client of the first gateway's admin address.
func (b *balancer) admin() *operator.Client {
	list := <-b.gateways
	b.gateways <- list
	return list[0].admin
}
