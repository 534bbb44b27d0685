package platform

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/platform/wire"
	"github.com/carobwharf/carobwharf/standin/internal/conns"
	"github.com/carobwharf/carobwharf/structs"
)

// An unanswered connection is closed after this, so that callers that went
// away do not keep their handler.
const holdConnection = time.Minute

const headerRequestID = "X-Request-Id"

// handle runs on the HTTP server's goroutines. It decodes the call, posts it
// to the state duty and waits; it owns no state.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, op, err := decode(ctx)
	if err != nil {
		answer(ctx, problem(fasthttp.StatusBadRequest, err.Error()))
		return
	}
	if op == nil {
		answer(ctx, problem(fasthttp.StatusNotFound, "no such path"))
		return
	}
	if c != control && ctx.ConnTime().UnixNano() <= s.silentBefore.Load() {
		conns.Hold(s.life, ctx.Conn(), holdConnection)
		return
	}
	r, answered := s.ask(c, op, holdConnection)
	if !answered {
		ctx.Conn().Close()
		return
	}
	if r.delay > 0 {
		s.pause(r.delay)
	}
	if r.lose {
		ctx.Conn().Close()
		return
	}
	answer(ctx, r)
}

// pause waits, or less if the server stops.
func (s *Server) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.life.Done():
	}
}

func answer(ctx *fasthttp.RequestCtx, r reply) {
	if id := ctx.Request.Header.Peek(headerRequestID); len(id) > 0 {
		ctx.Response.Header.SetBytesV(headerRequestID, id)
	}
	ctx.SetStatusCode(r.status)
	if r.json == nil {
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(r.raw)
		return
	}
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(r.json); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// decode returns the operation of a call, or nil for an unknown path. Strings
// and bytes are copied: the server reuses its buffers.
func decode(ctx *fasthttp.RequestCtx) (class, operation, error) {
	args := ctx.QueryArgs()
	switch string(ctx.Path()) {
	case wire.PathRow:
		return read, getRow{string(args.Peek("key"))}, nil
	case wire.PathScan:
		limit := args.GetUintOrZero("limit")
		if limit == 0 || limit > wire.MaxScan {
			limit = wire.MaxScan
		}
		return read, scanRows{string(args.Peek("prefix")), string(args.Peek("after")), limit}, nil
	case wire.PathCommit:
		return decodeCommit(ctx.PostBody())
	case wire.PathObject:
		name := string(args.Peek("name"))
		if ctx.IsPut() {
			return write, putObject{name, bytes.Clone(ctx.PostBody())}, nil
		}
		return read, getObject{name}, nil
	case wire.PathVMs:
		if ctx.IsPost() {
			return decodeVMs(ctx.PostBody())
		}
		if args.Has("known") {
			return read, listVMsSince{string(args.Peek("known"))}, nil
		}
		return read, listVMs{}, nil
	case wire.PathReboot:
		return write, rebootVM{string(args.Peek("id"))}, nil
	case "/faults":
		if ctx.IsPost() {
			return control, mergeFaults{bytes.Clone(ctx.PostBody())}, nil
		}
		return control, readFaults{}, nil
	case "/state":
		return control, readState{}, nil
	}
	return decodeTask(ctx)
}

func decodeCommit(body []byte) (class, operation, error) {
	var c wire.Commit
	if err := json.Unmarshal(body, &c); err != nil {
		return write, nil, err
	}
	ops, err := wire.DecodeOps(c)
	return write, commitOps{ops}, err
}

func decodeVMs(body []byte) (class, operation, error) {
	var vms []structs.VM
	err := json.Unmarshal(body, &vms)
	return control, setVMs{vms}, err
}
