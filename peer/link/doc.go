// Package link carries drpc calls between the project's own processes. A
// process serves all its services on one Server and calls other processes
// through one Dialer. Packages peer/member, peer/gateway and peer/controller
// define the services.
package link

import "errors"

// MaxMessageSize is the maximum size of one message in bytes, for clients and
// servers.
const MaxMessageSize = 6 << 20

// Errors of Dialer.Call.
var (
	// ErrUnreachable means that no connection was made, so nothing was sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrTimeout means that the deadline passed. The peer may have executed the
	// call.
	ErrTimeout = errors.New("peer did not answer in time")
	// ErrFailed means that the connection broke or the peer returned an error.
	// The peer may have executed the call.
	ErrFailed = errors.New("call to peer failed")
)
