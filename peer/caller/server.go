package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/httpguard"
	"github.com/carobwharf/carobwharf/structs"
)

// Submitter accepts requests for execution. The answer is sent on reply, which
// has capacity 1. An error means that the request was not accepted and will
// not run.
type Submitter interface {
	Submit(req *structs.Request, reply chan structs.Answer) error
}

// Config configures a Server.
type Config struct {
	Listen         string // IP:port
	MaxConnections int    // requests on further connections are refused
	MaxBody        int    // limit of a request's body in bytes
	MaxHeader      int    // limit of a request's headers in bytes; 0 means 16 KiB
	ReadTimeout    time.Duration
	StopTimeout    time.Duration // limit of the time that a stop waits for open connections
}

const (
	defaultMaxHeader = 16 << 10
	idleTimeout      = 75 * time.Second
	// Number of connections beyond MaxConnections that are accepted, so that
	// their requests are refused with a reason.
	maxRefusedConnections = 64
	busyRetryAfter        = time.Second
)

// Server is the HTTP server for callers. Its goroutines own no state: each
// decodes a request, submits it and waits for the answer.
type Server struct {
	cfg       Config
	submitter Submitter
	log       hclog.Logger
	http      *fasthttp.Server
	listener  net.Listener
	draining  atomic.Bool
	closed    chan struct{}
}

// NewServer returns a server. Listen opens its listener, and Run serves.
func NewServer(c Config, s Submitter, log hclog.Logger) *Server {
	if c.MaxHeader == 0 {
		c.MaxHeader = defaultMaxHeader
	}
	srv := &Server{cfg: c, submitter: s, log: log, closed: make(chan struct{})}
	srv.http = &fasthttp.Server{
		Handler:                      httpguard.Handler(log, fasthttp.StatusGatewayTimeout, srv.handle),
		ErrorHandler:                 srv.handleError,
		Concurrency:                  c.MaxConnections + maxRefusedConnections,
		ReadBufferSize:               c.MaxHeader,
		ReadTimeout:                  c.ReadTimeout,
		IdleTimeout:                  idleTimeout,
		MaxRequestBodySize:           c.MaxBody,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       debugLogger{log},
	}
	return srv
}

// debugLogger logs fasthttp's own messages at debug level, since callers that
// drop connections cause them.
type debugLogger struct{ log hclog.Logger }

func (l debugLogger) Printf(format string, args ...any) { l.log.Debug(fmt.Sprintf(format, args...)) }

// Listen opens the listener and returns its address.
func (s *Server) Listen() (string, error) {
	l, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return "", fmt.Errorf("listen for callers: %w", err)
	}
	s.listener = lingerListener{l}
	return l.Addr().String(), nil
}

// Run serves until ctx ends, then closes the connections. Requests in flight
// are answered first, for up to StopTimeout. Run is the function of a duty.
func (s *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	s.Drain()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.cfg.StopTimeout)
	defer cancel()
	err := s.http.ShutdownWithContext(stop)
	close(s.closed)
	if err != nil {
		return fmt.Errorf("close callers' connections: %w", err)
	}
	return nil
}

// Drain makes each further answer close its connection, so that callers
// connect to another gateway.
func (s *Server) Drain() { s.draining.Store(true) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	req, err := decodeRequest(ctx, time.Now())
	if err != nil {
		a, detail := refusalFor(req.ID, err)
		encodeAnswer(&ctx.Response, &a, detail)
		return
	}
	if s.http.GetOpenConnectionsCount() > int32(s.cfg.MaxConnections) {
		ctx.SetConnectionClose()
		s.refuse(ctx, req, "too many connections")
		return
	}
	reply := make(chan structs.Answer, 1)
	if err := s.submitter.Submit(req, reply); err != nil {
		s.refuse(ctx, req, err.Error())
		return
	}
	select {
	case a := <-reply:
		encodeAnswer(&ctx.Response, &a, "")
	case <-s.closed:
		a := structs.Answer{RequestID: req.ID, Outcome: structs.OutcomeUnknown, Reason: structs.ReasonDraining}
		encodeAnswer(&ctx.Response, &a, "")
	}
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// refuse answers a request that was not submitted.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, req *structs.Request, detail string) {
	a := structs.Answer{
		RequestID: req.ID, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonQueueFull, RetryAfter: busyRetryAfter,
	}
	if s.draining.Load() {
		a.Reason = structs.ReasonDraining
	}
	encodeAnswer(&ctx.Response, &a, detail)
}

// handleError answers input that fasthttp could not parse as a request.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	a := structs.Answer{RequestID: uuid.NewString(), Outcome: structs.OutcomeNotRun, Reason: structs.ReasonBadRequest}
	if c, ok := ctx.Conn().(*lingerConn); ok {
		c.linger.Store(true)
	}
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	detail, status := "request cannot be read", 0
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		a.Reason = structs.ReasonTooLarge
		detail = fmt.Sprintf("body is larger than %d bytes", s.cfg.MaxBody)
	case errors.As(err, &small):
		detail, status = fmt.Sprintf("headers are larger than %d bytes", s.cfg.MaxHeader), fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		detail, status = "request was not complete in time", fasthttp.StatusRequestTimeout
	}
	encodeAnswer(&ctx.Response, &a, detail)
	if status != 0 {
		ctx.Response.SetStatusCode(status)
	}
}
