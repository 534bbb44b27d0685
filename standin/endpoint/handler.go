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

// An unanswered connection is closed after this, so that callers that went
// away do not keep their handler.
const holdConnection = time.Minute

// Answer is the body of an answer. ID and digest show whether it belongs to
// the request and is whole.
type Answer struct {
	RequestID string `json:"id"`
	VM        string `json:"vm"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Digest    string `json:"digest"` // hex SHA-256 of the request body
	Filling   string `json:"filling,omitempty"`
}

// handle runs on an HTTP server's goroutines. It posts the request to the
// state duty and does what the verdict says; it owns no state.
func (s *Server) handle(ctx *fasthttp.RequestCtx, h *host) {
	service, operation, ok := wire.ParsePath(string(ctx.RequestURI()))
	if !ok || !ctx.IsPost() {
		ctx.Error("want POST /<service>/<operation>", fasthttp.StatusNotFound)
		return
	}
	digest := sha256.Sum256(ctx.PostBody())
	b := begin{
		host:     h,
		conn:     ctx.Conn(),
		connTime: ctx.ConnTime().UnixNano(),
		reply:    s.verdicts.Get().(chan verdict),
		effect: Effect{
			ID:        string(ctx.Request.Header.Peek(wire.HeaderRequestID)),
			Key:       string(ctx.Request.Header.Peek(wire.HeaderKey)),
			Attempt:   string(ctx.Request.Header.Peek(wire.HeaderAttempt)),
			Service:   service,
			Operation: operation,
			BodyHash:  hex.EncodeToString(digest[:]),
		},
	}
	v, answered := s.verdict(b)
	if v.silent {
		conns.Hold(s.life, ctx.Conn(), holdConnection)
		return
	}
	if !answered || v.drop {
		ctx.Conn().Close()
		return
	}
	if v.status != fasthttp.StatusOK {
		refuse(ctx, &v)
		return
	}
	finished := s.pause(v.wait)
	s.post(end{host: h, effect: v.effect, life: v.life, finished: finished})
	s.pause(v.late)
	if v.lose {
		ctx.Conn().Close()
		return
	}
	answer(ctx, &v, &b.effect, h.vm.ID)
}

func (s *Server) verdict(b begin) (verdict, bool) {
	if !s.post(b) {
		return verdict{}, false
	}
	select {
	case v := <-b.reply:
		s.verdicts.Put(b.reply)
		return v, true
	case <-s.life.Done():
		return verdict{}, false
	}
}

// pause waits; it reports false if the server stopped first.
func (s *Server) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.life.Done():
		return false
	}
}

func refuse(ctx *fasthttp.RequestCtx, v *verdict) {
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

func answer(ctx *fasthttp.RequestCtx, v *verdict, e *Effect, vm string) {
	ctx.Response.Header.Set(wire.HeaderRequestID, v.id)
	ctx.SetContentType("application/json")
	body := appendAnswer(make([]byte, 0, 256+v.service.Answer), v, e, vm)
	if v.service.Legacy == structs.LegacyClose {
		ctx.SetConnectionClose()
	}
	if v.service.Legacy == structs.LegacyChunked {
		ctx.SetBodyStream(bytes.NewReader(body), -1)
	} else {
		ctx.Response.SetBodyRaw(body)
	}
	if v.cut > 0 {
		cut(ctx, len(body), v.cut)
	}
}

// appendAnswer appends the JSON of an Answer.
func appendAnswer(dst []byte, v *verdict, e *Effect, vm string) []byte {
	for _, field := range [...]struct{ name, value string }{
		{`{"id":`, v.id}, {`,"vm":`, vm}, {`,"service":`, e.Service},
		{`,"operation":`, e.Operation}, {`,"digest":`, e.BodyHash},
	} {
		dst = append(dst, field.name...)
		dst = appendString(dst, field.value)
	}
	if v.service.Answer > 0 {
		dst = append(dst, `,"filling":"`...)
		for range v.service.Answer {
			dst = append(dst, 'x')
		}
		dst = append(dst, '"')
	}
	return append(dst, '}')
}

func appendString(dst []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(s) // strings always encode
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

// cut sends the answer up to a point within its body and closes the
// connection. For a chunked answer the point may be before the last chunk.
func cut(ctx *fasthttp.RequestCtx, body int, part float64) {
	var buf bytes.Buffer
	w := bufio.NewWriter(&buf)
	if ctx.Response.Write(w) == nil && w.Flush() == nil {
		whole := buf.Bytes()
		keep := len(whole) - 1 - int(part*float64(body-1))
		_, _ = ctx.Conn().Write(whole[:keep]) // the peer may be gone; the connection closes anyway
	}
	ctx.Conn().Close()
}

// handleControl serves faults, effects and totals.
func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	var out any
	switch string(ctx.Path()) {
	case "/faults":
		var c Change
		err := json.Unmarshal(ctx.PostBody(), &c)
		if err == nil {
			err = s.change(c.Endpoint, func(f Faults) (Faults, error) { return f.merge(c.Faults) })
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
