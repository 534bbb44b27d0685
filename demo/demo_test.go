package demo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an object set that the configuration check refuses, which would
// otherwise fail only when the demonstration runs.
func TestObjectSetPassesConfigCheck(t *testing.T) {
	set, err := loadObjectSet()
	require.NoError(t, err)
	require.Len(t, set.Pools, 5)
}

// Guards against lost, repeated or wrong answers on the whole path from submission
// to answer, for instance after a mistake in the wiring of a duty.
func TestShortRunIsClean(t *testing.T) {
	o := DefaultOptions()
	o.Length, o.Gateways, o.Controllers = time.Second, 2, 2
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.True(t, r.Clean(), "%s\n%v", r.Report, r.NotLinearizable)
	for _, c := range r.Report.Counts {
		require.Positive(t, c.Done)
		require.Positive(t, c.Effects)
	}
}
