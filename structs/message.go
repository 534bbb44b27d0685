package structs

import "time"

// Outcome tells a caller what is known about the execution of its request.
type Outcome string

// Outcomes. OutcomeNotRun is given only when no byte of the request can have
// reached an endpoint, or when the endpoint's refusal is declared trustworthy.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// Reasons for refusals.
const (
	ReasonNone          Reason = ""
	ReasonBadRequest    Reason = "bad-request"
	ReasonNoService     Reason = "no-such-service"
	ReasonNoOperation   Reason = "no-such-operation"
	ReasonKeyRequired   Reason = "idempotency-key-required"
	ReasonKeyReused     Reason = "idempotency-key-reused" // same key, other body
	ReasonInProgress    Reason = "in-progress"            // another attempt of the key was started
	ReasonTooLarge      Reason = "body-too-large"
	ReasonQueueFull     Reason = "queue-full"
	ReasonTooLate       Reason = "deadline-cannot-be-met"
	ReasonQuota         Reason = "team-quota"
	ReasonNoConfig      Reason = "no-configuration"
	ReasonNoEndpoint    Reason = "no-endpoint"
	ReasonPlatformDown  Reason = "platform-unavailable"
	ReasonEndpointError Reason = "endpoint-failed"
	ReasonTimeout       Reason = "timeout"
	ReasonDraining      Reason = "draining"
)

// Request is one call of a caller.
type Request struct {
	ID          string // unique for each call, used for correlation at every hop
	Service     string
	Operation   string
	Key         string // idempotency key; empty if the caller gave none
	Team        string
	Arrived     time.Time
	Deadline    time.Time
	ContentType string
	Body        []byte
}

// Answer is the whole result of one Request, or its refusal.
type Answer struct {
	RequestID   string
	Outcome     Outcome
	Reason      Reason
	Status      int           // HTTP status class as seen by the caller
	RetryAfter  time.Duration // 0 means that no advice is given
	Replayed    bool          // taken from the record of an earlier attempt
	ContentType string
	Body        []byte
}

// EndpointResultKind classifies what came back from an endpoint.
type EndpointResultKind int

// Kinds of endpoint results.
const (
	EndpointAnswered   EndpointResultKind = iota // a whole answer
	EndpointRefused                              // 429 or 503: no capacity or leaving
	EndpointNotReached                           // no byte of the request was written
	EndpointBroken                               // bytes were written and no whole answer came back
	EndpointTimedOut                             // bytes were written and the deadline passed
)

// EndpointResult is the result of one attempt at an endpoint.
type EndpointResult struct {
	RequestID   string
	Attempt     int
	VM          string
	Kind        EndpointResultKind
	Status      int
	Failed      bool // the endpoint reports an error of its own (5xx, or X-Error in legacy form)
	Leaving     bool // the endpoint announced that it is leaving (Connection: close with 503, refused connection)
	ContentType string
	Body        []byte
	Latency     time.Duration
	Detail      string // error text for logs
}
