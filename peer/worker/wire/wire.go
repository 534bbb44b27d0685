// Package wire is the HTTP form of tasks on workers, as the project's
// platform stand-in publishes it and peer/worker uses it. Bodies are the
// types of package store in JSON; durations are in ns.
//
//	GET  /workers                         200 list of store.Worker
//	GET  /workers/usage?after=T&limit=N   200 list of store.Run, some time old
//	POST /workers/start       store.Task  200 store.Run
//	POST /workers/renew       Hold        200 store.Run
//	POST /workers/checkpoint  Hold        200 store.Run
//	POST /workers/throttle    Hold        200 store.Run
//	POST /workers/stop        Hold        200 store.Run
//
// Other answers carry a Problem: 404 for an unknown task or worker, 409 with
// a code below, 400, 429 and 503. Only 200 changes anything.
package wire

import "github.com/carobwharf/carobwharf/store"

// Paths.
const (
	PathWorkers    = "/workers"
	PathUsage      = "/workers/usage"
	PathStart      = "/workers/start"
	PathRenew      = "/workers/renew"
	PathCheckpoint = "/workers/checkpoint"
	PathThrottle   = "/workers/throttle"
	PathStop       = "/workers/stop"
)

// MaxUsage is the greatest limit of a usage report.
const MaxUsage = 1000

// Codes of a Problem with status 409.
const (
	CodeFenced    = "fenced"
	CodeNoRoom    = "no-room"
	CodeNeverFits = "never-fits"
)

// Hold is the body of the calls on a started task.
type Hold struct {
	store.Hold
	MilliCores int // for throttle
}

// Problem is the body of an answer other than 200.
type Problem struct {
	Error string `json:"error"`
	Code  string `json:"code,omitempty"`
}
