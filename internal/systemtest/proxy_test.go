package systemtest

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxyMode says what a proxy does with the connections through it.
type proxyMode int32

const (
	passes     proxyMode = iota
	delays               // each piece of data arrives delayTime later
	silent               // open connections carry nothing any more; new ones hang
	cutForward           // nothing reaches the server; what it sends arrives
	cutBack              // nothing that the server sends arrives
	resets               // connections are reset, new ones at once
)

// delayTime is how long a proxy that delays holds data back: some times the
// regular answer, below the time-outs of calls.
const delayTime = 120 * time.Millisecond

// proxy forwards TCP connections on loopback and disturbs them.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	// old is the number of connections opened before the last change of the
	// mode to silent; with hush these stay silent after it.
	opened atomic.Int64
	hushed atomic.Int64 // connections up to this number are silent for good
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

func (p *proxy) set(m proxyMode) { p.mode.Store(int32(m)) }

// hush makes all open connections silent for good, while new ones work.
func (p *proxy) hush() { p.hushed.Store(p.opened.Load()) }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn), p.opened.Add(1))
	}
}

func (p *proxy) serve(c *net.TCPConn, number int64) {
	defer c.Close()
	if proxyMode(p.mode.Load()) == resets {
		_ = c.SetLinger(0)
		return
	}
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	go func() { p.copy(s, c, cutForward, number); done <- struct{}{} }()
	go func() { p.copy(c, s, cutBack, number); done <- struct{}{} }()
	<-done
}

// copy passes data on until an end breaks off or the proxy resets. Data is
// lost while the mode is cut, as behind a partition whose sender gives up.
func (p *proxy) copy(to, from net.Conn, cut proxyMode, number int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		mode := proxyMode(p.mode.Load())
		switch {
		case mode == resets:
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			return
		case mode == silent || mode == cut || number <= p.hushed.Load():
			if err != nil {
				return
			}
			continue
		case mode == delays:
			time.Sleep(delayTime)
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
