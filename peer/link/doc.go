// Package link carries drpc calls between the project's own processes. A
// process serves all its services on one Server, and reaches other processes
// through one Dialer. Packages peer/member, peer/gateway and peer/controller
// define the services.
package link

import "errors"

// MaxMessage is the size limit of one message in bytes, on both sides.
const MaxMessage = 6 << 20

// Errors of Dialer.Call.
var (
	// ErrUnreachable: no connection could be made; nothing was sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrTimeout: the deadline passed; the peer may have acted on the call.
	ErrTimeout = errors.New("peer did not answer in time")
	// ErrFailed: the connection broke or the peer reported an error; the peer
	// may have acted on the call.
	ErrFailed = errors.New("call to peer failed")
)
