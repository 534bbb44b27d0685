package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/structs"
)

// Errors of Call. After any of them the request may or may not have run.
var (
	// ErrNoAnswer means that the connection failed or the deadline passed.
	ErrNoAnswer = errors.New("no answer")
	// ErrIncomplete means that the body is shorter than its Content-Length, is
	// larger than MaxBody, or has no Content-Length, so that its end cannot be
	// told from a broken connection.
	ErrIncomplete = errors.New("answer is incomplete")
	// ErrWrongAnswer means that the answer belongs to another request, or does
	// not come from a gateway.
	ErrWrongAnswer = errors.New("answer is not to this request")
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Addr           string // IP:port of a gateway
	MaxConnections int
	MaxBody        int           // limit of an answer's body in bytes; 0 means 64 MiB
	Timeout        time.Duration // used if the context of a call has no deadline; 0 means 30 s
}

// Client calls one gateway. It never retries.
type Client struct {
	cfg  ClientConfig
	http *fasthttp.HostClient
}

// NewClient returns a client. Connections are opened when calls need them.
func NewClient(c ClientConfig) *Client {
	if c.MaxBody == 0 {
		c.MaxBody = 64 << 20
	}
	if c.Timeout == 0 {
		c.Timeout = 30 * time.Second
	}
	return &Client{cfg: c, http: &fasthttp.HostClient{
		Addr:                      c.Addr,
		MaxConns:                  c.MaxConnections,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends a request and returns the complete answer. The deadline of ctx
// limits the call; the request's own deadline is sent to the gateway.
func (c *Client) Call(ctx context.Context, req *structs.Request) (structs.Answer, error) {
	if err := ctx.Err(); err != nil {
		return structs.Answer{}, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(c.cfg.Timeout)
	}
	httpReq, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	c.encodeRequest(httpReq, req)
	if err := c.http.DoDeadline(httpReq, httpResp, deadline); err != nil {
		return structs.Answer{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer func() { _ = httpResp.CloseBodyStream() }()
	return c.decodeAnswer(httpResp, req)
}

func (c *Client) encodeRequest(httpReq *fasthttp.Request, req *structs.Request) {
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.SetRequestURI("http://" + c.cfg.Addr + pathPrefix + req.Service + "/" + req.Operation)
	set := func(name, value string) {
		if value != "" {
			httpReq.Header.Set(name, value)
		}
	}
	set(HeaderRequestID, req.ID)
	set(HeaderKey, req.Key)
	set(HeaderTeam, req.Team)
	if !req.Deadline.IsZero() {
		ms := max(1, time.Until(req.Deadline).Milliseconds())
		set(HeaderDeadline, strconv.FormatInt(ms, 10))
	}
	httpReq.Header.SetContentType(req.ContentType)
	httpReq.SetBodyRaw(req.Body)
}

func (c *Client) decodeAnswer(httpResp *fasthttp.Response, req *structs.Request) (structs.Answer, error) {
	h := &httpResp.Header
	a := structs.Answer{
		RequestID:   string(h.Peek(HeaderRequestID)),
		Outcome:     structs.Outcome(h.Peek(HeaderOutcome)),
		Reason:      structs.Reason(h.Peek(HeaderReason)),
		Status:      httpResp.StatusCode(),
		Replayed:    string(h.Peek(HeaderReplayed)) == "true",
		ContentType: string(h.ContentType()),
	}
	if seconds, err := strconv.Atoi(string(h.Peek(HeaderRetryAfter))); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	var err error
	if a.Body, err = readFullBody(httpResp, c.cfg.MaxBody); err != nil {
		return structs.Answer{}, err
	}
	switch a.Outcome {
	case structs.OutcomeDone, structs.OutcomeNotRun, structs.OutcomeUnknown:
	default:
		return structs.Answer{}, fmt.Errorf("%w: outcome %q", ErrWrongAnswer, a.Outcome)
	}
	if req.ID != "" && a.RequestID != req.ID {
		return structs.Answer{}, fmt.Errorf("%w: sent id %q, got %q", ErrWrongAnswer, req.ID, a.RequestID)
	}
	return a, nil
}

// readFullBody reads a body and checks that it is as long as its
// Content-Length says.
func readFullBody(httpResp *fasthttp.Response, limit int) ([]byte, error) {
	want := httpResp.Header.ContentLength()
	if want < 0 || want > limit {
		return nil, fmt.Errorf("%w: announced length %d", ErrIncomplete, want)
	}
	if httpResp.BodyStream() == nil {
		if body := httpResp.Body(); len(body) == want {
			return bytes.Clone(body), nil
		}
		return nil, ErrIncomplete
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.BodyStream(), int64(want)+1))
	if err != nil || len(body) != want {
		return nil, fmt.Errorf("%w: %d of %d bytes, %v", ErrIncomplete, len(body), want, err)
	}
	return body, nil
}
