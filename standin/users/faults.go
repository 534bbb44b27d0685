package users

import (
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the faults that the stand-in injects; the zero value injects none.
// LoseAnswers, DelayedCommands and FailRuns are probabilities from 0 to 1.
type Faults struct {
	StoreDelay      time.Duration // delay of each answer of the store
	TransactionTime time.Duration // time in which a part of the store executes a transaction, one after another
	LoseAnswers     float64       // of store writes that take effect but are not answered
	DelayedCommands float64       // of run starts and stops that are not answered and take effect after CommandDelay
	CommandDelay    time.Duration
	FailRuns        float64 // of runs that fail
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) { p.do(func() { p.faults = f }) }

// Event is something that happened at a worker. Slices of events are in the
// order in which they happened.
type Event struct {
	At      time.Time
	Kind    EventKind
	Task    string
	Attempt int
	Worker  string
	Outcome string // how the run ended, as reported by the worker; "crashed" if the worker crashed
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	Started EventKind = iota
	Ended
	Acknowledged // the end of a run was acknowledged, and the worker's lease did not expire between the two
)

func (p *Platform) recordEvent(kind EventKind, w *worker, r *run, outcome string) {
	p.events = append(p.events, Event{At: time.Now(), Kind: kind, Task: r.task, Attempt: r.attempt, Worker: w.id, Outcome: outcome})
}

// Events returns all events after the first n.
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

// Crash ends all runs at a worker, which restarts at once without its former
// state.
func (p *Platform) Crash(id string) {
	p.do(func() {
		w := p.workers[id]
		for _, r := range w.runs {
			p.recordEvent(Ended, w, r, "crashed")
		}
		w.born = time.Now().UnixMilli()
		w.runs, w.endedRuns, w.lastEnd, w.fenceToken, w.leaseEnd, w.lastEndedAttempt = nil, nil, 0, 0, 0, map[string]int{}
		w.answerHolds()
		p.register(w)
	})
}

// DropHistory deletes the change history of the store, so that feeds from an older
// version are answered with 410.
func (p *Platform) DropHistory() {
	p.do(func() {
		p.store.truncatedUpTo = p.store.version
		p.store.history = nil
	})
}

// WriteEntry stores a row in the table of the workers' entries, as another writer
// may. It may replace the entry of a worker.
func (p *Platform) WriteEntry(part, key string, value []byte) {
	p.do(func() { p.store.set(rowKey{"servers", part, key}, value) })
}

// RestoreEntries removes the rows of WriteEntry, and the workers write their entries
// again.
func (p *Platform) RestoreEntries() {
	p.do(func() {
		var tx transaction
		for key := range p.store.rows {
			if key.Table == "servers" && (key.Part != "" || p.workers[key.Key] == nil) {
				tx.Remove = append(tx.Remove, key)
			}
		}
		p.store.apply(tx)
		for _, w := range p.workers {
			p.register(w)
		}
	})
}

// SetQueues publishes a configuration with n queues in addition to the default
// one.
func (p *Platform) SetQueues(n int) {
	p.do(func() {
		p.extraQueues = n
		p.configVersion += 3 // versions need not be consecutive
		p.configure()
	})
}

// ExtraQueuePrefix returns the path prefix of the additional queue n, from 0.
func ExtraQueuePrefix(n int) string { return "/extra" + strconv.Itoa(n) + "/" }

// chance returns true with the given probability.
func (p *Platform) chance(probability float64) bool {
	return probability > 0 && p.random.Float64() < probability
}

// closeWithoutAnswer closes the connection of a call without an answer.
func closeWithoutAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {}) // the server closes the connection afterwards
}
