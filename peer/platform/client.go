// Package platform is the adapter to the platform over the HTTP form of
// package wire. It implements store.Platform.
//
// A call that certainly changed nothing fails with store.ErrUnavailable: the
// connection was refused, no byte was written, the platform answered 429 or
// 503, or the call only reads. A write that failed in any other way may have
// taken effect and fails with store.ErrUnknown.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/internal/roundtrip"
	"github.com/carobwharf/carobwharf/peer/platform/wire"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Options configures New.
type Options struct {
	Addr           string        // IP:port of the platform
	Timeout        time.Duration // of one call; an earlier deadline of the context wins
	MaxConnections int           // calls beyond it wait for a connection
	MaxConnAge     time.Duration // older connections are replaced
	MaxIdle        time.Duration // longer idle connections are closed; below the platform's own bound
	MaxBody        int           // bytes of an answer
}

// Defaults for options that are zero.
const (
	defaultTimeout     = 2 * time.Second
	defaultConnections = 32
	defaultConnAge     = time.Minute
	defaultIdle        = 20 * time.Second
	defaultBody        = 64 << 20
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	host    *roundtrip.Host
	timeout time.Duration
	calls   atomic.Uint64
	name    string // makes request ids of several clients differ
}

var _ store.Platform = (*Client)(nil)

// New returns a client; it opens connections when they are needed.
func New(o Options) *Client {
	timeout := orDefault(o.Timeout, defaultTimeout)
	return &Client{
		timeout: timeout,
		name:    strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
		host: roundtrip.NewHost(o.Addr, roundtrip.Options{
			MaxConns: orDefault(o.MaxConnections, defaultConnections),
			MaxAge:   orDefault(o.MaxConnAge, defaultConnAge),
			MaxIdle:  orDefault(o.MaxIdle, defaultIdle),
			MaxWait:  timeout,
			MaxBody:  orDefault(o.MaxBody, defaultBody),
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

// call is one exchange with the platform.
type call struct {
	method string
	path   string
	args   [3][2]string // query arguments; empty names are left out
	json   any          // body, encoded as JSON
	raw    []byte       // body instead of json
	writes bool         // the call changes something
}

// do performs a call and decodes the answer with decode, which must copy what
// it keeps.
func (c *Client) do(ctx context.Context, k *call, decode func(body []byte) error) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w: %w", k.path, store.ErrUnavailable, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.build(req, k); err != nil {
		return fmt.Errorf("%s: %w: %w", k.path, store.ErrUnavailable, err)
	}
	x := roundtrip.Exchange{
		Request:        req,
		Response:       resp,
		ID:             c.name + strconv.FormatUint(c.calls.Add(1), 36),
		Deadline:       c.deadline(ctx),
		UnnamedRefusal: true,
	}
	if f := c.host.Do(&x); f != nil {
		return fmt.Errorf("%s: %w: %w", k.path, failure(f.Written && k.writes), f)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s: %w", k.path, refusal(resp, k.writes))
	}
	if decode == nil {
		return nil
	}
	if err := decode(resp.Body()); err != nil {
		return fmt.Errorf("%s: %w: %w", k.path, failure(k.writes), err)
	}
	return nil
}

func (c *Client) deadline(ctx context.Context) time.Time {
	own := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(own) {
		return d
	}
	return own
}

func (c *Client) build(req *fasthttp.Request, k *call) error {
	req.Header.SetMethod(k.method)
	req.Header.SetHost(c.host.Addr())
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	for _, a := range k.args {
		if a[0] != "" {
			args.Set(a[0], a[1])
		}
	}
	uri := make([]byte, 0, 128)
	uri = append(uri, k.path...)
	if args.Len() > 0 {
		uri = args.AppendBytes(append(uri, '?'))
	}
	req.SetRequestURIBytes(uri)
	if k.json != nil {
		req.Header.SetContentType("application/json")
		return json.NewEncoder(req.BodyWriter()).Encode(k.json)
	}
	if k.raw != nil {
		req.SetBodyRaw(k.raw)
	}
	return nil
}

// failure returns the error for a call without a usable answer.
func failure(mayHaveChanged bool) error {
	if mayHaveChanged {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

// refusal translates an answer other than 200.
func refusal(resp *fasthttp.Response, writes bool) error {
	var p wire.Problem
	// The status decides; a body that does not parse only loses the text.
	bad := json.Unmarshal(resp.Body(), &p)
	switch resp.StatusCode() {
	case fasthttp.StatusNotFound:
		return store.ErrNotFound
	case fasthttp.StatusConflict:
		if bad != nil || len(p.Keys) == 0 {
			return fmt.Errorf("%w: conflict without keys", failure(writes))
		}
		return &store.ConflictError{Keys: p.Keys}
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusBadRequest:
		return fmt.Errorf("%w: status %d: %s", store.ErrUnavailable, resp.StatusCode(), p.Error)
	}
	return fmt.Errorf("%w: status %d: %s", failure(writes), resp.StatusCode(), p.Error)
}

// ListVMs returns the platform's VM list, which lags.
func (c *Client) ListVMs(ctx context.Context) ([]structs.VM, error) {
	var vms []structs.VM
	err := c.do(ctx, &call{method: fasthttp.MethodGet, path: wire.PathVMs}, func(body []byte) error {
		return json.Unmarshal(body, &vms)
	})
	return vms, err
}

// RebootVM starts a reboot.
func (c *Client) RebootVM(ctx context.Context, id string) error {
	return c.do(ctx, &call{
		method: fasthttp.MethodPost, path: wire.PathReboot, writes: true,
		args: [3][2]string{{"id", id}},
	}, nil)
}
