// Package membership decides which of the project's processes are alive.
//
// Each process counts its rounds (the beat) and tells others its own beat and
// what it knows of third processes. A process without news of a member, direct
// or relayed, suspects it, tells the others, and declares it dead only after a
// second period. Any evidence of a later beat ends a suspicion. A process
// that was declared dead by mistake refutes this with a higher incarnation.
//
// With LocalHealth, a process whose own timer fires late or whose heartbeats
// stay unanswered waits longer before it suspects others, as in Dadgar,
// Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate
// Failure Detection" (2018). BenchmarkSlowObserver compares this with the
// plain view.
//
// The clock is an argument of each call, and a View is owned by one goroutine.
package membership

import (
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Status is the state of a member in a view.
type Status int

// Member states. A suspect still counts as live.
const (
	Alive Status = iota
	Suspect
	Dead
)

// String returns the status in lower case.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "dead"}[s]
}

// Update is one process's knowledge of a member.
type Update struct {
	Member structs.Member
	Status Status
	Beat   uint64 // latest round of the member that is known of
}

// Message is exchanged in both directions of a heartbeat.
type Message struct {
	From       Update // the sender itself
	ConfigHash string // of the sender's configuration; its generation is in From
	Updates    []Update
}

// Config bounds a View.
type Config struct {
	Interval     time.Duration // between rounds
	Fanout       int           // members contacted in one round
	SuspectAfter time.Duration // without news
	RemoveAfter  time.Duration // after suspicion
	MaxUpdates   int           // updates in one message
	Relayed      int           // updates in one message when no status has changed
	LocalHealth  bool          // a slow observer is slower to suspect others
}

// maxHealth bounds the local-health factor: the periods grow up to
// 1+maxHealth times.
const maxHealth = 8
