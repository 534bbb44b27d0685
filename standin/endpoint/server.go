// Package endpoint is a stand-in of endpoints for tests and experiments. One
// process hosts many endpoints, each with its own loopback address, slots,
// connections and faults, and keeps a log of what they executed.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	eventRing = 8192
	maxBody   = 64 << 20 // bytes of a request
	// Connections of one endpoint whatever its limit. Far above the limit, so
	// that a frozen endpoint answers none of them.
	maxConnections = 16384
	controlWait    = 5 * time.Second
	stopWorkers    = 32 // HTTP servers that stop at the same time; each takes 100 ms
)

// Server is a running stand-in.
type Server struct {
	cfg      Config
	events   *ring.Ring[event]
	sup      *duty.Supervisor
	hosts    []*host
	servers  []*fasthttp.Server // of the hosts, then of the control address
	control  net.Listener
	verdicts sync.Pool       // of chan verdict
	life     context.Context // ends when the server stops
	end      context.CancelFunc
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:    cfg,
		events: ring.New[event]("standin-endpoint-events", eventRing, ring.Wait),
		sup:    duty.NewSupervisor(),
	}
	s.life, s.end = context.WithCancel(context.Background())
	s.cfg.VMs = slices.Clone(cfg.VMs)
	s.verdicts.New = func() any { return make(chan verdict, 1) }
	return s
}

// Start listens on all addresses and serves. It fails if one address cannot
// be listened on; the others are closed again then.
func (s *Server) Start() error {
	if err := s.listen(); err != nil {
		s.closeListeners()
		return fmt.Errorf("endpoint stand-in: %w", err)
	}
	st := newState(s.cfg, s.hosts)
	s.sup.Add(duty.Duty{Name: "state", Run: func(ctx context.Context) error { return st.run(ctx, s.events) }})
	for _, h := range s.hosts {
		server := s.newHTTP(h)
		s.servers = append(s.servers, server)
		s.sup.Add(duty.Duty{Name: "accept-" + h.vm.ID, Run: func(ctx context.Context) error { return accept(ctx, h, server) }})
		h.accept <- h.ln
	}
	admin := &fasthttp.Server{Handler: s.handleControl, Logger: quiet{}, NoDefaultServerHeader: true, CloseOnShutdown: true}
	s.servers = append(s.servers, admin)
	s.sup.Add(duty.Duty{Name: "control", Run: func(context.Context) error { return admin.Serve(s.control) }})
	s.sup.Start(context.Background())
	return nil
}

func (s *Server) listen() error {
	var err error
	if s.control, err = net.Listen("tcp", s.cfg.Control); err != nil {
		return err
	}
	for i := range s.cfg.VMs {
		ln, err := net.Listen("tcp", s.cfg.VMs[i].Addr)
		if err != nil {
			return err
		}
		s.cfg.VMs[i].Addr = ln.Addr().String()
		s.hosts = append(s.hosts, &host{
			vm:     s.cfg.VMs[i],
			ln:     ln,
			accept: make(chan net.Listener, 2),
			conns:  make(map[net.Conn]connState),
		})
	}
	return nil
}

func (s *Server) closeListeners() {
	if s.control != nil {
		s.control.Close()
	}
	for _, h := range s.hosts {
		if h.ln != nil {
			h.ln.Close()
		}
	}
}

// accept serves one listener after the other; an endpoint that refused
// connections gets a new one when it returns.
func accept(ctx context.Context, h *host, server *fasthttp.Server) error {
	for {
		select {
		case ln := <-h.accept:
			stop := context.AfterFunc(ctx, func() { ln.Close() })
			err := server.Serve(ln)
			stop()
			if err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				return err
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) newHTTP(h *host) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { s.handle(ctx, h) },
		Concurrency:           maxConnections, // the limit of the VM is kept by the state duty
		MaxRequestBodySize:    maxBody,
		IdleTimeout:           time.Minute,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
		ConnState: func(c net.Conn, st fasthttp.ConnState) {
			if st == fasthttp.StateNew || st == fasthttp.StateClosed {
				s.post(connChange{host: h, conn: c, open: st == fasthttp.StateNew})
			}
		},
	}
}

// quiet drops the HTTP server's log: broken connections are the stand-in's
// purpose.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// post hands an event to the state duty. It reports false when the server has
// stopped.
func (s *Server) post(e event) bool { return s.events.Put(context.Background(), e) == nil }

// Addr returns the control address.
func (s *Server) Addr() string { return s.control.Addr().String() }

// VMs returns the hosted endpoints with their addresses, which the platform's
// VM list should contain.
func (s *Server) VMs() []structs.VM { return slices.Clone(s.cfg.VMs) }

// Stop closes all listeners and connections.
func (s *Server) Stop(ctx context.Context) error {
	s.end()
	pool := pond.NewPool(stopWorkers)
	for _, server := range s.servers {
		pool.Submit(func() { _ = server.ShutdownWithContext(ctx) }) // connections left open at the deadline end with the process
	}
	pool.StopAndWait()
	s.control.Close()
	err := s.sup.Stop(ctx)
	s.events.Close()
	return err
}

// SetFaults replaces the switches of one endpoint, or of all if vm is empty.
func (s *Server) SetFaults(vm string, f Faults) error {
	return s.change(vm, func(Faults) (Faults, error) { return f, nil })
}

// SetDown turns an endpoint off or on and keeps its other switches. It fits
// the platform stand-in's Power.
func (s *Server) SetDown(vm string, down bool) error {
	return s.change(vm, func(f Faults) (Faults, error) {
		f.Down = down
		return f, nil
	})
}

func (s *Server) change(vm string, merge func(Faults) (Faults, error)) error {
	return ask(s, make(chan error, 1), func(reply chan error) event {
		return change{vm: vm, merge: merge, reply: reply}
	}, errors.New("endpoint stand-in does not answer"))
}

// Effects returns the log from the given index on; limit 0 means all.
func (s *Server) Effects(after, limit int) Log {
	return ask(s, make(chan Log, 1), func(reply chan Log) event {
		return readEffects{after: after, limit: limit, reply: reply}
	}, Log{})
}

// Totals returns the counts of all endpoints.
func (s *Server) Totals() []Totals {
	return ask(s, make(chan []Totals, 1), func(reply chan []Totals) event { return readTotals{reply} }, nil)
}

// ask posts an event and waits for its reply, or returns otherwise.
func ask[T any](s *Server, reply chan T, e func(chan T) event, otherwise T) T {
	if !s.post(e(reply)) {
		return otherwise
	}
	t := time.NewTimer(controlWait)
	defer t.Stop()
	select {
	case v := <-reply:
		return v
	case <-t.C:
		return otherwise
	}
}
