package endpoint

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/endpoint/wire"
	"github.com/carobwharf/carobwharf/peer/roundtrip"
	"github.com/carobwharf/carobwharf/structs"
)

// classifyFailure sets the result of an exchange without a valid answer.
func classifyFailure(res *structs.EndpointResult, f *roundtrip.Failure) {
	res.Detail = f.Error()
	res.Leaving = f.Refused
	switch {
	case !f.Written:
		res.Kind = structs.EndpointNotReached
	case f.Timeout:
		res.Kind = structs.EndpointTimedOut
	default:
		res.Kind = structs.EndpointNoAnswer
	}
}

// classifyAnswer sets the result of an exchange with a complete answer.
func classifyAnswer(res *structs.EndpointResult, httpResp *fasthttp.Response, legacy structs.Legacy) {
	res.Status = httpResp.StatusCode()
	if e := httpResp.Header.Peek(wire.HeaderError); legacy == structs.LegacyStatus200 && len(e) > 0 {
		res.Status = wire.ParseError(string(e))
		res.Failed = true
	}
	if isRefusal(res.Status) {
		res.Kind = structs.EndpointRefused
		res.Detail = string(httpResp.Body())
		res.Leaving = announcesStop(res.Status, httpResp, legacy)
		return
	}
	res.Kind = structs.EndpointAnswered
	res.Failed = res.Failed || res.Status >= 500
	res.ContentType = internContentType(httpResp.Header.ContentType())
	res.Body = bytes.Clone(httpResp.Body())
}

// internContentType returns b as a string, without an allocation for common
// types.
func internContentType(b []byte) string {
	switch string(b) {
	case "application/json":
		return "application/json"
	case "text/plain; charset=utf-8":
		return "text/plain; charset=utf-8"
	case "application/octet-stream":
		return "application/octet-stream"
	}
	return string(b)
}

// isRefusal reports whether the status means that the request was not run.
func isRefusal(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
}

// announcesStop reports whether a refusal announces that the endpoint is
// stopping: it has status 503 and closes the connection. With LegacyClose the
// endpoint closes every connection, so that closing one announces nothing. A
// refusal without the request's id only means too many connections.
func announcesStop(status int, httpResp *fasthttp.Response, legacy structs.Legacy) bool {
	return status == fasthttp.StatusServiceUnavailable && httpResp.ConnectionClose() &&
		legacy != structs.LegacyClose && len(httpResp.Header.Peek(wire.HeaderRequestID)) > 0
}
