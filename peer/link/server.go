package link

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// A connection without a byte from the client for this long is closed.
// Clients replace their connections sooner, so only abandoned ones are hit.
const serverIdle = 5 * time.Minute

// Server serves the services of one process on one listener.
type Server struct {
	mux      *drpcmux.Mux
	listener net.Listener
	log      hclog.Logger
}

// Listen opens the listener. Services are registered before Run.
func Listen(addr string, log hclog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	return &Server{mux: drpcmux.New(), listener: idleListener{l}, log: log}, nil
}

// Addr returns the IP:port of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Register adds a service.
func (s *Server) Register(impl any, desc drpc.Description) error {
	return s.mux.Register(impl, desc)
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	srv := drpcserver.NewWithOptions(s.mux, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { s.log.Trace("peer connection ended", "error", err) },
	})
	return srv.Serve(ctx, s.listener)
}

type idleListener struct{ net.Listener }

func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return idleConn{c}, nil
}

type idleConn struct{ net.Conn }

func (c idleConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(serverIdle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}
