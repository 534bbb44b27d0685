// Package wire defines the HTTP encoding of calls to endpoints.
//
//	POST /<service>/<operation>
//
// with the headers below and the caller's body. An answer repeats
// X-Request-Id. Endpoints with the legacy behaviour status200 report an error as
// status 200 with the header X-Error, whose value starts with the status that
// other endpoints would send, as in "503 leaving".
package wire

import (
	"net/url"
	"strconv"
	"strings"
)

// Names of the HTTP headers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderAttempt   = "X-Attempt"
	HeaderDeadline  = "X-Deadline-Ms" // milliseconds left when the request was sent
	HeaderTeam      = "X-Team"
	HeaderError     = "X-Error"
)

// AppendPath appends the escaped path of an operation to dst.
func AppendPath(dst []byte, service, operation string) []byte {
	dst = append(dst, '/')
	dst = append(dst, url.PathEscape(service)...)
	dst = append(dst, '/')
	return append(dst, url.PathEscape(operation)...)
}

// ParsePath returns the service and the operation in a request target, which
// is given with its escapes. It ignores a query.
func ParsePath(target string) (service, operation string, ok bool) {
	rest, found := strings.CutPrefix(target, "/")
	if !found {
		return "", "", false
	}
	rest, _, _ = strings.Cut(rest, "?")
	first, second, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(first)
	if err != nil {
		return "", "", false
	}
	operation, err = url.PathUnescape(second)
	return service, operation, err == nil && service != "" && operation != "" && !strings.Contains(second, "/")
}

// FormatError returns the value of X-Error for a status.
func FormatError(status int, text string) string {
	return strconv.Itoa(status) + " " + text
}

// ParseError returns the status in a value of X-Error. A value that does not
// start with an error status counts as 500, since the endpoint reports some
// error of its own.
func ParseError(value string) (status int) {
	first, _, _ := strings.Cut(value, " ")
	status, err := strconv.Atoi(first)
	if err != nil || status < 400 || status > 599 {
		return 500
	}
	return status
}
