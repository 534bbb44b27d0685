// Package conns holds what the stand-ins do with connections that get no
// answer.
package conns

import (
	"context"
	"net"
	"time"
)

// Hold keeps a connection without an answer until the peer closes it, the
// longest time passes, or ctx ends, and closes it then. It reads and drops
// what the peer sends.
func Hold(ctx context.Context, c net.Conn, longest time.Duration) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	if c.SetReadDeadline(time.Now().Add(longest)) != nil {
		return
	}
	var buf [512]byte
	for {
		if _, err := c.Read(buf[:]); err != nil {
			return
		}
	}
}
