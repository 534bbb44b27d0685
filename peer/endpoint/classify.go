package endpoint

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/endpoint/wire"
	"github.com/carobwharf/carobwharf/peer/roundtrip"
	"github.com/carobwharf/carobwharf/structs"
)

// classifyFailure says what is known when no usable answer came back.
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

// classifyAnswer takes over a whole answer.
func classifyAnswer(res *structs.EndpointResult, in *fasthttp.Response, legacy structs.Legacy) {
	res.Status = in.StatusCode()
	if e := in.Header.Peek(wire.HeaderError); legacy == structs.LegacyStatus200 && len(e) > 0 {
		res.Status = wire.ParseError(string(e))
		res.Failed = true
	}
	if refused(res.Status) {
		res.Kind = structs.EndpointRefused
		res.Detail = string(in.Body())
		res.Leaving = leaving(res.Status, in, legacy)
		return
	}
	res.Kind = structs.EndpointAnswered
	res.Failed = res.Failed || res.Status >= 500
	res.ContentType = contentType(in.Header.ContentType())
	res.Body = bytes.Clone(in.Body())
}

// contentType returns the usual types without allocating.
func contentType(b []byte) string {
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

func refused(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
}

// leaving reports whether a refusal announces that the endpoint stops. An
// endpoint that closes every connection announces nothing by closing one, and
// a refusal without the request's id only means that there are too many
// connections.
func leaving(status int, in *fasthttp.Response, legacy structs.Legacy) bool {
	return status == fasthttp.StatusServiceUnavailable && in.ConnectionClose() &&
		legacy != structs.LegacyClose && len(in.Header.Peek(wire.HeaderRequestID)) > 0
}
