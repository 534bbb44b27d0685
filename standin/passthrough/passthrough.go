// Package passthrough is the baseline for benchmarks of the gateway: a fasthttp
// server that forwards requests to the endpoints in round-robin order, without
// queues, limits, idempotency records or checks.
package passthrough

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Config configures a Server.
type Config struct {
	Listen    string        // IP:port
	Endpoints []string      // IP:port, used in round-robin order
	Timeout   time.Duration // of a forwarded request
}

// Server forwards requests to the configured endpoints.
type Server struct {
	cfg    Config
	next   atomic.Uint64
	client fasthttp.Client
	server fasthttp.Server
	ln     net.Listener
	served chan error
}

// New returns a server that has not been started.
func New(cfg Config) (*Server, error) {
	if len(cfg.Endpoints) == 0 {
		return nil, fmt.Errorf("passthrough: no endpoints given: want at least one")
	}
	s := &Server{cfg: cfg, served: make(chan error, 1)}
	s.client.MaxIdemponentCallAttempts = 1
	s.server.Handler = s.forward
	return s, nil
}

// Start listens and serves until Stop.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("passthrough: listen: %w", err)
	}
	s.ln = ln
	go func() { s.served <- s.server.Serve(ln) }()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop finishes the requests in flight and closes the listener.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.server.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("passthrough: shutdown: %w", err)
	}
	return <-s.served
}

func (s *Server) forward(ctx *fasthttp.RequestCtx) {
	target := s.cfg.Endpoints[s.next.Add(1)%uint64(len(s.cfg.Endpoints))]
	ctx.Request.SetHost(target)
	if err := s.client.DoTimeout(&ctx.Request, &ctx.Response, s.cfg.Timeout); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
	}
}
