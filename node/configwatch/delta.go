package configwatch

import (
	"context"
	"errors"
	"fmt"

	"github.com/carobwharf/carobwharf/publication"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// maxDeltas is the maximum number of generations that are applied one by one. A
// process that is further behind reads the whole set.
const maxDeltas = 32

// errNoDeltas reports that the generation rows have no chain of deltas from the
// current configuration.
var errNoDeltas = errors.New("no deltas from the current generation")

// errReadGenerations reports that the generation rows could not be read from the
// platform.
var errReadGenerations = errors.New("read generation rows")

// fromDeltas applies the deltas in the generation rows to the current
// configuration. The result can be older or newer than target. At the target
// size, a change of one object takes a few hundred bytes instead of half a
// megabyte for the whole set.
func (f *fetch) fromDeltas(ctx context.Context, target uint64) (*structs.Config, error) {
	if f.current == nil || target-f.current.Generation > maxDeltas {
		return nil, errNoDeltas
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	found, err := f.opts.Platform.Scan(ctx, store.PrefixGeneration, store.KeyGeneration(f.current.Generation), maxDeltas)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errReadGenerations, err)
	}
	return applyDeltas(f.current, found)
}

// applyDeltas applies the deltas of the generation rows to current in order, and
// verifies that the result has the hash of the last generation.
func applyDeltas(current *structs.Config, found []store.Row) (*structs.Config, error) {
	if len(found) == 0 {
		return nil, errNoDeltas
	}
	next := *current
	for _, row := range found {
		g, err := rows.DecodeGeneration(row.Value)
		if err != nil {
			return nil, err
		}
		if row.Key != store.KeyGeneration(next.Generation+1) || g.Delta == nil {
			return nil, errNoDeltas
		}
		set, err := publication.Apply(&next.Set, g.Delta)
		if err != nil {
			return nil, err
		}
		next = structs.Config{Generation: next.Generation + 1, Hash: g.Hash, Set: set}
	}
	return &next, rows.VerifyConfig(&next)
}
