package publisher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// Rows of generations and their submissions are kept for late bases and
// repetitions. Without a bound, 72,000 changes a day would add 144,000 rows
// every day.
const (
	keepFor         = 24 * time.Hour
	keepGenerations = 1000 // whatever their age
	pruneEvery      = 16   // generations
	pruneBatch      = 32   // generations; twice pruneEvery, so that a backlog shrinks
)

// prune deletes the oldest generations' rows with their submissions' rows. A
// submission that is repeated after that names a base that is unknown, so it
// is refused and not published again. Sets in the object store stay: the
// platform's contract has no deletion of objects.
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
		if head < keepGenerations || row.Key > store.KeyGeneration(head-keepGenerations) || o.Now().Sub(g.Time) < keepFor {
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
