// Package dispatcher is the state machine of the gateway's data path: it
// validates and queues requests, chooses endpoints, claims idempotency records
// before non-idempotent work, retries, and decides what each caller is told.
// It does no I/O: events come in, actions go out, the time is an argument.
package dispatcher

import (
	"time"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/structs"
)

// Handle identifies a request inside the machine. It is not reused while an
// event for it may still come.
type Handle uint64

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	Arrived    EventKind = iota // Ref, Request
	Ended                       // Handle, Attempt, Result: an endpoint call ended
	NotSent                     // Handle, Attempt: the call was never started, the endpoint is not to blame
	Claimed                     // Handle, Claim
	Stored                      // Handle: the finished row was stored, or could not be
	NewConfig                   // Config
	NewFleet                    // Fleet
	NewMembers                  // Members
	DrainVM                     // Ref, VM, Epoch
	AskDemand                   // Ref
	Tick                        // the time given by NextWake has come
	Stop                        // refuse new requests
	Abort                       // answer everything now
)

// Event is an input of the machine. The fields in use depend on Kind.
type Event struct {
	Kind    EventKind
	Ref     uint64 // the loop's identifier of whoever waits for an answer
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

// ClaimKind is the result of a claim of an idempotency record.
type ClaimKind int

// Results of a claim.
const (
	ClaimGranted     ClaimKind = iota // the record is started by this attempt
	ClaimReplay                       // Answer holds the stored answer
	ClaimKeyReused                    // the key belongs to another request
	ClaimInProgress                   // another attempt was started
	ClaimStaleVM                      // the VM's ownership row has another version
	ClaimUnavailable                  // the platform cannot be reached
)

// ClaimResult is the journal's reply to a Claim action.
type ClaimResult struct {
	Kind     ClaimKind
	Token    string
	Version  uint64         // of the record's row, if granted
	MayExist bool           // ClaimUnavailable: the record may have been written
	Answer   structs.Answer // ClaimReplay
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	Answer      ActionKind = iota // Ref, Answer
	Send                          // Handle, Attempt, Request, VM, Legacy, Deadline, SendBy
	Claim                         // Handle, Request, Claim, VM, OwnerVersion, Deadline
	Finish                        // Handle, Request, Claim, Version, Answer
	Surrender                     // Request, Claim: the request was never run
	DrainReply                    // Ref, InFlight
	DemandReply                   // Ref, Demand
)

// Action is an output of the machine. The fields in use depend on Kind.
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
	SendBy       time.Time // the call must not be started later, since the view may be outdated then
	Claim        intent.Claim
	Version      uint64
	Answer       structs.Answer
	InFlight     int
	Demand       []structs.ServiceDemand
}
