// Package endpoint calls endpoints over HTTP. Each call is made exactly once:
// repeating it is the dispatcher's decision.
//
// A result says what is certain about the request. EndpointNotReached means
// that no byte of it was written. An answer counts only if it is whole and
// carries the request's own id; a connection that failed, timed out or
// carried anything unexpected is closed.
package endpoint

import (
	"context"
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/endpoint/wire"
	"github.com/carobwharf/carobwharf/peer/roundtrip"
	"github.com/carobwharf/carobwharf/structs"
)

// Options configures New. Zero fields get defaults.
type Options struct {
	ConnIdle time.Duration // idle connections are closed after this; 30 s
	ConnAge  time.Duration // older connections are replaced; 5 min
	MaxBody  int           // bytes of an answer; 4 MiB
	Timeout  time.Duration // of a request without a deadline; 5 s
}

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	opt   Options
	share atomic.Pointer[share]
	// hosts is an immutable map that is replaced as a whole; VMs change
	// rarely and calls read it without waiting.
	hosts atomic.Pointer[hostMap]
}

// hostMap has the connections of each VM.
type hostMap map[string]*host

type host struct {
	*roundtrip.Host
	conns int // of all processes together, as in structs.VM
}

// serves reports whether the host exists and fits the VM as it is now.
func (h *host) serves(vm *structs.VM) bool {
	return h != nil && h.Addr() == vm.Addr && h.conns == vm.Connections
}

// match reports whether the map has exactly these VMs, as they are now.
func (m hostMap) match(vms []structs.VM) bool {
	if len(m) != len(vms) {
		return false
	}
	for i := range vms {
		if !m[vms[i].ID].serves(&vms[i]) {
			return false
		}
	}
	return true
}

// share is this process's part of each endpoint's connections.
type share struct{ rank, processes int }

// of returns the connections that the process may open to an endpoint that
// takes n. Every process gets at least one, or it could not use the endpoint.
func (s share) of(n int) int {
	part := n / s.processes
	if s.rank < n%s.processes {
		part++
	}
	return max(part, 1)
}

// New returns a client without connections. Until SetShare is called, the
// process uses all connections of an endpoint.
func New(o Options) *Client {
	setDefault(&o.ConnIdle, 30*time.Second)
	setDefault(&o.ConnAge, 5*time.Minute)
	setDefault(&o.MaxBody, 4<<20)
	setDefault(&o.Timeout, 5*time.Second)
	c := &Client{opt: o}
	c.share.Store(&share{processes: 1})
	c.hosts.Store(&hostMap{})
	return c
}

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// SetShare says that the process has the given rank among this many that
// share each endpoint's connections. Connections beyond a smaller share are
// closed as their calls end.
func (c *Client) SetShare(rank, processes int) {
	c.share.Store(&share{rank: rank, processes: max(processes, 1)})
	c.applyShare(nil)
}

// applyShare brings all hosts to the share in force if it is not the given
// one. It starts again when the share changes meanwhile, so that the last
// share wins.
func (c *Client) applyShare(applied *share) {
	for s := c.share.Load(); s != applied; s = c.share.Load() {
		for _, h := range *c.hosts.Load() {
			h.SetMaxConns(s.of(h.conns))
		}
		applied = s
	}
}

// Retain prepares for calls to these VMs and closes the connections to all
// others, or to former addresses, those in use after their call. Calls to
// other VMs still work, but each of them copies the map of VMs once.
func (c *Client) Retain(vms []structs.VM) {
	for {
		old := c.hosts.Load()
		if old.match(vms) {
			return
		}
		s := c.share.Load()
		next := make(hostMap, len(vms))
		for i := range vms {
			vm := &vms[i]
			if h := (*old)[vm.ID]; h.serves(vm) {
				next[vm.ID] = h
			} else {
				next[vm.ID] = c.newHost(vm, s)
			}
		}
		if !c.hosts.CompareAndSwap(old, &next) {
			continue // another call added a VM meanwhile
		}
		for id, h := range *old {
			if next[id] != h {
				h.Retire()
			}
		}
		c.applyShare(s)
		return
	}
}

// Close closes all connections, those in use after their call.
func (c *Client) Close() { c.Retain(nil) }

// host returns the connections of a VM and makes them if necessary.
func (c *Client) host(vm *structs.VM) *host {
	for {
		old := c.hosts.Load()
		h, known := (*old)[vm.ID]
		if h.serves(vm) {
			return h
		}
		before := c.share.Load()
		fresh := c.newHost(vm, before)
		next := maps.Clone(*old)
		next[vm.ID] = fresh
		if !c.hosts.CompareAndSwap(old, &next) {
			continue
		}
		if known {
			h.Retire()
		}
		c.applyShare(before) // SetShare did not reach the host before it was in the map
		return fresh
	}
}

func (c *Client) newHost(vm *structs.VM, s *share) *host {
	return &host{conns: vm.Connections, Host: roundtrip.NewHost(vm.Addr, roundtrip.Options{
		MaxConns: s.of(vm.Connections),
		MaxAge:   c.opt.ConnAge,
		MaxIdle:  c.opt.ConnIdle,
		MaxBody:  c.opt.MaxBody,
	})}
}

// Do sends the request to the VM once and waits for the result until the
// request's deadline or the context's. A context that ends otherwise does not
// interrupt a call that was sent.
func (c *Client) Do(ctx context.Context, req *structs.Request, vm structs.VM, legacy structs.Legacy, attempt int) structs.EndpointResult {
	start := time.Now()
	res := structs.EndpointResult{RequestID: req.ID, Attempt: attempt, VM: vm.ID}
	if err := ctx.Err(); err != nil {
		res.Kind, res.Detail = structs.EndpointNotReached, err.Error()
		return res
	}
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	x := roundtrip.Exchange{
		Request:        out,
		Response:       in,
		ID:             req.ID,
		Deadline:       c.deadline(ctx, req, start),
		UnnamedRefusal: true,
	}
	build(out, req, vm.Addr, attempt, x.Deadline.Sub(start))
	if f := c.host(&vm).Do(&x); f != nil {
		classifyFailure(&res, f)
	} else {
		classifyAnswer(&res, in, legacy)
	}
	res.Latency = time.Since(start)
	return res
}

func (c *Client) deadline(ctx context.Context, req *structs.Request, now time.Time) time.Time {
	deadline := req.Deadline
	if deadline.IsZero() {
		deadline = now.Add(c.opt.Timeout)
	}
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

func build(out *fasthttp.Request, req *structs.Request, addr string, attempt int, left time.Duration) {
	var buf [128]byte
	out.Header.SetMethod(fasthttp.MethodPost)
	out.Header.SetHost(addr)
	out.SetRequestURIBytes(wire.AppendPath(buf[:0], req.Service, req.Operation))
	if req.ContentType != "" {
		out.Header.SetContentType(req.ContentType)
	}
	if req.Key != "" {
		out.Header.Set(wire.HeaderKey, req.Key)
	}
	if req.Team != "" {
		out.Header.Set(wire.HeaderTeam, req.Team)
	}
	out.Header.SetBytesV(wire.HeaderAttempt, strconv.AppendInt(buf[:0], int64(attempt), 10))
	out.Header.SetBytesV(wire.HeaderDeadline, strconv.AppendInt(buf[:0], left.Milliseconds(), 10))
	out.SetBodyRaw(req.Body)
}
