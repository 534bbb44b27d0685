package duty

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A duty that others feed must stop after its producers, or it loses values.
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
