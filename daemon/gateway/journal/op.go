// Package journal stores the gateway's idempotency records on the platform. It
// batches rows into transactions, retries a failed transaction without the
// conflicting rows, re-reads rows after a write with an unknown result, and
// buffers a bounded number of answers while the platform is down.
//
// Machine is the state machine, which does no I/O. Journal is the duty that
// runs it and makes the calls to the platform.
package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Kind is the kind of a Request.
type Kind int

// Kinds of requests.
const (
	Claim   Kind = iota // acquire the record before the caller's request is sent
	Finish              // store the answer in the record
	Abandon             // mark the record as abandoned, since the caller's request was never sent
)

// Request is an operation on one record.
type Request struct {
	Kind      Kind
	Service   string
	Key       string
	Claim     intent.Claim
	VM        string // Claim: the VM whose row must have VMVersion
	VMVersion uint64
	Version   uint64 // Finish: expected version of the record's row
	Answer    structs.Answer
	Deadline  time.Time // Claim: not written after this time
	Ref       uint64    // copied to the reply
}

// Status is the result of a Request.
type Status int

// Statuses, with the kinds of requests that they apply to.
const (
	Granted     Status = iota // Claim: this attempt owns the record
	Replay                    // Claim: Answer is the stored answer
	KeyReused                 // Claim: the key was used with a different request
	InProgress                // Claim: another attempt owns the record, or the owner abandoned it
	StaleVM                   // Claim: the VM's row does not have VMVersion
	Unavailable               // Claim: the platform is down or the deadline has passed
	Done                      // Finish, Abandon: stored, or nothing to store
	Dropped                   // not stored: backlog full, record owned by another attempt, or encoding failed
)

// Reply answers a Request.
type Reply struct {
	Kind           Kind
	Ref            uint64
	Token          string
	Status         Status
	Version        uint64
	RecordMayExist bool // Unavailable, StaleVM: the record may have been written
	Answer         structs.Answer
}

// op is a Request in progress.
type op struct {
	Request
	key             string
	addedAt         time.Time
	writeKind       store.OpKind // kind of the next write
	expectedVersion uint64       // version that the next write expects
	record          intent.Record
	recordMayExist  bool      // a write had an unknown result
	failures        int       // failed calls, for the backoff
	retryAt         time.Time // end of the backoff
}

func newOp(now time.Time, r Request) *op {
	o := &op{Request: r, key: store.KeyIntent(r.Service, r.Key), addedAt: now}
	switch r.Kind {
	case Claim:
		o.writeKind, o.record = store.OpInsert, r.Claim.Record()
	case Finish:
		o.writeKind, o.expectedVersion, o.record = store.OpUpdate, r.Version, r.Claim.Record()
		o.record.State = intent.Finished
		o.record.Answer = intent.Answer{Status: r.Answer.Status, ContentType: r.Answer.ContentType, Body: r.Answer.Body}
	}
	return o
}

func (o *op) encode() (store.Op, error) {
	value, err := json.Marshal(o.record)
	if err != nil {
		return store.Op{}, fmt.Errorf("encode record %s: %w", o.key, err)
	}
	return store.Op{Kind: o.writeKind, Key: o.key, Expect: o.expectedVersion, Value: value}, nil
}

func decode(row store.Row) (*intent.Record, error) {
	var r intent.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, fmt.Errorf("decode record %s: %w", row.Key, err)
	}
	return &r, nil
}
