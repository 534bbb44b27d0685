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

// maxDeltas is the number of generations that are followed one by one. A
// process that is further behind reads the whole set.
const maxDeltas = 32

// errNoDeltas: the generations' rows do not lead on from the current
// configuration.
var errNoDeltas = errors.New("no deltas from the current generation")

// errScan: the platform did not give the generations' rows.
var errScan = errors.New("read generations")

// fromDeltas follows the deltas in the generations' rows from the current
// configuration towards wanted. At the target size this reads some hundred
// bytes for a change of one object in place of half a megabyte for the set.
func (f *fetch) fromDeltas(ctx context.Context, wanted uint64) (*structs.Config, error) {
	if f.current == nil || wanted-f.current.Generation > maxDeltas {
		return nil, errNoDeltas
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	found, err := f.opts.Platform.Scan(ctx, store.PrefixGeneration, store.KeyGeneration(f.current.Generation), maxDeltas)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errScan, err)
	}
	return follow(f.current, found)
}

// follow applies the deltas of the rows in turn and verifies that the result
// has the hash of the last generation.
func follow(current *structs.Config, found []store.Row) (*structs.Config, error) {
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
