// Package caller is the HTTP form of requests and answers: the server that
// callers talk to, and a client for load tools and tests.
//
// A request is POST /v1/services/<service>/<operation> with the optional
// headers Idempotency-Key, X-Deadline-Ms, X-Team and X-Request-Id. Every
// answer has X-Outcome and X-Request-Id; a refusal has X-Reason, a JSON body
// and, where it helps, Retry-After.
package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/structs"
)

// Header names of the HTTP form.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderDeadline   = "X-Deadline-Ms"
	HeaderTeam       = "X-Team"
	HeaderRequestID  = "X-Request-Id"
	HeaderOutcome    = "X-Outcome"
	HeaderReason     = "X-Reason"
	HeaderReplayed   = "X-Replayed"
	HeaderRetryAfter = "Retry-After"
	pathPrefix       = "/v1/services/"
)

// Bounds of what a caller may send.
const (
	maxName     = 128                // bytes of a service, operation, team or request id
	maxKey      = 256                // bytes of an idempotency key
	maxDeadline = 7 * 24 * time.Hour // batch work may wait overnight, not for months
)

// Refusal is the JSON body of an answer without a result.
type Refusal struct {
	RequestID    string          `json:"request_id"`
	Outcome      structs.Outcome `json:"outcome"`
	Reason       structs.Reason  `json:"reason"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	Detail       string          `json:"detail,omitempty"`
}

// malformed is an input that cannot be a request.
type malformed struct {
	reason structs.Reason
	detail string
}

func (e *malformed) Error() string { return e.detail }

func bad(format string, args ...any) error {
	return &malformed{reason: structs.ReasonBadRequest, detail: fmt.Sprintf(format, args...)}
}

// decode reads the HTTP form. The request id is set even if the rest is
// malformed. The body is copied, since fasthttp reuses its buffers.
func decode(ctx *fasthttp.RequestCtx, now time.Time) (*structs.Request, error) {
	h := &ctx.Request.Header
	req := &structs.Request{Arrived: now}
	if err := decodeID(req, string(h.Peek(HeaderRequestID))); err != nil {
		return req, err
	}
	if !ctx.IsPost() {
		return req, bad("method must be POST")
	}
	if err := decodePath(req, string(ctx.Path())); err != nil {
		return req, err
	}
	req.Key, req.Team = string(h.Peek(HeaderKey)), string(h.Peek(HeaderTeam))
	if !printable(req.Key) || len(req.Key) > maxKey {
		return req, bad("%s must be at most %d printable ASCII characters without spaces", HeaderKey, maxKey)
	}
	if !printable(req.Team) || len(req.Team) > maxName {
		return req, bad("%s must be at most %d printable ASCII characters without spaces", HeaderTeam, maxName)
	}
	if err := decodeDeadline(req, string(h.Peek(HeaderDeadline))); err != nil {
		return req, err
	}
	req.ContentType = string(h.ContentType())
	req.Body = append([]byte(nil), ctx.PostBody()...)
	return req, nil
}

func decodeID(req *structs.Request, id string) error {
	if id != "" && len(id) <= maxName && printable(id) {
		req.ID = id
		return nil
	}
	req.ID = uuid.NewString()
	if id != "" {
		return bad("%s must be at most %d printable ASCII characters without spaces", HeaderRequestID, maxName)
	}
	return nil
}

func decodePath(req *structs.Request, path string) error {
	rest, ok := strings.CutPrefix(path, pathPrefix)
	service, operation, two := strings.Cut(rest, "/")
	if !ok || !two || !name(service) || !name(operation) {
		return bad("path must be %s<service>/<operation>", pathPrefix)
	}
	req.Service, req.Operation = service, operation
	return nil
}

func decodeDeadline(req *structs.Request, text string) error {
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return bad("%s must be from 1 to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	req.Deadline = req.Arrived.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

func name(s string) bool {
	return s != "" && len(s) <= maxName && printable(s) && !strings.Contains(s, "/")
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// statusOf maps reasons of refusals to HTTP status codes.
var statusOf = map[structs.Reason]int{
	structs.ReasonBadRequest:    fasthttp.StatusBadRequest,
	structs.ReasonNoService:     fasthttp.StatusNotFound,
	structs.ReasonNoOperation:   fasthttp.StatusNotFound,
	structs.ReasonKeyRequired:   fasthttp.StatusBadRequest,
	structs.ReasonKeyReused:     fasthttp.StatusUnprocessableEntity,
	structs.ReasonInProgress:    fasthttp.StatusConflict,
	structs.ReasonTooLarge:      fasthttp.StatusRequestEntityTooLarge,
	structs.ReasonQuota:         fasthttp.StatusTooManyRequests,
	structs.ReasonEndpointError: fasthttp.StatusBadGateway,
	structs.ReasonTimeout:       fasthttp.StatusGatewayTimeout,
}

// encode writes an answer in HTTP form.
func encode(resp *fasthttp.Response, a *structs.Answer, detail string) {
	h := &resp.Header
	h.Set(HeaderOutcome, string(a.Outcome))
	h.Set(HeaderRequestID, a.RequestID)
	if a.Reason != structs.ReasonNone {
		h.Set(HeaderReason, string(a.Reason))
	}
	if a.RetryAfter > 0 {
		seconds := int((a.RetryAfter + time.Second - 1) / time.Second)
		h.Set(HeaderRetryAfter, strconv.Itoa(seconds))
	}
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if a.Outcome == structs.OutcomeDone {
		resp.SetStatusCode(statusOr(a.Status, fasthttp.StatusOK))
		if a.ContentType != "" {
			h.SetContentType(a.ContentType)
		}
		resp.SetBodyRaw(a.Body)
		return
	}
	resp.SetStatusCode(statusOr(statusOf[a.Reason], fasthttp.StatusServiceUnavailable))
	body, err := json.Marshal(Refusal{
		RequestID: a.RequestID, Outcome: a.Outcome, Reason: a.Reason,
		RetryAfterMs: a.RetryAfter.Milliseconds(), Detail: detail,
	})
	if err == nil {
		h.SetContentType("application/json")
		resp.SetBodyRaw(body)
	}
}

// statusOr returns a final HTTP status code, or the fallback for a value that
// is none.
func statusOr(status, fallback int) int {
	if status < 200 || status > 599 {
		return fallback
	}
	return status
}

// refusalOf returns the answer to an input that is not passed on.
func refusalOf(id string, err error) (structs.Answer, string) {
	a := structs.Answer{RequestID: id, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonBadRequest}
	var m *malformed
	if errors.As(err, &m) {
		a.Reason = m.reason
	}
	return a, err.Error()
}
