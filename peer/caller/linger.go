package caller

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Limits on reading from a connection after its input was refused.
const (
	maxLingerTime  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// lingerListener accepts connections as lingerConns.
type lingerListener struct{ net.Listener }

func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c}, nil
}

// lingerConn is a connection whose Close first discards remaining input if
// linger is set. Closing a TCP connection with unread input resets it, and the
// caller may then lose the refusal before it has read it.
type lingerConn struct {
	net.Conn
	linger atomic.Bool
}

func (c *lingerConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.linger.Load() {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(maxLingerTime))
		_, _ = io.CopyN(io.Discard, tcp, maxLingerBytes)
	}
	return c.Conn.Close()
}
