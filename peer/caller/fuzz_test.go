package caller

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/structs"
)

// Decoding must not panic on any input, and an accepted request must have the
// fields that the dispatcher relies on.
func FuzzDecodeRequest(f *testing.F) {
	for _, seed := range []string{
		"POST /v1/services/payout/pay HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nX-Deadline-Ms: 500\r\nContent-Length: 2\r\n\r\nok",
		"POST /v1/services/a/b HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: -1\r\n\r\n",
		"POST /v1/services/a%2Fb/c HTTP/1.1\r\nHost: h\r\nX-Request-Id: \x01\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	now := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		var ctx fasthttp.RequestCtx
		if ctx.Request.ReadLimitBody(bufio.NewReader(bytes.NewReader(data)), 1<<16) != nil {
			return
		}
		req, err := decodeRequest(&ctx, now)
		if err != nil {
			return
		}
		require.NotEmpty(t, req.ID)
		require.NotEmpty(t, req.Service)
		require.NotEmpty(t, req.Operation)
		require.True(t, req.Deadline.IsZero() || req.Deadline.After(now))
		encodeAnswer(&ctx.Response, &structs.Answer{RequestID: req.ID, Outcome: structs.OutcomeDone, Status: 200}, "")
	})
}
