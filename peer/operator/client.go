package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/structs"
)

// maxReply bounds a reply's body in bytes: the largest set as JSON.
const maxReply = rows.MaxSetBytes

// Client calls the operators' API and the admin address. It repeats no call
// by itself.
type Client struct {
	addr string
	key  string
	http *fasthttp.HostClient
}

// NewClient returns a client for the address IP:port. key may be empty for
// the admin address.
func NewClient(addr, key string) *Client {
	return &Client{addr: addr, key: key, http: &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  4,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxReply,
		ReadTimeout:               writeTimeout,
		WriteTimeout:              writeTimeout,
	}}
}

// call is one HTTP exchange. reply is filled from JSON, or receives the bytes
// if it is a *[]byte.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, reply any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.addr + path)
	req.URI().SetQueryString(query.Encode())
	req.SetBody(body)
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(writeTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return &Error{Code: unreached(err), Message: fmt.Sprintf("%s %s at %s: %v", method, path, c.addr, err)}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return readError(method+" "+path, resp)
	}
	if raw, ok := reply.(*[]byte); ok {
		*raw = append([]byte(nil), resp.Body()...)
		return nil
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		return fmt.Errorf("%s %s: decode reply: %w", method, path, err)
	}
	return nil
}

// unreached tells a call that was not sent from one whose reply is missing.
func unreached(err error) Code {
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || isDialError(err) {
		return CodeUnavailable
	}
	return CodeUnknown
}

func readError(call string, resp *fasthttp.Response) error {
	e := &Error{}
	if err := json.Unmarshal(resp.Body(), e); err != nil || e.Code == "" {
		return &Error{Code: CodeInternal, Message: fmt.Sprintf("%s: status %d", call, resp.StatusCode())}
	}
	return e
}

// get is call for a reply of type T.
func get[T any](ctx context.Context, c *Client, method, path string, query url.Values, body []byte) (T, error) {
	var reply T
	err := c.call(ctx, method, path, query, body, &reply)
	return reply, err
}

// Submit publishes a set, given as INI text. file names the text in errors.
func (c *Client) Submit(ctx context.Context, id string, base uint64, file string, text []byte) (SubmitReply, error) {
	query := url.Values{"id": {id}, "base": {strconv.FormatUint(base, 10)}, "file": {file}}
	return get[SubmitReply](ctx, c, "POST", "/v1/config", query, text)
}

// Check checks a set, given as INI text, as the server would on submission.
func (c *Client) Check(ctx context.Context, file string, text []byte) (CheckReply, error) {
	return get[CheckReply](ctx, c, "POST", "/v1/check", url.Values{"file": {file}}, text)
}

// Config returns the configuration in force after verifying its hash.
func (c *Client) Config(ctx context.Context) (*structs.Config, error) {
	config, err := get[*structs.Config](ctx, c, "GET", "/v1/config", nil, nil)
	if err != nil {
		return nil, err
	}
	return config, rows.VerifyConfig(config)
}

// Diff returns the difference between two generations.
func (c *Client) Diff(ctx context.Context, r DiffRequest) (DiffReply, error) {
	query := url.Values{"from": {strconv.FormatUint(r.From, 10)}, "to": {strconv.FormatUint(r.To, 10)}}
	return get[DiffReply](ctx, c, "GET", "/v1/diff", query, nil)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return get[StatusReply](ctx, c, "GET", "/v1/status", nil, nil)
}

// Drain drains a VM.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (DrainReply, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return DrainReply{}, fmt.Errorf("encode drain: %w", err)
	}
	return get[DrainReply](ctx, c, "POST", "/v1/drain", nil, body)
}

// Admin returns the body of a path of the admin address.
func (c *Client) Admin(ctx context.Context, path string) ([]byte, error) {
	return get[[]byte](ctx, c, "GET", path, nil, nil)
}
