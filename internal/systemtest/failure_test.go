package systemtest

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/history"
	"github.com/carobwharf/carobwharf/peer/operator"
)

// Killing any process with SIGKILL must not run anything twice, report a false
// outcome or mix up answers. Calls that the killed gateway held end without an
// answer; everything else is answered.
func TestKillAnyProcess(t *testing.T) {
	d := newDeployment(t, 2, 3)
	victim := d.startGateway()
	d.balancer.add(victim)
	d.balancer.waitReady(4)
	_, report := d.load(6*time.Second, 11, func() {
		time.Sleep(1500 * time.Millisecond)
		victim.kill()
		time.Sleep(time.Second)
		d.controllers[0].kill()
		time.Sleep(time.Second)
		d.balancer.add(d.startGateway())
		d.startController()
	})
	requireNoFindings(t, report)
}

// A frozen gateway that wakes up after its peers have taken its slots must not
// send what has expired or was settled meanwhile.
func TestFrozenGatewayAndController(t *testing.T) {
	d := newDeployment(t, 2, 3)
	frozen := d.startGateway()
	d.balancer.add(frozen)
	d.balancer.waitReady(4)
	_, report := d.load(9*time.Second, 12, func() {
		time.Sleep(time.Second)
		frozen.signal(syscall.SIGSTOP)
		d.controllers[0].signal(syscall.SIGSTOP)
		time.Sleep(6 * time.Second) // longer than each lease and the member lifetime
		frozen.signal(syscall.SIGCONT)
		d.controllers[0].signal(syscall.SIGCONT)
	})
	requireNoFindings(t, report)
}

// With the platform down, idempotent work must go on, and non-idempotent work
// must be refused truthfully. Lost answers to writes must be settled.
func TestPlatformOutageAndLostAnswers(t *testing.T) {
	d := newDeployment(t, 2, 3)
	result, report := d.load(9*time.Second, 13, func() {
		d.platformFaults(`{"lose_answer": 0.2}`)
		time.Sleep(2 * time.Second)
		d.platformFaults(`{"lose_answer": 0, "outage": true}`)
		time.Sleep(4 * time.Second)
		d.platformFaults(`{"outage": false}`)
	})
	requireNoFindings(t, report)
	for _, name := range []string{"check", "catalogue", "audit"} {
		s := result.Service(name)
		require.Equal(t, s.Sent, s.Done, "idempotent work of %s stopped with the platform", name)
	}
}

// A rolling replacement of all gateways must fail no request and cut no answer.
func TestRollingReplacement(t *testing.T) {
	d := newDeployment(t, 2, 0)
	const gateways = 6
	var old []*child
	for range gateways {
		old = append(old, d.startGateway())
		d.balancer.add(old[len(old)-1])
	}
	d.balancer.waitReady(gateways)
	result, report := d.load(16*time.Second, 14, func() {
		for _, g := range old {
			replacement := d.startGateway()
			d.balancer.add(replacement)
			d.balancer.waitReady(gateways)
			g.terminate()
		}
	})
	requireNoFindings(t, report)
	for _, s := range result.Services {
		require.Zero(t, s.Errors, "%s: calls without an answer", s.Service)
		require.Zero(t, s.NotRun, "%s: calls refused", s.Service)
	}
}

// Connections to the endpoints and to the platform that go silent for good,
// while new ones work, must not cause a second execution or a false outcome,
// and every call must still get an answer.
func TestSilentConnections(t *testing.T) {
	d := newDeployment(t, 2, 3)
	result, report := d.load(9*time.Second, 18, func() {
		time.Sleep(2 * time.Second)
		d.endpointFaults(`{"faults": {"silence": true}}`)
		time.Sleep(2 * time.Second)
		d.platformFaults(`{"silence": true}`)
	})
	requireNoFindings(t, report)
	for _, s := range result.Services {
		require.Zero(t, s.Errors, "%s: calls without an answer", s.Service)
	}
}

// Operators drain VMs of every pool under load: no request in flight may be cut
// off, none may fail, and no VM may be lost from its pool.
func TestDrainsCutNothing(t *testing.T) {
	d := newDeployment(t, 2, 3)
	client := operator.NewClient(d.controllers[0].addrs["operators"], operatorKey)
	drained := 0
	result, report := d.load(10*time.Second, 15, func() {
		for _, vm := range d.vms()[:12] {
			_, err := client.Drain(t.Context(), operator.DrainRequest{VM: vm.ID, Reason: "systemtest"})
			if err == nil {
				drained++ // otherwise the budget or another move forbids it now
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
	requireNoFindings(t, report)
	require.Positive(t, drained)
	totals := d.totals()
	require.Len(t, totals, vmCount)
	for _, e := range totals {
		require.Zero(t, e.CutOff, "requests on %s were cut off", e.VM)
	}
	for _, s := range result.Services {
		require.Zero(t, s.Errors, "%s: calls without an answer", s.Service)
		require.Zero(t, s.NotRun, "%s: calls refused", s.Service)
	}
	t.Logf("%d VMs drained and rebooted", drained)
}

func requireNoFindings(t *testing.T, r *history.Report) {
	t.Helper()
	require.Empty(t, r.Findings)
	for name, c := range r.Counts {
		require.Positive(t, c.Done, "nothing of %s was served", name)
	}
}
