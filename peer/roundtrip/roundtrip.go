// Package roundtrip performs single HTTP exchanges over fasthttp's connection
// pool and reports how far a failed exchange got. fasthttp's own client retries
// requests after some failures and does not report whether bytes were written.
// A request that may have been processed must not be repeated, so neither is
// acceptable here.
package roundtrip

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// maxDialTimeout is the upper bound of a connection attempt; an exchange with an
// earlier deadline uses that.
const maxDialTimeout = 5 * time.Second

// maxInterimResponses is the number of interim (1xx) responses that are accepted
// before the final one.
const maxInterimResponses = 4

// HeaderRequestID carries the request id in requests and responses.
const HeaderRequestID = "X-Request-Id"

// Errors of an exchange, wrapped in a Failure.
var (
	// ErrNoLength: the response ends where the connection ends, so a truncated
	// response can't be told from a complete one.
	ErrNoLength = errors.New("answer has neither a length nor chunks")
	// ErrIDMismatch: the response has another request's id, or none.
	ErrIDMismatch = errors.New("answer belongs to another request")
	// ErrDeadline: the deadline passed before anything was sent.
	ErrDeadline = errors.New("deadline passed before the request was sent")
)

// Options bounds the connections to one host.
type Options struct {
	MaxConns   int
	MaxAge     time.Duration // older connections are replaced; 0 means no bound
	MaxIdle    time.Duration // connections idle for longer are closed
	MaxWait    time.Duration // limit of the wait for a free connection; 0 means that an exchange fails at once if none is free
	MaxBody    int           // limit of a response's body in bytes
	BufferSize int           // bytes of each connection's read and write buffer; 0 means fasthttp's default
}

// Host is a bounded pool of connections to one address. It is safe for
// concurrent use.
type Host struct {
	hc    fasthttp.HostClient
	opt   Options
	limit atomic.Int64 // of open connections; fasthttp closes none when its own limit is lowered
}

// NewHost returns a pool for addr (IP:port) without opening a connection.
func NewHost(addr string, opt Options) *Host {
	h := &Host{opt: opt, hc: fasthttp.HostClient{
		Addr:                addr,
		DialTimeout:         dial,
		MaxConns:            opt.MaxConns,
		MaxIdleConnDuration: opt.MaxIdle,
		MaxConnWaitTimeout:  opt.MaxWait,
		ReadBufferSize:      opt.BufferSize,
		WriteBufferSize:     opt.BufferSize,
		// The most recently used connection is the least likely to be broken.
		ConnPoolStrategy: fasthttp.LIFO,
	}}
	h.limit.Store(int64(opt.MaxConns))
	return h
}

// Addr returns the address of the host.
func (h *Host) Addr() string { return h.hc.Addr }

// SetMaxConns changes the limit of open connections to n, which must be positive.
// Connections beyond a lower limit are closed, those in use after their exchange.
// While idle connections are being closed, an exchange may find none free.
func (h *Host) SetMaxConns(n int) {
	h.limit.Store(int64(n))
	h.hc.SetMaxConns(n)
	if h.hc.ConnsCount() > n {
		h.hc.CloseIdleConnections()
	}
}

// Retire closes the idle connections now and those in use after their
// exchange.
func (h *Host) Retire() {
	h.limit.Store(0)
	h.hc.CloseIdleConnections()
}

// Conns returns the number of open connections.
func (h *Host) Conns() int { return h.hc.ConnsCount() }

// CloseIdle closes the connections that no exchange uses.
func (h *Host) CloseIdle() { h.hc.CloseIdleConnections() }

// Failure is the error of Do.
type Failure struct {
	Written bool // at least one byte of the request was written to the connection
	Timeout bool
	Refused bool // the host refused the connection
	Err     error
}

// Error returns the cause and how far the exchange got.
func (f *Failure) Error() string {
	if f.Written {
		return fmt.Sprintf("after the request was sent: %v", f.Err)
	}
	return fmt.Sprintf("before the request was sent: %v", f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Exchange is one request and its response.
type Exchange struct {
	Request  *fasthttp.Request // Host and RequestURI set, the latter a path
	Response *fasthttp.Response
	ID       string // the response must repeat it in HeaderRequestID; empty means no check
	Deadline time.Time
	// AllowRefusalWithoutID accepts a 429 or 503 without an id if it is the first
	// response on its connection: a host that refuses a request before it reads
	// it does not know the id, and no earlier response can be left over.
	AllowRefusalWithoutID bool
}

// Do performs the exchange once, without retries. If it returns nil, the
// response has a complete body. A connection on which an exchange failed is
// closed.
func (h *Host) Do(x *Exchange) *Failure {
	left := time.Until(x.Deadline)
	if left <= 0 {
		return &Failure{Timeout: true, Err: ErrDeadline}
	}
	if x.ID != "" {
		x.Request.Header.Set(HeaderRequestID, x.ID)
	}
	for {
		cc, err := h.hc.AcquireConn(left, false)
		if err != nil {
			return notSent(err)
		}
		c := cc.Conn().(*conn)
		fresh := cc.LastUseTime().IsZero()
		if err := c.SetDeadline(x.Deadline); err != nil {
			h.hc.CloseConn(cc)
			return notSent(err)
		}
		if !fresh && (h.tooOld(cc.CreatedTime()) || c.stale()) {
			h.hc.CloseConn(cc)
			continue // terminates: each iteration removes a connection from the bounded pool
		}
		reusable, err := h.exchange(c, x, fresh)
		var f *Failure
		if err != nil {
			f = &Failure{Written: c.written > 0, Timeout: isTimeout(err), Err: err}
		}
		noResponse := f != nil && f.Timeout && !fresh && c.read == 0
		if reusable && h.withinLimit() {
			h.hc.ReleaseConn(cc)
		} else {
			h.hc.CloseConn(cc) // c is not used after this
		}
		if noResponse {
			// If one open connection gets no response, the others usually get
			// none either, and each would make a request miss its deadline.
			h.hc.CloseIdleConnections()
		}
		return f
	}
}

// withinLimit reports whether the open connections are within the limit.
func (h *Host) withinLimit() bool { return int64(h.hc.ConnsCount()) <= h.limit.Load() }

func (h *Host) tooOld(created time.Time) bool {
	return h.opt.MaxAge > 0 && time.Since(created) > h.opt.MaxAge
}

func notSent(err error) *Failure {
	return &Failure{Timeout: isTimeout(err), Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &ne) && ne.Timeout()
}

func (h *Host) exchange(c *conn, x *Exchange, fresh bool) (reusable bool, err error) {
	c.written, c.read = 0, 0
	bw := h.hc.AcquireWriter(c)
	err = x.Request.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	h.hc.ReleaseWriter(bw)
	if err != nil {
		return false, err
	}
	br := h.hc.AcquireReader(c)
	defer h.hc.ReleaseReader(br)
	if err := readResponse(br, x.Response, h.opt.MaxBody); err != nil {
		return false, err
	}
	if err := x.checkID(fresh); err != nil {
		return false, err
	}
	// Bytes after the response belong to no request of this connection.
	return !x.Response.ConnectionClose() && !x.Request.ConnectionClose() && br.Buffered() == 0, nil
}

func (x *Exchange) checkID(fresh bool) error {
	if x.ID == "" {
		return nil
	}
	got := x.Response.Header.Peek(HeaderRequestID)
	if string(got) == x.ID {
		return nil
	}
	if len(got) == 0 && fresh && x.AllowRefusalWithoutID && isRefusal(x.Response.StatusCode()) {
		return nil
	}
	return fmt.Errorf("%w: want id %q, got %q", ErrIDMismatch, x.ID, got)
}

func isRefusal(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
}

func readResponse(br *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	for i := 0; ; i++ {
		if err := resp.Header.Read(br); err != nil {
			return err
		}
		status := resp.StatusCode()
		if status >= 200 {
			break
		}
		if i == maxInterimResponses || status == fasthttp.StatusSwitchingProtocols {
			return fmt.Errorf("no final answer, last status %d", status)
		}
	}
	if s := resp.StatusCode(); s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		return nil
	}
	length := resp.Header.ContentLength()
	if length < -1 {
		return ErrNoLength
	}
	if err := resp.ReadBody(br, maxBody); err != nil {
		return err
	}
	if length == -1 {
		return resp.Header.ReadTrailer(br)
	}
	return nil
}
