package main

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy forwards TCP connections to one address. While it is cut, it behaves like a
// partition: nothing passes in either direction, what a side has sent is held up and
// passes when the cut ends, and connections that are opened meanwhile are lost.
type proxy struct {
	target string
	addr   string
	mu     sync.Mutex
	cut    bool
	healed chan struct{}
	// onRequest is called with what a client has sent, before it passes. If it returns
	// true, a cut begins.
	onRequest func(data []byte) (cut bool)
	// delay returns how much later than usual a packet of a client arrives.
	delay func(data []byte) time.Duration
	// lost reports whether the path of a request is cut: neither it nor anything later on
	// its connection arrives.
	lost func(data []byte) bool
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{target: target, addr: l.Addr().String(), healed: make(chan struct{})}
	close(p.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut && !p.cut {
		p.healed = make(chan struct{})
	}
	if !cut && p.cut {
		close(p.healed)
	}
	p.cut = cut
}

func (p *proxy) state() (cut bool, healed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.healed
}

func (p *proxy) forward(c net.Conn) {
	defer c.Close()
	if cut, healed := p.state(); cut {
		// The packet that opens the connection is lost; its sender gives up.
		<-healed
		return
	}
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if from == c && n > 0 && p.onRequest != nil && p.onRequest(buf[:n]) {
				p.setCut(true)
			}
			if from == c && n > 0 && p.lost != nil && p.lost(buf[:n]) {
				_, _ = io.Copy(io.Discard, c)
				break
			}
			if from == c && n > 0 && p.delay != nil {
				time.Sleep(p.delay(buf[:n]))
			}
			cut, healed := p.state()
			<-healed // what was sent during a cut arrives after it
			if cut && wasReset(from) {
				break // what the sender of a reset has sent during a cut is lost
			}
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				if err == io.EOF {
					_ = to.(*net.TCPConn).CloseWrite()
				}
				break
			}
		}
		done <- struct{}{}
	}
	go pass(up, c)
	go pass(c, up)
	<-done
	<-done
}

// wasReset reports whether the peer has reset the connection.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	if err := raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }); err != nil {
		return true
	}
	return pending != 0
}
