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

// decision tells a handler what to do with its request.
type decision struct {
	status      int // if not 200, the request is answered with it at once and not executed
	text        string
	silent      bool // hold the connection without an answer
	drop        bool // close the connection without an answer
	close       bool // answer with Connection: close
	service     Service
	serviceTime time.Duration
	answerDelay time.Duration // time between execution and answer
	loseAnswer  bool          // close the connection after execution without an answer
	cutFraction float64       // see sendTruncated; 0 sends the whole answer
	id          string        // id in the answer
	effectIndex int           // index in the effect log; -1 if the log is full
	generation  int           // generation of the host when the request began
}

// event is a message to the state duty, which alone calls apply.
type event interface{ apply(s *state) }

// maxHeldRequests limits the requests that one frozen endpoint holds.
const maxHeldRequests = 1024

// host is the state of one endpoint.
type host struct {
	vm          structs.VM
	faults      Faults
	faultsSince time.Time      // when the faults were set
	silentUntil int64          // ns since the epoch; connections opened until then get no answers
	busy        int            // slots in use
	generation  int            // incremented when the endpoint goes down, which ends the requests in execution
	held        []beginRequest // requests held by the fault Freeze, to execute when it ends
	conns       map[net.Conn]connState
	ln          net.Listener // nil while connections are refused
	listeners   chan net.Listener
	lastID      string // id of the last executed request
	totals      Totals
}

// connState is the state of an open connection.
type connState struct {
	overLimit bool // opened beyond the VM's limit
}

// Totals are the counters of one endpoint since the start and its current load.
type Totals struct {
	VM          string `json:"vm"`
	Executed    int64  `json:"executed"`
	Refused     int64  `json:"refused"` // no free slot, too many connections, or leaving
	Failed      int64  `json:"failed"`  // fail_all or flapping
	CutOff      int64  `json:"cut_off"` // requests in execution when the endpoint went down
	Busy        int    `json:"busy"`
	Held        int    `json:"held"` // requests currently held by Freeze
	PeakBusy    int    `json:"peak_busy"`
	Conns       int    `json:"conns"`
	PeakConns   int    `json:"peak_conns"`
	ListenError string `json:"problem,omitempty"` // error of the last attempt to listen; empty if it succeeded
}

// state is the state of all endpoints. The state duty owns it.
type state struct {
	cfg         Config
	hosts       []*host
	rng         *rand.Rand
	effects     []Effect
	dropped     int64       // effects that were not logged because the log was full
	refuseTimer *time.Timer // fires when the next RefuseAfter expires
}

func newState(cfg Config, hosts []*host) *state {
	refuseTimer := time.NewTimer(0)
	refuseTimer.Stop()
	return &state{cfg: cfg, hosts: hosts, refuseTimer: refuseTimer, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

// run processes events until ctx ends.
func (s *state) run(ctx context.Context, events *ring.Ring[event]) error {
	defer s.refuseTimer.Stop()
	for {
		select {
		case e := <-events.C():
			e.apply(s)
		case <-s.refuseTimer.C:
			s.updateListeners()
		case <-ctx.Done():
			return nil
		}
	}
}

// beginRequest asks for a decision on a request.
type beginRequest struct {
	host     *host
	conn     net.Conn
	connTime int64 // when the connection was opened, ns since the epoch
	effect   Effect
	reply    chan decision // capacity 1
}

func (b beginRequest) apply(s *state) {
	h := b.host
	if b.connTime <= h.silentUntil {
		b.reply <- decision{silent: true}
		return
	}
	if h.faults.Down {
		b.reply <- decision{drop: true}
		return
	}
	if h.faults.Freeze {
		if len(h.held) < maxHeldRequests {
			h.held = append(h.held, b)
		}
		return
	}
	b.reply <- s.decide(b)
}

func (s *state) decide(b beginRequest) decision {
	h, f, now := b.host, &b.host.faults, time.Now()
	service, known := s.cfg.Services[b.effect.Service]
	if !known {
		service = s.cfg.Default
	}
	v := decision{status: fasthttp.StatusOK, service: service, id: b.effect.ID, effectIndex: -1, generation: h.generation}
	if h.reject(&v, b.conn, now) {
		return v
	}
	h.busy++
	h.totals.PeakBusy = max(h.totals.PeakBusy, h.busy)
	h.totals.Executed++
	v.serviceTime = service.sample(s.rng) + time.Duration(f.Slow)
	v.answerDelay = time.Duration(f.AnswerDelay)
	v.loseAnswer = s.chance(f.LoseAnswer)
	if s.chance(f.CutAnswer) {
		v.cutFraction = s.rng.Float64()
	}
	if s.chance(f.WrongID) && h.lastID != "" {
		v.id = h.lastID
	}
	h.lastID = b.effect.ID
	v.effectIndex = s.record(b.effect, h.vm.ID, now)
	return v
}

// reject reports whether the request must not be executed, and fills in the
// answer in that case.
func (h *host) reject(v *decision, c net.Conn, now time.Time) bool {
	switch {
	case h.conns[c].overLimit:
		v.status, v.text, v.close = fasthttp.StatusTooManyRequests, "too many connections", true
	case h.faults.Leaving:
		v.status, v.text, v.close = fasthttp.StatusServiceUnavailable, "leaving", true
	case h.faults.failing(h.faultsSince, now):
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

// endRequest frees the slot of an executed request.
type endRequest struct {
	host        *host
	effectIndex int
	generation  int
	finished    bool
}

func (e endRequest) apply(s *state) {
	if e.generation != e.host.generation {
		return // the endpoint went down in between; counted in CutOff
	}
	e.host.busy--
	if e.finished && e.effectIndex >= 0 {
		s.effects[e.effectIndex].Finished = time.Now()
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
	c.host.conns[c.conn] = connState{overLimit: len(c.host.conns) >= c.host.vm.Connections}
	c.host.totals.PeakConns = max(c.host.totals.PeakConns, len(c.host.conns))
	if c.host.faults.Down { // accepted just before the listener closed
		c.conn.Close()
	}
}
