package publisher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobwharf/carobwharf/internal/fakestore"
	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Whatever answers and commits are lost, however often a submission is
// repeated and whoever wins a race in the middle of it: generations are dense,
// each submission has at most one, a reply tells the truth, and the deltas of
// the generations lead from the first set to the head.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := fakestore.New(ctx)
		o := &Options{Platform: p, Timeout: time.Second, Current: func() *structs.Config { return nil },
			Now: time.Now, Log: hclog.NewNullLogger()}
		submit := func(id string, base uint64, s structs.ObjectSet) (Result, error) {
			a := attempt{opts: o, submission: &Submission{ID: id, Base: base, Set: s}}
			return a.run(ctx)
		}
		draw := func(label string) structs.ObjectSet {
			return set(rapid.IntRange(0, 3).Draw(rt, label+" sales"), rapid.IntRange(0, 3).Draw(rt, label+" crews"))
		}
		raced := 0
		p.BeforeCommit = nil
		_, err := submit("history-init", 0, set(0, 0))
		require.NoError(t, err)
		for i := range rapid.IntRange(1, 8).Draw(rt, "submissions") {
			p.LoseAnswers.Store(int64(rapid.IntRange(0, 2).Draw(rt, "lose answers")))
			p.LoseCommits.Store(int64(rapid.IntRange(0, 1).Draw(rt, "lose commits")))
			if rapid.Bool().Draw(rt, "race") {
				rival := draw("rival")
				p.BeforeCommit = func() {
					p.BeforeCommit = nil
					raced++
					_, _ = submit(fmt.Sprintf("history-rival-%d", raced), headGeneration(t, p), rival)
				}
			}
			id, base, s := fmt.Sprintf("history-%d", i), rapid.Uint64Range(1, headGeneration(t, p)).Draw(rt, "base"), draw("own")
			before := headGeneration(t, p)
			result, err := submit(id, base, s)
			p.BeforeCommit = nil
			require.GreaterOrEqual(t, headGeneration(t, p), before)
			if err == nil && !result.Unchanged {
				p.LoseAnswers.Store(0)
				p.LoseCommits.Store(0)
				again, err := submit(id, base, s)
				require.NoError(t, err)
				require.Equal(t, result.Generation, again.Generation)
			}
		}
		checkGenerations(t, p)
	})
}

func headGeneration(t *testing.T, p *fakestore.Platform) uint64 {
	return head(t, p).Generation
}

func checkGenerations(t *testing.T, p *fakestore.Platform) {
	h := head(t, p)
	found, err := store.ScanAll(t.Context(), p, store.PrefixGeneration)
	require.NoError(t, err)
	require.Len(t, found, int(h.Generation))
	submissions, err := store.ScanAll(t.Context(), p, store.PrefixSubmission)
	require.NoError(t, err)
	require.Len(t, submissions, int(h.Generation))
	var current structs.ObjectSet
	seen := map[string]bool{}
	for i, row := range found {
		require.Equal(t, store.KeyGeneration(uint64(i+1)), row.Key)
		g, err := rows.DecodeGeneration(row.Value)
		require.NoError(t, err)
		require.False(t, seen[g.Submission])
		seen[g.Submission] = true
		current, err = publication.Apply(&current, g.Delta)
		require.NoError(t, err)
		require.NoError(t, rows.VerifyConfig(&structs.Config{Hash: g.Hash, Set: current}))
	}
	require.Equal(t, h.Hash, rows.HashSet(must(p.GetObject(t.Context(), rows.SetObject(h.Hash)))))
}

func must(data []byte, _ error) []byte { return data }

// latePlatform delays the first commit: its answer is lost, and it takes
// effect between the next two reads, followed by another operator's change.
type latePlatform struct {
	*fakestore.Platform
	delayed []store.Op
	after   func()
}

func (p *latePlatform) Commit(ctx context.Context, ops []store.Op) ([]uint64, error) {
	if p.delayed == nil {
		p.delayed = ops
		return nil, store.ErrUnknown
	}
	return p.Platform.Commit(ctx, ops)
}

func (p *latePlatform) Get(ctx context.Context, key string) (store.Row, error) {
	if after := p.after; key == store.KeyConfigHead && p.delayed != nil && after != nil {
		p.after = nil
		if _, err := p.Platform.Commit(ctx, p.delayed); err != nil {
			return store.Row{}, err
		}
		after()
	}
	return p.Platform.Get(ctx, key)
}

// A commit that takes effect after its submission's row was read must not be
// published a second time, not even when another operator has reverted it.
func TestDelayedCommitIsNotRepeated(t *testing.T) {
	late := &latePlatform{Platform: fakestore.New(t.Context())}
	options := func(p Platform) *Options {
		return &Options{Platform: p, Timeout: time.Second, Current: func() *structs.Config { return nil },
			Now: time.Now, Log: hclog.NewNullLogger()}
	}
	submit := func(p Platform, id string, base uint64, s structs.ObjectSet) Result {
		a := attempt{opts: options(p), submission: &Submission{ID: id, Base: base, Set: s}}
		r, err := a.run(t.Context())
		require.NoError(t, err)
		return r
	}
	submit(late.Platform, "delayed-0", 0, set(0, 0))
	late.after = func() { submit(late.Platform, "delayed-2", 2, set(0, 0)) }
	r := submit(late, "delayed-1", 1, set(5, 0))
	require.Equal(t, uint64(2), r.Generation)
	require.Equal(t, uint64(3), headGeneration(t, late.Platform))
}

// Old rows must go, rows that a late base or repetition needs must stay, and a
// repetition of a submission whose row is gone must not publish again.
func TestPrune(t *testing.T) {
	p := fakestore.New(t.Context())
	now := time.Now()
	o := &Options{Platform: p, Timeout: time.Second, Deadline: time.Second, Log: hclog.NewNullLogger(),
		Current: func() *structs.Config { return nil }, Now: func() time.Time { return now }}
	submit := func(id string, base uint64, s structs.ObjectSet) error {
		a := attempt{opts: o, submission: &Submission{ID: id, Base: base, Set: s}}
		_, err := a.run(t.Context())
		return err
	}
	for i := range 4 {
		require.NoError(t, submit(fmt.Sprintf("prune-%02d", i), uint64(i), set(i, 0)))
	}
	count := func() int {
		found, err := store.ScanAll(t.Context(), p, "config/")
		require.NoError(t, err)
		return len(found)
	}
	before := count()
	require.NoError(t, prune(t.Context(), o, keepGenerations+2))
	require.Equal(t, before, count(), "rows of the last day stay")
	now = now.Add(keepFor + time.Second)
	require.NoError(t, prune(t.Context(), o, 4))
	require.Equal(t, before, count(), "the last generations stay")
	require.NoError(t, prune(t.Context(), o, keepGenerations+2))
	require.Equal(t, before-4, count())
	require.ErrorIs(t, submit("prune-01", 1, set(1, 0)), ErrBaseUnknown)
	require.NoError(t, submit("prune-03", 3, set(3, 0)), "a repetition whose row stays")
}
