package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peer "github.com/carobwharf/carobwharf/peer/platform"
	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/standin/units"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	shortTimeout = 300 * time.Millisecond // timeout of calls that are expected to time out
	longTimeout  = time.Minute            // timeout of all other calls
)

func startPlatform(t testing.TB, cfg platform.Config) (*platform.Server, *peer.Client) {
	t.Helper()
	s := platform.New(cfg)
	require.NoError(t, s.Start())
	c := peer.New(peer.Options{Addr: s.Addr(), Timeout: longTimeout})
	t.Cleanup(func() {
		c.Close()
		require.NoError(t, s.Stop(context.Background()))
	})
	return s, c
}

func insertOp(key string) []store.Op {
	return []store.Op{{Kind: store.OpInsert, Key: key, Value: []byte(`{"a":1}`)}}
}

// If a condition is checked wrongly, two processes may own the same row.
func TestCommitChecksConditions(t *testing.T) {
	_, c := startPlatform(t, platform.DefaultConfig())
	ctx := context.Background()
	steps := []struct {
		name     string
		ops      []store.Op
		versions []uint64
		conflict []string
	}{
		{"insert", []store.Op{{Kind: store.OpInsert, Key: "a"}, {Kind: store.OpInsert, Key: "b"}}, []uint64{1, 1}, nil},
		{"insert an existing row", []store.Op{{Kind: store.OpInsert, Key: "c"}, {Kind: store.OpInsert, Key: "a"}}, nil, []string{"a"}},
		{"check absent and update", []store.Op{{Kind: store.OpCheck, Key: "c"}, {Kind: store.OpUpdate, Key: "a", Expect: 1}}, []uint64{0, 2}, nil},
		{"check twice", []store.Op{{Kind: store.OpCheck, Key: "a", Expect: 2}, {Kind: store.OpCheck, Key: "a", Expect: 2}, {Kind: store.OpPut, Key: "b"}}, []uint64{0, 0, 2}, nil},
		{"update an old version", []store.Op{{Kind: store.OpUpdate, Key: "a", Expect: 1}, {Kind: store.OpUpdate, Key: "b", Expect: 1}}, nil, []string{"a", "b"}},
		{"same key twice", []store.Op{{Kind: store.OpInsert, Key: "d"}, {Kind: store.OpInsert, Key: "d"}}, nil, []string{"d"}},
		{"delete", []store.Op{{Kind: store.OpDelete, Key: "a", Expect: 2}}, []uint64{0}, nil},
		{"insert after delete", []store.Op{{Kind: store.OpInsert, Key: "a"}}, []uint64{3}, nil},
	}
	for _, s := range steps {
		versions, err := c.Commit(ctx, s.ops)
		if s.conflict == nil {
			require.NoError(t, err, s.name)
		} else {
			var conflict *store.ConflictError
			require.ErrorAs(t, err, &conflict, s.name)
			require.Equal(t, s.conflict, conflict.Keys, s.name)
		}
		require.Equal(t, s.versions, versions, s.name)
	}
	_, err := c.Get(ctx, "c")
	require.ErrorIs(t, err, store.ErrNotFound, "a refused transaction must leave nothing behind")
}

// The calls other than Commit must pass names and content unchanged; with a
// wrongly escaped key, another row would be read.
func TestScanObjectsAndVMs(t *testing.T) {
	cfg := platform.DefaultConfig()
	cfg.Faults = platform.Faults{}
	cfg.VMs = []structs.VM{{ID: "vm-2"}, {ID: "vm-1", Addr: "127.0.0.1:1", Slots: 8}}
	_, c := startPlatform(t, cfg)
	ctx := context.Background()
	var ops []store.Op
	for _, k := range []string{"p/b", "p/a", "p", "q", "p/c&d=é"} {
		ops = append(ops, store.Op{Kind: store.OpInsert, Key: k, Value: []byte(k)})
	}
	_, err := c.Commit(ctx, ops)
	require.NoError(t, err)
	rows, err := c.Scan(ctx, "p/", "p/a", 10)
	require.NoError(t, err)
	require.Equal(t, []store.Row{{Key: "p/b", Version: 1, Value: []byte("p/b")}, {Key: "p/c&d=é", Version: 1, Value: []byte("p/c&d=é")}}, rows)

	require.NoError(t, c.PutObject(ctx, "config/1", []byte("content")))
	data, err := c.GetObject(ctx, "config/1")
	require.NoError(t, err)
	require.Equal(t, "content", string(data))
	_, err = c.GetObject(ctx, "config/2")
	require.ErrorIs(t, err, store.ErrNotFound)

	vms, err := c.ListVMs(ctx)
	require.NoError(t, err)
	require.Equal(t, "vm-1", vms[0].ID)
	require.Equal(t, 8, vms[0].Slots)
	require.NoError(t, c.RebootVM(ctx, "vm-1"))
	vms, err = c.ListVMs(ctx)
	require.NoError(t, err)
	require.Len(t, vms, 1, "a rebooting VM must leave the list")
}

// A write that may have taken effect must never be reported as unchanged, or a
// request is reported as not run although it runs.
func TestFailuresMapToStoreErrors(t *testing.T) {
	cases := []struct {
		name    string
		faults  platform.Faults
		want    error
		applied bool
	}{
		{"response lost", platform.Faults{LoseAnswer: 1}, store.ErrUnknown, true},
		{"response late", platform.Faults{Delay: units.Duration(longTimeout)}, store.ErrUnknown, true},
		{"frozen", platform.Faults{Freeze: true}, store.ErrUnknown, false},
		{"refused", platform.Faults{RefuseWrite: 1}, store.ErrUnavailable, false},
		{"outage", platform.Faults{Outage: true}, store.ErrUnavailable, false},
		{"rate limit", platform.Faults{WriteRate: 1e-9}, store.ErrThrottled, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, c := startPlatform(t, platform.DefaultConfig())
			s.SetFaults(tc.faults)
			if tc.faults.WriteRate > 0 { // uses the only token in the bucket
				_, err := c.Commit(context.Background(), insertOp("first"))
				require.NoError(t, err)
			}
			timeout := longTimeout
			if tc.faults.Freeze || tc.faults.Delay > 0 {
				timeout = shortTimeout
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, err := c.Commit(ctx, insertOp("k"))
			require.ErrorIs(t, err, tc.want)
			require.Equal(t, tc.want != store.ErrUnknown, errors.Is(err, store.ErrUnavailable))
			require.Equal(t, tc.applied, len(s.Rows("k")) == 1)
		})
	}
}

// Nothing is sent to a platform that does not listen, so the error must allow
// callers to report the work as not run.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	s := platform.New(platform.DefaultConfig())
	require.NoError(t, s.Start())
	require.NoError(t, s.Stop(context.Background()))
	c := peer.New(peer.Options{Addr: s.Addr()})
	_, err := c.Commit(context.Background(), insertOp("k"))
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// A call to a frozen platform may take effect after its caller timed out;
// callers that treat the timeout as a refusal run the work twice.
func TestFrozenCallsApplyAfterRelease(t *testing.T) {
	s, c := startPlatform(t, platform.DefaultConfig())
	s.SetFaults(platform.Faults{Freeze: true})
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err := c.Commit(ctx, insertOp("k"))
	require.ErrorIs(t, err, store.ErrUnknown)
	s.SetFaults(platform.DefaultFaults())
	require.Len(t, s.Rows("k"), 1)
}

// After the first timeout, connections without a response must not be used
// again, nor idle ones that have not failed themselves.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	s, c := startPlatform(t, platform.DefaultConfig())
	done := make(chan error, 4)
	s.SetFaults(platform.Faults{Delay: units.Duration(shortTimeout)})
	for range cap(done) { // concurrent calls, so that several connections are open
		go func() {
			_, err := c.Scan(context.Background(), "k", "", 1)
			done <- err
		}()
	}
	for range cap(done) {
		require.NoError(t, <-done)
	}
	s.SetFaults(platform.Faults{Silence: true})
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	_, err := c.Commit(ctx, insertOp("k"))
	require.ErrorIs(t, err, store.ErrUnknown)
	_, err = c.Commit(context.Background(), insertOp("k"))
	require.NoError(t, err)
}
