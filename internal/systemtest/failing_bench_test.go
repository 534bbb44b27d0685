package systemtest

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/standin/endpoint"
)

// BenchmarkFailingEndpoint measures which part of a pool's requests goes to an
// endpoint that fails everything at once, from 5 s after it began to fail. Its
// fast failures look like free capacity. The target is less than 2%.
func BenchmarkFailingEndpoint(b *testing.B) {
	d := newDeployment(b, 2, 3)
	for b.Loop() {
		var settled []endpoint.Totals
		const victim = "vm-002" // of pool counter
		result, _ := d.load(14*time.Second, 17, func() {
			time.Sleep(2 * time.Second)
			d.endpointFaults(`{"endpoint": "` + victim + `", "faults": {"fail_all": true}}`)
			time.Sleep(5 * time.Second)
			settled = d.totals()
		})
		end := d.totals()
		d.endpointFaults(`{"endpoint": "` + victim + `", "faults": {"fail_all": false}}`)
		failed, executed := 0.0, 0.0
		for i, e := range end {
			if !d.serves("counter", e.VM) {
				continue
			}
			failed += float64(e.Failed - settled[i].Failed)
			executed += float64(e.Executed - settled[i].Executed)
		}
		b.ReportMetric(100*failed/(failed+executed), "%-to-failing")
		b.ReportMetric(float64(result.Service("check").Failed+result.Service("catalogue").Failed), "failed-answers")
	}
}

// serves reports whether the VM belongs to the pool.
func (d *deployment) serves(pool, vm string) bool {
	for _, o := range d.owners() {
		if o.VM == vm {
			return o.Pool == pool
		}
	}
	return false
}

func (d *deployment) totals() []endpoint.Totals {
	var out []endpoint.Totals
	d.control("/state", &out)
	return out
}

// endpointFaults changes fault switches of the endpoint stand-in.
func (d *deployment) endpointFaults(change string) {
	resp, err := http.Post("http://"+d.endpoints.addrs["listen"]+"/faults", "application/json", strings.NewReader(change))
	require.NoError(d.t, err)
	require.NoError(d.t, resp.Body.Close())
	require.Equal(d.t, http.StatusOK, resp.StatusCode)
}
