// Package platform is a stand-in of the platform for tests and experiments:
// a transactional table, an object store, a lagging VM list and workers, over
// the HTTP form of package wire. Its faults change while it runs.
package platform

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/duty"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Config configures a Server.
type Config struct {
	Listen     string // IP:port; port 0 picks a free one
	Seed       uint64 // of the probabilities
	Faults     Faults
	VMs        []structs.VM
	Workers    []store.Worker // besides the VMs, which are workers too
	RebootTime time.Duration  // for which a rebooting VM is not in the list
	Power      Power          // makes reboots real; nil only changes the list
}

// DefaultConfig returns the configuration of a platform without faults.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", Seed: 1, Faults: DefaultFaults(), RebootTime: 5 * time.Second}
}

const (
	callRing = 4096 // depth of the ring between the HTTP handlers and the state duty
	// More connections are answered with 503 by the HTTP server. Far above
	// what callers open, so that a frozen platform answers none of them while
	// callers give up and connect again.
	maxConnections = 65536
	maxBody        = 64 << 20 // bytes of an object or a transaction
)

// Server is a running stand-in.
type Server struct {
	cfg          Config
	calls        *ring.Ring[call]
	reboots      *ring.Ring[reboot]
	sup          *duty.Supervisor
	http         *fasthttp.Server
	ln           net.Listener
	replies      sync.Pool       // of chan reply
	life         context.Context // ends when the server stops
	end          context.CancelFunc
	silentBefore atomic.Int64
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		calls:   ring.New[call]("standin-platform-calls", callRing, ring.Wait),
		reboots: ring.New[reboot]("standin-platform-reboots", rebootRing, ring.Refuse),
		sup:     duty.NewSupervisor(),
	}
	s.life, s.end = context.WithCancel(context.Background())
	s.replies.New = func() any { return make(chan reply, 1) }
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           maxConnections,
		MaxRequestBodySize:    maxBody,
		ReadTimeout:           time.Minute,
		IdleTimeout:           time.Minute,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
	return s
}

// quiet drops the HTTP server's log: broken connections are the stand-in's
// purpose.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Start listens and serves.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	s.ln = ln
	st := newState(s.cfg, &s.silentBefore)
	st.callStats = s.calls.Stats
	if s.cfg.Power != nil {
		st.reboots = s.reboots
		s.sup.Add(duty.Duty{Name: "reboots", Run: func(ctx context.Context) error { return runReboots(ctx, s.reboots, s.cfg.Power) }})
	}
	s.sup.Add(duty.Duty{Name: "state", Run: func(ctx context.Context) error { return st.run(ctx, s.calls) }})
	s.sup.Add(duty.Duty{Name: "http", Run: func(context.Context) error { return s.http.Serve(ln) }})
	s.sup.Start(context.Background())
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop ends the calls in progress and closes all connections.
func (s *Server) Stop(ctx context.Context) error {
	s.end()
	s.ln.Close() // Shutdown does nothing if Serve has not run yet
	shutdown := s.http.ShutdownWithContext(ctx)
	if err := s.sup.Stop(ctx); err != nil {
		return err
	}
	if shutdown != nil && ctx.Err() != nil {
		return fmt.Errorf("platform stand-in: connections still open: %w", shutdown)
	}
	return nil
}

// ask posts an operation to the state duty and waits for the reply. It
// reports false when the server stops or hold passes first.
func (s *Server) ask(c class, op operation, hold time.Duration) (reply, bool) {
	ch := s.replies.Get().(chan reply)
	ctx, cancel := context.WithTimeout(s.life, hold)
	defer cancel()
	if s.calls.Put(ctx, call{class: c, op: op, reply: ch}) != nil {
		return reply{}, false
	}
	select {
	case r := <-ch:
		s.replies.Put(ch)
		return r, true
	case <-ctx.Done():
	}
	return reply{}, false
}

// control performs an operation for the methods below.
func (s *Server) control(op operation) reply {
	r, _ := s.ask(control, op, controlWait)
	return r
}

const controlWait = 5 * time.Second

// SetFaults replaces all fault switches.
func (s *Server) SetFaults(f Faults) { s.control(replaceFaults{f}) }

// Faults returns the switches in force.
func (s *Server) Faults() Faults { f, _ := s.control(readFaults{}).json.(Faults); return f }

// SetVMs replaces the VM list; readers see it after the lag.
func (s *Server) SetVMs(vms []structs.VM) { s.control(setVMs{vms}) }

// State returns totals and sizes.
func (s *Server) State() Snapshot { v, _ := s.control(readState{}).json.(Snapshot); return v }

// Rows returns all rows with the prefix, without limits or faults.
func (s *Server) Rows(prefix string) []store.Row {
	rows, _ := s.control(allRows{prefix}).json.([]store.Row)
	return rows
}

// Object returns an object, without limits or faults.
func (s *Server) Object(name string) ([]byte, bool) {
	r := s.control(getObject{name})
	return r.raw, r.status == fasthttp.StatusOK
}

// Runs returns all runs as they are now.
func (s *Server) Runs() []store.Run {
	runs, _ := s.control(allRuns{}).json.([]store.Run)
	return runs
}

type allRuns struct{}

func (allRuns) apply(s *state) reply {
	return ok(s.tasks.usage(s.now(), "", math.MaxInt))
}

type allRows struct{ prefix string }

func (o allRows) apply(s *state) reply { return ok(s.table.scan(o.prefix, "", len(s.table.cells))) }
