// Package intent implements the life cycle of an idempotency record, which
// ensures that a non-idempotent request runs at most once. A record is inserted
// in state Started before the request is sent. It becomes Finished when the
// answer is stored, or Abandoned if the request certainly never ran. The package
// decides on the basis of the record that the caller has read; it does no I/O.
package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// State is the state of a record.
type State string

// States of a record.
const (
	Started   State = "started"   // the request may have been sent
	Finished  State = "finished"  // the answer is stored
	Abandoned State = "abandoned" // the record's owner has not sent the request and will not send it
)

// Record is an idempotency record, the value of an intent row in the store.
type Record struct {
	Token    string // identifies the attempt
	Owner    string // identifies the caller's request over all its attempts
	Process  string // the gateway that wrote the record
	BodyHash string
	State    State
	Answer   Answer `json:"Answer,omitzero"`
	Expiry   time.Time
}

// Answer is a stored answer. Its content is either in Body or in Object.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte `json:",omitempty"`
	Object      string `json:",omitempty"` // name in the object store
}

// Hash returns the hash of a request's operation and body. It tells whether two
// uses of an idempotency key are the same request.
func Hash(req *structs.Request) string {
	h := sha256.New()
	h.Write([]byte(req.Operation))
	h.Write([]byte{0})
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// Claim is an attempt to own the record of an idempotency key. Each attempt has
// its own token. An owner makes another claim only if the requests of its
// earlier claims certainly did not run.
type Claim struct {
	Token    string
	Owner    string
	Process  string
	BodyHash string
	Expiry   time.Time
}

// Record returns the record that a claim writes.
func (c Claim) Record() Record {
	return Record{Token: c.Token, Owner: c.Owner, Process: c.Process, BodyHash: c.BodyHash, State: Started, Expiry: c.Expiry}
}

// Decision is the result of Resolve: how a claim proceeds.
type Decision int

// Results of Resolve.
const (
	Insert     Decision = iota // there is no record: insert one if there is still none
	Owned                      // the record belongs to this attempt: send the request
	TakeOver                   // the record is abandoned or belongs to an earlier attempt of the owner: update it if its version is unchanged
	Replay                     // return the stored answer
	KeyReused                  // the key was used for a different request: refuse
	InProgress                 // another attempt may be running, or the owner has abandoned the request: do not send it
)

// Resolve decides how a claim proceeds. existing is the record that was read, nil
// if there is none. A record with the claim's own token comes from an earlier
// write whose response was lost. Resolve ignores Expiry: a record is valid until
// the controller deletes it, so the decision does not depend on clocks.
func Resolve(c Claim, existing *Record) Decision {
	switch {
	case existing == nil:
		return Insert
	case existing.State == Abandoned && existing.Owner == c.Owner:
		return InProgress // the owner abandoned the request while this claim was being written
	case existing.State == Abandoned:
		return TakeOver
	case existing.State == Started && existing.Token == c.Token:
		return Owned
	case existing.State == Started && existing.Owner == c.Owner:
		return TakeOver
	case existing.BodyHash != c.BodyHash:
		return KeyReused
	case existing.State == Finished:
		return Replay
	}
	return InProgress
}

// AbandonDecision is the result of Abandon: how the record of a claim is
// abandoned.
type AbandonDecision int

// Results of Abandon.
const (
	Tombstone        AbandonDecision = iota // there is no record: insert an abandoned one, so that a delayed insert of this attempt fails
	MarkAbandoned                           // the record belongs to the owner: set its state to Abandoned
	NothingToAbandon                        // the record belongs to another owner, or is not in state Started: leave it
)

// Abandon decides how to abandon a claim whose request was never sent. It
// changes no record of another owner, because the request of that owner may be
// running.
func Abandon(owner string, existing *Record) AbandonDecision {
	switch {
	case existing == nil:
		return Tombstone
	case existing.Owner == owner && existing.State == Started:
		return MarkAbandoned
	}
	return NothingToAbandon
}

// TombstoneFor returns the record that abandons a claim.
func TombstoneFor(c Claim) Record {
	r := c.Record()
	r.State = Abandoned
	return r
}

// FinishDecision is the result of Finish: whether the answer of an attempt is
// written.
type FinishDecision int

// Results of Finish.
const (
	Write    FinishDecision = iota // write the answer if the record's version is unchanged
	Stored                         // the answer is already stored
	NotOwned                       // the record was deleted or belongs to another attempt: drop the answer
)

// Finish decides whether to store the answer of the attempt with the given token.
func Finish(token string, existing *Record) FinishDecision {
	switch {
	case existing == nil || existing.Token != token:
		return NotOwned
	case existing.State == Finished:
		return Stored
	}
	return Write
}
