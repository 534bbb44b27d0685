package users

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Guards against a data race between a worker's answer and its crash.
func TestAnswerDuringCrash(t *testing.T) {
	p, err := Start(Options{Workers: 1, TaskTime: time.Hour})
	require.NoError(t, err)
	defer p.Stop()
	w := p.workers["i-0"]
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		for range 50 {
			p.Crash(w.id)
			time.Sleep(time.Millisecond)
		}
	}()
	client := &fasthttp.Client{}
	call := func(path, body string) int {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set("Target-Instance", w.id)
		req.SetRequestURI("http://" + w.addr + path)
		req.SetBodyString(body)
		require.NoError(t, client.DoTimeout(req, resp, time.Minute))
		return resp.StatusCode()
	}
	for n := 1; ; n++ {
		select {
		case <-crashed:
			return
		default:
			require.Equal(t, fasthttp.StatusOK, call("/run-start", fmt.Sprintf(`{"task":"a","attempt":%d,"deadline-ms":3600000,"fence-token":1}`, n)))
			require.Equal(t, fasthttp.StatusOK, call("/hold", `{"deadline-ms":3600000,"fence-token":1}`))
		}
	}
}
