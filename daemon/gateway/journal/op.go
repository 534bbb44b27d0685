// Package journal writes the idempotency records of the gateway. It groups
// many rows into one transaction, retries without the rows that conflict,
// reads back what was written when an answer of the platform was lost, and
// holds a bounded number of finished answers while the platform is down.
//
// Machine holds the decisions and does no I/O; Journal is the duty around it.
package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Kind is the kind of an operation.
type Kind int

// Kinds of operations.
const (
	Claim     Kind = iota // own the record before the request is sent
	Finish                // store the answer
	Surrender             // the request was never run: abandon its record
)

// Request asks for an operation on one record.
type Request struct {
	Kind      Kind
	Service   string
	Key       string
	Claim     intent.Claim
	VM        string // Claim: the row that must have VMVersion
	VMVersion uint64
	Version   uint64 // Finish: version of the record's row
	Answer    structs.Answer
	Deadline  time.Time // Claim: no use after this time
	Ref       uint64    // given back with the reply
}

// Status is the result of an operation.
type Status int

// Results.
const (
	Granted     Status = iota // Claim: the record is started by this attempt
	Replay                    // Claim: Answer is the stored answer
	KeyReused                 // Claim: the key belongs to another request
	InProgress                // Claim: another attempt was started
	StaleVM                   // Claim: the VM's row has another version
	Unavailable               // the platform cannot be reached
	Done                      // Finish, Surrender: nothing is left to do
	Dropped                   // Finish, Surrender: given up
)

// Reply is the result of a Request.
type Reply struct {
	Kind     Kind
	Ref      uint64
	Token    string
	Status   Status
	Version  uint64
	MayExist bool // Unavailable: the record may have been written
	Answer   structs.Answer
}

// op is a request in progress.
type op struct {
	Request
	key    string
	since  time.Time
	kind   store.OpKind // of the next write
	expect uint64       // version that the next write replaces
	record intent.Record
	unsure bool      // a write of a claim had an unknown result
	tries  int       // failed tries, for the backoff
	notNow time.Time // not tried again before
}

func newOp(now time.Time, r Request) *op {
	o := &op{Request: r, key: store.KeyIntent(r.Service, r.Key), since: now}
	switch r.Kind {
	case Claim:
		o.kind, o.record = store.OpInsert, r.Claim.Record()
	case Finish:
		o.kind, o.expect, o.record = store.OpUpdate, r.Version, r.Claim.Record()
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
	return store.Op{Kind: o.kind, Key: o.key, Expect: o.expect, Value: value}, nil
}

func decode(row store.Row) (*intent.Record, error) {
	var r intent.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, fmt.Errorf("decode record %s: %w", row.Key, err)
	}
	return &r, nil
}
