package pools

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/store"
)

// acceptingStore accepts every transaction.
type acceptingStore struct{ store.Table }

func (acceptingStore) Commit(_ context.Context, ops []store.Op) ([]uint64, error) {
	return make([]uint64, len(ops)), nil
}

// On one processor each answer of a worker had a step of the engine of its own,
// although other answers were ready to be taken. Only a run without the race
// detector shows the fault, since the detector changes the order of goroutines.
func TestAnswersThatAreReadyShareAStep(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const answers = 40
	d := newDuty()
	d.Table = acceptingStore{}
	p := d.addPool("p")
	ctx, cancel := context.WithCancel(context.Background())
	claim := holder.Commit(ctx, d.Table, p.Claim(d.now(), &board.View{}))
	require.Equal(t, holder.Acquired, p.HandleResult(d.now(), claim))
	p.engine = engine.New(d.now(), engine.Config{Pool: "p", Token: p.Control.Token}, nil)
	token := p.Control.Token
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = d.Run(ctx)
	}()
	ready := make(chan struct{})
	for range answers {
		go func() {
			<-ready
			d.postResult(ctx, callAnswered{pool: "p", token: token, event: engine.StartAnswered{}, answered: time.Now()})
		}()
	}
	require.Eventually(t, func() bool { return d.load.steps.Count() > 0 }, 5*time.Second, time.Millisecond)
	before := d.load.steps.Count()
	close(ready)
	require.Eventually(t, func() bool { return d.load.answers.Count() == answers }, 5*time.Second, time.Millisecond)
	require.Less(t, d.load.steps.Count()-before, int64(answers/2))
	cancel()
	<-stopped
}
