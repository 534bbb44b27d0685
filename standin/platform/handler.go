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

// maxHoldTime is the time after which an unanswered connection is closed, so
// that clients that disappeared do not occupy handlers.
const maxHoldTime = time.Minute

const headerRequestID = "X-Request-Id"

// handle runs on the HTTP server's goroutines. It decodes the call, sends it to
// the state duty and waits for the reply; it accesses no state itself.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	class, op, err := decode(ctx)
	if err != nil {
		writeReply(ctx, errorReply(fasthttp.StatusBadRequest, err.Error()))
		return
	}
	if op == nil {
		writeReply(ctx, errorReply(fasthttp.StatusNotFound, "no such path"))
		return
	}
	if class != classControl && ctx.ConnTime().UnixNano() <= s.silentUntil.Load() {
		conns.Hold(s.baseCtx, ctx.Conn(), maxHoldTime)
		return
	}
	r, answered := s.execute(class, op, maxHoldTime)
	if !answered {
		ctx.Conn().Close()
		return
	}
	if r.delay > 0 {
		s.waitDelay(r.delay)
	}
	if r.dropAnswer {
		ctx.Conn().Close()
		return
	}
	writeReply(ctx, r)
}

// waitDelay waits for d or until the server stops.
func (s *Server) waitDelay(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.baseCtx.Done():
	}
}

func writeReply(ctx *fasthttp.RequestCtx, r reply) {
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

// decode returns the operation of a call, or nil for an unknown path. It copies
// strings and bytes, because the HTTP server reuses its buffers.
func decode(ctx *fasthttp.RequestCtx) (callClass, operation, error) {
	args := ctx.QueryArgs()
	switch string(ctx.Path()) {
	case wire.PathRow:
		return classRead, getRow{string(args.Peek("key"))}, nil
	case wire.PathScan:
		limit := args.GetUintOrZero("limit")
		if limit == 0 || limit > wire.MaxScan {
			limit = wire.MaxScan
		}
		return classRead, scanRows{string(args.Peek("prefix")), string(args.Peek("after")), limit}, nil
	case wire.PathCommit:
		return decodeCommit(ctx.PostBody())
	case wire.PathObject:
		name := string(args.Peek("name"))
		if ctx.IsPut() {
			return classWrite, putObject{name, bytes.Clone(ctx.PostBody())}, nil
		}
		return classRead, getObject{name}, nil
	case wire.PathVMs:
		if ctx.IsPost() {
			return decodeVMs(ctx.PostBody())
		}
		if args.Has("known") {
			return classRead, listVMsIfChanged{string(args.Peek("known"))}, nil
		}
		return classRead, listVMs{}, nil
	case wire.PathReboot:
		return classWrite, rebootVM{string(args.Peek("id"))}, nil
	case "/faults":
		if ctx.IsPost() {
			return classControl, mergeFaults{bytes.Clone(ctx.PostBody())}, nil
		}
		return classControl, readFaults{}, nil
	case "/state":
		return classControl, readState{}, nil
	}
	return decodeTask(ctx)
}

func decodeCommit(body []byte) (callClass, operation, error) {
	var c wire.Commit
	if err := json.Unmarshal(body, &c); err != nil {
		return classWrite, nil, err
	}
	ops, err := wire.DecodeOps(c)
	return classWrite, commitOps{ops}, err
}

func decodeVMs(body []byte) (callClass, operation, error) {
	var vms []structs.VM
	err := json.Unmarshal(body, &vms)
	return classControl, setVMs{vms}, err
}
