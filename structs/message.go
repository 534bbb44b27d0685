package structs

import "time"

// Outcome tells a caller what is known about the execution of its request.
type Outcome string

// Outcomes. OutcomeNotRun is reported only if no byte of the request can have
// reached an endpoint, or if the endpoint refused the request and the service
// sets TrustRefusal.
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
	ReasonKeyReused     Reason = "idempotency-key-reused" // same key with a different body
	ReasonInProgress    Reason = "in-progress"            // another attempt with the key has started
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

// Request is one request from a caller.
type Request struct {
	ID          string // unique for each request, used for correlation at every hop
	Service     string
	Operation   string
	Key         string // idempotency key; empty if the caller gave none
	Team        string
	Arrived     time.Time
	Deadline    time.Time
	ContentType string
	Body        []byte
}

// Answer is the complete result of one Request, or its refusal.
type Answer struct {
	RequestID   string
	Outcome     Outcome
	Reason      Reason
	Status      int           // HTTP status; a gateway sets it only for OutcomeDone
	RetryAfter  time.Duration // 0 means that no retry delay is advised
	Replayed    bool          // taken from the stored result of an earlier attempt
	ContentType string
	Body        []byte
}

// EndpointResultKind classifies the result of an attempt at an endpoint.
type EndpointResultKind int

// Kinds of endpoint results.
const (
	EndpointAnswered   EndpointResultKind = iota // a complete answer was received
	EndpointRefused                              // status 429 or 503: the endpoint has no capacity or is shutting down
	EndpointNotReached                           // no byte of the request was written
	EndpointNoAnswer                             // bytes were written, but no complete answer was received
	EndpointTimedOut                             // bytes were written, and the deadline passed before an answer
)

// EndpointResult is the result of one attempt at an endpoint.
type EndpointResult struct {
	RequestID   string
	Attempt     int
	VM          string
	Kind        EndpointResultKind
	Status      int
	Failed      bool // the endpoint reported an error (5xx, or X-Error with LegacyStatus200)
	Leaving     bool // the endpoint is shutting down (503 with Connection: close, or connection refused)
	ContentType string
	Body        []byte
	Latency     time.Duration
	Detail      string // error text for logs
}
