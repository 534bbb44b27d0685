package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/carobwharf/carobwharf/internal/guard"
)

// serverIdleTimeout is the time after which the server closes a connection on
// which it received nothing. It exceeds the clients' maximum connection age, so
// it closes only abandoned connections.
const serverIdleTimeout = 5 * time.Minute

// Server serves all drpc services of a process on one listener.
type Server struct {
	mux      *drpcmux.Mux
	listener net.Listener
	log      hclog.Logger
}

// Listen opens the listener. All services must be registered before Run.
func Listen(addr string, log hclog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	return &Server{mux: drpcmux.New(), listener: idleTimeoutListener{l}, log: log}, nil
}

// Addr returns the IP:port of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Register adds the drpc service that desc describes, implemented by impl.
func (s *Server) Register(impl any, desc drpc.Description) error {
	return s.mux.Register(impl, desc)
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	srv := drpcserver.NewWithOptions(guardedHandler{s.mux, s.log}, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { s.log.Trace("peer connection ended", "error", err) },
	})
	return srv.Serve(ctx, s.listener)
}

// errCallPanicked is what the caller of an RPC gets whose handling panicked.
var errCallPanicked = errors.New("the call panicked")

// guardedHandler answers an RPC whose handling panics with an error. Without it, one
// message could end the process.
type guardedHandler struct {
	drpc.Handler
	log hclog.Logger
}

// HandleRPC implements drpc.Handler.
func (h guardedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return guard.Call(h.log, rpc, errCallPanicked, func() error { return h.Handler.HandleRPC(stream, rpc) })
}

type idleTimeoutListener struct{ net.Listener }

func (l idleTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return idleTimeoutConn{c}, nil
}

type idleTimeoutConn struct{ net.Conn }

func (c idleTimeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}
