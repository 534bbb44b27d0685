// Package endpoint simulates endpoints for tests and experiments. One process
// hosts many endpoints, each with its own loopback address, slots, connections
// and faults, and logs the requests that they executed.
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
	eventRingSize = 8192
	maxBodyBytes  = 64 << 20 // limit of a request's body
	// Limit of the HTTP server, far above the connection limit of a VM: a frozen
	// endpoint must leave even surplus connections unanswered.
	maxConnections       = 16384
	controlTimeout       = 5 * time.Second
	maxParallelShutdowns = 32 // each HTTP server takes 100 ms to stop
)

// Server is a running stand-in.
type Server struct {
	cfg           Config
	events        *ring.Ring[event]
	supervisor    *duty.Supervisor
	hosts         []*host
	servers       []*fasthttp.Server // one for each host, then the one for the control address
	control       net.Listener
	decisionChans sync.Pool       // of chan decision
	baseCtx       context.Context // ends when the server stops
	cancel        context.CancelFunc
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:        cfg,
		events:     ring.New[event]("standin-endpoint-events", eventRingSize, ring.Wait),
		supervisor: duty.NewSupervisor(),
	}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
	s.cfg.VMs = slices.Clone(cfg.VMs)
	s.decisionChans.New = func() any { return make(chan decision, 1) }
	return s
}

// Start listens on all addresses and serves requests. If it cannot listen on one
// of them, it closes the others and returns an error.
func (s *Server) Start() error {
	if err := s.listen(); err != nil {
		s.closeListeners()
		return fmt.Errorf("endpoint stand-in: %w", err)
	}
	st := newState(s.cfg, s.hosts)
	s.supervisor.Add(duty.Duty{Name: "state", Run: func(ctx context.Context) error { return st.run(ctx, s.events) }})
	for _, h := range s.hosts {
		server := s.newHTTP(h)
		s.servers = append(s.servers, server)
		s.supervisor.Add(duty.Duty{Name: "accept-" + h.vm.ID, Run: func(ctx context.Context) error { return accept(ctx, h, server) }})
		h.listeners <- h.ln
	}
	admin := &fasthttp.Server{Handler: s.handleControl, Logger: discardLogger{}, NoDefaultServerHeader: true, CloseOnShutdown: true}
	s.servers = append(s.servers, admin)
	s.supervisor.Add(duty.Duty{Name: "control", Run: func(context.Context) error { return admin.Serve(s.control) }})
	s.supervisor.Start(context.Background())
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
			vm:        s.cfg.VMs[i],
			ln:        ln,
			listeners: make(chan net.Listener, 2),
			conns:     make(map[net.Conn]connState),
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

// accept serves the listeners of h one after the other. An endpoint gets a new
// listener when it accepts connections again after refusing them.
func accept(ctx context.Context, h *host, server *fasthttp.Server) error {
	for {
		select {
		case ln := <-h.listeners:
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
		Concurrency:           maxConnections, // the state duty enforces the limit of the VM
		MaxRequestBodySize:    maxBodyBytes,
		IdleTimeout:           time.Minute,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
		ConnState: func(c net.Conn, st fasthttp.ConnState) {
			if st == fasthttp.StateNew || st == fasthttp.StateClosed {
				s.post(connChange{host: h, conn: c, open: st == fasthttp.StateNew})
			}
		},
	}
}

// discardLogger discards the log of the HTTP server, which would report each
// connection that the stand-in breaks on purpose.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// post sends an event to the state duty. It reports false if the server has
// stopped.
func (s *Server) post(e event) bool { return s.events.Put(context.Background(), e) == nil }

// Addr returns the control address.
func (s *Server) Addr() string { return s.control.Addr().String() }

// VMs returns the VMs of the hosted endpoints with their actual addresses, for
// the platform's VM list.
func (s *Server) VMs() []structs.VM { return slices.Clone(s.cfg.VMs) }

// Stop closes all listeners and connections.
func (s *Server) Stop(ctx context.Context) error {
	s.cancel()
	pool := pond.NewPool(maxParallelShutdowns)
	for _, server := range s.servers {
		pool.Submit(func() { _ = server.ShutdownWithContext(ctx) }) // connections still open at the deadline are closed when the process exits
	}
	pool.StopAndWait()
	s.control.Close()
	err := s.supervisor.Stop(ctx)
	s.events.Close()
	return err
}

// SetFaults replaces the fault switches of one endpoint, or of all if vm is empty.
func (s *Server) SetFaults(vm string, f Faults) error {
	return s.updateFaults(vm, func(Faults) (Faults, error) { return f, nil })
}

// SetDown sets the fault switch Down of one endpoint and keeps the others. It
// can be used as Power of the platform stand-in.
func (s *Server) SetDown(vm string, down bool) error {
	return s.updateFaults(vm, func(f Faults) (Faults, error) {
		f.Down = down
		return f, nil
	})
}

func (s *Server) updateFaults(vm string, update func(Faults) (Faults, error)) error {
	return postAndWait(s, make(chan error, 1), func(reply chan error) event {
		return changeFaults{vm: vm, update: update, reply: reply}
	}, errors.New("endpoint stand-in does not answer"))
}

// Effects returns at most limit effects from the index after on; limit 0 means
// all.
func (s *Server) Effects(after, limit int) EffectPage {
	return postAndWait(s, make(chan EffectPage, 1), func(reply chan EffectPage) event {
		return readEffects{after: after, limit: limit, reply: reply}
	}, EffectPage{})
}

// Totals returns the counts of all endpoints.
func (s *Server) Totals() []Totals {
	return postAndWait(s, make(chan []Totals, 1), func(reply chan []Totals) event { return readTotals{reply} }, nil)
}

// postAndWait posts an event and returns its reply, or fallback if the server has
// stopped or does not reply within controlTimeout.
func postAndWait[T any](s *Server, reply chan T, newEvent func(chan T) event, fallback T) T {
	if !s.post(newEvent(reply)) {
		return fallback
	}
	t := time.NewTimer(controlTimeout)
	defer t.Stop()
	select {
	case v := <-reply:
		return v
	case <-t.C:
		return fallback
	}
}
