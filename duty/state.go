package duty

import (
	"context"

	"github.com/carobwharf/carobwharf/ring"
)

// requestQueueDepth is the number of state requests that may wait for a duty.
const requestQueueDepth = 4

// StateRequester lets other goroutines request the state of a duty. The duty's
// loop receives reply channels from Requests and sends its state to each.
type StateRequester struct {
	requests *ring.Ring[chan<- any]
}

// NewStateRequester returns a StateRequester for the duty with the given name.
func NewStateRequester(name string) *StateRequester {
	return &StateRequester{requests: ring.New[chan<- any](name+"-asks", requestQueueDepth, ring.Wait)}
}

// Requests returns the channel of pending requests. Each request is a reply
// channel with a buffer for one value, so that the duty never blocks on it.
func (r *StateRequester) Requests() <-chan chan<- any { return r.requests.C() }

// State requests the duty's state and returns it, or nil if ctx ends first.
func (r *StateRequester) State(ctx context.Context) any {
	reply := make(chan any, 1)
	if err := r.requests.Put(ctx, reply); err != nil {
		return nil
	}
	select {
	case state := <-reply:
		return state
	case <-ctx.Done():
		return nil
	}
}
