package expiry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/internal/storetest"
	"github.com/carobwharf/carobwharf/metrics"
	"github.com/carobwharf/carobwharf/store"
)

func put(t *testing.T, f *storetest.Fake, key, value string) {
	t.Helper()
	_, err := f.Commit(context.Background(), []store.Op{{Kind: store.OpPut, Key: key, Value: []byte(value)}})
	require.NoError(t, err)
}

// A record that is deleted before its expiry lets a request with the same
// idempotency key run a second time. Expired records must all be deleted, at
// most one batch in each step.
func TestDeletesOnlyExpiredIntents(t *testing.T) {
	now := time.Now()
	f := storetest.New(1)
	for i := range 30 {
		expires := now.Add(-time.Hour)
		if i%3 == 0 {
			expires = now.Add(time.Hour)
		}
		put(t, f, store.KeyIntent("s", fmt.Sprintf("%02d", i)), fmt.Sprintf(`{"Expires":%d}`, expires.UnixMilli()))
	}
	put(t, f, store.KeyIntent("s", "none"), `{}`)
	put(t, f, store.KeyIntent("s", "now"), fmt.Sprintf(`{"Expires":%d}`, now.UnixMilli()))
	o := DefaultOptions()
	o.Table, o.Log, o.Metrics, o.BatchSize, o.PageSize = f, hclog.NewNullLogger(), metrics.New(), 4, 7
	d := New(o)
	for range 12 {
		before := len(f.Rows(store.PrefixIntent))
		d.step(context.Background(), now)
		require.LessOrEqual(t, before-len(f.Rows(store.PrefixIntent)), 4)
	}
	require.Len(t, f.Rows(store.PrefixIntent), 12)
}

// The row of a live process must stay, because pool keepers wait only for
// gateways that have a row. The row of a dead process must be deleted, or a
// drain waits for that process.
func TestDeletesDeadMembers(t *testing.T) {
	now := time.Now()
	f := storetest.New(1)
	o := DefaultOptions()
	o.Table, o.Log, o.Metrics = f, hclog.NewNullLogger(), metrics.New()
	d := New(o)
	put(t, f, store.KeyMember("dead"), `{}`)
	for range 10 {
		put(t, f, store.KeyMember("live"), `{}`)
		d.step(context.Background(), now)
		now = now.Add(10 * time.Second)
	}
	rows := f.Rows(store.PrefixMember)
	require.Len(t, rows, 1)
	require.Equal(t, store.KeyMember("live"), rows[0].Key)
}
