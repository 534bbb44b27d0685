package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/internal/memstore"
	"github.com/carobwharf/carobwharf/structs"
)

// runs counts the executions of each key and request.
type runs struct {
	sync.Mutex
	byKey, byRequest map[string]int
}

func (x *runs) add(key, id string) {
	x.Lock()
	defer x.Unlock()
	x.byKey[key]++
	x.byRequest[id]++
}

func (x *runs) of(id string) int {
	x.Lock()
	defer x.Unlock()
	return x.byRequest[id]
}

// endpointsWithFaults run a request or not, and lose some of the answers.
func endpointsWithFaults(x *runs) func(context.Context, *structs.Request, structs.VM, int) structs.EndpointResult {
	return func(_ context.Context, req *structs.Request, vm structs.VM, attempt int) structs.EndpointResult {
		res := structs.EndpointResult{RequestID: req.ID, Attempt: attempt, VM: vm.ID}
		switch rand.IntN(6) {
		case 0:
			res.Kind = structs.EndpointNotReached
			return res
		case 1:
			res.Kind = structs.EndpointBroken
			return res
		case 2:
			x.add(req.Key, req.ID)
			res.Kind = structs.EndpointTimedOut
			return res
		}
		x.add(req.Key, req.ID)
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
		return answered(req, vm, attempt)
	}
}

func platformFaults(c memstore.Call) memstore.Fault {
	switch n := rand.IntN(20); {
	case n < 2:
		return memstore.LostAnswer
	case n < 4:
		return memstore.LostCall
	case n < 5:
		return memstore.Down
	}
	return memstore.None
}

// Two gateways at one platform get every key twice each, while calls to the
// platform and to endpoints fail with and without effect. Guards against a
// second run of a key, against not-run for a request that ran, and against
// done for one that did not.
func TestHistoryWithFaults(t *testing.T) {
	x := &runs{byKey: map[string]int{}, byRequest: map[string]int{}}
	a := newRig(t, 3)
	b := &rig{t: t, store: a.store, fleet: a.fleet}
	b.start()
	for _, r := range []*rig{a, b} {
		r.endpoints.answer = endpointsWithFaults(x)
	}
	a.store.SetFault(platformFaults)
	type call struct {
		id, key string
		reply   chan structs.Answer
	}
	var calls []call
	for i := range 40 {
		key := fmt.Sprintf("k%d", i)
		for j := range 4 {
			id := fmt.Sprintf("%s-%d", key, j)
			r := []*rig{a, b}[j%2]
			calls = append(calls, call{id, key, r.sendWithin(time.Second, "pay", key, key, id)})
		}
		time.Sleep(2 * time.Millisecond)
	}
	done := 0
	for _, c := range calls {
		answer := <-c.reply
		require.Equal(t, c.id, answer.RequestID)
		switch answer.Outcome {
		case structs.OutcomeNotRun:
			require.Zero(t, x.of(c.id), "told not-run, but it ran: %s", c.id)
		case structs.OutcomeDone:
			done++
			require.Equal(t, "K"+c.key[1:], string(answer.Body))
		}
	}
	a.store.SetFault(nil)
	x.Lock()
	defer x.Unlock()
	require.NotZero(t, done)
	for key, n := range x.byKey {
		require.LessOrEqual(t, n, 1, "key %s ran %d times", key, n)
	}
}
