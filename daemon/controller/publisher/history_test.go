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

// With lost answers, lost transactions, repeated submissions and concurrent
// writers in any combination: generations have no gaps, each submission makes at
// most one, replies state the right generation, and applying the deltas of all
// generations in order gives the set of the head.
func TestGenerationHistoryIsConsistent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := fakestore.New(ctx)
		o := &Options{Platform: p, Timeout: time.Second, Current: func() *structs.Config { return nil },
			Now: time.Now, Log: hclog.NewNullLogger()}
		submit := func(id string, base uint64, s structs.ObjectSet) (Result, error) {
			task := submissionTask{opts: o, submission: &Submission{ID: id, Base: base, Set: s}}
			return task.run(ctx)
		}
		draw := func(label string) structs.ObjectSet {
			return validSet(rapid.IntRange(0, 3).Draw(rt, label+" sales"), rapid.IntRange(0, 3).Draw(rt, label+" crews"))
		}
		raced := 0
		p.BeforeCommit = nil
		_, err := submit("history-init", 0, validSet(0, 0))
		require.NoError(t, err)
		for i := range rapid.IntRange(1, 8).Draw(rt, "submissions") {
			p.LoseAnswers.Store(int64(rapid.IntRange(0, 2).Draw(rt, "lose answers")))
			p.LoseCommits.Store(int64(rapid.IntRange(0, 1).Draw(rt, "lose commits")))
			if rapid.Bool().Draw(rt, "race") {
				competing := draw("rival")
				p.BeforeCommit = func() {
					p.BeforeCommit = nil
					raced++
					_, _ = submit(fmt.Sprintf("history-rival-%d", raced), headGeneration(t, p), competing)
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
	return readHead(t, p).Generation
}

func checkGenerations(t *testing.T, p *fakestore.Platform) {
	h := readHead(t, p)
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
	require.Equal(t, h.Hash, rows.HashEncodedSet(ignoreError(p.GetObject(t.Context(), rows.SetObjectName(h.Hash)))))
}

// ignoreError drops the error of a read whose data the caller compares.
func ignoreError(data []byte, _ error) []byte { return data }

// delayedCommitPlatform returns store.ErrUnknown for the first transaction and
// delays it. If afterCommit is set, the transaction takes effect just before the
// next read of the head, and afterCommit is called right after it.
type delayedCommitPlatform struct {
	*fakestore.Platform
	delayed     []store.Op
	afterCommit func()
}

func (p *delayedCommitPlatform) Commit(ctx context.Context, ops []store.Op) ([]uint64, error) {
	if p.delayed == nil {
		p.delayed = ops
		return nil, store.ErrUnknown
	}
	return p.Platform.Commit(ctx, ops)
}

func (p *delayedCommitPlatform) Get(ctx context.Context, key string) (store.Row, error) {
	if after := p.afterCommit; key == store.KeyConfigHead && p.delayed != nil && after != nil {
		p.afterCommit = nil
		if _, err := p.Platform.Commit(ctx, p.delayed); err != nil {
			return store.Row{}, err
		}
		after()
	}
	return p.Platform.Get(ctx, key)
}

// Guards against a set that is published twice: its first transaction takes
// effect only after the next attempt has read the submission's row, and another
// operator reverts the change right after it.
func TestDelayedCommitIsNotRepeated(t *testing.T) {
	late := &delayedCommitPlatform{Platform: fakestore.New(t.Context())}
	options := func(p Platform) *Options {
		return &Options{Platform: p, Timeout: time.Second, Current: func() *structs.Config { return nil },
			Now: time.Now, Log: hclog.NewNullLogger()}
	}
	submit := func(p Platform, id string, base uint64, s structs.ObjectSet) Result {
		task := submissionTask{opts: options(p), submission: &Submission{ID: id, Base: base, Set: s}}
		r, err := task.run(t.Context())
		require.NoError(t, err)
		return r
	}
	submit(late.Platform, "delayed-0", 0, validSet(0, 0))
	late.afterCommit = func() { submit(late.Platform, "delayed-2", 2, validSet(0, 0)) }
	r := submit(late, "delayed-1", 1, validSet(5, 0))
	require.Equal(t, uint64(2), r.Generation)
	require.Equal(t, uint64(3), headGeneration(t, late.Platform))
}

// Guards against pruning that deletes too much or too little, and against a
// repeated submission that is published again after its row was deleted.
func TestPrune(t *testing.T) {
	p := fakestore.New(t.Context())
	now := time.Now()
	o := &Options{Platform: p, Timeout: time.Second, Deadline: time.Second, Log: hclog.NewNullLogger(),
		Current: func() *structs.Config { return nil }, Now: func() time.Time { return now }}
	submit := func(id string, base uint64, s structs.ObjectSet) error {
		task := submissionTask{opts: o, submission: &Submission{ID: id, Base: base, Set: s}}
		_, err := task.run(t.Context())
		return err
	}
	for i := range 4 {
		require.NoError(t, submit(fmt.Sprintf("prune-%02d", i), uint64(i), validSet(i, 0)))
	}
	count := func() int {
		found, err := store.ScanAll(t.Context(), p, "config/")
		require.NoError(t, err)
		return len(found)
	}
	before := count()
	require.NoError(t, prune(t.Context(), o, retainedGenerations+2))
	require.Equal(t, before, count(), "rows younger than the retention period must stay")
	now = now.Add(retentionPeriod + time.Second)
	require.NoError(t, prune(t.Context(), o, 4))
	require.Equal(t, before, count(), "rows of the newest generations must stay")
	require.NoError(t, prune(t.Context(), o, retainedGenerations+2))
	require.Equal(t, before-4, count())
	require.ErrorIs(t, submit("prune-01", 1, validSet(1, 0)), ErrBaseUnknown)
	require.NoError(t, submit("prune-03", 3, validSet(3, 0)), "a repeated submission whose row was kept must succeed")
}
