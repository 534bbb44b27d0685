package operator

import (
	"errors"
	"net/http"

	"github.com/carobwharf/carobwharf/structs"
)

// Code is the machine-readable kind of an error.
type Code string

// Codes of errors.
const (
	CodeBadRequest   Code = "bad-request"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not-found"
	CodeTooLarge     Code = "too-large"
	CodeInvalid      Code = "invalid"     // the set has problems
	CodeConflict     Code = "conflict"    // another operator changed the same objects first
	CodeBusy         Code = "busy"        // not started; try again later
	CodeUnavailable  Code = "unavailable" // the platform is down; nothing happened
	CodeUnknown      Code = "unknown"     // may have taken effect; repeat with the same id
	CodeInternal     Code = "internal"
)

var statusOf = map[Code]int{
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

// Error is the error of an operator's call, on both sides of the connection.
type Error struct {
	Code     Code
	Message  string
	Objects  []structs.Ref `json:",omitempty"` // of a conflict
	Findings []Finding     `json:",omitempty"` // of an invalid set
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// asError turns any error of a handler into an *Error.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Message: err.Error()}
}
