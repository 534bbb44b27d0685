package ring

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func ExampleRing() {
	r := New[string]("events", 2, Refuse)
	ctx := context.Background()
	fmt.Println(r.Put(ctx, "a"), r.Put(ctx, "b"), r.Put(ctx, "c"))
	fmt.Println(<-r.C())
	// Output:
	// <nil> <nil> ring: full
	// a
}

// With Refuse, a full ring must neither block the producer nor drop a value
// without an error and a count.
func TestRefuseCountsRefusals(t *testing.T) {
	r := New[int]("r", 1, Refuse)
	require.NoError(t, r.Put(context.Background(), 1))
	require.ErrorIs(t, r.Put(context.Background(), 2), ErrFull)
	s := r.Stats()
	require.Equal(t, int64(1), s.Refused)
	require.Equal(t, int64(1), s.HighWater)
}

// With KeepNewest, a producer must never block, and the consumer must receive the
// latest value.
func TestKeepNewestDropsOldest(t *testing.T) {
	r := New[int]("r", 1, KeepNewest)
	for i := range 3 {
		require.NoError(t, r.Put(context.Background(), i))
	}
	require.Equal(t, 2, <-r.C())
}

// The end of the context and Close must both unblock a waiting producer.
func TestWaitEndsWithContextAndClose(t *testing.T) {
	r := New[int]("r", 1, Wait)
	require.NoError(t, r.Put(context.Background(), 1))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, r.Put(ctx, 2), context.Canceled)
	done := make(chan error)
	go func() { done <- r.Put(context.Background(), 3) }()
	r.Close()
	require.ErrorIs(t, <-done, ErrClosed)
}
