package systemtest

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/history"
	"github.com/carobwharf/carobwharf/peer/operator"
)

// Guards against double executions, wrong outcomes and mixed-up answers after
// SIGKILL of a gateway and a controller. Calls in flight at the killed gateway
// end without an answer; all others are answered.
func TestKillAnyProcess(t *testing.T) {
	d := newDeployment(t, 2, 3)
	victim := d.startGateway()
	d.balancer.add(victim)
	d.balancer.waitReady(4)
	_, report := d.runLoad(6*time.Second, 11, func() {
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

// A gateway that is stopped until its peers have taken over its slots must not,
// once it continues, send requests that have expired or were resolved meanwhile.
func TestFrozenGatewayAndController(t *testing.T) {
	d := newDeployment(t, 2, 3)
	frozen := d.startGateway()
	d.balancer.add(frozen)
	d.balancer.waitReady(4)
	_, report := d.runLoad(9*time.Second, 12, func() {
		time.Sleep(time.Second)
		frozen.signal(syscall.SIGSTOP)
		d.controllers[0].signal(syscall.SIGSTOP)
		time.Sleep(6 * time.Second) // longer than the leases and the lifetime of member rows
		frozen.signal(syscall.SIGCONT)
		d.controllers[0].signal(syscall.SIGCONT)
	})
	requireNoFindings(t, report)
}

// During a platform outage idempotent requests must still be served, and
// non-idempotent ones refused with a correct outcome. Writes whose answer was
// lost must be resolved.
func TestPlatformOutageAndLostAnswers(t *testing.T) {
	d := newDeployment(t, 2, 3)
	result, report := d.runLoad(9*time.Second, 13, func() {
		d.setPlatformFaults(`{"lose_answer": 0.2}`)
		time.Sleep(2 * time.Second)
		d.setPlatformFaults(`{"lose_answer": 0, "outage": true}`)
		time.Sleep(4 * time.Second)
		d.setPlatformFaults(`{"outage": false}`)
	})
	requireNoFindings(t, report)
	for _, name := range []string{"check", "catalogue", "audit"} {
		s := result.Service(name)
		require.Equal(t, s.Sent, s.Done, "idempotent requests of service %s failed during the platform outage", name)
	}
}

// A rolling replacement of all gateways must not fail a request or cut off an
// answer.
func TestRollingReplacement(t *testing.T) {
	d := newDeployment(t, 2, 0)
	const gateways = 6
	var old []*child
	for range gateways {
		old = append(old, d.startGateway())
		d.balancer.add(old[len(old)-1])
	}
	d.balancer.waitReady(gateways)
	result, report := d.runLoad(16*time.Second, 14, func() {
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

// Established connections to the endpoints and to the platform that carry no
// more data, while new ones work, must not cause a second execution or a wrong
// outcome, and every call must still get an answer.
func TestSilentConnections(t *testing.T) {
	d := newDeployment(t, 2, 3)
	result, report := d.runLoad(9*time.Second, 18, func() {
		time.Sleep(2 * time.Second)
		d.setEndpointFaults(`{"faults": {"silence": true}}`)
		time.Sleep(2 * time.Second)
		d.setPlatformFaults(`{"silence": true}`)
	})
	requireNoFindings(t, report)
	for _, s := range result.Services {
		require.Zero(t, s.Errors, "%s: calls without an answer", s.Service)
	}
}

// Operators drain VMs of every pool under load: no request in flight may be cut
// off, none may fail, and no VM may be lost from its pool.
func TestDrainsInterruptNoRequest(t *testing.T) {
	d := newDeployment(t, 2, 3)
	client := operator.NewClient(d.controllers[0].addrs["operators"], operatorKey)
	drained := 0
	result, report := d.runLoad(10*time.Second, 15, func() {
		for _, vm := range d.listVMs()[:12] {
			_, err := client.Drain(t.Context(), operator.DrainRequest{VM: vm.ID, Reason: "systemtest"})
			if err == nil {
				drained++ // an error means that the budget or another move forbids it now
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
	requireNoFindings(t, report)
	require.Positive(t, drained)
	totals := d.endpointTotals()
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
		require.Positive(t, c.Done, "no request of service %s was served", name)
	}
}
