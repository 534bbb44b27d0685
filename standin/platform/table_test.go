package platform

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Guards against a table that loses or misplaces keys or reuses a version of a
// key: in other tests that would look like a fault of carobwharf. The table is
// compared with a map.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, model, highest := newTable(), map[string]uint64{}, map[string]uint64{}
		key := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("%c/%d", rapid.RuneFrom([]rune("abc")).Draw(t, "p"), rapid.IntRange(0, 6).Draw(t, "k"))
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			op := store.Op{Kind: store.OpKind(rapid.IntRange(0, 4).Draw(t, "kind")), Key: key.Draw(t, "key")}
			version, exists := model[op.Key]
			op.Expect = version + uint64(rapid.IntRange(0, 1).Draw(t, "off"))
			holds := op.Kind == store.OpPut || op.Kind == store.OpInsert && !exists ||
				op.Kind == store.OpCheck && op.Expect == version || exists && op.Expect == version && (op.Kind == store.OpUpdate || op.Kind == store.OpDelete)
			versions, conflicts := tab.commit([]store.Op{op, {Kind: store.OpCheck, Key: "none"}})
			require.Equal(t, holds, conflicts == nil)
			if !holds || op.Kind == store.OpCheck {
				continue
			}
			if op.Kind == store.OpDelete {
				delete(model, op.Key)
				continue
			}
			require.Greater(t, versions[0], highest[op.Key])
			model[op.Key], highest[op.Key] = versions[0], versions[0]
		}
		prefix, after, limit := rapid.SampledFrom([]string{"", "a/", "b/"}).Draw(t, "prefix"), key.Draw(t, "after"), rapid.IntRange(1, 9).Draw(t, "limit")
		want := slices.DeleteFunc(slices.Sorted(maps.Keys(model)), func(k string) bool { return !strings.HasPrefix(k, prefix) || k <= after })
		got := []string{}
		for _, r := range tab.scan(prefix, after, limit) {
			got = append(got, r.Key)
			require.Equal(t, model[r.Key], r.Version)
		}
		require.Equal(t, append([]string{}, want[:min(limit, len(want))]...), got)
	})
}

// Guards against keys that are lost or out of order when blocks of the index are
// split or removed, which only happens in large tables.
func TestIndexKeepsOrderAcrossBlocks(t *testing.T) {
	var x keyIndex
	want := []string{}
	for i := range 5000 {
		x.insert(fmt.Sprintf("%05d", i*7919%5000))
	}
	for i := range 5000 {
		if k := fmt.Sprintf("%05d", i); i%3 == 0 || i < 2000 {
			x.remove(k)
		} else {
			want = append(want, k)
		}
	}
	var got []string
	x.ascend("", func(k string) bool { got = append(got, k); return true })
	require.Equal(t, want, got)
	require.Greater(t, len(x.blocks), 5)
}

// Guards against a VM list that shows changes before their time, and against a
// VM that stays missing after its reboot.
func TestVMListLagAndReboots(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	var f fleet
	f.setVMs([]structs.VM{{ID: "a"}}, time.Time{})
	f.setVMs([]structs.VM{{ID: "b"}, {ID: "a"}}, at(10))
	known, started := f.reboot("a", at(20), 5*time.Second)
	require.True(t, known && started)
	_, started = f.reboot("a", at(21), 5*time.Second)
	require.False(t, started)
	known, _ = f.reboot("c", at(21), 5*time.Second)
	require.False(t, known)
	for s, want := range map[int]string{9: "a", 10: "ab", 19: "ab", 20: "b", 24: "b", 25: "ab"} {
		ids := ""
		for _, vm := range f.presentAt(at(s)) {
			ids += vm.ID
		}
		require.Equal(t, want, ids, s)
	}
}

// Guards against a rate limit that lets more calls through than carobwharf is
// designed for, which would hide an overload.
func TestTokenBucketLimitsRate(t *testing.T) {
	var b tokenBucket
	now, taken := time.Unix(1000, 0), 0
	for range 10000 {
		if b.take(300, now) {
			taken++
		}
		now = now.Add(time.Millisecond)
	}
	require.InDelta(t, 10*300+300*burstSeconds, taken, 1)
}

// Guards against malformed transactions that crash the stand-in or are applied in
// part instead of being refused.
func FuzzDecodeCommit(f *testing.F) {
	f.Add([]byte(`{"ops":[{"kind":"insert","key":"a","value":"e30="},{"kind":"check","key":"b","expect":3}]}`))
	f.Add([]byte(`{"ops":[{"kind":"drop","key":"a"}]}`))
	f.Add([]byte(`{"ops":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		_, op, err := decodeCommit(body)
		if err != nil {
			return
		}
		ops := op.(commitOps).ops
		require.NotEmpty(t, ops)
		require.LessOrEqual(t, len(ops), store.MaxOps)
		tab := newTable()
		versions, conflicts := tab.commit(ops)
		require.True(t, len(versions) == len(ops) || len(conflicts) > 0 && len(tab.rows) == 0)
	})
}
