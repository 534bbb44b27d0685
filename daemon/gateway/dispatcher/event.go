// Package dispatcher implements the state machine of the gateway's data path. It
// validates and queues requests, chooses endpoints, claims an idempotency record
// before each non-idempotent call, retries failed calls, and decides the answer
// to each caller. It does no I/O: it maps events to actions, and the current
// time is an argument.
package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/structs"
)

// Handle identifies a request inside the machine. It carries a generation, so
// that a late event for an ended request is not taken for its successor's.
type Handle uint64

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	RequestArrived EventKind = iota // Ref, Request
	CallEnded                       // Handle, Attempt, Result
	CallNotSent                     // Handle, Attempt: the call was not started, for a reason outside the endpoint
	ClaimReplied                    // Handle, Claim: the reply to a Claim action
	FinishReplied                   // Handle: the journal's write of the finished record has succeeded or failed
	NewConfig                       // Config
	NewFleet                        // Fleet
	NewMembers                      // Members
	DrainVM                         // Ref, VM, Epoch
	ReadDemand                      // Ref
	Tick                            // the time that NextWake returned is reached
	Stop                            // refuse new requests
	Abort                           // answer all requests at once
)

// Event is an input of the machine. The comment of each kind lists its fields.
type Event struct {
	Kind    EventKind
	Ref     uint64 // chosen by the event loop, returned in the action that answers the event
	Handle  Handle
	Attempt int
	Request *structs.Request
	Result  *structs.EndpointResult
	Claim   ClaimResult
	Config  *structs.Config
	Fleet   *structs.FleetView
	Members *structs.MemberView
	VM      string
	Epoch   uint64
}

// ClaimKind is the kind of a ClaimResult.
type ClaimKind int

// Results of a claim.
const (
	ClaimGranted     ClaimKind = iota // the record is in state started with the token of this claim
	ClaimReplay                       // the request is finished: Answer holds the stored answer
	ClaimKeyReused                    // the key was used for a different request
	ClaimInProgress                   // another attempt holds the record in state started
	ClaimStaleVM                      // the VM's ownership row has another version
	ClaimUnavailable                  // the platform cannot be reached
)

// ClaimResult is the journal's reply to a Claim action.
type ClaimResult struct {
	Kind           ClaimKind
	Token          string
	Version        uint64         // ClaimGranted: version of the record's row
	RecordMayExist bool           // not ClaimGranted: the record may have been written nevertheless
	Answer         structs.Answer // ClaimReplay: the stored answer
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	Answer      ActionKind = iota // Ref, Answer
	Send                          // Handle, Attempt, Request, VM, Legacy, Deadline, SendBy: call the endpoint
	Claim                         // Handle, Request, Claim, VM, OwnerVersion, Deadline: write the started record
	Finish                        // Handle, Request, Claim, Version, Answer: write the finished record
	Abandon                       // Request, Claim: mark the record of a request that never ran as abandoned
	DrainReply                    // Ref, InFlight
	DemandReply                   // Ref, Demand
)

// Action is an output of the machine. The comment of each kind lists its fields.
type Action struct {
	Kind         ActionKind
	Ref          uint64
	Handle       Handle
	Attempt      int
	Request      *structs.Request
	VM           structs.VM
	OwnerVersion uint64
	Legacy       structs.Legacy
	Deadline     time.Time
	SendBy       time.Time // the call must not start later, because the view may be outdated by then
	Claim        intent.Claim
	Version      uint64
	Answer       structs.Answer
	InFlight     int
	Demand       []structs.ServiceDemand
}
