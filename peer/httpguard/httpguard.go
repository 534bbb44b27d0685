// Package httpguard keeps a request whose handling panics from ending the process. It is
// shared by the HTTP servers of package peer and of the platform's adapter.
package httpguard

import (
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/internal/guard"
)

// Handler returns a handler that answers with the given status if h panics.
func Handler(log hclog.Logger, status int, h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ok := guard.Call(log, "HTTP request", false, func() bool {
			h(ctx)
			return true
		})
		if !ok {
			ctx.ResetBody()
			ctx.SetStatusCode(status)
		}
	}
}
