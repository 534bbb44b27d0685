// Package conns handles connections that the stand-ins leave without an answer.
package conns

import (
	"context"
	"net"
	"time"
)

// Hold keeps a connection open without an answer until the peer closes it,
// maxTime passes or ctx ends, and then closes it. It discards what the peer
// sends.
func Hold(ctx context.Context, c net.Conn, maxTime time.Duration) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	if c.SetReadDeadline(time.Now().Add(maxTime)) != nil {
		return
	}
	var buf [512]byte
	for {
		if _, err := c.Read(buf[:]); err != nil {
			return
		}
	}
}
