// Package intake decides what callers are told about their jobs. It is a
// state machine: requests and answers of the store go in, calls to the store
// and replies come out. A job is reported as accepted only when its row is
// stored, and as not accepted only when no write of it can take effect.
package intake

import (
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// Kind is what a caller wants.
type Kind int

// Kinds of requests.
const (
	Submit Kind = iota
	State       // state of a job, or with an empty id the count of waiting jobs
	Cancel
)

// Request is a caller's request. Number identifies it within the process.
type Request struct {
	Number     uint64
	Kind       Kind
	Host       string
	Path       string
	Submission workload.Submission // for Submit; without id, queue and pool
	Bad        string              // why the body can't be read; "" if it can
	Patience   time.Duration       // how long the caller waits; 0: not told
}

// Outcome says what a reply means.
type Outcome int

// Outcomes.
const (
	Accepted    Outcome = iota
	NotAccepted         // certainly not accepted; come back after Retry
	NoQueue
	NoJob
	Malformed
	Differs // another job has this id
	Found   // State is the job's
	Count   // Waiting is the queue's
	Unsure  // may have been accepted; the caller asks again
)

var outcomeNames = [...]string{"accepted", "not-accepted", "no-queue", "no-job", "malformed", "differs", "found", "count", "unsure"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Reply answers a request.
type Reply struct {
	Number  uint64
	Outcome Outcome
	Job     string
	Why     string
	State   workload.JobState
	Waiting int
	Retry   time.Duration // when a refused caller may come back
}

// Call is what the store is asked for in behalf of a request.
type Call struct {
	Number   uint64
	Op       Op
	Job      string
	Host     string              // of the queue that the job came through
	Prefix   string              // likewise
	Pool     string              // for ReadProgress
	Work     workload.Submission // for Insert
	NotSoon  time.Duration       // wait before the call
	Deadline time.Time
}

// Op is a call to the store.
type Op int

// Store calls.
const (
	Insert Op = iota // the submission, if there is none with its id
	ReadWork
	ReadProgress
	PutCancel
)

// Result is the outcome of a call to the store.
type Result int

// Results of store calls.
const (
	Done      Result = iota
	Exists           // Insert: Work is what is stored
	Missing          // reads: no such row
	Unreached        // nothing was done
	Unknown          // may have been done
)

// Answer is the store's answer to a Call.
type Answer struct {
	Number   uint64
	Op       Op
	Result   Result
	Work     workload.Submission
	Progress workload.Progress
}

// Limits of the time that a request is kept.
const (
	// giveUpAfter bounds how long a request that the store does not take is
	// repeated. Another VM may reach the store, so the caller is sent on early.
	giveUpAfter = 300 * time.Millisecond
	// defaultPatience is used if the caller does not tell its own.
	defaultPatience = 2 * time.Second
	// replyMargin is left of the caller's patience for the reply.
	replyMargin = 200 * time.Millisecond
	// repeatGap spaces repeated calls to the store.
	repeatGap = 60 * time.Millisecond
	// awayAfter is how long the store may leave all calls unanswered. A slow store
	// takes up to 400 ms.
	awayAfter = 500 * time.Millisecond
	// probeGap is the time between submissions that are passed on meanwhile.
	probeGap = 250 * time.Millisecond
	// comeBack is what refused callers are told to wait.
	comeBack = time.Second
)

type pending struct {
	Request
	job      string
	queue    workload.Queue
	arrived  time.Time
	deadline time.Time
	unsure   bool   // a write may have taken effect
	pool     string // of the progress that is read
}

// Machine decides. It is used from one goroutine.
type Machine struct {
	config   *workload.Configuration
	waiting  map[string]int // by queue
	requests map[uint64]*pending
	asked    time.Time // of the first call since the store answered last; zero if there is none
	probeAt  time.Time // of the next submission that is passed on while the store is away
	calls    []Call
	replies  []Reply
}

// New returns a machine without a configuration.
func New() *Machine { return &Machine{requests: map[uint64]*pending{}} }

// Configure replaces the configuration by a later one. It reports whether it
// did: an earlier version is ignored.
func (m *Machine) Configure(c *workload.Configuration) bool {
	if m.config != nil && c.Version <= m.config.Version {
		return false
	}
	m.config = c
	return true
}

// Version returns the version of the configuration, 0 before the first.
func (m *Machine) Version() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version
}

// SetWaiting replaces the counts of waiting jobs by queue.
func (m *Machine) SetWaiting(counts map[string]int) { m.waiting = counts }

// Pending returns the number of requests without a reply.
func (m *Machine) Pending() int { return len(m.requests) }

// Take returns the calls and replies since the last Take.
func (m *Machine) Take() ([]Call, []Reply) {
	calls, replies := m.calls, m.replies
	m.calls, m.replies = nil, nil
	return calls, replies
}

// Arrive takes a request in.
func (m *Machine) Arrive(now time.Time, r Request) {
	p := &pending{Request: r, arrived: now}
	patience := r.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	p.deadline = now.Add(max(patience-replyMargin, patience/2))
	m.requests[r.Number] = p
	if m.config == nil {
		m.reply(p, Reply{Outcome: NotAccepted, Why: "no configuration yet", Retry: comeBack})
		return
	}
	queue, id, ok := m.config.Match(r.Host, r.Path)
	if !ok {
		m.reply(p, Reply{Outcome: NoQueue, Why: "no queue for the host and path"})
		return
	}
	p.queue, p.job, p.pool = *queue, id, queue.Pool
	switch {
	case r.Kind == State && id == "":
		m.reply(p, Reply{Outcome: Count, Waiting: m.waiting[queue.Name]})
	case !validID(id):
		m.reply(p, Reply{Outcome: Malformed, Why: "a job id has 16 hexadecimal digits"})
	case r.Kind == Submit:
		m.submit(now, p)
	case r.Kind == State:
		m.call(now, p, Call{Op: ReadProgress})
	default:
		m.call(now, p, Call{Op: ReadWork})
	}
}

func validID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

func (m *Machine) submit(now time.Time, p *pending) {
	s := &p.Submission
	s.ID, s.Queue, s.Pool = p.job, p.queue, p.queue.Pool
	if p.Bad == "" {
		if err := s.Validate(); err != nil {
			p.Bad = err.Error()
		}
	}
	if p.Bad != "" {
		m.reply(p, Reply{Outcome: Malformed, Why: p.Bad})
		return
	}
	if m.away(now) {
		m.reply(p, Reply{Outcome: NotAccepted, Why: "the store does not answer", Retry: comeBack})
		return
	}
	m.call(now, p, Call{Op: Insert})
}

// away reports whether the store has not answered for so long that a submission
// is better refused than sent: nothing can be said of a write without an answer.
// Some submissions are passed on all the same, to see whether it is back.
func (m *Machine) away(now time.Time) bool {
	if m.asked.IsZero() || now.Sub(m.asked) < awayAfter {
		return false
	}
	if now.Before(m.probeAt) {
		return true
	}
	m.probeAt = now.Add(probeGap)
	return false
}

func (m *Machine) call(now time.Time, p *pending, c Call) {
	if m.asked.IsZero() {
		m.asked = now
	}
	c.Number, c.Job, c.Pool, c.Deadline = p.Number, p.job, p.pool, p.deadline
	c.Host, c.Prefix = p.queue.Host, p.queue.Prefix
	if c.Op == Insert {
		c.Work = p.Submission
	}
	m.calls = append(m.calls, c)
}

func (m *Machine) reply(p *pending, r Reply) {
	r.Number, r.Job = p.Number, p.job
	delete(m.requests, p.Number)
	m.replies = append(m.replies, r)
}

// Answered takes the store's answer in.
func (m *Machine) Answered(now time.Time, a Answer) {
	p, ok := m.requests[a.Number]
	if !ok {
		return
	}
	if a.Result == Unreached || a.Result == Unknown {
		m.repeat(now, p, a)
		return
	}
	m.asked = time.Time{}
	switch a.Op {
	case Insert:
		m.inserted(p, a)
	case PutCancel:
		m.reply(p, Reply{Outcome: Accepted, Why: "cancellation is stored"})
	case ReadProgress:
		m.readProgress(now, p, a)
	case ReadWork:
		m.readWork(now, p, a)
	}
}

func (m *Machine) inserted(p *pending, a Answer) {
	if a.Result == Exists && !same(a.Work, p.Submission) {
		m.reply(p, Reply{Outcome: Differs, Why: "the id belongs to another job"})
		return
	}
	m.reply(p, Reply{Outcome: Accepted})
}

// same reports whether a stored submission is the one that the caller repeats.
func same(a, b workload.Submission) bool {
	return a.Spec == b.Spec && len(a.Steps) == len(b.Steps) && a.Repeat == b.Repeat &&
		slices.EqualFunc(a.Steps, b.Steps, func(x, y workload.Step) bool {
			return x.Count == y.Count && x.Size == y.Size && x.Estimate == y.Estimate
		})
}

func (m *Machine) readProgress(now time.Time, p *pending, a Answer) {
	switch {
	case a.Result == Done:
		m.reply(p, Reply{Outcome: Found, State: a.Progress.State})
	case p.pool != p.queue.Pool:
		m.reply(p, Reply{Outcome: Found, State: workload.Queued})
	default:
		m.call(now, p, Call{Op: ReadWork})
	}
}

func (m *Machine) readWork(now time.Time, p *pending, a Answer) {
	switch {
	case a.Result == Missing:
		m.reply(p, Reply{Outcome: NoJob})
	case p.Kind == Cancel:
		m.call(now, p, Call{Op: PutCancel})
	case a.Work.Pool != p.queue.Pool:
		// The queue was given to another pool after the job was accepted.
		p.pool = a.Work.Pool
		m.call(now, p, Call{Op: ReadProgress})
	default:
		m.reply(p, Reply{Outcome: Found, State: workload.Queued})
	}
}

// repeat calls the store again after a failure, or gives the request up.
func (m *Machine) repeat(now time.Time, p *pending, a Answer) {
	p.unsure = p.unsure || a.Result == Unknown
	if now.Sub(p.arrived) < giveUpAfter && now.Add(repeatGap).Before(p.deadline) {
		m.call(now, p, Call{Op: a.Op, NotSoon: repeatGap})
		return
	}
	if p.Kind == Submit && !p.unsure {
		m.reply(p, Reply{Outcome: NotAccepted, Why: "the store does not take the job", Retry: comeBack})
		return
	}
	m.reply(p, Reply{Outcome: Unsure, Why: "the store did not answer in time"})
}
