package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/standin/users"
)

// benchJob has 16 tasks in two steps, like the jobs of a large deployment under
// peak load.
const benchJob = `{"spec":"x","steps":[{"count":8,"cpu":1500,"mem-mb":900,"est-runtime-ms":640},{"count":8,"cpu":1500,"mem-mb":900,"est-runtime-ms":640,"after":[0]}]}`

// BenchmarkOwner runs the owner of a pool of 120 workers under peak load. Each
// iteration submits one job of 16 tasks, at 100 jobs a second. Run it with
// -cpuprofile to see where a node spends CPU time; the time in package users is
// that of the stand-in.
func BenchmarkOwner(b *testing.B) {
	p, err := users.Start(users.Options{Workers: 120, TaskTime: 640 * time.Millisecond})
	require.NoError(b, err)
	b.Cleanup(p.Stop)
	addr, _ := startNode(b, p, "node-1")
	client := &fasthttp.Client{}
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	b.ResetTimer()
	for n := range b.N {
		<-tick.C
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + addr + fmt.Sprintf("%s%016x", users.Prefix, n))
		req.Header.SetHost(users.Host)
		req.UseHostHeader = true
		req.SetBodyString(benchJob)
		require.NoError(b, client.DoTimeout(req, resp, 5*time.Second))
		require.Equal(b, fasthttp.StatusOK, resp.StatusCode())
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	}
	require.Eventually(b, func() bool { return p.CompletedRuns() >= 16*b.N }, 20*time.Second, 50*time.Millisecond)
}
