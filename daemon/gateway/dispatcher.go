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

// submission is a request handed over by Submit.
type submission struct {
	req   *structs.Request
	reply chan structs.Answer
}

// commandKind is the kind of a command.
type commandKind int

const (
	drainVM commandKind = iota
	readDemand
	stopRequests
	dumpState
)

// command is a request of another goroutine to the dispatcher duty.
type command struct {
	kind  commandKind
	vm    string
	epoch uint64
	reply chan reply // capacity 1
}

// reply is the answer to a command. The command's kind decides which field is
// set.
type reply struct {
	inFlight int
	demand   []structs.ServiceDemand
	aborted  int
	dump     any
}

// dispatcherDuty is the duty that runs the dispatcher's state machine. The
// fields below the rings are used only by the duty's goroutine, except that
// workers read callContext.
type dispatcherDuty struct {
	cfg       settings.Gateway
	endpoints Endpoints
	in        Inputs
	log       hclog.Logger
	metrics   *metrics.Registry
	ready     atomic.Bool

	submissions *ring.Ring[submission]
	results     *ring.Ring[dispatcher.Event]
	commands    *ring.Ring[command]
	journal     *ring.Ring[journal.Request]

	machine           *dispatcher.Machine
	workers           pond.Pool
	callContext       context.Context // parent context of the endpoint calls
	lastRef           uint64
	pendingCallers    map[uint64]chan structs.Answer // by ref
	pendingCommands   map[uint64]chan reply          // by ref
	localEvents       []dispatcher.Event             // events from this goroutine, handled before the next read of a ring
	pendingStops      []chan reply                   // callers of Drain
	abortAt           time.Time                      // when the drain timeout ends; zero without a stop
	publishedCounters dispatcher.Counters            // values already added to counters
	counters          counters
	receivedInputs    int // bit set: 1 configuration, 2 fleet view, 4 member view
}

// counters are the metrics fed from dispatcher.Counters.
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
		submissions:     ring.New[submission]("dispatcher.submits", p.Gateway.EventRing, ring.Refuse),
		results:         ring.New[dispatcher.Event]("dispatcher.results", p.Gateway.EventRing, ring.Wait),
		commands:        ring.New[command]("dispatcher.questions", 64, ring.Wait),
		pendingCallers:  map[uint64]chan structs.Answer{},
		pendingCommands: map[uint64]chan reply{},
		counters:        newCounters(reg),
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

// maxRequests limits the requests in one gateway. At 4 KiB each, bodies
// included, they take 256 MiB.
const maxRequests = 65536

func (d *dispatcherDuty) ringStats() []func() ring.Stats {
	return []func() ring.Stats{d.submissions.Stats, d.results.Stats, d.commands.Stats}
}

// run is the duty's event loop. It passes each event to the machine and performs
// the resulting actions until ctx ends.
func (d *dispatcherDuty) run(ctx context.Context) error {
	callContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.callContext = callContext
	d.workers = pond.NewPool(d.cfg.EndpointWorkers)
	defer d.shutDown(cancel)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.resetTimer(timer)
		select {
		case s := <-d.submissions.C():
			d.step(d.arrivalEvent(s))
		case ev := <-d.results.C():
			d.step(ev)
		case c := <-d.in.Configs.C():
			d.step(dispatcher.Event{Kind: dispatcher.NewConfig, Config: c})
			d.recordInput(1)
		case v := <-d.in.Fleets.C():
			d.step(dispatcher.Event{Kind: dispatcher.NewFleet, Fleet: v})
			d.recordInput(2)
		case v := <-d.in.Members.C():
			d.step(dispatcher.Event{Kind: dispatcher.NewMembers, Members: v})
			d.recordInput(4)
		case cmd := <-d.commands.C():
			d.handleCommand(cmd)
		case <-timer.C:
			d.step(dispatcher.Event{Kind: dispatcher.Tick})
		case <-ctx.Done():
			return nil
		}
	}
}

// recordInput marks an input as received. The gateway is ready once it has a
// configuration, a fleet view and a member view.
func (d *dispatcherDuty) recordInput(bit int) {
	d.receivedInputs |= bit
	if d.receivedInputs == 7 {
		d.ready.Store(true)
	}
}

// shutDown answers all remaining requests. Results of calls that are still
// running are dropped, because the process ends.
func (d *dispatcherDuty) shutDown(cancel context.CancelFunc) {
	d.step(dispatcher.Event{Kind: dispatcher.Abort})
	d.submissions.Close()
	for {
		select {
		case s := <-d.submissions.C():
			d.step(d.arrivalEvent(s))
			continue
		default:
		}
		break
	}
	d.commands.Close()
	d.results.Close()
	cancel()
}

// resetTimer sets the timer to the machine's next wake time or to abortAt,
// whichever comes first.
func (d *dispatcherDuty) resetTimer(timer *time.Timer) {
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
	d.lastRef++
	return d.lastRef
}

func (d *dispatcherDuty) arrivalEvent(s submission) dispatcher.Event {
	ref := d.nextRef()
	d.pendingCallers[ref] = s.reply
	return dispatcher.Event{Kind: dispatcher.RequestArrived, Ref: ref, Request: s.req}
}

// step passes an event, and the events that its actions cause, to the machine.
func (d *dispatcherDuty) step(ev dispatcher.Event) {
	d.localEvents = append(d.localEvents, ev)
	for len(d.localEvents) > 0 {
		next := d.localEvents[0]
		d.localEvents = d.localEvents[1:]
		for _, a := range d.machine.Step(time.Now(), next) {
			d.perform(a)
		}
	}
	d.localEvents = d.localEvents[:0]
	d.finishStop()
	d.publishCounters()
}

// publishCounters adds the growth of the machine's counters to the metrics.
func (d *dispatcherDuty) publishCounters() {
	now, previous := d.machine.Totals(), d.publishedCounters
	if now == previous {
		return
	}
	d.publishedCounters = now
	d.counters.arrived.Inc(now.Arrived - previous.Arrived)
	d.counters.answered.Inc(now.Answered - previous.Answered)
	d.counters.refused.Inc(now.Refused - previous.Refused)
	d.counters.retries.Inc(now.Retries - previous.Retries)
	d.counters.late.Inc(now.Late - previous.Late)
	d.counters.probes.Inc(now.Probes - previous.Probes)
	d.counters.granted.Inc(now.Granted - previous.Granted)
	d.counters.replayed.Inc(now.Replayed - previous.Replayed)
}
