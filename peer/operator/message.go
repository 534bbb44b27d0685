// Package operator implements the operators' HTTP API, its client, and the
// admin server that every process runs. It translates between HTTP and the
// typed messages below; decisions are made behind Handler.
package operator

import (
	"context"

	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/structs"
)

// SubmitRequest asks for the publication of an object set.
type SubmitRequest struct {
	ID   string // chosen by the submitter; a retry has the same id
	Base uint64 // generation that the set was derived from
	Set  structs.ObjectSet
}

// SubmitReply says what was published.
type SubmitReply struct {
	Generation uint64
	Hash       string
	Rebased    bool // the published set also contains changes made after the base generation
	Unchanged  bool // the latest generation already had this content
	Repeated   bool // an earlier attempt of the same submission had taken effect
}

// CheckRequest asks whether an object set is valid.
type CheckRequest struct {
	Set structs.ObjectSet
}

// Finding is one problem of an object set.
type Finding struct {
	Object  string // kind and name; empty for the set itself
	Field   string
	Problem string
	Line    int // line number in the submitted text; 0 if unknown
}

// CheckReply lists the problems of an object set.
type CheckReply struct {
	Findings []Finding
}

// DiffRequest asks for the difference between two generations.
type DiffRequest struct {
	From uint64
	To   uint64 // 0 means the generation in force
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
	Generation uint64 // generation of the configuration in force in this process; 0 means none
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

// Handler handles operators' calls. Its methods run on goroutines of the HTTP
// server; they pass the call to a duty and wait for its reply. An error that is
// not an *Error is reported as CodeInternal.
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
