package duty

import (
	"context"

	"github.com/carobwharf/carobwharf/ring"
)

// askDepth is how many questions may wait for a duty.
const askDepth = 4

// Asker lets other goroutines ask a duty for its state. The duty receives from
// Questions in its loop and sends its state to what it receives.
type Asker struct {
	questions *ring.Ring[chan<- any]
}

// NewAsker returns an asker for the duty of the given name.
func NewAsker(name string) *Asker {
	return &Asker{questions: ring.New[chan<- any](name+"-asks", askDepth, ring.Wait)}
}

// Questions delivers the channels to answer on; each has room for one answer.
func (a *Asker) Questions() <-chan chan<- any { return a.questions.C() }

// Ask returns the duty's state, or nil if ctx ends first.
func (a *Asker) Ask(ctx context.Context) any {
	reply := make(chan any, 1)
	if err := a.questions.Put(ctx, reply); err != nil {
		return nil
	}
	select {
	case state := <-reply:
		return state
	case <-ctx.Done():
		return nil
	}
}
