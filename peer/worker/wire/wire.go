// Package wire defines the HTTP API for tasks on workers that the platform
// stand-in serves and peer/worker calls. Bodies are the types of package store
// in JSON; durations are in ns.
//
//	GET  /workers                         200 list of store.Worker
//	GET  /workers/usage?after=T&limit=N   200 list of store.Run, lags behind
//	POST /workers/start       store.Task  200 store.Run
//	POST /workers/renew       Hold        200 store.Run
//	POST /workers/checkpoint  Hold        200 store.Run
//	POST /workers/throttle    Hold        200 store.Run
//	POST /workers/stop        Hold        200 store.Run
//
// Other responses have a Problem as their body: 404 for an unknown task or
// worker, 409 with one of the codes below, 400, 429 and 503. Only calls answered
// with 200 change anything, except that a stop answered with 404 makes later
// starts with its token fenced.
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

// MaxUsage is the maximum limit of a usage report.
const MaxUsage = 1000

// Codes of a Problem with status 409.
const (
	CodeFenced    = "fenced"
	CodeNoRoom    = "no-room"
	CodeNeverFits = "never-fits"
)

// Hold is the body of the calls for a started task.
type Hold struct {
	store.Hold
	MilliCores int // for throttle
}

// Problem is the body of a response with a status other than 200.
type Problem struct {
	Error string `json:"error"`
	Code  string `json:"code,omitempty"`
}
