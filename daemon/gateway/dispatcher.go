package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/carobwharf/carobwharf/daemon/gateway/dispatcher"
	"github.com/carobwharf/carobwharf/daemon/gateway/journal"
	"github.com/carobwharf/carobwharf/dispatch"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/settings"
	"github.com/carobwharf/carobwharf/structs"
)

type submission struct {
	req   *structs.Request
	reply chan structs.Answer
}

type questionKind int

const (
	askDrain questionKind = iota
	askDemand
	askStop
	askDump
)

type question struct {
	kind  questionKind
	vm    string
	epoch uint64
	reply chan reply // capacity 1
}

type reply struct {
	inFlight int
	demand   []structs.ServiceDemand
	aborted  int
	dump     any
}

// dispatcherDuty is the duty that owns the dispatcher's machine. All its
// fields below the rings belong to the duty's goroutine.
type dispatcherDuty struct {
	cfg       settings.Gateway
	endpoints Endpoints
	in        Inputs
	log       hclog.Logger
	metrics   *metrics.Registry
	ready     atomic.Bool

	submits   *ring.Ring[submission]
	results   *ring.Ring[dispatcher.Event]
	questions *ring.Ring[question]
	journal   *ring.Ring[journal.Request]

	machine   *dispatcher.Machine
	pool      pond.Pool
	calls     context.Context // base of the endpoint calls
	ref       uint64
	callers   map[uint64]chan structs.Answer
	askers    map[uint64]chan reply
	local     []dispatcher.Event // events that this duty makes itself
	stoppers  []chan reply
	abortAt   time.Time
	published dispatcher.Counters
	counters  counters
	inputs    int // bit set of the inputs that have arrived
}

// counters are the dispatcher's metrics.
type counters struct {
	arrived, answered, refused, retries, late, probes, granted, replayed gometrics.Counter
}

func newCounters(reg *metrics.Registry) counters {
	c := func(name string) gometrics.Counter { return reg.Counter("dispatcher." + name) }
	return counters{
		arrived: c("arrived"), answered: c("answered"), refused: c("refused"), retries: c("retries"),
		late: c("late"), probes: c("probes"), granted: c("granted"), replayed: c("replayed"),
	}
}

func newDispatcherDuty(
	p settings.Process, endpoints Endpoints, in Inputs,
	j *ring.Ring[journal.Request], log hclog.Logger, reg *metrics.Registry,
) *dispatcherDuty {
	return &dispatcherDuty{
		cfg: p.Gateway, endpoints: endpoints, in: in, log: log, metrics: reg, journal: j,
		submits:   ring.New[submission]("dispatcher.submits", p.Gateway.EventRing, ring.Refuse),
		results:   ring.New[dispatcher.Event]("dispatcher.results", p.Gateway.EventRing, ring.Wait),
		questions: ring.New[question]("dispatcher.questions", 64, ring.Wait),
		callers:   map[uint64]chan structs.Answer{},
		askers:    map[uint64]chan reply{},
		counters:  newCounters(reg),
		machine: dispatcher.New(dispatcher.Options{
			Process:         p.ID,
			TokenPrefix:     uuid.NewString(),
			DefaultDeadline: p.Gateway.DefaultDeadline,
			MaxCalls:        p.Gateway.EndpointWorkers,
			MaxRequests:     maxRequests,
			Rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Dispatch:        dispatch.Options{LeaveHold: p.Gateway.LeaveHold},
		}),
	}
}

// maxRequests bounds the requests in one gateway; at 4 KiB each they take
// 256 MiB with their bodies.
const maxRequests = 65536

func (d *dispatcherDuty) rings() []func() ring.Stats {
	return []func() ring.Stats{d.submits.Stats, d.results.Stats, d.questions.Stats}
}

// run is the duty's loop: one event, one step, its actions.
func (d *dispatcherDuty) run(ctx context.Context) error {
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.calls = calls
	d.pool = pond.NewPool(d.cfg.EndpointWorkers)
	defer d.stop(cancel)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.arm(timer)
		select {
		case s := <-d.submits.C():
			d.step(d.arrived(s))
		case ev := <-d.results.C():
			d.step(ev)
		case c := <-d.in.Configs.C():
			d.step(dispatcher.Event{Kind: dispatcher.NewConfig, Config: c})
			d.noteInput(1)
		case v := <-d.in.Fleets.C():
			d.step(dispatcher.Event{Kind: dispatcher.NewFleet, Fleet: v})
			d.noteInput(2)
		case v := <-d.in.Members.C():
			d.step(dispatcher.Event{Kind: dispatcher.NewMembers, Members: v})
			d.noteInput(4)
		case q := <-d.questions.C():
			d.answerQuestion(q)
		case <-timer.C:
			d.step(dispatcher.Event{Kind: dispatcher.Tick})
		case <-ctx.Done():
			return nil
		}
	}
}

// noteInput makes the gateway ready once it has a configuration, a view of the
// fleet and a view of the members.
func (d *dispatcherDuty) noteInput(bit int) {
	d.inputs |= bit
	if d.inputs == 7 {
		d.ready.Store(true)
	}
}

// stop answers what is left. Results of calls that are still running are
// dropped: the process ends.
func (d *dispatcherDuty) stop(cancel context.CancelFunc) {
	d.step(dispatcher.Event{Kind: dispatcher.Abort})
	d.submits.Close()
	for {
		select {
		case s := <-d.submits.C():
			d.step(d.arrived(s))
			continue
		default:
		}
		break
	}
	d.questions.Close()
	d.results.Close()
	cancel()
}

func (d *dispatcherDuty) arm(timer *time.Timer) {
	next := d.machine.NextWake()
	if !d.abortAt.IsZero() && (next.IsZero() || d.abortAt.Before(next)) {
		next = d.abortAt
	}
	if next.IsZero() {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(0, time.Until(next)))
}

func (d *dispatcherDuty) nextRef() uint64 {
	d.ref++
	return d.ref
}

func (d *dispatcherDuty) arrived(s submission) dispatcher.Event {
	ref := d.nextRef()
	d.callers[ref] = s.reply
	return dispatcher.Event{Kind: dispatcher.Arrived, Ref: ref, Request: s.req}
}

func (d *dispatcherDuty) step(ev dispatcher.Event) {
	d.local = append(d.local, ev)
	for len(d.local) > 0 {
		next := d.local[0]
		d.local = d.local[1:]
		for _, a := range d.machine.Step(time.Now(), next) {
			d.act(a)
		}
	}
	d.local = d.local[:0]
	d.finishStop()
	d.publish()
}

// publish adds the machine's counters to the metrics.
func (d *dispatcherDuty) publish() {
	now, was := d.machine.Totals(), d.published
	if now == was {
		return
	}
	d.published = now
	d.counters.arrived.Inc(now.Arrived - was.Arrived)
	d.counters.answered.Inc(now.Answered - was.Answered)
	d.counters.refused.Inc(now.Refused - was.Refused)
	d.counters.retries.Inc(now.Retries - was.Retries)
	d.counters.late.Inc(now.Late - was.Late)
	d.counters.probes.Inc(now.Probes - was.Probes)
	d.counters.granted.Inc(now.Granted - was.Granted)
	d.counters.replayed.Inc(now.Replayed - was.Replayed)
}
