// Package intent is the life cycle of an idempotency record, which makes sure
// that a non-idempotent request runs at most once. A record is inserted in
// state started before the request is sent, and becomes finished with the
// stored answer, or abandoned if the request was certainly never run. The
// package decides what to do with what was read; it does no I/O.
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
	Started   State = "started"   // an attempt may have been sent
	Finished  State = "finished"  // the answer is stored
	Abandoned State = "abandoned" // no attempt has been or will be sent by the record's owner
)

// Record is the value of an intent row.
type Record struct {
	Token    string // identifies the attempt
	Owner    string // identifies the caller's request over all its attempts
	Process  string // the gateway that made the record
	BodyHash string
	State    State
	Answer   Answer `json:"Answer,omitzero"`
	Expiry   time.Time
}

// Answer is a stored answer. Either Body or Object holds the content.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte `json:",omitempty"`
	Object      string `json:",omitempty"` // name in the object store
}

// Hash returns the hash by which two uses of a key are compared. The operation
// is part of it.
func Hash(req *structs.Request) string {
	h := sha256.New()
	h.Write([]byte(req.Operation))
	h.Write([]byte{0})
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// Claim is an attempt to own the record of a key. Each attempt has a token of
// its own. An owner makes a second claim only when its earlier ones were
// certainly not run.
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

// Decision says what to do with a claim after the existing record was read.
type Decision int

// Decisions.
const (
	Insert     Decision = iota // no record: insert one, conditional on its absence
	Own                        // the record is this attempt's own: send the request
	TakeOver                   // abandoned, or of an earlier attempt of the owner: update it, conditional on the version
	Replay                     // give the stored answer
	KeyReused                  // the key was used for another request: refuse
	InProgress                 // another attempt was started, or the owner gave up: do not send
)

// Resolve decides about a claim. existing is nil if there is no record. A
// record that carries the claim's own token is the effect of an earlier write
// whose answer was lost. Expiry plays no part: a record is in force until the
// controller deletes it, so that clocks decide nothing here.
func Resolve(c Claim, existing *Record) Decision {
	switch {
	case existing == nil:
		return Insert
	case existing.State == Abandoned && existing.Owner == c.Owner:
		return InProgress // the owner gave up while this claim was on its way
	case existing.State == Abandoned:
		return TakeOver
	case existing.State == Started && existing.Token == c.Token:
		return Own
	case existing.State == Started && existing.Owner == c.Owner:
		return TakeOver
	case existing.BodyHash != c.BodyHash:
		return KeyReused
	case existing.State == Finished:
		return Replay
	}
	return InProgress
}

// GiveUp says how a claim that was never sent is ended.
type GiveUp int

// Ways to give up.
const (
	Tombstone  GiveUp = iota // no record: insert an abandoned one, so that a late insert of this attempt fails
	MarkOwn                  // the record is the owner's: set it to abandoned
	NothingOwn               // the record belongs to another owner or is abandoned: nothing to do
)

// Surrender decides how to give up a claim whose request was never sent. Only
// the owner's record, or its absence, is changed: a record of another owner
// may belong to a request that runs.
func Surrender(owner string, existing *Record) GiveUp {
	switch {
	case existing == nil:
		return Tombstone
	case existing.Owner == owner && existing.State == Started:
		return MarkOwn
	}
	return NothingOwn
}

// TombstoneFor returns the record that ends a claim.
func TombstoneFor(c Claim) Record {
	r := c.Record()
	r.State = Abandoned
	return r
}

// Store says what to do with a finished answer after the existing record was
// read.
type Store int

// Ways to store.
const (
	Write   Store = iota // write it, conditional on the version read
	Stored               // it is stored already
	NotOurs              // the record is gone or belongs to another attempt: drop the answer
)

// Finish decides how to store the answer of an attempt.
func Finish(token string, existing *Record) Store {
	switch {
	case existing == nil || existing.Token != token:
		return NotOurs
	case existing.State == Finished:
		return Stored
	}
	return Write
}
