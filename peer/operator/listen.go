package operator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/httpguard"
)

// Limits of the operators' API and of the admin server. Operators are people
// and scripts, so few connections suffice. The timeouts free the connections
// of clients that stop responding.
const (
	maxConnections = 32
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	stopTimeout    = 5 * time.Second
)

// httpServer is an HTTP server on one address.
type httpServer struct {
	listener net.Listener
	server   *fasthttp.Server
}

func listen(addr string, maxBody int, log hclog.Logger, handler fasthttp.RequestHandler) (*httpServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("open HTTP listener: %w", err)
	}
	return &httpServer{listener: l, server: &fasthttp.Server{
		Name:               "carobwharf",
		Handler:            httpguard.Handler(log, fasthttp.StatusInternalServerError, handler),
		ErrorHandler:       handleMalformed,
		Concurrency:        maxConnections,
		MaxRequestBodySize: maxBody,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}}, nil
}

// Addr returns the address that the server listens on.
func (s *httpServer) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends, then waits up to stopTimeout for calls in
// progress.
func (s *httpServer) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve HTTP: %w", err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := s.server.ShutdownWithContext(stop)
	return errors.Join(err, <-served)
}

// handleMalformed answers requests that fasthttp could not parse.
func handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	code := CodeBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = CodeTooLarge
	}
	writeError(ctx, &Error{Code: code, Message: err.Error()})
}

// discardLogger drops fasthttp's own log lines, since operators see the errors
// of their connections themselves.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Close closes the listener of a server whose Run is not called.
func (s *httpServer) Close() { _ = s.listener.Close() }
