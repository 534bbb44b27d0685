package roundtrip

import (
	"net"
	"syscall"
	"time"
)

// conn counts the bytes of the current exchange, so that a failure shows whether
// anything may have reached the peer. Only one exchange at a time uses it.
type conn struct {
	net.Conn
	written int64
	read    int64

	raw    syscall.RawConn
	peekFn func(fd uintptr) bool // created once, so that a check allocates nothing
	dead   bool                  // result of the last check
}

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > maxDialTimeout {
		timeout = maxDialTimeout
	}
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			nc.Close()
			return nil, err
		}
		c.peekFn = c.peek
	}
	return c, nil
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += int64(n)
	return n, err
}

// stale reports whether an idle connection is unusable: the peer has closed it,
// or has sent bytes that belong to no request.
func (c *conn) stale() bool {
	if c.raw == nil {
		return false
	}
	c.dead = true
	if err := c.raw.Read(c.peekFn); err != nil {
		return true
	}
	return c.dead
}

func (c *conn) peek(fd uintptr) bool {
	var buf [1]byte
	_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.dead = err != syscall.EAGAIN && err != syscall.EWOULDBLOCK && err != syscall.EINTR
	return true
}
