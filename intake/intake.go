// Package intake decides how callers' requests are answered. It does no I/O:
// its inputs are requests and answers of the store, its outputs are calls to the
// store and replies. A job is reported as accepted only after its row is stored,
// and as not accepted only if no write of it can take effect.
package intake

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/pacing"
	"github.com/carobwharf/carobwharf/workload"
)

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	Submit     Kind = iota
	QueryState      // read the state of a job or, without a job id, the number of waiting jobs
	Cancel
)

// Request is a caller's request. Number identifies it within the process.
type Request struct {
	Number      uint64
	Kind        Kind
	Host        string
	Path        string
	Submission  workload.Submission // for Submit; id, queue and pool are not set
	DecodeError string              // why the body can't be decoded; "" if it can
	Timeout     time.Duration       // how long the caller waits for the reply; 0: unknown
}

// Outcome is the outcome of a request.
type Outcome int

// Outcomes of requests.
const (
	Accepted    Outcome = iota
	NotAccepted         // certainly not accepted; the caller may retry after RetryAfter
	NoQueue
	NoJob
	Malformed
	IDConflict    // a different job with this id is stored
	CancelledID   // the id was cancelled before a job with it was stored; it is not accepted
	Found         // State is set
	WaitingCount  // Waiting is set
	Indeterminate // it is unknown whether the request took effect; the caller may retry
)

var outcomeNames = [...]string{"accepted", "not-accepted", "no-queue", "no-job", "malformed", "differs", "cancelled", "found", "count", "unsure"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Reply answers a request.
type Reply struct {
	Number     uint64
	Outcome    Outcome
	Queue      string // name of the job's queue
	Job        string
	Reason     string
	State      workload.JobState
	Waiting    int
	RetryAfter time.Duration // how long the caller of a refused request should wait before a retry
}

// Call is a call to the store on behalf of a request.
type Call struct {
	Number     uint64
	Op         Op
	Job        workload.JobKey
	Pool       string              // for ReadProgress
	Submission workload.Submission // for Insert
	Delay      time.Duration       // how long to wait before the call
	Deadline   time.Time
}

// Op is the operation of a call to the store.
type Op int

// Operations on the store.
const (
	Insert Op = iota // store the submission unless one with its id, or a tombstone for it, exists
	ReadSubmission
	ReadProgress
	PutCancel
	PutTombstone // store that no submission with this id is accepted any more, unless one exists
)

// Result is the outcome of a call to the store.
type Result int

// Results of store calls.
const (
	Done        Result = iota
	Exists             // an Insert or a PutTombstone found a submission with the same id; Submission is that one
	Cancelled          // an Insert found a tombstone for the id
	NotFound           // the row to read does not exist
	Unavailable        // the call had no effect
	Unknown            // the call may have taken effect
	TooLarge           // an Insert was not executed, because no row can hold the submission
)

// Answer is the store's answer to a Call.
type Answer struct {
	Number     uint64
	Op         Op
	Result     Result
	Submission workload.Submission
	Progress   workload.Progress
}

// Timeouts and retries.
const (
	// maxRetryTime is how long after the arrival of a request failed calls to the
	// store are retried. It is short because another VM may reach the store, and
	// the caller can retry there.
	maxRetryTime = 300 * time.Millisecond
	// defaultTimeout is used if the caller does not send a deadline.
	defaultTimeout = 2 * time.Second
	// replyMargin is the part of the caller's timeout that is reserved for the
	// transfer of the reply.
	replyMargin = 200 * time.Millisecond
	// retryDelay is the delay before a failed call to the store is retried.
	retryDelay = 60 * time.Millisecond
	// unresponsiveAfter is the time without any answer after which the store counts
	// as unresponsive. A slow store takes up to 400 ms for an answer.
	unresponsiveAfter = 500 * time.Millisecond
	// readsFailAfter is the time after which failing reads mean that the store is away. It
	// is longer than the delay of the first repetition, since connections may be reset.
	readsFailAfter = 200 * time.Millisecond
	// probeInterval is the minimum time between the submissions that are sent to an
	// unresponsive store as probes.
	probeInterval = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which the callers of refused
	// requests are asked to retry, without its spread.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// pendingRequest is a request that has no reply yet.
type pendingRequest struct {
	Request
	job          workload.JobKey
	queue        workload.Queue
	arrived      time.Time
	deadline     time.Time
	maybeStored  bool   // a call may have taken effect although it failed
	progressPool string // pool under which the progress of the job is looked up
}

// Handler decides how requests are answered. It is not safe for concurrent use.
type Handler struct {
	config          *workload.Configuration
	waiting         map[string]int // waiting jobs by queue
	requests        map[uint64]*pendingRequest
	unansweredSince time.Time // first call since the last answer of the store; zero: no call since then
	nextProbe       time.Time // earliest time of the next probe while the store is unresponsive
	failingSince    time.Time // since when all regular reads of the store fail; zero: some succeed
	tombstones      *pacing.Pacer
	calls           []Call
	replies         []Reply
}

// New returns a handler without a configuration.
func New() *Handler {
	return &Handler{requests: map[uint64]*pendingRequest{}, tombstones: newTombstonePacer()}
}

// Configure replaces the configuration if c is a later version, and reports
// whether it did.
func (h *Handler) Configure(c *workload.Configuration) bool {
	if h.config != nil && c.Version <= h.config.Version {
		return false
	}
	h.config = c
	return true
}

// Version returns the version of the configuration, 0 before the first.
func (h *Handler) Version() uint64 {
	if h.config == nil {
		return 0
	}
	return h.config.Version
}

// SetWaiting replaces the counts of waiting jobs by queue.
func (h *Handler) SetWaiting(counts map[string]int) { h.waiting = counts }

// SetStoreFailing tells since when all regular reads of the store by this VM fail; zero:
// some succeed. Once they succeed again, calls are sent as if the store had never been away.
func (h *Handler) SetStoreFailing(since time.Time) {
	if !h.failingSince.IsZero() && since.IsZero() {
		h.unansweredSince = time.Time{}
	}
	h.failingSince = since
}

// Pending returns the number of requests without a reply.
func (h *Handler) Pending() int { return len(h.requests) }

// TakeOutput returns the calls and replies that were added since it was last
// called.
func (h *Handler) TakeOutput() ([]Call, []Reply) {
	calls, replies := h.calls, h.replies
	h.calls, h.replies = nil, nil
	return calls, replies
}

// HandleRequest handles a new request.
func (h *Handler) HandleRequest(now time.Time, r Request) {
	p := &pendingRequest{Request: r, arrived: now}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	p.deadline = now.Add(max(timeout-replyMargin, timeout/2))
	h.requests[r.Number] = p
	if h.config == nil {
		h.addReply(p, Reply{Outcome: NotAccepted, Reason: "no configuration yet", RetryAfter: h.retryAfter(now, p)})
		return
	}
	queue, id, ok := h.config.Match(r.Host, r.Path)
	if !ok {
		h.addReply(p, Reply{Outcome: NoQueue, Reason: "no queue for the host and path"})
		return
	}
	p.queue, p.job, p.progressPool = *queue, workload.JobKey{Queue: queue.Key(), ID: id}, queue.Pool
	switch {
	case r.Kind == QueryState && id == "":
		h.addReply(p, Reply{Outcome: WaitingCount, Waiting: h.waiting[queue.Name]})
	case !validID(id):
		h.addReply(p, Reply{Outcome: Malformed, Reason: "a job id has 16 hexadecimal digits"})
	case r.Kind == Submit:
		h.handleSubmit(now, p)
	case h.storeFailing(now):
		h.refuse(now, p)
	case r.Kind == QueryState:
		h.addCall(now, p, Call{Op: ReadProgress})
	default:
		h.addCall(now, p, Call{Op: ReadSubmission})
	}
}

// retryAfter returns when the caller of a refused request should return. It follows a
// load pattern: an outage lasts about as long again as it has lasted, so callers return
// after half of that, and those that were refused together return spread over as long
// again, since at the end of an outage all would come at once.
func (h *Handler) retryAfter(now time.Time, p *pendingRequest) time.Duration {
	base := minRetryAfter
	for _, since := range []time.Time{h.unansweredSince, h.failingSince} {
		if !since.IsZero() {
			base = min(maxRetryAfter, max(base, now.Sub(since)/2))
		}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(p.job.ID))
	return base + time.Duration(float64(base)*float64(hash.Sum32())/(1<<32))
}

func validID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

func (h *Handler) handleSubmit(now time.Time, p *pendingRequest) {
	s := &p.Submission
	s.ID, s.Queue, s.Pool = p.job.ID, p.queue, p.queue.Pool
	if p.DecodeError == "" {
		if err := s.Validate(); err != nil {
			p.DecodeError = err.Error()
		}
	}
	if p.DecodeError != "" {
		h.addReply(p, Reply{Outcome: Malformed, Reason: p.DecodeError})
		return
	}
	if h.shouldRefuse(now) {
		h.refuse(now, p)
		return
	}
	h.addCall(now, p, Call{Op: Insert})
}

// refuse replies to a request for which no call has been made.
func (h *Handler) refuse(now time.Time, p *pendingRequest) {
	h.addReply(p, Reply{Outcome: NotAccepted, Reason: "the store does not answer", RetryAfter: h.retryAfter(now, p)})
}

// storeFailing reports whether all regular reads of the store have failed for a while, or
// fail and calls for requests have had no answer either. In a large deployment each VM
// gets few requests, so that nearly all would be sent as probes and held until they time
// out.
func (h *Handler) storeFailing(now time.Time) bool {
	return !h.failingSince.IsZero() && (now.Sub(h.failingSince) >= readsFailAfter ||
		!h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) >= unresponsiveAfter)
}

// shouldRefuse reports whether a submission is refused because the store is
// unresponsive: a refusal is definite, but the outcome of a write without an
// answer is unknown. One submission per probeInterval is sent nevertheless, to
// detect that the store answers again.
func (h *Handler) shouldRefuse(now time.Time) bool {
	if h.storeFailing(now) {
		return true // the regular reads detect it
	}
	if h.unansweredSince.IsZero() || now.Sub(h.unansweredSince) < unresponsiveAfter {
		return false
	}
	if now.Before(h.nextProbe) {
		return true
	}
	h.nextProbe = now.Add(probeInterval)
	return false
}

func (h *Handler) addCall(now time.Time, p *pendingRequest, c Call) {
	if h.unansweredSince.IsZero() {
		h.unansweredSince = now
	}
	c.Number, c.Job, c.Pool, c.Deadline = p.Number, p.job, p.progressPool, p.deadline
	if c.Op == Insert {
		c.Submission = p.Submission
	}
	h.calls = append(h.calls, c)
}

func (h *Handler) addReply(p *pendingRequest, r Reply) {
	r.Number, r.Queue, r.Job = p.Number, p.queue.Name, p.job.ID
	delete(h.requests, p.Number)
	h.replies = append(h.replies, r)
}

// HandleAnswer handles the store's answer to a call.
func (h *Handler) HandleAnswer(now time.Time, a Answer) {
	p, ok := h.requests[a.Number]
	if !ok {
		return
	}
	if a.Result == Unavailable || a.Result == Unknown {
		h.retryOrGiveUp(now, p, a)
		return
	}
	h.unansweredSince = time.Time{}
	switch a.Op {
	case Insert:
		h.handleInsert(p, a)
	case PutCancel:
		h.addReply(p, Reply{Outcome: Accepted, Reason: "cancellation is stored"})
	case PutTombstone:
		h.handleTombstone(now, p, a)
	case ReadProgress:
		h.handleProgressRead(now, p, a)
	case ReadSubmission:
		h.handleSubmissionRead(now, p, a)
	}
}

func (h *Handler) handleInsert(p *pendingRequest, a Answer) {
	if a.Result == TooLarge {
		h.addReply(p, Reply{Outcome: Malformed, Reason: "the job is too large to be stored"})
		return
	}
	if a.Result == Cancelled {
		h.addReply(p, Reply{Outcome: CancelledID, Reason: "a job with this id was cancelled before it was submitted"})
		return
	}
	if a.Result == Exists && !sameSubmission(a.Submission, p.Submission) {
		h.addReply(p, Reply{Outcome: IDConflict, Reason: "the id belongs to another job"})
		return
	}
	h.addReply(p, Reply{Outcome: Accepted})
}

// sameSubmission reports whether a stored submission and a new one with the same
// id are the same job. It compares the spec, the repetition, and the count, size
// and estimate of each step.
func sameSubmission(a, b workload.Submission) bool {
	return a.Spec == b.Spec && len(a.Steps) == len(b.Steps) && a.Repeat == b.Repeat &&
		slices.EqualFunc(a.Steps, b.Steps, func(x, y workload.Step) bool {
			return x.Count == y.Count && x.Size == y.Size && x.Estimate == y.Estimate
		})
}

func (h *Handler) handleProgressRead(now time.Time, p *pendingRequest, a Answer) {
	switch {
	case a.Result == Done && a.Progress.BelongsTo(p.job.Queue):
		h.addReply(p, Reply{Outcome: Found, State: a.Progress.State})
	case p.progressPool != p.queue.Pool:
		h.addReply(p, Reply{Outcome: Found, State: workload.Queued})
	default:
		h.addCall(now, p, Call{Op: ReadSubmission})
	}
}

func (h *Handler) handleSubmissionRead(now time.Time, p *pendingRequest, a Answer) {
	switch {
	case a.Result == NotFound && p.Kind == Cancel:
		h.cancelUnstored(now, p)
	case a.Result == NotFound:
		h.addReply(p, Reply{Outcome: NoJob})
	case p.Kind == Cancel:
		h.addCall(now, p, Call{Op: PutCancel})
	case a.Submission.Pool != p.queue.Pool:
		// The queue was assigned to another pool after the job was accepted.
		p.progressPool = a.Submission.Pool
		h.addCall(now, p, Call{Op: ReadProgress})
	default:
		h.addReply(p, Reply{Outcome: Found, State: workload.Queued})
	}
}

// retryOrGiveUp retries a failed call, or replies when there is no time left for
// a retry.
func (h *Handler) retryOrGiveUp(now time.Time, p *pendingRequest, a Answer) {
	p.maybeStored = p.maybeStored || a.Result == Unknown
	if now.Sub(p.arrived) < maxRetryTime && now.Add(retryDelay).Before(p.deadline) {
		h.addCall(now, p, Call{Op: a.Op, Delay: retryDelay})
		return
	}
	if p.Kind == Submit && !p.maybeStored {
		h.addReply(p, Reply{Outcome: NotAccepted, Reason: "the store does not take the job", RetryAfter: h.retryAfter(now, p)})
		return
	}
	h.addReply(p, Reply{Outcome: Indeterminate, Reason: "the store did not answer in time"})
}
