package duty

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A consumer must stop after its producers. Otherwise it loses the values that
// they send while they stop.
func TestStopsInReverseOrder(t *testing.T) {
	var order []string
	s := NewSupervisor()
	for _, name := range []string{"consumer", "producer"} {
		s.Add(Duty{Name: name, Run: func(ctx context.Context) error {
			<-ctx.Done()
			order = append(order, name)
			return nil
		}})
	}
	s.Start(context.Background())
	require.NoError(t, s.Stop(context.Background()))
	require.Equal(t, []string{"producer", "consumer"}, order)
}

// The error or panic of a duty must reach the process instead of being lost with
// the duty's goroutine.
func TestReportsFailureAndPanic(t *testing.T) {
	for _, run := range []Func{
		func(context.Context) error { return errors.New("broken") },
		func(context.Context) error { panic("broken") },
	} {
		s := NewSupervisor()
		s.Add(Duty{Name: "d", Run: run})
		s.Start(context.Background())
		require.ErrorContains(t, <-s.Failed(), "broken")
		require.NoError(t, s.Stop(context.Background()))
	}
}

// A duty that ignores its stop signal must not block Stop, and the error must
// name it.
func TestStopNamesLateDuties(t *testing.T) {
	s := NewSupervisor()
	release := make(chan struct{})
	s.Add(Duty{Name: "slow", Run: func(context.Context) error { <-release; return nil }})
	s.Start(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	require.ErrorContains(t, s.Stop(ctx), "slow")
	close(release)
}
