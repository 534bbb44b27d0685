package operator

import (
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/duty"
)

const (
	adminBody   = 4 << 10 // bytes; no admin call has a body
	dumpTimeout = 2 * time.Second
)

// Process is what the admin address shows of a process.
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

// Admin is the server of the admin address. Its calls need no key and change
// nothing; it listens on a loopback address unless set otherwise.
type Admin struct {
	*listener
	process Process
}

// NewAdmin listens on the address. Run serves calls.
func NewAdmin(addr string, p Process) (*Admin, error) {
	a := &Admin{process: p}
	l, err := listen(addr, adminBody, a.serve)
	if err != nil {
		return nil, err
	}
	l.http.GetOnly = true
	a.listener = l
	return a, nil
}

func (a *Admin) serve(http *fasthttp.RequestCtx) {
	switch string(http.Path()) {
	case "/healthz":
		probe(http, a.process.Healthy())
	case "/readyz":
		probe(http, a.process.Ready())
	case "/metrics":
		http.SetContentType(contentJSON)
		if err := a.process.WriteMetrics(http); err != nil {
			writeError(http, asError(err))
		}
	case "/dump":
		writeJSON(http, a.process.Dump(context.Background(), dumpTimeout))
	case "/version":
		writeJSON(http, a.process.Version())
	default:
		writeError(http, &Error{Code: CodeNotFound, Message: "want /healthz, /readyz, /metrics, /dump or /version"})
	}
}

func probe(http *fasthttp.RequestCtx, err error) {
	if err != nil {
		writeError(http, &Error{Code: CodeUnavailable, Message: err.Error()})
		return
	}
	http.SetBodyString("ok\n")
}
