package publisher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// The rows of generations and submissions are needed for submissions that are
// based on an old generation or are repeated. Without pruning, 72,000 changes a
// day would add 144,000 rows every day. A row is deleted when it is outside both
// retentionPeriod and the newest retainedGenerations.
const (
	retentionPeriod     = 24 * time.Hour
	retainedGenerations = 1000 // kept at any age
	pruneInterval       = 16   // generations between runs
	pruneBatch          = 32   // generations per run; twice pruneInterval, so that a backlog shrinks
)

// prune deletes the rows of the oldest generations and of their submissions. A
// submission that is repeated after its rows are gone is rejected with
// ErrBaseUnknown and not published again. The sets in the object store stay,
// because the platform's interface has no call that deletes objects.
func prune(ctx context.Context, o *Options, head uint64) error {
	ctx, cancel := context.WithTimeout(ctx, o.Deadline)
	defer cancel()
	found, err := o.Platform.Scan(ctx, store.PrefixGeneration, "", pruneBatch)
	if err != nil {
		return fmt.Errorf("read old generations: %w", err)
	}
	var ops []store.Op
	for _, row := range found {
		g, err := rows.DecodeGeneration(row.Value)
		if err != nil {
			return err
		}
		if head < retainedGenerations || row.Key > store.KeyGeneration(head-retainedGenerations) || o.Now().Sub(g.Time) < retentionPeriod {
			break
		}
		ops = append(ops, store.Op{Kind: store.OpDelete, Key: row.Key, Expect: row.Version})
		submission, err := o.Platform.Get(ctx, store.KeySubmission(g.Submission))
		switch {
		case err == nil:
			ops = append(ops, store.Op{Kind: store.OpDelete, Key: submission.Key, Expect: submission.Version})
		case !errors.Is(err, store.ErrNotFound):
			return fmt.Errorf("read old submission: %w", err)
		}
	}
	if len(ops) == 0 {
		return nil
	}
	if _, err := o.Platform.Commit(ctx, ops); err != nil {
		return fmt.Errorf("delete old generations: %w", err)
	}
	return nil
}
