package caller

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Bounds of what is read from a connection after a refusal of its input.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// lingerListener accepts connections that can linger.
type lingerListener struct{ net.Listener }

func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c}, nil
}

// lingerConn reads what the caller still sends before it closes, if linger is
// set. Closing a connection with unread input resets it, and the reset can
// destroy the refusal before the caller has read it.
type lingerConn struct {
	net.Conn
	linger atomic.Bool
}

func (c *lingerConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Load() {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return c.Conn.Close()
}
