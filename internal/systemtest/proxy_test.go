package systemtest

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxyMode is what a proxy does with the data of its connections.
type proxyMode int32

const (
	modePass         proxyMode = iota
	modeDelay                  // each read is forwarded proxyDelay later
	modeSilent                 // data is dropped in both directions, on open and new connections
	modeDropToServer           // data to the server is dropped
	modeDropToClient           // data from the server is dropped
	modeReset                  // open connections are reset at their next data, new ones at once
)

// proxyDelay is several times the usual response time, but below the time-outs
// of calls.
const proxyDelay = 120 * time.Millisecond

// proxy forwards TCP connections on loopback and injects faults into them.
type proxy struct {
	listener     net.Listener
	target       string
	mode         atomic.Int32
	connCount    atomic.Int64 // connections accepted so far
	silencedUpTo atomic.Int64 // data of connections up to this number is always dropped
}

func newProxy(t testing.TB, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: target}
	t.Cleanup(func() { l.Close() })
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) { p.mode.Store(int32(m)) }

// silenceOpenConns drops the data of all open connections for good, while new
// ones work.
func (p *proxy) silenceOpenConns() { p.silencedUpTo.Store(p.connCount.Load()) }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn), p.connCount.Add(1))
	}
}

func (p *proxy) serve(c *net.TCPConn, connNumber int64) {
	defer c.Close()
	if proxyMode(p.mode.Load()) == modeReset {
		_ = c.SetLinger(0)
		return
	}
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	go func() { p.relay(s, c, modeDropToServer, connNumber); done <- struct{}{} }()
	go func() { p.relay(c, s, modeDropToClient, connNumber); done <- struct{}{} }()
	<-done
}

// relay forwards data until either end closes or the proxy resets the
// connection. In modeSilent and dropMode data is dropped and not sent later, as
// in a partition that lasts until the sender gives up.
func (p *proxy) relay(to, from net.Conn, dropMode proxyMode, connNumber int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		mode := proxyMode(p.mode.Load())
		switch {
		case mode == modeReset:
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			return
		case mode == modeSilent || mode == dropMode || connNumber <= p.silencedUpTo.Load():
			if err != nil {
				return
			}
			continue
		case mode == modeDelay:
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
