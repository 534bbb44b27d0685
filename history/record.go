// Package history records the requests that callers sent, the answers that they
// got and the effects at the endpoints. It checks such a history against the
// guarantees of carobwharf: each answer is complete and belongs to its request, a
// non-idempotent key is executed at most once, and reported outcomes are true.
package history

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Request records a request that a caller sent. Times are offsets from the start
// of the history.
type Request struct {
	ID        string        `json:"id"`
	Service   string        `json:"service"`
	Operation string        `json:"operation"`
	Key       string        `json:"key,omitempty"`
	Once      bool          `json:"once,omitempty"` // the operation is non-idempotent
	Digest    string        `json:"digest"`         // hex SHA-256 of the body
	Intended  time.Duration `json:"intended"`       // start time according to the schedule
	Sent      time.Duration `json:"sent"`
	Deadline  time.Duration `json:"deadline,omitempty"`
}

// Answer records the result of a call. If the call ended without an answer, Error
// is set and Outcome is empty.
type Answer struct {
	ID         string          `json:"id"`            // ID of the request that the caller sent
	AnsweredID string          `json:"for,omitempty"` // request ID in the answer, outside its body
	At         time.Duration   `json:"at"`
	Outcome    structs.Outcome `json:"outcome,omitempty"`
	Reason     structs.Reason  `json:"reason,omitempty"`
	Status     int             `json:"status,omitempty"`
	Replayed   bool            `json:"replayed,omitempty"`
	Complete   bool            `json:"whole,omitempty"`  // the body is a complete answer from an endpoint
	BodyID     string          `json:"bodyId,omitempty"` // request ID in the body
	Digest     string          `json:"digest,omitempty"` // request digest in the body
	Sum        string          `json:"sum,omitempty"`    // hex SHA-256 of the answer's body
	Error      string          `json:"error,omitempty"`
}

// Effect records one execution of a request at an endpoint.
type Effect struct {
	ID        string `json:"id"`
	Key       string `json:"key,omitempty"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	VM        string `json:"vm"`
	Digest    string `json:"digest"`
}

// History is a complete history. End is the offset at which recording stopped.
type History struct {
	Requests []Request
	Answers  []Answer
	Effects  []Effect
	End      time.Duration
}

// Digest returns the hex SHA-256 of a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// NewRequest returns the record of a request sent at the given offset.
func NewRequest(r *structs.Request, once bool, intended, sent, deadline time.Duration) Request {
	return Request{
		ID: r.ID, Service: r.Service, Operation: r.Operation, Key: r.Key, Once: once,
		Digest: Digest(r.Body), Intended: intended, Sent: sent, Deadline: deadline,
	}
}

// endpointBody is the part of an endpoint's answer body that identifies the
// request.
type endpointBody struct {
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

// NewAnswer returns the record of the answer to the request with the given
// identifier. callErr is the error of a call that ended without an answer.
func NewAnswer(id string, at time.Duration, a structs.Answer, callErr error) Answer {
	if callErr != nil {
		return Answer{ID: id, At: at, Error: cmp.Or(callErr.Error(), "no answer")}
	}
	out := Answer{
		ID: id, AnsweredID: a.RequestID, At: at, Outcome: a.Outcome, Reason: a.Reason, Status: a.Status,
		Replayed: a.Replayed, Sum: Digest(a.Body),
	}
	var body endpointBody
	if json.Unmarshal(a.Body, &body) == nil {
		out.Complete = body.ID != "" && body.Digest != ""
		out.BodyID, out.Digest = body.ID, body.Digest
	}
	return out
}
