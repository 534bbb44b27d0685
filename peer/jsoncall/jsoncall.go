// Package jsoncall makes HTTP calls with JSON or raw bodies for the clients of
// the platform's services and of workers. It handles deadlines and request ids;
// the clients interpret the responses.
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

// Options configures New. Zero fields have the defaults given below.
type Options struct {
	Addr           string        // IP:port
	Timeout        time.Duration // of one call; an earlier deadline of the context takes precedence; default 2 s
	MaxConnections int           // calls beyond it wait for a connection; default 32
	MaxConnAge     time.Duration // older connections are replaced; default 1 min
	MaxIdle        time.Duration // connections idle for longer are closed; must be shorter than the host's own idle timeout; default 20 s
	MaxBody        int           // limit of a response's body in bytes; default 64 MiB
	NoRequestIDs   bool          // the host does not return request ids, so none are sent or checked
}

// Client calls one address. It is safe for concurrent use.
type Client struct {
	host     *roundtrip.Host
	timeout  time.Duration
	lastID   atomic.Uint64
	idPrefix string // makes the request ids of this client unique; "" if it sends none
}

// New returns a client. Connections are opened on demand.
func New(o Options) *Client {
	timeout := orDefault(o.Timeout, 2*time.Second)
	idPrefix := strconv.FormatInt(time.Now().UnixNano(), 36) + "-"
	if o.NoRequestIDs {
		idPrefix = ""
	}
	return &Client{
		timeout:  timeout,
		idPrefix: idPrefix,
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

// Call is a request and the handling of its response.
type Call struct {
	Method string
	Path   string
	Args   [3][2]string // query arguments; empty names are left out
	JSON   any          // body, encoded as JSON
	Raw    []byte       // body instead of JSON
	// Encoded is a body that is JSON already, instead of JSON.
	Encoded []byte
	Writes  bool         // the call may change the host's state
	Header  [3][2]string // further headers; empty names are left out
	// Timeout replaces the client's timeout if it is not zero.
	Timeout time.Duration
	// Decode reads the body of a response with status 200. It must not retain the
	// body. If it is nil, the body is ignored.
	Decode func(body []byte) error
	// StatusError returns the error for any other status. fallback is the error
	// for a status or body that is not expected.
	StatusError func(status int, body []byte, fallback error) error
}

// Do performs the call. Without a valid response it returns
// store.ErrUnavailable if the call certainly changed nothing, else
// store.ErrUnknown.
func (c *Client) Do(ctx context.Context, call *Call) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w: %w", call.Path, store.ErrUnavailable, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.buildRequest(req, call); err != nil {
		return fmt.Errorf("%s: %w: %w", call.Path, store.ErrUnavailable, err)
	}
	exchange := roundtrip.Exchange{
		Request:               req,
		Response:              resp,
		ID:                    c.requestID(),
		Deadline:              c.deadline(ctx, orDefault(call.Timeout, c.timeout)),
		AllowRefusalWithoutID: true,
	}
	if failure := c.host.Do(&exchange); failure != nil {
		return fmt.Errorf("%s: %w: %w", call.Path, noResultError(failure.Written && call.Writes), failure)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return fmt.Errorf("%s: %w", call.Path, call.StatusError(status, resp.Body(), noResultError(call.Writes)))
	}
	if call.Decode == nil {
		return nil
	}
	if err := call.Decode(resp.Body()); err != nil {
		return fmt.Errorf("%s: %w: %w", call.Path, noResultError(call.Writes), err)
	}
	return nil
}

func (c *Client) requestID() string {
	if c.idPrefix == "" {
		return ""
	}
	return c.idPrefix + strconv.FormatUint(c.lastID.Add(1), 36)
}

// noResultError returns the error for a call without a valid response.
func noResultError(mayHaveChanged bool) error {
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

func (c *Client) buildRequest(req *fasthttp.Request, call *Call) error {
	req.Header.SetMethod(call.Method)
	req.Header.SetHost(c.host.Addr())
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	for _, a := range call.Args {
		if a[0] != "" {
			args.Set(a[0], a[1])
		}
	}
	var buf [256]byte
	uri := append(buf[:0], call.Path...)
	if args.Len() > 0 {
		uri = args.AppendBytes(append(uri, '?'))
	}
	req.SetRequestURIBytes(uri)
	for _, h := range call.Header {
		if h[0] != "" {
			req.Header.Set(h[0], h[1])
		}
	}
	if call.Encoded != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(call.Encoded)
		return nil
	}
	if call.JSON != nil {
		req.Header.SetContentType("application/json")
		return json.NewEncoder(req.BodyWriter()).Encode(call.JSON)
	}
	if call.Raw != nil {
		req.SetBodyRaw(call.Raw)
	}
	return nil
}
