// Package guard turns panics into failed results. A pool of goroutines drops the result
// of a call that panics, and the duty that started the call would wait for it forever.
package guard

import (
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
)

// Call returns the result of call. If call panics, it logs the panic and returns failed.
func Call[T any](log hclog.Logger, name string, failed T, call func() T) (result T) {
	defer func() {
		if p := recover(); p != nil {
			log.Error("a call panicked", "call", name, "panic", p, "stack", string(debug.Stack()))
			result = failed
		}
	}()
	return call()
}
