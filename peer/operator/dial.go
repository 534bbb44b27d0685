package operator

import (
	"errors"
	"net"
)

// isDialError reports whether the connection was not made, so that nothing
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
