// Package membership decides which of the project's processes are alive.
//
// Each process increments a heartbeat counter (the beat) in every round, and
// sends its own beat and what it knows of other members to some of them. A
// process that has received no later beat of a member for SuspectAfter, neither
// directly nor relayed, suspects the member and tells the others. It declares
// the member dead if the suspicion lasts for RemoveAfter. A later beat ends the
// suspicion. A process that was declared dead by mistake refutes this with a
// higher incarnation.
//
// With LocalHealth, a process whose own timer fires late or whose heartbeats
// stay unanswered waits longer before it suspects others, as in Dadgar,
// Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate
// Failure Detection" (2018). BenchmarkSlowObserver compares views with and
// without LocalHealth.
//
// Callers pass the current time to each method that needs it. A View must be
// used by one goroutine only.
package membership

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Status is the state of a member as one process sees it.
type Status int

// Statuses of a member. A suspect member still counts as live.
const (
	Alive Status = iota
	Suspect
	Dead
)

// String returns the status in lower case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// Update is what one process knows about a member.
type Update struct {
	Member structs.Member
	Status Status
	Beat   uint64 // highest known heartbeat counter of the member
}

// Message is the content of a heartbeat and of the answer to it.
type Message struct {
	From       Update // the sender itself
	ConfigHash string // of the sender's configuration; the generation is in From
	Updates    []Update
}

// Config holds the parameters of a View.
type Config struct {
	Interval     time.Duration // between calls of Tick
	Fanout       int           // members contacted in one round
	SuspectAfter time.Duration // time without a later beat until a member is suspected
	RemoveAfter  time.Duration // time of suspicion until a member is declared dead
	MaxUpdates   int           // maximum number of updates in one message
	MinUpdates   int           // number of updates in one message without status changes
	LocalHealth  bool          // extend the periods while this process is slow itself
}

// maxHealthScore bounds the local-health score. SuspectAfter and RemoveAfter
// are multiplied by up to 1+maxHealthScore.
const maxHealthScore = 8
