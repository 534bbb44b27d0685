// Package jsoncall makes HTTP calls with JSON or raw bodies for the adapters
// of the platform and of workers. It knows deadlines and request ids; what an
// answer means is the adapter's business.
package jsoncall

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/roundtrip"
	"github.com/carobwharf/carobwharf/store"
)

// Options configures New. Zero fields get defaults.
type Options struct {
	Addr           string        // IP:port
	Timeout        time.Duration // of one call, 2 s; an earlier deadline of the context wins
	MaxConnections int           // 32; calls beyond it wait for a connection
	MaxConnAge     time.Duration // 1 min; older connections are replaced
	MaxIdle        time.Duration // 20 s; longer idle connections are closed; must be below the host's own bound
	MaxBody        int           // bytes of an answer, 64 MiB
	Anonymous      bool          // the host does not return request ids, so answers are not checked for them
}

// Client calls one address. It is safe for concurrent use.
type Client struct {
	host    *roundtrip.Host
	timeout time.Duration
	calls   atomic.Uint64
	name    string // makes the request ids of several clients differ; "" without ids
}

// New returns a client; it opens connections when they are needed.
func New(o Options) *Client {
	timeout := orDefault(o.Timeout, 2*time.Second)
	name := strconv.FormatInt(time.Now().UnixNano(), 36) + "-"
	if o.Anonymous {
		name = ""
	}
	return &Client{
		timeout: timeout,
		name:    name,
		host: roundtrip.NewHost(o.Addr, roundtrip.Options{
			MaxConns: orDefault(o.MaxConnections, 32),
			MaxAge:   orDefault(o.MaxConnAge, time.Minute),
			MaxIdle:  orDefault(o.MaxIdle, 20*time.Second),
			MaxWait:  timeout,
			MaxBody:  orDefault(o.MaxBody, 64<<20),
		}),
	}
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// Close closes the idle connections.
func (c *Client) Close() { c.host.CloseIdle() }

// Call is one call and what to do with its answer.
type Call struct {
	Method string
	Path   string
	Args   [3][2]string // query arguments; empty names are left out
	JSON   any          // body, encoded as JSON
	Raw    []byte       // body instead of JSON
	Writes bool         // the call changes something
	Header [3][2]string // further headers; empty names are left out
	// Timeout replaces the client's if it is not zero.
	Timeout time.Duration
	// Decode reads the body of a 200 and copies what it keeps; nil ignores it.
	Decode func(body []byte) error
	// Refusal translates any other status. lost is the error for an answer
	// that makes no sense.
	Refusal func(status int, body []byte, lost error) error
}

// Do performs the call. Without a usable answer it fails with
// store.ErrUnavailable if certainly nothing changed, else store.ErrUnknown.
func (c *Client) Do(ctx context.Context, k *Call) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w: %w", k.Path, store.ErrUnavailable, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.build(req, k); err != nil {
		return fmt.Errorf("%s: %w: %w", k.Path, store.ErrUnavailable, err)
	}
	x := roundtrip.Exchange{
		Request:        req,
		Response:       resp,
		ID:             c.requestID(),
		Deadline:       c.deadline(ctx, orDefault(k.Timeout, c.timeout)),
		UnnamedRefusal: true,
	}
	if f := c.host.Do(&x); f != nil {
		return fmt.Errorf("%s: %w: %w", k.Path, lost(f.Written && k.Writes), f)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return fmt.Errorf("%s: %w", k.Path, k.Refusal(status, resp.Body(), lost(k.Writes)))
	}
	if k.Decode == nil {
		return nil
	}
	if err := k.Decode(resp.Body()); err != nil {
		return fmt.Errorf("%s: %w: %w", k.Path, lost(k.Writes), err)
	}
	return nil
}

func (c *Client) requestID() string {
	if c.name == "" {
		return ""
	}
	return c.name + strconv.FormatUint(c.calls.Add(1), 36)
}

// lost returns the error for a call without a usable answer.
func lost(mayHaveChanged bool) error {
	if mayHaveChanged {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

func (c *Client) deadline(ctx context.Context, timeout time.Duration) time.Time {
	own := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(own) {
		return d
	}
	return own
}

func (c *Client) build(req *fasthttp.Request, k *Call) error {
	req.Header.SetMethod(k.Method)
	req.Header.SetHost(c.host.Addr())
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	for _, a := range k.Args {
		if a[0] != "" {
			args.Set(a[0], a[1])
		}
	}
	var buf [256]byte
	uri := append(buf[:0], k.Path...)
	if args.Len() > 0 {
		uri = args.AppendBytes(append(uri, '?'))
	}
	req.SetRequestURIBytes(uri)
	for _, h := range k.Header {
		if h[0] != "" {
			req.Header.Set(h[0], h[1])
		}
	}
	if k.JSON != nil {
		req.Header.SetContentType("application/json")
		return json.NewEncoder(req.BodyWriter()).Encode(k.JSON)
	}
	if k.Raw != nil {
		req.SetBodyRaw(k.Raw)
	}
	return nil
}
