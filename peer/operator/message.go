// Package operator is the boundary to the operators: the HTTP API server and
// client, and the admin address of every process. It translates between HTTP
// and the typed messages below; decisions are made behind Handler.
package operator

import (
	"context"

	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/structs"
)

// SubmitRequest asks for the publication of a set.
type SubmitRequest struct {
	ID   string // chosen by the submitter; a repetition has the same id
	Base uint64 // generation that the set was made from
	Set  structs.ObjectSet
}

// SubmitReply says what was published.
type SubmitReply struct {
	Generation uint64
	Hash       string
	Rebased    bool // the published set also has changes of later generations than the base
	Unchanged  bool // the head already had this content
	Repeated   bool // an earlier attempt of the same submission took effect
}

// CheckRequest asks whether a set is valid.
type CheckRequest struct {
	Set structs.ObjectSet
}

// Finding is one problem of a set.
type Finding struct {
	Object  string // kind and name; empty for the set itself
	Field   string
	Problem string
	Line    int // in the submitted text, 0 if not known
}

// CheckReply lists the problems of a set.
type CheckReply struct {
	Findings []Finding
}

// DiffRequest asks for the difference between two generations.
type DiffRequest struct {
	From uint64
	To   uint64 // 0 means the one in force
}

// DiffReply is the difference between two generations.
type DiffReply struct {
	From  uint64
	To    uint64
	Delta publication.Delta
}

// PoolStatus counts the VMs of a pool by state.
type PoolStatus struct {
	Name      string
	Spare     bool
	Target    int
	Active    int
	Draining  int
	Rebooting int
}

// StatusReply is the state of the fleet as one controller sees it.
type StatusReply struct {
	Process    string
	DataCentre string
	Generation uint64 // in force in this process; 0 means none
	Hash       string
	Members    []structs.Member
	Pools      []PoolStatus
}

// DrainRequest asks for a VM to be drained.
type DrainRequest struct {
	VM     string
	Reason string
}

// DrainReply says that the drain was accepted.
type DrainReply struct {
	VM    string
	Pool  string
	State structs.OwnerState
	Epoch uint64
}

// Handler answers operators' calls. Its methods are called by goroutines of
// the HTTP server; they hand the call to a duty and wait. An error that is not
// an *Error is reported as CodeInternal.
type Handler interface {
	Submit(ctx context.Context, r SubmitRequest) (SubmitReply, error)
	Check(ctx context.Context, r CheckRequest) (CheckReply, error)
	// Config returns the configuration in force, or an *Error with
	// CodeNotFound.
	Config(ctx context.Context) (*structs.Config, error)
	Diff(ctx context.Context, r DiffRequest) (DiffReply, error)
	Status(ctx context.Context) (StatusReply, error)
	Drain(ctx context.Context, r DrainRequest) (DrainReply, error)
}
