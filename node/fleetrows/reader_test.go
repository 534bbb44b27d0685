package fleetrows

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/internal/storetest"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

func putOwners(t require.TestingT, f *storetest.Fake, owners ...structs.Owner) {
	var ops []store.Op
	var ids []string
	for _, o := range owners {
		value, err := rows.EncodeOwner(o)
		require.NoError(t, err)
		ops = append(ops, store.Op{Kind: store.OpPut, Key: store.KeyVM(o.VM), Value: value})
		ids = append(ids, o.VM)
	}
	_, err := f.Commit(context.Background(), append(ops, store.MarkVMs(ids...)...))
	require.NoError(t, err)
}

// The result of an incremental read must equal a full read after any sequence of
// changes and outages. If a change is missed, work is sent to a VM that has left
// its pool.
func TestIncrementalReadEqualsFullRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, f := context.Background(), storetest.New(1)
		r := NewReader(f)
		for step := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			for range rapid.IntRange(0, 25).Draw(rt, "changes") {
				id := fmt.Sprintf("vm-%d", rapid.IntRange(0, 200).Draw(rt, "vm"))
				putOwners(rt, f, structs.Owner{VM: id, Pool: "p", Epoch: uint64(step)})
			}
			if rapid.Bool().Draw(rt, "outage") {
				f.SetFaults(storetest.Faults{Outage: true})
				_, _, _, err := r.Read(ctx)
				require.Error(rt, err)
				f.SetFaults(storetest.Faults{})
			}
			got, rowErrs, _, err := r.Read(ctx)
			require.NoError(rt, err)
			require.Empty(rt, rowErrs)
			require.Equal(rt, readAllOwners(rt, f), got)
		}
	})
}

func readAllOwners(t require.TestingT, f *storetest.Fake) []structs.Owner {
	out := []structs.Owner{}
	for _, row := range f.Rows(store.PrefixVM) {
		o, err := rows.DecodeOwner(row.Value, row.Version)
		require.NoError(t, err)
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b structs.Owner) int { return strings.Compare(a.VM, b.VM) })
	return out
}

// The cost of a poll without changes must not grow with the fleet.
func TestIdleReadCostsOneCall(t *testing.T) {
	ctx, f := context.Background(), storetest.New(1)
	for i := range 300 {
		putOwners(t, f, structs.Owner{VM: fmt.Sprint(i)})
	}
	counting := &countingTable{Table: f}
	r := NewReader(counting)
	_, _, changed, err := r.Read(ctx)
	require.NoError(t, err)
	require.True(t, changed)
	counting.calls = 0
	_, _, changed, err = r.Read(ctx)
	require.NoError(t, err)
	require.False(t, changed)
	require.Equal(t, 1, counting.calls)

	putOwners(t, f, structs.Owner{VM: "7", Epoch: 2})
	counting.calls = 0
	_, _, _, err = r.Read(ctx)
	require.NoError(t, err)
	require.Equal(t, 3, counting.calls, "the fleet's mark, the bucket marks, one bucket")
}

type countingTable struct {
	store.Table
	calls int
}

func (c *countingTable) Get(ctx context.Context, key string) (store.Row, error) {
	c.calls++
	return c.Table.Get(ctx, key)
}

func (c *countingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	c.calls++
	return c.Table.Scan(ctx, prefix, after, limit)
}
