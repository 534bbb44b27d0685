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

// maxReply limits a reply's body in bytes. The longest reply is the largest
// object set as JSON.
const maxReply = rows.MaxSetBytes

// Client calls the operators' API or an admin server. It never retries.
type Client struct {
	addr string
	key  string
	http *fasthttp.HostClient
}

// NewClient returns a client for the address IP:port. key may be empty for
// an admin server.
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

// call sends one request. It decodes the JSON body of the response into reply, or
// stores the raw body if reply is a *[]byte.
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
		return &Error{Code: transportErrorCode(err), Message: fmt.Sprintf("%s %s at %s: %v", method, path, c.addr, err)}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return decodeError(method+" "+path, resp)
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

// transportErrorCode returns CodeUnavailable for a call that was not sent, and
// CodeUnknown for one that may have been sent but got no reply.
func transportErrorCode(err error) Code {
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || isDialError(err) {
		return CodeUnavailable
	}
	return CodeUnknown
}

// decodeError returns the error in a response with a status other than 200.
func decodeError(call string, resp *fasthttp.Response) error {
	e := &Error{}
	if err := json.Unmarshal(resp.Body(), e); err != nil || e.Code == "" {
		return &Error{Code: CodeInternal, Message: fmt.Sprintf("%s: status %d", call, resp.StatusCode())}
	}
	return e
}

// callWithReply is like call but returns a reply of type T.
func callWithReply[T any](ctx context.Context, c *Client, method, path string, query url.Values, body []byte) (T, error) {
	var reply T
	err := c.call(ctx, method, path, query, body, &reply)
	return reply, err
}

// Submit publishes an object set, given as INI text. Errors refer to the text
// as file.
func (c *Client) Submit(ctx context.Context, id string, base uint64, file string, text []byte) (SubmitReply, error) {
	query := url.Values{"id": {id}, "base": {strconv.FormatUint(base, 10)}, "file": {file}}
	return callWithReply[SubmitReply](ctx, c, "POST", "/v1/config", query, text)
}

// Check validates an object set, given as INI text, as Submit would.
func (c *Client) Check(ctx context.Context, file string, text []byte) (CheckReply, error) {
	return callWithReply[CheckReply](ctx, c, "POST", "/v1/check", url.Values{"file": {file}}, text)
}

// Config returns the configuration in force. It verifies the hash.
func (c *Client) Config(ctx context.Context) (*structs.Config, error) {
	config, err := callWithReply[*structs.Config](ctx, c, "GET", "/v1/config", nil, nil)
	if err != nil {
		return nil, err
	}
	return config, rows.VerifyConfig(config)
}

// Diff returns the difference between two generations.
func (c *Client) Diff(ctx context.Context, r DiffRequest) (DiffReply, error) {
	query := url.Values{"from": {strconv.FormatUint(r.From, 10)}, "to": {strconv.FormatUint(r.To, 10)}}
	return callWithReply[DiffReply](ctx, c, "GET", "/v1/diff", query, nil)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (StatusReply, error) {
	return callWithReply[StatusReply](ctx, c, "GET", "/v1/status", nil, nil)
}

// Drain starts to drain a VM.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (DrainReply, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return DrainReply{}, fmt.Errorf("encode drain request: %w", err)
	}
	return callWithReply[DrainReply](ctx, c, "POST", "/v1/drain", nil, body)
}

// Admin returns what an admin server serves under a path.
func (c *Client) Admin(ctx context.Context, path string) ([]byte, error) {
	return callWithReply[[]byte](ctx, c, "GET", path, nil, nil)
}
