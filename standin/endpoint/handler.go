package endpoint

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/endpoint/wire"
	"github.com/carobwharf/carobwharf/standin/internal/conns"
	"github.com/carobwharf/carobwharf/structs"
)

// maxHoldTime is the time after which an unanswered connection is closed, so that
// callers that disappeared do not occupy handlers.
const maxHoldTime = time.Minute

// Answer is the body of a successful answer. RequestID and Digest let the
// caller check that it belongs to the request and is complete.
type Answer struct {
	RequestID string `json:"id"`
	VM        string `json:"vm"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Digest    string `json:"digest"` // hex SHA-256 of the request body
	Filler    string `json:"filling,omitempty"`
}

// handle runs on the goroutines of the HTTP server. It posts the request to the
// state duty and acts on the decision; it owns no state.
func (s *Server) handle(ctx *fasthttp.RequestCtx, h *host) {
	service, operation, ok := wire.ParsePath(string(ctx.RequestURI()))
	if !ok || !ctx.IsPost() {
		ctx.Error("want POST /<service>/<operation>", fasthttp.StatusNotFound)
		return
	}
	digest := sha256.Sum256(ctx.PostBody())
	b := beginRequest{
		host:     h,
		conn:     ctx.Conn(),
		connTime: ctx.ConnTime().UnixNano(),
		reply:    s.decisionChans.Get().(chan decision),
		effect: Effect{
			ID:        string(ctx.Request.Header.Peek(wire.HeaderRequestID)),
			Key:       string(ctx.Request.Header.Peek(wire.HeaderKey)),
			Attempt:   string(ctx.Request.Header.Peek(wire.HeaderAttempt)),
			Service:   service,
			Operation: operation,
			BodyHash:  hex.EncodeToString(digest[:]),
		},
	}
	v, answered := s.awaitDecision(b)
	if v.silent {
		conns.Hold(s.baseCtx, ctx.Conn(), maxHoldTime)
		return
	}
	if !answered || v.drop {
		ctx.Conn().Close()
		return
	}
	if v.status != fasthttp.StatusOK {
		writeRefusal(ctx, &v)
		return
	}
	finished := s.sleep(v.serviceTime)
	s.post(endRequest{host: h, effectIndex: v.effectIndex, generation: v.generation, finished: finished})
	s.sleep(v.answerDelay)
	if v.loseAnswer {
		ctx.Conn().Close()
		return
	}
	writeAnswer(ctx, &v, &b.effect, h.vm.ID)
}

// awaitDecision posts the request to the state duty and waits for its decision.
// It reports false if the server stopped first.
func (s *Server) awaitDecision(b beginRequest) (decision, bool) {
	if !s.post(b) {
		return decision{}, false
	}
	select {
	case v := <-b.reply:
		s.decisionChans.Put(b.reply)
		return v, true
	case <-s.baseCtx.Done():
		return decision{}, false
	}
}

// sleep waits for d and reports false if the server stopped first.
func (s *Server) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.baseCtx.Done():
		return false
	}
}

func writeRefusal(ctx *fasthttp.RequestCtx, v *decision) {
	ctx.Response.Header.Set(wire.HeaderRequestID, v.id)
	if v.service.Legacy == structs.LegacyStatus200 {
		ctx.Response.Header.Set(wire.HeaderError, wire.FormatError(v.status, v.text))
	} else {
		ctx.SetStatusCode(v.status)
	}
	if v.status != fasthttp.StatusInternalServerError {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	if v.close || v.service.Legacy == structs.LegacyClose {
		ctx.SetConnectionClose()
	}
	ctx.SetBodyString(v.text)
}

func writeAnswer(ctx *fasthttp.RequestCtx, v *decision, e *Effect, vm string) {
	ctx.Response.Header.Set(wire.HeaderRequestID, v.id)
	ctx.SetContentType("application/json")
	body := appendAnswer(make([]byte, 0, 256+v.service.FillerBytes), v, e, vm)
	if v.service.Legacy == structs.LegacyClose {
		ctx.SetConnectionClose()
	}
	if v.service.Legacy == structs.LegacyChunked {
		ctx.SetBodyStream(bytes.NewReader(body), -1)
	} else {
		ctx.Response.SetBodyRaw(body)
	}
	if v.cutFraction > 0 {
		sendTruncated(ctx, len(body), v.cutFraction)
	}
}

// appendAnswer appends the JSON of an Answer.
func appendAnswer(dst []byte, v *decision, e *Effect, vm string) []byte {
	for _, field := range [...]struct{ name, value string }{
		{`{"id":`, v.id}, {`,"vm":`, vm}, {`,"service":`, e.Service},
		{`,"operation":`, e.Operation}, {`,"digest":`, e.BodyHash},
	} {
		dst = append(dst, field.name...)
		dst = appendString(dst, field.value)
	}
	if v.service.FillerBytes > 0 {
		dst = append(dst, `,"filling":"`...)
		for range v.service.FillerBytes {
			dst = append(dst, 'x')
		}
		dst = append(dst, '"')
	}
	return append(dst, '}')
}

func appendString(dst []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // encoding a string never fails
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

// sendTruncated sends the encoded response without its end and closes the
// connection. It omits one byte plus the given fraction of the other bytes of
// the body; of a chunked answer it may omit only the final empty chunk.
func sendTruncated(ctx *fasthttp.RequestCtx, bodyLen int, fraction float64) {
	var buf bytes.Buffer
	w := bufio.NewWriter(&buf)
	if ctx.Response.Write(w) == nil && w.Flush() == nil {
		response := buf.Bytes()
		keep := len(response) - 1 - int(fraction*float64(bodyLen-1))
		_, _ = ctx.Conn().Write(response[:keep]) // the peer may have disconnected; the connection is closed in any case
	}
	ctx.Conn().Close()
}

// handleControl serves the control interface: /faults, /effects, /state and
// /vms.
func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	var out any
	switch string(ctx.Path()) {
	case "/faults":
		var c Change
		err := json.Unmarshal(ctx.PostBody(), &c)
		if err == nil {
			err = s.updateFaults(c.Endpoint, func(f Faults) (Faults, error) { return f.mergeJSON(c.Faults) })
		}
		if err != nil {
			ctx.Error(strconv.Quote(err.Error()), fasthttp.StatusBadRequest)
			return
		}
		out = struct{}{}
	case "/effects":
		args := ctx.QueryArgs()
		out = s.Effects(args.GetUintOrZero("after"), args.GetUintOrZero("limit"))
	case "/state":
		out = s.Totals()
	case "/vms":
		out = s.VMs()
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(out); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}
