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

// runCounter counts the executions of each key and request.
type runCounter struct {
	sync.Mutex
	byKey, byRequest map[string]int
}

func (c *runCounter) add(key, id string) {
	c.Lock()
	defer c.Unlock()
	c.byKey[key]++
	c.byRequest[id]++
}

func (c *runCounter) of(id string) int {
	c.Lock()
	defer c.Unlock()
	return c.byRequest[id]
}

// faultyEndpoint returns an endpoint that fails some calls before the request
// runs, and loses the answers of others.
func faultyEndpoint(counter *runCounter) func(context.Context, *structs.Request, structs.VM, int) structs.EndpointResult {
	return func(_ context.Context, req *structs.Request, vm structs.VM, attempt int) structs.EndpointResult {
		res := structs.EndpointResult{RequestID: req.ID, Attempt: attempt, VM: vm.ID}
		switch rand.IntN(6) {
		case 0:
			res.Kind = structs.EndpointNotReached
			return res
		case 1:
			res.Kind = structs.EndpointNoAnswer
			return res
		case 2:
			counter.add(req.Key, req.ID)
			res.Kind = structs.EndpointTimedOut
			return res
		}
		counter.add(req.Key, req.ID)
		time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
		return answered(req, vm, attempt)
	}
}

// randomPlatformFault fails some calls to the platform, with or without effect.
func randomPlatformFault(c memstore.Call) memstore.Fault {
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

// Two gateways share a platform, and each gets two requests for every key, while
// calls to the platform and to endpoints fail with and without effect. Guards
// against a second run of a key, against the outcome not-run for a request that
// ran, and against done for one that did not.
func TestHistoryWithFaults(t *testing.T) {
	counter := &runCounter{byKey: map[string]int{}, byRequest: map[string]int{}}
	a := newTestGateway(t, 3)
	b := &testGateway{t: t, store: a.store, fleet: a.fleet}
	b.start()
	for _, g := range []*testGateway{a, b} {
		g.endpoints.answer = faultyEndpoint(counter)
	}
	a.store.SetFault(randomPlatformFault)
	type call struct {
		id, key string
		reply   chan structs.Answer
	}
	var calls []call
	for i := range 40 {
		key := fmt.Sprintf("k%d", i)
		for j := range 4 {
			id := fmt.Sprintf("%s-%d", key, j)
			g := []*testGateway{a, b}[j%2]
			calls = append(calls, call{id, key, g.submitWithin(time.Second, "pay", key, key, id)})
		}
		time.Sleep(2 * time.Millisecond)
	}
	done := 0
	for _, c := range calls {
		answer := <-c.reply
		require.Equal(t, c.id, answer.RequestID)
		switch answer.Outcome {
		case structs.OutcomeNotRun:
			require.Zero(t, counter.of(c.id), "outcome is not-run, but request %s ran", c.id)
		case structs.OutcomeDone:
			done++
			require.Equal(t, "K"+c.key[1:], string(answer.Body))
		}
	}
	a.store.SetFault(nil)
	counter.Lock()
	defer counter.Unlock()
	require.NotZero(t, done)
	for key, n := range counter.byKey {
		require.LessOrEqual(t, n, 1, "key %s ran %d times, want at most 1", key, n)
	}
}
