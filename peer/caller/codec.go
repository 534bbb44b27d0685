// Package caller implements the HTTP API for callers: the server that a
// gateway runs, and a client for load tools and tests.
//
// A request is POST /v1/services/<service>/<operation> with the optional
// headers Idempotency-Key, X-Deadline-Ms, X-Team and X-Request-Id. Every
// answer has X-Outcome and X-Request-Id. A refusal has X-Reason and a JSON
// body, and Retry-After if the caller can send the request again later.
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

// Names of the HTTP headers.
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

// Limits on what a caller may send.
const (
	maxNameLen  = 128                // bytes of a service, operation, team or request id
	maxKeyLen   = 256                // bytes of an idempotency key
	maxDeadline = 7 * 24 * time.Hour // covers batch work that waits overnight; rejects waits of months
)

// Refusal is the JSON body of an answer that has no result from an endpoint.
type Refusal struct {
	RequestID    string          `json:"request_id"`
	Outcome      structs.Outcome `json:"outcome"`
	Reason       structs.Reason  `json:"reason"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	Detail       string          `json:"detail,omitempty"`
}

// malformedError reports input that is not a valid request.
type malformedError struct {
	reason structs.Reason
	detail string
}

func (e *malformedError) Error() string { return e.detail }

func badRequest(format string, args ...any) error {
	return &malformedError{reason: structs.ReasonBadRequest, detail: fmt.Sprintf(format, args...)}
}

// decodeRequest converts an HTTP request. The returned request has an id even
// if there is an error. The body is copied, since fasthttp reuses its buffers.
func decodeRequest(ctx *fasthttp.RequestCtx, now time.Time) (*structs.Request, error) {
	h := &ctx.Request.Header
	req := &structs.Request{Arrived: now}
	if err := decodeID(req, string(h.Peek(HeaderRequestID))); err != nil {
		return req, err
	}
	if !ctx.IsPost() {
		return req, badRequest("method must be POST")
	}
	if err := decodePath(req, string(ctx.Path())); err != nil {
		return req, err
	}
	req.Key, req.Team = string(h.Peek(HeaderKey)), string(h.Peek(HeaderTeam))
	if !isPrintableASCII(req.Key) || len(req.Key) > maxKeyLen {
		return req, badRequest("%s must be at most %d printable ASCII characters without spaces", HeaderKey, maxKeyLen)
	}
	if !isPrintableASCII(req.Team) || len(req.Team) > maxNameLen {
		return req, badRequest("%s must be at most %d printable ASCII characters without spaces", HeaderTeam, maxNameLen)
	}
	if err := decodeDeadline(req, string(h.Peek(HeaderDeadline))); err != nil {
		return req, err
	}
	req.ContentType = string(h.ContentType())
	req.Body = append([]byte(nil), ctx.PostBody()...)
	return req, nil
}

func decodeID(req *structs.Request, id string) error {
	if id != "" && len(id) <= maxNameLen && isPrintableASCII(id) {
		req.ID = id
		return nil
	}
	req.ID = uuid.NewString()
	if id != "" {
		return badRequest("%s must be at most %d printable ASCII characters without spaces", HeaderRequestID, maxNameLen)
	}
	return nil
}

func decodePath(req *structs.Request, path string) error {
	rest, ok := strings.CutPrefix(path, pathPrefix)
	service, operation, hasOperation := strings.Cut(rest, "/")
	if !ok || !hasOperation || !isValidName(service) || !isValidName(operation) {
		return badRequest("path must be %s<service>/<operation>", pathPrefix)
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
		return badRequest("%s must be from 1 to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	req.Deadline = req.Arrived.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// isValidName reports whether s can be the name of a service or an operation.
func isValidName(s string) bool {
	return s != "" && len(s) <= maxNameLen && isPrintableASCII(s) && !strings.Contains(s, "/")
}

// isPrintableASCII reports whether s has only printable ASCII characters and
// no spaces.
func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// refusalStatus maps reasons of refusals to HTTP status codes. Reasons that
// are not listed get 503.
var refusalStatus = map[structs.Reason]int{
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

// encodeAnswer converts an answer to an HTTP response. detail is sent only in
// a refusal.
func encodeAnswer(resp *fasthttp.Response, a *structs.Answer, detail string) {
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
	resp.SetStatusCode(statusOr(refusalStatus[a.Reason], fasthttp.StatusServiceUnavailable))
	body, err := json.Marshal(Refusal{
		RequestID: a.RequestID, Outcome: a.Outcome, Reason: a.Reason,
		RetryAfterMs: a.RetryAfter.Milliseconds(), Detail: detail,
	})
	if err == nil {
		h.SetContentType("application/json")
		resp.SetBodyRaw(body)
	}
}

// statusOr returns status if it is a final HTTP status code, and fallback
// otherwise.
func statusOr(status, fallback int) int {
	if status < 200 || status > 599 {
		return fallback
	}
	return status
}

// refusalFor returns the answer to a request that could not be decoded, and
// the detail for its body.
func refusalFor(id string, err error) (structs.Answer, string) {
	a := structs.Answer{RequestID: id, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonBadRequest}
	var m *malformedError
	if errors.As(err, &m) {
		a.Reason = m.reason
	}
	return a, err.Error()
}
