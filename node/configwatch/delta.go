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

// errNoDeltas: the generations' rows do not lead from the current
// configuration to the head.
var errNoDeltas = errors.New("no deltas to the head")

// readDeltas follows the deltas in the generations' rows from the current
// configuration to the head. At the target size this reads some hundred bytes
// for a change of one object in place of half a megabyte for the set.
func (f *fetch) readDeltas(ctx context.Context, head rows.Head) (structs.ObjectSet, error) {
	if f.current == nil || head.Generation-f.current.Generation > maxDeltas {
		return structs.ObjectSet{}, errNoDeltas
	}
	missing := int(head.Generation - f.current.Generation)
	ctx, cancel := context.WithTimeout(ctx, f.opts.Timeout)
	defer cancel()
	found, err := f.opts.Platform.Scan(ctx, store.PrefixGeneration, store.KeyGeneration(f.current.Generation), missing)
	if err != nil {
		return structs.ObjectSet{}, fmt.Errorf("read generations: %w", err)
	}
	if len(found) != missing {
		return structs.ObjectSet{}, errNoDeltas
	}
	return follow(f.current, found, head)
}

// follow applies the deltas of the rows in turn and verifies that the result
// is the head's set.
func follow(current *structs.Config, found []store.Row, head rows.Head) (structs.ObjectSet, error) {
	set := current.Set
	for i, row := range found {
		g, err := rows.DecodeGeneration(row.Value)
		if err != nil {
			return set, err
		}
		if row.Key != store.KeyGeneration(current.Generation+uint64(i)+1) || g.Delta == nil {
			return set, errNoDeltas
		}
		if set, err = publication.Apply(&set, g.Delta); err != nil {
			return set, err
		}
	}
	return set, rows.VerifyConfig(&structs.Config{Generation: head.Generation, Hash: head.Hash, Set: set})
}
