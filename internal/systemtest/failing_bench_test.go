package systemtest

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/standin/endpoint"
)

// BenchmarkFailingEndpoint measures the share of a pool's requests that goes to
// an endpoint which fails every request immediately, from 5 s after the failures
// began. Fast failures look like free capacity. The target is less than 2%.
func BenchmarkFailingEndpoint(b *testing.B) {
	d := newDeployment(b, 2, 3)
	for b.Loop() {
		var baseline []endpoint.Totals
		const victim = "vm-002" // of pool counter
		result, _ := d.runLoad(14*time.Second, 17, func() {
			time.Sleep(2 * time.Second)
			d.setEndpointFaults(`{"endpoint": "` + victim + `", "faults": {"fail_all": true}}`)
			time.Sleep(5 * time.Second)
			baseline = d.endpointTotals()
		})
		end := d.endpointTotals()
		d.setEndpointFaults(`{"endpoint": "` + victim + `", "faults": {"fail_all": false}}`)
		failed, executed := 0.0, 0.0
		for i, e := range end {
			if !d.vmInPool("counter", e.VM) {
				continue
			}
			failed += float64(e.Failed - baseline[i].Failed)
			executed += float64(e.Executed - baseline[i].Executed)
		}
		b.ReportMetric(100*failed/(failed+executed), "%-to-failing")
		b.ReportMetric(float64(result.Service("check").Failed+result.Service("catalogue").Failed), "failed-answers")
	}
}

// vmInPool reports whether the VM belongs to the pool.
func (d *deployment) vmInPool(pool, vm string) bool {
	for _, o := range d.readOwners() {
		if o.VM == vm {
			return o.Pool == pool
		}
	}
	return false
}

func (d *deployment) endpointTotals() []endpoint.Totals {
	var out []endpoint.Totals
	d.readControl("/state", &out)
	return out
}

// setEndpointFaults changes fault settings of the endpoint stand-in.
func (d *deployment) setEndpointFaults(change string) {
	resp, err := http.Post("http://"+d.endpoints.addrs["listen"]+"/faults", "application/json", strings.NewReader(change))
	require.NoError(d.t, err)
	require.NoError(d.t, resp.Body.Close())
	require.Equal(d.t, http.StatusOK, resp.StatusCode)
}
