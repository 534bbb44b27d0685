package operator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of the operators' and the admin server. Operators are people and
// scripts, so few connections suffice; the timeouts free those of a client
// that went silent.
const (
	maxConcurrency = 32
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	stopTimeout    = 5 * time.Second
)

// listener is an HTTP server on one address.
type listener struct {
	listener net.Listener
	http     *fasthttp.Server
}

func listen(addr string, maxBody int, handler fasthttp.RequestHandler) (*listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return &listener{listener: l, http: &fasthttp.Server{
		Name:               "carobwharf",
		Handler:            handler,
		ErrorHandler:       malformed,
		Concurrency:        maxConcurrency,
		MaxRequestBodySize: maxBody,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		IdleTimeout:        idleTimeout,
		CloseOnShutdown:    true,
		Logger:             discard{},
	}}, nil
}

// Addr returns the address that the server listens on.
func (l *listener) Addr() string { return l.listener.Addr().String() }

// Run serves until ctx ends and lets calls in progress finish.
func (l *listener) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- l.http.Serve(l.listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve operators: %w", err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := l.http.ShutdownWithContext(stop)
	return errors.Join(err, <-served)
}

// malformed answers requests that cannot be read.
func malformed(ctx *fasthttp.RequestCtx, err error) {
	code := CodeBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		code = CodeTooLarge
	}
	writeError(ctx, &Error{Code: code, Message: err.Error()})
}

// discard drops the HTTP library's own log lines; failures of connections to
// operators are reported to the operator.
type discard struct{}

// Printf does nothing.
func (discard) Printf(string, ...any) {}

// Close closes the address of a server that does not run.
func (l *listener) Close() { _ = l.listener.Close() }
