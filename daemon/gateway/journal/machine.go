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
	Batch          int           // maximum number of rows in one transaction
	Linger         time.Duration // time that a row waits for others to share its transaction
	Workers        int           // maximum number of concurrent calls to the platform
	MaxInlineBytes int           // greatest answer in bytes that is stored in the row; larger ones go to the object store
	MaxBacklog     int           // maximum number of unfinished Finish and Abandon requests
	MaxBytes       int           // maximum number of bytes in unstored answers
}

// maxConcurrentCommits bounds the transactions in progress, so that rows share
// transactions when the platform is busy. Six gateways then have at most 12 in
// progress, which is 40 ms of work at 300 writes/s.
const maxConcurrentCommits = 2

// Bounds of the backoff after a failed call, both of an operation and of the
// circuit breaker.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// TaskKind is the kind of a Task.
type TaskKind int

// Kinds of tasks, with the fields of Task that each uses.
const (
	CommitRows TaskKind = iota // Ops
	ReadRows                   // Keys
	PutObject                  // Object, Data
	GetObject                  // Object
)

// Task is a call to the platform. Its result must be passed to
// Machine.Completed.
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

// Machine decides which calls to make for the requests and how to reply to
// them. It does no I/O and is not safe for concurrent use.
type Machine struct {
	opts          Options
	writes        []*op // waiting for a transaction
	reads         []*op // waiting for their row to be read
	puts          []*op // waiting for their object to be written
	gets          []*op // waiting for an object to be read
	delayed       []*op // waiting for the end of a backoff
	activeTasks   int   // tasks without a result yet
	activeCommits int   // those of kind CommitRows
	unstored      int   // unfinished ops of kind Finish and Abandon
	unstoredBytes int   // bytes of answers in these
	platformDown  bool
	probeAt       time.Time // time of the next probe while the platform is down
	writePacer    *pacing.Pacer
	probeDelay    time.Duration

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

// NewMachine returns a Machine without requests.
func NewMachine(o Options) *Machine {
	return &Machine{opts: o, writePacer: pacing.New(writePacing)}
}

// writePacing limits the rate of transactions and object writes. All gateways
// and controllers share the platform's limit of several hundred writes/s, so a
// gateway starts with its share among six gateways and adapts from there. Rows
// that arrive while a transaction is delayed join it.
var writePacing = pacing.Options{
	Initial: 40, Min: 2, Max: 300, Burst: 4, Increase: 5, Decrease: 0.8, Cooldown: 200 * time.Millisecond,
}

// Totals returns the counters since the start.
func (m *Machine) Totals() Counters { return m.counters }

// State is the journal's entry in the state dump.
type State struct {
	Waiting   int     // operations waiting for a call
	Calls     int     // calls in progress
	Unstored  int     // answers and abandoned records not stored yet
	Bytes     int     // bytes of unstored answers
	Down      bool    // the platform is down
	WriteRate float64 // transactions and object writes per second that the pacer allows
	Totals    Counters
}

// State returns the current state.
func (m *Machine) State() State {
	return State{
		Waiting: len(m.writes) + len(m.reads) + len(m.puts) + len(m.gets) + len(m.delayed),
		Calls:   m.activeTasks, Unstored: m.unstored, Bytes: m.unstoredBytes, Down: m.platformDown,
		WriteRate: m.writePacer.Rate(), Totals: m.counters,
	}
}

// Pending returns the number of answers and abandoned records that are not
// stored yet.
func (m *Machine) Pending() int { return m.unstored }

// Replies returns the replies since the previous call. The slice is valid until
// the next call of any method.
func (m *Machine) Replies() []Reply {
	r := m.replies
	m.replies = m.replies[:0]
	return r
}

// Add accepts a request. If it would exceed the bounds of the backlog, it is
// dropped, unless it is a Claim.
func (m *Machine) Add(now time.Time, r Request) {
	o := newOp(now, r)
	if r.Kind != Claim {
		if m.unstored >= m.opts.MaxBacklog || m.unstoredBytes+len(r.Answer.Body) > m.opts.MaxBytes {
			m.counters.Dropped++
			m.reply(o, Reply{Status: Dropped})
			return
		}
		m.unstored++
		m.unstoredBytes += len(r.Answer.Body)
	}
	m.enqueue(o)
}

func (m *Machine) enqueue(o *op) {
	switch {
	case o.Kind == Abandon && o.record.State == "":
		m.reads = append(m.reads, o)
	case o.Kind == Finish && len(o.record.Answer.Body) > m.opts.MaxInlineBytes:
		m.puts = append(m.puts, o)
	default:
		m.writes = append(m.writes, o)
	}
}

// end replies to an operation and removes it from the backlog.
func (m *Machine) end(o *op, r Reply) {
	if o.Kind != Claim {
		m.unstored--
		m.unstoredBytes -= len(o.Answer.Body)
	}
	m.reply(o, r)
}

func (m *Machine) reply(o *op, r Reply) {
	r.Kind, r.Ref, r.Token = o.Kind, o.Ref, o.Claim.Token
	m.replies = append(m.replies, r)
}

// NextWake returns the time at which Next must be called even if no request or
// result arrives, or the zero time if there is none.
func (m *Machine) NextWake(now time.Time) time.Time {
	var next time.Time
	wakeBy := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, o := range m.delayed {
		wakeBy(o.retryAt)
	}
	switch {
	case m.platformDown && m.activeTasks == 0 && len(m.writes)+len(m.reads)+len(m.puts)+len(m.gets) > 0:
		wakeBy(m.probeAt)
	case !m.platformDown && m.activeTasks < m.opts.Workers && (m.mayCommit() || len(m.puts) > 0):
		wakeBy(m.nextWrite(now))
	}
	return next
}

// mayCommit reports whether there are waiting writes and fewer than
// maxConcurrentCommits transactions in progress.
func (m *Machine) mayCommit() bool {
	return len(m.writes) > 0 && m.activeCommits < maxConcurrentCommits
}

// nextWrite returns the earliest time of the next transaction or object write.
func (m *Machine) nextWrite(now time.Time) time.Time {
	pacerReady := m.writePacer.NextAt(now)
	if len(m.puts) > 0 {
		return pacerReady
	}
	if lingerEnd := m.writes[0].addedAt.Add(m.opts.Linger); lingerEnd.After(pacerReady) {
		return lingerEnd
	}
	return pacerReady
}

// Completed processes the result of a task.
func (m *Machine) Completed(now time.Time, r Result) {
	m.activeTasks--
	if r.Task.Kind == CommitRows {
		m.activeCommits--
	}
	m.updateCircuit(now, r.Err)
	m.adaptWriteRate(now, r)
	switch r.Task.Kind {
	case CommitRows:
		m.handleCommit(now, r)
	case ReadRows:
		m.handleRead(now, r)
	case PutObject:
		m.handlePut(now, r)
	case GetObject:
		m.handleGet(now, r)
	}
}

// updateCircuit opens the circuit breaker when the platform does not answer, so
// that claims fail at once instead of occupying endpoint slots, and closes it
// after any other result.
func (m *Machine) updateCircuit(now time.Time, err error) {
	if !isOutage(err) {
		m.platformDown, m.probeDelay = false, 0
		return
	}
	m.counters.Unavailable++
	m.platformDown = true
	m.probeDelay = min(maxBackoff, max(minBackoff, 2*m.probeDelay))
	m.probeAt = now.Add(m.probeDelay)
}

// adaptWriteRate adapts the rate of writes to what the platform accepts.
func (m *Machine) adaptWriteRate(now time.Time, r Result) {
	if r.Task.Kind != CommitRows && r.Task.Kind != PutObject {
		return
	}
	switch {
	case errors.Is(r.Err, store.ErrThrottled):
		m.counters.Throttled++
		m.writePacer.Throttled(now)
	case r.Err == nil:
		m.writePacer.Succeeded()
	}
}

// isOutage reports whether an error shows that the platform is down. A conflict,
// an absent row or throttling is an answer of the platform. An unknown result
// leads to a read, which shows whether the platform is up.
func isOutage(err error) bool {
	var conflict *store.ConflictError
	return err != nil && !errors.As(err, &conflict) &&
		!errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrUnknown) &&
		!errors.Is(err, store.ErrThrottled)
}

// handleFailure handles a call that failed without an effect on an operation.
// Claims are returned to the dispatcher, which waits without occupying an
// endpoint slot. Other operations are retried after a backoff.
func (m *Machine) handleFailure(now time.Time, o *op) {
	if o.Kind == Claim {
		m.end(o, Reply{Status: Unavailable, RecordMayExist: o.recordMayExist})
		return
	}
	o.failures++
	o.retryAt = now.Add(min(maxBackoff, minBackoff<<min(o.failures, 6)))
	m.delayed = append(m.delayed, o)
}

func (m *Machine) handleRead(now time.Time, r Result) {
	for _, o := range r.Task.ops {
		if r.Err != nil {
			m.handleFailure(now, o)
			continue
		}
		m.resolve(now, o, r.Rows[o.key])
	}
}

// resolve chooses the next step of an operation after its row was read. row is
// nil if the row is absent.
func (m *Machine) resolve(now time.Time, o *op, row *store.Row) {
	var existing *intent.Record
	var version uint64
	if row != nil {
		var err error
		version = row.Version
		if existing, err = decode(*row); err != nil {
			// An undecodable record may belong to a request that was sent, so
			// the key is treated as in progress.
			existing = &intent.Record{State: intent.Started, BodyHash: o.Claim.BodyHash}
		}
	}
	switch o.Kind {
	case Claim:
		m.resolveClaim(o, existing, version)
	case Finish:
		m.resolveFinish(now, o, existing, version)
	case Abandon:
		m.resolveAbandon(now, o, existing, version)
	}
}

func (m *Machine) resolveClaim(o *op, existing *intent.Record, version uint64) {
	switch intent.Resolve(o.Claim, existing) {
	case intent.Insert:
		o.writeKind, o.expectedVersion = store.OpInsert, 0
		m.writes = append(m.writes, o)
	case intent.TakeOver:
		o.writeKind, o.expectedVersion = store.OpUpdate, version
		m.writes = append(m.writes, o)
	case intent.Owned:
		m.end(o, Reply{Status: Granted, Version: version})
	case intent.Replay:
		m.replay(o, existing.Answer)
	case intent.KeyReused:
		m.end(o, Reply{Status: KeyReused})
	case intent.InProgress:
		m.end(o, Reply{Status: InProgress})
	}
}

// replay replies to a claim with the stored answer, which is first read from the
// object store if it is there.
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
		o.writeKind, o.expectedVersion = store.OpUpdate, version
		m.writes = append(m.writes, o)
	case intent.Stored:
		m.end(o, Reply{Status: Done})
	case intent.NotOwned:
		m.counters.Dropped++
		m.end(o, Reply{Status: Dropped})
	}
}

func (m *Machine) resolveAbandon(now time.Time, o *op, existing *intent.Record, version uint64) {
	o.record = intent.TombstoneFor(o.Claim)
	switch intent.Abandon(o.Claim.Owner, existing) {
	case intent.Tombstone:
		o.writeKind, o.expectedVersion = store.OpInsert, 0
		m.writes = append(m.writes, o)
	case intent.MarkAbandoned:
		o.writeKind, o.expectedVersion = store.OpUpdate, version
		m.writes = append(m.writes, o)
	case intent.NothingToAbandon:
		m.end(o, Reply{Status: Done})
	}
}

func (m *Machine) handlePut(now time.Time, r Result) {
	o := r.Task.ops[0]
	if errors.Is(r.Err, store.ErrThrottled) {
		m.puts = append([]*op{o}, m.puts...)
		return
	}
	if r.Err != nil {
		m.handleFailure(now, o)
		return
	}
	o.record.Answer.Object, o.record.Answer.Body = r.Task.Object, nil
	m.writes = append(m.writes, o)
}

func (m *Machine) handleGet(now time.Time, r Result) {
	o := r.Task.ops[0]
	if r.Err != nil {
		m.handleFailure(now, o)
		return
	}
	a := o.record.Answer
	m.end(o, Reply{Status: Replay, Answer: structs.Answer{Status: a.Status, ContentType: a.ContentType, Body: r.Data}})
}
