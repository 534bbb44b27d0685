package demo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A demonstration set that the check refuses would only fail at run time.
func TestFleetPassesTheCheck(t *testing.T) {
	set, err := fleetSet()
	require.NoError(t, err)
	require.Len(t, set.Pools, 5)
}

// The whole path from submission to answer must leave a clean history; a
// mistake in the wiring of any duty shows here first.
func TestShortRunIsClean(t *testing.T) {
	o := DefaultOptions()
	o.Length, o.Gateways, o.Controllers = time.Second, 2, 2
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.True(t, r.Clean(), "%s\n%v", r.Report, r.Once)
	for _, c := range r.Report.Counts {
		require.Positive(t, c.Done)
		require.Positive(t, c.Effects)
	}
}
