package operator

import (
	"context"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/duty"
)

const (
	maxAdminBody = 4 << 10 // bytes; no admin call has a body
	dumpTimeout  = 2 * time.Second
)

// Process provides what the admin server reports about its process.
type Process interface {
	// Healthy returns why the process should be restarted, or nil.
	Healthy() error
	// Ready returns why the process should not receive calls, or nil.
	Ready() error
	WriteMetrics(w io.Writer) error
	// Dump returns the state of every duty, waiting at most timeout.
	Dump(ctx context.Context, timeout time.Duration) []duty.Report
	Version() any
}

// Admin is the HTTP server for probes, metrics and dumps of a process. Its
// calls are read-only and need no key; by default it listens on a loopback
// address.
type Admin struct {
	*httpServer
	process Process
}

// NewAdmin opens a listener on the address. Run serves calls.
func NewAdmin(addr string, p Process, log hclog.Logger) (*Admin, error) {
	a := &Admin{process: p}
	srv, err := listen(addr, maxAdminBody, log, a.serve)
	if err != nil {
		return nil, err
	}
	srv.server.GetOnly = true
	a.httpServer = srv
	return a, nil
}

func (a *Admin) serve(http *fasthttp.RequestCtx) {
	switch string(http.Path()) {
	case "/healthz":
		writeProbeResult(http, a.process.Healthy())
	case "/readyz":
		writeProbeResult(http, a.process.Ready())
	case "/metrics":
		http.SetContentType(contentJSON)
		if err := a.process.WriteMetrics(http); err != nil {
			writeError(http, toError(err))
		}
	case "/dump":
		writeJSON(http, a.process.Dump(context.Background(), dumpTimeout))
	case "/version":
		writeJSON(http, a.process.Version())
	default:
		writeError(http, &Error{Code: CodeNotFound, Message: "want /healthz, /readyz, /metrics, /dump or /version"})
	}
}

func writeProbeResult(http *fasthttp.RequestCtx, err error) {
	if err != nil {
		writeError(http, &Error{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	http.SetBodyString("ok\n")
}
