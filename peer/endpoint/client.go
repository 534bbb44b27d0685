// Package endpoint calls endpoints over HTTP. A call is sent at most once:
// retries are the dispatcher's decision.
//
// A result states only what is certain about the request. EndpointNotReached
// means that no byte of it was written. An answer is accepted only if it is
// complete and carries the id of the request. A connection that failed, timed
// out or delivered anything unexpected is closed.
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

// Options configures New. Zero fields get the defaults given here.
type Options struct {
	ConnIdle time.Duration // idle connections are closed after this; default 30 s
	ConnAge  time.Duration // older connections are replaced; default 5 min
	MaxBody  int           // limit of an answer's body in bytes; default 4 MiB
	Timeout  time.Duration // used for a request without a deadline; default 5 s
}

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	opt   Options
	share atomic.Pointer[share]
	// hosts points to an immutable map that is replaced as a whole, so that
	// calls read it without a lock. VMs change rarely.
	hosts atomic.Pointer[hostMap]
}

// hostMap holds the connection pool of each VM, by the VM's id.
type hostMap map[string]*host

type host struct {
	*roundtrip.Host
	totalConns int // connection limit of the VM for all processes together
}

// matches reports whether h is not nil and has the VM's current address and
// number of connections.
func (h *host) matches(vm *structs.VM) bool {
	return h != nil && h.Addr() == vm.Addr && h.totalConns == vm.Connections
}

// matches reports whether the map has exactly these VMs, with their current
// addresses and numbers of connections.
func (m hostMap) matches(vms []structs.VM) bool {
	if len(m) != len(vms) {
		return false
	}
	for i := range vms {
		if !m[vms[i].ID].matches(&vms[i]) {
			return false
		}
	}
	return true
}

// share determines how many of each endpoint's connections this process may
// open. rank is from 0 to processes-1.
type share struct{ rank, processes int }

// maxConns returns the number of connections that the process may open to an
// endpoint that accepts n. Every process gets at least one, since it could not
// use the endpoint otherwise.
func (s share) maxConns(n int) int {
	part := n / s.processes
	if s.rank < n%s.processes {
		part++
	}
	return max(part, 1)
}

// New returns a client without connections. Until SetShare is called, the
// process may open all connections that an endpoint accepts.
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

// SetShare sets the rank of this process among the processes that share each
// endpoint's connections. If the share becomes smaller, excess connections are
// closed when their calls end.
func (c *Client) SetShare(rank, processes int) {
	c.share.Store(&share{rank: rank, processes: max(processes, 1)})
	c.applyShare(nil)
}

// applyShare sets the connection limits of all hosts from the current share,
// unless that is the share in applied. It repeats this if the share changes
// meanwhile, so that the last share takes effect.
func (c *Client) applyShare(applied *share) {
	for s := c.share.Load(); s != applied; s = c.share.Load() {
		for _, h := range *c.hosts.Load() {
			h.SetMaxConns(s.maxConns(h.totalConns))
		}
		applied = s
	}
}

// Retain prepares for calls to these VMs. It closes connections to other VMs
// and to former addresses; those in use are closed after their calls. Other
// VMs can still be called, but the first call to each copies the map of hosts.
func (c *Client) Retain(vms []structs.VM) {
	for {
		old := c.hosts.Load()
		if old.matches(vms) {
			return
		}
		s := c.share.Load()
		next := make(hostMap, len(vms))
		for i := range vms {
			vm := &vms[i]
			if h := (*old)[vm.ID]; h.matches(vm) {
				next[vm.ID] = h
			} else {
				next[vm.ID] = c.newHost(vm, s)
			}
		}
		if !c.hosts.CompareAndSwap(old, &next) {
			continue // the map was replaced concurrently
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

// Close closes all connections. Those in use are closed after their calls.
func (c *Client) Close() { c.Retain(nil) }

// host returns the host of a VM. It adds one if there is none or if the VM has
// changed.
func (c *Client) host(vm *structs.VM) *host {
	for {
		old := c.hosts.Load()
		h, exists := (*old)[vm.ID]
		if h.matches(vm) {
			return h
		}
		before := c.share.Load()
		added := c.newHost(vm, before)
		next := maps.Clone(*old)
		next[vm.ID] = added
		if !c.hosts.CompareAndSwap(old, &next) {
			continue
		}
		if exists {
			h.Retire()
		}
		c.applyShare(before) // a concurrent SetShare may not have seen the added host
		return added
	}
}

func (c *Client) newHost(vm *structs.VM, s *share) *host {
	return &host{totalConns: vm.Connections, Host: roundtrip.NewHost(vm.Addr, roundtrip.Options{
		MaxConns: s.maxConns(vm.Connections),
		MaxAge:   c.opt.ConnAge,
		MaxIdle:  c.opt.ConnIdle,
		MaxBody:  c.opt.MaxBody,
	})}
}

// Do sends the request to the VM once and waits for the result until the
// earlier of the deadlines of the request and of ctx. Cancelling ctx does not
// interrupt a call that was already started.
func (c *Client) Do(ctx context.Context, req *structs.Request, vm structs.VM, legacy structs.Legacy, attempt int) structs.EndpointResult {
	start := time.Now()
	res := structs.EndpointResult{RequestID: req.ID, Attempt: attempt, VM: vm.ID}
	if err := ctx.Err(); err != nil {
		res.Kind, res.Detail = structs.EndpointNotReached, err.Error()
		return res
	}
	httpReq, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	exchange := roundtrip.Exchange{
		Request:               httpReq,
		Response:              httpResp,
		ID:                    req.ID,
		Deadline:              c.deadline(ctx, req, start),
		AllowRefusalWithoutID: true,
	}
	buildRequest(httpReq, req, vm.Addr, attempt, exchange.Deadline.Sub(start))
	if f := c.host(&vm).Do(&exchange); f != nil {
		classifyFailure(&res, f)
	} else {
		classifyAnswer(&res, httpResp, legacy)
	}
	res.Latency = time.Since(start)
	return res
}

// deadline returns the earlier of the deadlines of the request, or its
// default, and of ctx.
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

func buildRequest(httpReq *fasthttp.Request, req *structs.Request, addr string, attempt int, remaining time.Duration) {
	var buf [128]byte
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.Header.SetHost(addr)
	httpReq.SetRequestURIBytes(wire.AppendPath(buf[:0], req.Service, req.Operation))
	if req.ContentType != "" {
		httpReq.Header.SetContentType(req.ContentType)
	}
	if req.Key != "" {
		httpReq.Header.Set(wire.HeaderKey, req.Key)
	}
	if req.Team != "" {
		httpReq.Header.Set(wire.HeaderTeam, req.Team)
	}
	httpReq.Header.SetBytesV(wire.HeaderAttempt, strconv.AppendInt(buf[:0], int64(attempt), 10))
	httpReq.Header.SetBytesV(wire.HeaderDeadline, strconv.AppendInt(buf[:0], remaining.Milliseconds(), 10))
	httpReq.SetBodyRaw(req.Body)
}
