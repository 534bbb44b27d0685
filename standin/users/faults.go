package users

import (
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults says how the stand-in misbehaves. The zero value is a sound platform.
type Faults struct {
	StoreDelay  time.Duration // of each answer of the store
	LoseAnswers float64       // part of the store's writes that are done and not answered
	LateOrders  float64       // part of the starts and stops that get no answer and are carried out after LateBy
	LateBy      time.Duration
	FailRuns    float64 // part of the runs that fail
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) { p.do(func() { p.faults = f }) }

// Event is something that happened at a worker, in the order of the slice.
type Event struct {
	At      time.Time
	Kind    EventKind
	Task    string
	Attempt int
	Worker  string
	How     string // of an end; "crashed" if the worker went down
}

// EventKind says what happened.
type EventKind int

// Kinds of events.
const (
	Started EventKind = iota
	Ended
	Acknowledged // the end with How was taken note of, and its lease had not lapsed before
)

func (p *Platform) note(kind EventKind, w *worker, r *run, how string) {
	p.events = append(p.events, Event{At: time.Now(), Kind: kind, Task: r.task, Attempt: r.attempt, Worker: w.id, How: how})
}

// Events returns what happened after the first n events.
func (p *Platform) Events(n int) (list []Event) {
	p.do(func() { list = slices.Clone(p.events[n:]) })
	return list
}

// WorkerIDs returns the ids of the workers.
func (p *Platform) WorkerIDs() (ids []string) {
	p.do(func() {
		for id := range p.workers {
			ids = append(ids, id)
		}
	})
	slices.Sort(ids)
	return ids
}

// Crash ends everything at a worker, which starts again at once and knows
// nothing of before.
func (p *Platform) Crash(id string) {
	p.do(func() {
		w := p.workers[id]
		for _, r := range w.runs {
			p.note(Ended, w, r, "crashed")
		}
		w.born = time.Now().UnixMilli()
		w.runs, w.ended, w.ends, w.token, w.lease, w.stopped = nil, nil, 0, 0, 0, map[string]int{}
		w.wake()
		p.register(w)
	})
}

// DropHistory makes the store forget its history.
func (p *Platform) DropHistory() {
	p.do(func() {
		p.store.forgotten = p.store.version
		p.store.history = nil
	})
}

// SetQueues publishes a configuration with n queues beside the first.
func (p *Platform) SetQueues(n int) {
	p.do(func() {
		p.extra = n
		p.version += 3 // versions increase in uneven steps
		p.configure()
	})
}

// ExtraPrefix returns the path prefix of a queue beside the first.
func ExtraPrefix(n int) string { return "/extra" + strconv.Itoa(n) + "/" }

// chance reports true for the given part of the calls.
func (p *Platform) chance(part float64) bool { return part > 0 && p.random.Float64() < part }

// breakOff ends the connection of a call without an answer.
func breakOff(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {}) // closed by the server afterwards
}
