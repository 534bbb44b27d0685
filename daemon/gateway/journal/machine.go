package journal

import (
	"errors"
	"time"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/pacing"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Options configures a Machine.
type Options struct {
	Batch      int           // rows in one transaction, at most
	Linger     time.Duration // wait for more rows
	Workers    int           // calls to the platform at once
	Inline     int           // bytes of an answer above which it goes to the object store
	MaxBacklog int           // operations kept while the platform is down
	MaxBytes   int           // bytes of answers kept while the platform is down
}

// maxCommits bounds the transactions under way, so that rows share them when
// the platform is busy: six gateways then have at most 12 of them, which is
// 40 ms of work at 300 writes/s.
const maxCommits = 2

// Backoff of operations after a failed call.
const (
	firstDelay = 50 * time.Millisecond
	lastDelay  = 2 * time.Second
)

// TaskKind is the kind of a call to the platform.
type TaskKind int

// Kinds of calls.
const (
	CommitRows TaskKind = iota // Ops
	ReadRows                   // Keys
	PutObject                  // Object, Data
	GetObject                  // Object
)

// Task is a call that the duty has to make. Its result comes back through
// Completed.
type Task struct {
	Kind   TaskKind
	Ops    []store.Op
	Keys   []string
	Object string
	Data   []byte

	ops []*op
}

// Result is the result of a Task.
type Result struct {
	Task     *Task
	Err      error
	Versions []uint64              // CommitRows
	Rows     map[string]*store.Row // ReadRows; nil for an absent row
	Data     []byte                // GetObject
}

// Machine holds the state of the journal. It is owned by one goroutine.
type Machine struct {
	opts    Options
	writes  []*op // waiting for a transaction
	reads   []*op // waiting to be read
	puts    []*op // waiting for their object to be written
	gets    []*op // waiting for an object to be read
	later   []*op // waiting for the end of a backoff
	running int   // tasks
	commits int   // tasks that are transactions
	held    int   // ops of kind Finish and Surrender in the machine
	bytes   int   // of answers held
	down    bool
	tryAt   time.Time // next try while the platform is down
	writer  *pacing.Pacer
	delay   time.Duration

	replies  []Reply
	counters Counters
}

// Counters are totals since the start.
type Counters struct {
	Commits, Rows, Conflicts, Unknown, Unavailable, Throttled, Dropped int64
}

func (c Counters) minus(o Counters) Counters {
	return Counters{
		Commits: c.Commits - o.Commits, Rows: c.Rows - o.Rows, Conflicts: c.Conflicts - o.Conflicts,
		Unknown: c.Unknown - o.Unknown, Unavailable: c.Unavailable - o.Unavailable, Throttled: c.Throttled - o.Throttled, Dropped: c.Dropped - o.Dropped,
	}
}

// NewMachine returns an empty machine.
func NewMachine(o Options) *Machine {
	return &Machine{opts: o, writer: pacing.New(writePacing)}
}

// writePacing paces transactions and objects. The platform's limit of several
// hundred writes/s is shared by all gateways and controllers, so a gateway
// starts with what it would have among six and finds the rest itself. A paced
// transaction holds the rows that arrived meanwhile.
var writePacing = pacing.Options{
	Initial: 40, Min: 2, Max: 300, Burst: 4, Increase: 5, Decrease: 0.8, Settle: 200 * time.Millisecond,
}

// Totals returns the counters.
func (m *Machine) Totals() Counters { return m.counters }

// State is the machine's entry in the state dump.
type State struct {
	Waiting   int     // operations that wait for a call
	Calls     int     // calls under way
	Unstored  int     // answers and abandoned records that are not stored yet
	Bytes     int     // of answers among them
	Down      bool    // the platform does not answer
	WriteRate float64 // transactions and objects per second that the pacer allows
	Totals    Counters
}

// State returns the current state.
func (m *Machine) State() State {
	return State{
		Waiting: len(m.writes) + len(m.reads) + len(m.puts) + len(m.gets) + len(m.later),
		Calls:   m.running, Unstored: m.held, Bytes: m.bytes, Down: m.down,
		WriteRate: m.writer.Rate(), Totals: m.counters,
	}
}

// Pending returns the number of answers and abandoned records that are not
// stored yet.
func (m *Machine) Pending() int { return m.held }

// Replies returns the replies since the last call. The slice is valid until
// the next call of a method.
func (m *Machine) Replies() []Reply {
	r := m.replies
	m.replies = m.replies[:0]
	return r
}

// Add takes a request.
func (m *Machine) Add(now time.Time, r Request) {
	o := newOp(now, r)
	if r.Kind != Claim {
		if m.held >= m.opts.MaxBacklog || m.bytes+len(r.Answer.Body) > m.opts.MaxBytes {
			m.counters.Dropped++
			m.reply(o, Reply{Status: Dropped})
			return
		}
		m.held++
		m.bytes += len(r.Answer.Body)
	}
	m.enqueue(o)
}

func (m *Machine) enqueue(o *op) {
	switch {
	case o.Kind == Surrender && o.record.State == "":
		m.reads = append(m.reads, o)
	case o.Kind == Finish && len(o.record.Answer.Body) > m.opts.Inline:
		m.puts = append(m.puts, o)
	default:
		m.writes = append(m.writes, o)
	}
}

// end replies to an operation and forgets it.
func (m *Machine) end(o *op, r Reply) {
	if o.Kind != Claim {
		m.held--
		m.bytes -= len(o.Answer.Body)
	}
	m.reply(o, r)
}

func (m *Machine) reply(o *op, r Reply) {
	r.Kind, r.Ref, r.Token = o.Kind, o.Ref, o.Claim.Token
	m.replies = append(m.replies, r)
}

// NextWake returns when Next has to be called without another cause, or the
// zero time.
func (m *Machine) NextWake(now time.Time) time.Time {
	var next time.Time
	soonest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, o := range m.later {
		soonest(o.notNow)
	}
	switch {
	case m.down && m.running == 0 && len(m.writes)+len(m.reads)+len(m.puts)+len(m.gets) > 0:
		soonest(m.tryAt)
	case !m.down && m.running < m.opts.Workers && (m.mayCommit() || len(m.puts) > 0):
		soonest(m.nextWrite(now))
	}
	return next
}

// mayCommit reports whether rows wait and another transaction may be under way.
func (m *Machine) mayCommit() bool { return len(m.writes) > 0 && m.commits < maxCommits }

// nextWrite returns when the next transaction or object may be written.
func (m *Machine) nextWrite(now time.Time) time.Time {
	paced := m.writer.NextAt(now)
	if len(m.puts) > 0 {
		return paced
	}
	if linger := m.writes[0].since.Add(m.opts.Linger); linger.After(paced) {
		return linger
	}
	return paced
}

// Completed takes the result of a task.
func (m *Machine) Completed(now time.Time, r Result) {
	m.running--
	if r.Task.Kind == CommitRows {
		m.commits--
	}
	m.noteHealth(now, r.Err)
	m.notePace(now, r)
	switch r.Task.Kind {
	case CommitRows:
		m.committed(now, r)
	case ReadRows:
		m.wasRead(now, r)
	case PutObject:
		m.wasPut(now, r)
	case GetObject:
		m.gotObject(now, r)
	}
}

// noteHealth opens the circuit when the platform does not answer, so that
// claims are refused at once instead of holding slots of endpoints.
func (m *Machine) noteHealth(now time.Time, err error) {
	if !isOutage(err) {
		m.down, m.delay = false, 0
		return
	}
	m.counters.Unavailable++
	m.down = true
	m.delay = min(lastDelay, max(firstDelay, 2*m.delay))
	m.tryAt = now.Add(m.delay)
}

// notePace adapts the rate of writes to what the platform takes.
func (m *Machine) notePace(now time.Time, r Result) {
	if r.Task.Kind != CommitRows && r.Task.Kind != PutObject {
		return
	}
	switch {
	case errors.Is(r.Err, store.ErrThrottled):
		m.counters.Throttled++
		m.writer.Throttled(now)
	case r.Err == nil:
		m.writer.Succeeded()
	}
}

// isOutage reports whether an error says that the platform did not answer. A
// conflict or an absent row is an answer. A lost answer leads to a read, which
// shows whether the platform is there.
func isOutage(err error) bool {
	var conflict *store.ConflictError
	return err != nil && !errors.As(err, &conflict) &&
		!errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrUnknown) &&
		!errors.Is(err, store.ErrThrottled)
}

// failed handles a call that had no effect on an operation. Claims go back to
// the dispatcher, which waits without a slot; the rest waits here.
func (m *Machine) failed(now time.Time, o *op) {
	if o.Kind == Claim {
		m.end(o, Reply{Status: Unavailable, MayExist: o.unsure})
		return
	}
	o.tries++
	o.notNow = now.Add(min(lastDelay, firstDelay<<min(o.tries, 6)))
	m.later = append(m.later, o)
}

func (m *Machine) wasRead(now time.Time, r Result) {
	for _, o := range r.Task.ops {
		if r.Err != nil {
			m.failed(now, o)
			continue
		}
		m.resolve(now, o, r.Rows[o.key])
	}
}

// resolve decides about an operation after its row was read.
func (m *Machine) resolve(now time.Time, o *op, row *store.Row) {
	var existing *intent.Record
	var version uint64
	if row != nil {
		var err error
		version = row.Version
		if existing, err = decode(*row); err != nil {
			// A record that cannot be read proves nothing: nobody may run the key.
			existing = &intent.Record{State: intent.Started, BodyHash: o.Claim.BodyHash}
		}
	}
	switch o.Kind {
	case Claim:
		m.resolveClaim(o, existing, version)
	case Finish:
		m.resolveFinish(now, o, existing, version)
	case Surrender:
		m.resolveSurrender(now, o, existing, version)
	}
}

func (m *Machine) resolveClaim(o *op, existing *intent.Record, version uint64) {
	switch intent.Resolve(o.Claim, existing) {
	case intent.Insert:
		o.kind, o.expect = store.OpInsert, 0
		m.writes = append(m.writes, o)
	case intent.TakeOver:
		o.kind, o.expect = store.OpUpdate, version
		m.writes = append(m.writes, o)
	case intent.Own:
		m.end(o, Reply{Status: Granted, Version: version})
	case intent.Replay:
		m.replay(o, existing.Answer)
	case intent.KeyReused:
		m.end(o, Reply{Status: KeyReused})
	case intent.InProgress:
		m.end(o, Reply{Status: InProgress})
	}
}

func (m *Machine) replay(o *op, a intent.Answer) {
	if a.Object != "" {
		o.record.Answer = a
		m.gets = append(m.gets, o)
		return
	}
	m.end(o, Reply{Status: Replay, Answer: structs.Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}})
}

func (m *Machine) resolveFinish(now time.Time, o *op, existing *intent.Record, version uint64) {
	switch intent.Finish(o.Claim.Token, existing) {
	case intent.Write:
		o.kind, o.expect = store.OpUpdate, version
		m.writes = append(m.writes, o)
	case intent.Stored:
		m.end(o, Reply{Status: Done})
	case intent.NotOurs:
		m.counters.Dropped++
		m.end(o, Reply{Status: Dropped})
	}
}

func (m *Machine) resolveSurrender(now time.Time, o *op, existing *intent.Record, version uint64) {
	o.record = intent.TombstoneFor(o.Claim)
	switch intent.Surrender(o.Claim.Owner, existing) {
	case intent.Tombstone:
		o.kind, o.expect = store.OpInsert, 0
		m.writes = append(m.writes, o)
	case intent.MarkOwn:
		o.kind, o.expect = store.OpUpdate, version
		m.writes = append(m.writes, o)
	case intent.NothingOwn:
		m.end(o, Reply{Status: Done})
	}
}

func (m *Machine) wasPut(now time.Time, r Result) {
	o := r.Task.ops[0]
	if errors.Is(r.Err, store.ErrThrottled) {
		m.puts = append([]*op{o}, m.puts...)
		return
	}
	if r.Err != nil {
		m.failed(now, o)
		return
	}
	o.record.Answer.Object, o.record.Answer.Body = r.Task.Object, nil
	m.writes = append(m.writes, o)
}

func (m *Machine) gotObject(now time.Time, r Result) {
	o := r.Task.ops[0]
	if r.Err != nil {
		m.failed(now, o)
		return
	}
	a := o.record.Answer
	m.end(o, Reply{Status: Replay, Answer: structs.Answer{Status: a.Status, ContentType: a.ContentType, Body: r.Data}})
}
