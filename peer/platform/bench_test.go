package platform_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/standin/platform"
	"github.com/carobwharf/carobwharf/store"
)

// The benchmark results include the stand-in, which runs in the same process.

func BenchmarkGet(b *testing.B) {
	cfg := platform.DefaultConfig()
	cfg.Faults = platform.Faults{}
	_, c := startPlatform(b, cfg)
	ctx := context.Background()
	_, err := c.Commit(ctx, insertOp("intent/payout/key"))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Get(ctx, "intent/payout/key"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCommit(b *testing.B) {
	cfg := platform.DefaultConfig()
	cfg.Faults = platform.Faults{}
	_, c := startPlatform(b, cfg)
	ctx := context.Background()
	for _, rows := range []int{1, 64} {
		ops := make([]store.Op, rows)
		for i := range ops {
			ops[i] = store.Op{Kind: store.OpPut, Key: "intent/payout/key" + string(rune('0'+i)), Value: make([]byte, 200)}
		}
		b.Run(map[int]string{1: "rows=1", 64: "rows=64"}[rows], func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Commit(ctx, ops); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
