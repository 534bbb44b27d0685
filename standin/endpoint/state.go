package endpoint

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/structs"
)

// Effect is one executed request.
type Effect struct {
	ID        string    `json:"id"`
	Key       string    `json:"key,omitempty"`
	Service   string    `json:"service"`
	Operation string    `json:"operation"`
	VM        string    `json:"vm"`
	Attempt   string    `json:"attempt,omitempty"`
	BodyHash  string    `json:"body_hash"` // hex SHA-256
	Started   time.Time `json:"started"`
	Finished  time.Time `json:"finished"` // zero while it runs, or if the endpoint went down
}

// verdict is what a handler does with its request.
type verdict struct {
	status  int // other than 200: answer at once, nothing is executed
	text    string
	silent  bool // hold the connection without an answer
	drop    bool // close the connection without an answer
	close   bool // Connection: close
	service Service
	wait    time.Duration // service time
	late    time.Duration // between execution and answer
	lose    bool
	cut     float64 // part of the answer that is sent before the connection closes; 0 sends all
	id      string  // id in the answer
	effect  int     // index in the log; -1 if the log is full
	life    int     // of the host, when the request began
}

// event is a message to the state duty; apply runs there only.
type event interface{ apply(s *state) }

// held bounds the requests that one frozen endpoint holds.
const maxHeld = 1024

// host is one endpoint.
type host struct {
	vm      structs.VM
	faults  Faults
	since   time.Time // when the faults were set
	silence int64     // ns since the epoch; connections opened until then are silent
	busy    int       // slots in use
	life    int       // grows when the endpoint goes down
	held    []begin
	conns   map[net.Conn]connState
	ln      net.Listener // nil while connections are refused
	accept  chan net.Listener
	lastID  string
	totals  Totals
}

// connState is what is known of an open connection.
type connState struct {
	surplus bool // opened beyond the VM's limit
}

// Totals are counts of one endpoint since the start.
type Totals struct {
	VM        string `json:"vm"`
	Executed  int64  `json:"executed"`
	Refused   int64  `json:"refused"` // no slot, too many connections, or leaving
	Failed    int64  `json:"failed"`  // fail_all or flapping
	CutOff    int64  `json:"cut_off"` // being executed when the endpoint went down
	Busy      int    `json:"busy"`
	Held      int    `json:"held"` // by freeze, now
	PeakBusy  int    `json:"peak_busy"`
	Conns     int    `json:"conns"`
	PeakConns int    `json:"peak_conns"`
	Problem   string `json:"problem,omitempty"` // why the address could not be listened on
}

// state is everything that the endpoints keep. One duty owns it.
type state struct {
	cfg     Config
	hosts   []*host
	rng     *rand.Rand
	effects []Effect
	dropped int64 // effects beyond the bound of the log
	wake    *time.Timer
}

func newState(cfg Config, hosts []*host) *state {
	wake := time.NewTimer(0)
	wake.Stop()
	return &state{cfg: cfg, hosts: hosts, wake: wake, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

// run serves events until ctx ends.
func (s *state) run(ctx context.Context, events *ring.Ring[event]) error {
	defer s.wake.Stop()
	for {
		select {
		case e := <-events.C():
			e.apply(s)
		case <-s.wake.C:
			s.reconcile()
		case <-ctx.Done():
			return nil
		}
	}
}

// begin asks what to do with a request.
type begin struct {
	host     *host
	conn     net.Conn
	connTime int64 // ns since the epoch
	effect   Effect
	reply    chan verdict // capacity 1
}

func (b begin) apply(s *state) {
	h := b.host
	if b.connTime <= h.silence {
		b.reply <- verdict{silent: true}
		return
	}
	if h.faults.Down {
		b.reply <- verdict{drop: true}
		return
	}
	if h.faults.Freeze {
		if len(h.held) < maxHeld {
			h.held = append(h.held, b)
		}
		return
	}
	b.reply <- s.decide(b)
}

func (s *state) decide(b begin) verdict {
	h, f, now := b.host, &b.host.faults, time.Now()
	service, known := s.cfg.Services[b.effect.Service]
	if !known {
		service = s.cfg.Default
	}
	v := verdict{status: fasthttp.StatusOK, service: service, id: b.effect.ID, effect: -1, life: h.life}
	if h.refuse(&v, b.conn, now) {
		return v
	}
	h.busy++
	h.totals.PeakBusy = max(h.totals.PeakBusy, h.busy)
	h.totals.Executed++
	v.wait = service.sample(s.rng) + time.Duration(f.Slow)
	v.late = time.Duration(f.Late)
	v.lose = s.chance(f.LoseAnswer)
	if s.chance(f.CutAnswer) {
		v.cut = s.rng.Float64()
	}
	if s.chance(f.CrossID) && h.lastID != "" {
		v.id = h.lastID
	}
	h.lastID = b.effect.ID
	v.effect = s.record(b.effect, h.vm.ID, now)
	return v
}

// refuse fills in the verdict for a request that is not executed.
func (h *host) refuse(v *verdict, c net.Conn, now time.Time) bool {
	switch {
	case h.conns[c].surplus:
		v.status, v.text, v.close = fasthttp.StatusTooManyRequests, "too many connections", true
	case h.faults.Leaving:
		v.status, v.text, v.close = fasthttp.StatusServiceUnavailable, "leaving", true
	case h.faults.failing(h.since, now):
		v.status, v.text = fasthttp.StatusInternalServerError, "failed"
		h.totals.Failed++
		return true
	case h.busy >= h.vm.Slots:
		v.status, v.text = fasthttp.StatusTooManyRequests, "no slot free"
	default:
		return false
	}
	h.totals.Refused++
	return true
}

func (s *state) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

func (s *state) record(e Effect, vm string, now time.Time) int {
	if len(s.effects) >= s.cfg.MaxEffects {
		s.dropped++
		return -1
	}
	e.VM, e.Started = vm, now
	s.effects = append(s.effects, e)
	return len(s.effects) - 1
}

// end frees the slot of an executed request.
type end struct {
	host     *host
	effect   int
	life     int
	finished bool
}

func (e end) apply(s *state) {
	if e.life != e.host.life {
		return // cut off
	}
	e.host.busy--
	if e.finished && e.effect >= 0 {
		s.effects[e.effect].Finished = time.Now()
	}
}

// connChange reports an opened or closed connection.
type connChange struct {
	host *host
	conn net.Conn
	open bool
}

func (c connChange) apply(*state) {
	if !c.open {
		delete(c.host.conns, c.conn)
		return
	}
	c.host.conns[c.conn] = connState{surplus: len(c.host.conns) >= c.host.vm.Connections}
	c.host.totals.PeakConns = max(c.host.totals.PeakConns, len(c.host.conns))
	if c.host.faults.Down { // accepted just before the listener closed
		c.conn.Close()
	}
}
