package operator

import (
	"errors"
	"net/http"

	"github.com/carobwharf/carobwharf/structs"
)

// Code is the machine-readable kind of an error.
type Code string

// Error codes.
const (
	CodeBadRequest   Code = "bad-request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not-found"
	CodeTooLarge     Code = "too-large"
	CodeInvalid      Code = "invalid"     // the object set has problems
	CodeConflict     Code = "conflict"    // another operator changed the same objects first
	CodeBusy         Code = "busy"        // the call was not started; retry later
	CodeUnavailable  Code = "unavailable" // the call cannot be handled now, as when the platform is down; it had no effect
	CodeUnknown      Code = "unknown"     // the call may have taken effect; retry with the same id
	CodeInternal     Code = "internal"
)

var httpStatus = map[Code]int{
	CodeBadRequest:   http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound:     http.StatusNotFound,
	CodeTooLarge:     http.StatusRequestEntityTooLarge,
	CodeInvalid:      http.StatusUnprocessableEntity,
	CodeConflict:     http.StatusConflict,
	CodeBusy:         http.StatusTooManyRequests,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeUnknown:      http.StatusGatewayTimeout,
	CodeInternal:     http.StatusInternalServerError,
}

// Error is the error of an operator's call. The server sends it as JSON and the
// client returns it.
type Error struct {
	Code     Code
	Message  string
	Objects  []structs.Ref `json:",omitempty"` // of a conflict
	Findings []Finding     `json:",omitempty"` // of an invalid set
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// toError converts an error of a handler to an *Error.
func toError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Message: err.Error()}
}
