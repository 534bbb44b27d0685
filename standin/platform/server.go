// Package platform implements a stand-in for the platform for tests and
// experiments: a transactional table, an object store, a lagging VM list and
// workers, served over the HTTP APIs that peer/platform/wire and peer/worker/wire
// define. Faults can be injected at run time.
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
	Listen     string // IP:port; port 0 selects a free port
	Seed       uint64 // of the random faults and of the tasks' actual run times and resource use
	Faults     Faults
	VMs        []structs.VM
	Workers    []store.Worker // in addition to the VMs, which are workers too
	RebootTime time.Duration  // time for which a rebooting VM is missing from the list
	Power      PowerFunc      // switches rebooting VMs off and on; if nil, a reboot only changes the list
}

// DefaultConfig returns the configuration of a platform without faults.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", Seed: 1, Faults: DefaultFaults(), RebootTime: 5 * time.Second}
}

const (
	callRingSize = 4096 // capacity of the ring between the HTTP handlers and the state duty
	// The HTTP server answers connections beyond this number with 503. It is far
	// above what clients open: a frozen platform must not answer clients that
	// time out and connect again.
	maxConnections = 65536
	maxBody        = 64 << 20 // bytes in an object or a transaction
)

// Server is a running stand-in.
type Server struct {
	cfg         Config
	calls       *ring.Ring[call]
	reboots     *ring.Ring[reboot]
	supervisor  *duty.Supervisor
	http        *fasthttp.Server
	ln          net.Listener
	replies     sync.Pool       // of chan reply
	baseCtx     context.Context // cancelled when the server stops
	cancel      context.CancelFunc
	silentUntil atomic.Int64
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:        cfg,
		calls:      ring.New[call]("standin-platform-calls", callRingSize, ring.Wait),
		reboots:    ring.New[reboot]("standin-platform-reboots", rebootRingSize, ring.Refuse),
		supervisor: duty.NewSupervisor(),
	}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
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
		Logger:                discardLogger{},
	}
	return s
}

// discardLogger drops the HTTP server's log, because injected faults break
// connections on purpose.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Start listens on the configured address and starts to serve.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return fmt.Errorf("start platform stand-in: %w", err)
	}
	s.ln = ln
	st := newState(s.cfg, &s.silentUntil)
	st.callStats = s.calls.Stats
	if s.cfg.Power != nil {
		st.reboots = s.reboots
		s.supervisor.Add(duty.Duty{Name: "reboots", Run: func(ctx context.Context) error { return runReboots(ctx, s.reboots, s.cfg.Power) }})
	}
	s.supervisor.Add(duty.Duty{Name: "state", Run: func(ctx context.Context) error { return st.run(ctx, s.calls) }})
	s.supervisor.Add(duty.Duty{Name: "http", Run: func(context.Context) error { return s.http.Serve(ln) }})
	s.supervisor.Start(context.Background())
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop ends the calls in progress and closes all connections.
func (s *Server) Stop(ctx context.Context) error {
	s.cancel()
	s.ln.Close() // Shutdown does nothing if Serve has not run yet
	shutdownErr := s.http.ShutdownWithContext(ctx)
	if err := s.supervisor.Stop(ctx); err != nil {
		return err
	}
	if shutdownErr != nil && ctx.Err() != nil {
		return fmt.Errorf("stop platform stand-in: connections still open: %w", shutdownErr)
	}
	return nil
}

// execute sends an operation to the state duty and waits for the reply. It
// returns false if the server stops or the timeout passes first.
func (s *Server) execute(class callClass, op operation, timeout time.Duration) (reply, bool) {
	ch := s.replies.Get().(chan reply)
	ctx, cancel := context.WithTimeout(s.baseCtx, timeout)
	defer cancel()
	if s.calls.Put(ctx, call{class: class, op: op, reply: ch}) != nil {
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

// executeControl executes an operation without faults and limits. It returns a
// zero reply if the server stops or the timeout passes first.
func (s *Server) executeControl(op operation) reply {
	r, _ := s.execute(classControl, op, controlTimeout)
	return r
}

const controlTimeout = 5 * time.Second

// SetFaults replaces all rate limits and faults.
func (s *Server) SetFaults(f Faults) { s.executeControl(replaceFaults{f}) }

// Faults returns the current rate limits and faults.
func (s *Server) Faults() Faults { f, _ := s.executeControl(readFaults{}).json.(Faults); return f }

// SetVMs replaces the VM list. Clients see the new list after VMLag.
func (s *Server) SetVMs(vms []structs.VM) { s.executeControl(setVMs{vms}) }

// State returns the counters and sizes that GET /state reports.
func (s *Server) State() Snapshot { v, _ := s.executeControl(readState{}).json.(Snapshot); return v }

// Rows returns all rows with the prefix, without limits or faults.
func (s *Server) Rows(prefix string) []store.Row {
	rows, _ := s.executeControl(allRows{prefix}).json.([]store.Row)
	return rows
}

// Object returns an object, without limits or faults.
func (s *Server) Object(name string) ([]byte, bool) {
	r := s.executeControl(getObject{name})
	return r.raw, r.status == fasthttp.StatusOK
}

// Runs returns the current state of all runs.
func (s *Server) Runs() []store.Run {
	runs, _ := s.executeControl(allRuns{}).json.([]store.Run)
	return runs
}

type allRuns struct{}

func (allRuns) apply(s *state) reply {
	return okReply(s.tasks.usageReport(s.now(), "", math.MaxInt))
}

type allRows struct{ prefix string }

func (o allRows) apply(s *state) reply { return okReply(s.table.scan(o.prefix, "", len(s.table.rows))) }
