// Package wire is the HTTP form in which endpoints are called.
//
//	POST /<service>/<operation>
//
// with the headers below and the caller's body. An answer repeats
// X-Request-Id. Endpoints with the legacy form status200 report an error as
// status 200 with the header X-Error, whose value starts with the status that
// others would have given: "503 leaving".
package wire

import (
	"net/url"
	"strconv"
	"strings"
)

// Headers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderAttempt   = "X-Attempt"
	HeaderDeadline  = "X-Deadline-Ms" // ms left when the request was sent
	HeaderTeam      = "X-Team"
	HeaderError     = "X-Error"
)

// AppendPath appends the path of an operation to dst.
func AppendPath(dst []byte, service, operation string) []byte {
	dst = append(dst, '/')
	dst = append(dst, url.PathEscape(service)...)
	dst = append(dst, '/')
	return append(dst, url.PathEscape(operation)...)
}

// ParsePath returns the service and the operation of a request target as it
// is on the wire, with its escapes.
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

// FormatError returns the value of X-Error.
func FormatError(status int, text string) string {
	return strconv.Itoa(status) + " " + text
}

// ParseError returns the status in a value of X-Error. A value without a
// status counts as 500: the endpoint reports some error of its own.
func ParseError(value string) (status int) {
	first, _, _ := strings.Cut(value, " ")
	status, err := strconv.Atoi(first)
	if err != nil || status < 400 || status > 599 {
		return 500
	}
	return status
}
