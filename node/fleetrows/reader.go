// Package fleetrows reads the ownership rows of the fleet incrementally. Its
// Reader is part of a duty's state: it is used by one goroutine at a time.
package fleetrows

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// fullScanAbove is the number of changed buckets from which one scan of all
// rows takes fewer reads than a scan for each bucket.
const fullScanAbove = 16

// Reader keeps the rows that it has read, by bucket.
type Reader struct {
	table   store.Table
	loaded  bool
	mark    uint64 // version of the fleet's mark before the last reading
	buckets map[string]bucket
	owners  []structs.Owner
	bad     []error
}

type bucket struct {
	mark   uint64
	owners []structs.Owner
	bad    []error
}

// NewReader returns a reader that has read nothing.
func NewReader(t store.Table) *Reader {
	return &Reader{table: t, buckets: map[string]bucket{}}
}

// Read returns the ownership rows, sorted by VM, as they were at some moment
// after the call began. Without a change since the last call it costs one read
// of one small row. The slice is not changed later. Rows that cannot be decoded
// are left out and reported in bad. After an error the next call reads again
// what this one missed.
func (r *Reader) Read(ctx context.Context) (owners []structs.Owner, bad []error, changed bool, err error) {
	mark, err := r.version(ctx, store.KeyFleetMark)
	if err != nil {
		return nil, nil, false, err
	}
	if r.loaded && mark == r.mark {
		return r.owners, r.bad, false, nil
	}
	// The marks are read before the rows: a change in between is read now or
	// shows as a new mark next time.
	marks, err := r.bucketMarks(ctx)
	if err != nil {
		return nil, nil, false, err
	}
	if err := r.update(ctx, marks); err != nil {
		return nil, nil, false, err
	}
	r.loaded, r.mark = true, mark
	r.collect()
	return r.owners, r.bad, true, nil
}

func (r *Reader) version(ctx context.Context, key string) (uint64, error) {
	row, err := r.table.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", key, err)
	}
	return row.Version, nil
}

func (r *Reader) bucketMarks(ctx context.Context) (map[string]uint64, error) {
	found, err := store.ScanAll(ctx, r.table, store.PrefixBucketMark)
	if err != nil {
		return nil, err
	}
	marks := make(map[string]uint64, len(found))
	for _, row := range found {
		marks[strings.TrimPrefix(row.Key, store.PrefixBucketMark)] = row.Version
	}
	return marks, nil
}

func (r *Reader) update(ctx context.Context, marks map[string]uint64) error {
	var stale []string
	for name, mark := range marks {
		if r.buckets[name].mark != mark {
			stale = append(stale, name)
		}
	}
	if !r.loaded || len(stale) > fullScanAbove {
		return r.readAll(ctx, marks)
	}
	for _, name := range stale {
		found, err := store.ScanAll(ctx, r.table, store.PrefixVM+name+"/")
		if err != nil {
			return err
		}
		b := bucket{mark: marks[name]}
		for _, row := range found {
			b.add(row)
		}
		r.buckets[name] = b
	}
	return nil
}

func (r *Reader) readAll(ctx context.Context, marks map[string]uint64) error {
	found, err := store.ScanAll(ctx, r.table, store.PrefixVM)
	if err != nil {
		return err
	}
	all := make(map[string]bucket, len(marks))
	for name, mark := range marks {
		all[name] = bucket{mark: mark}
	}
	for _, row := range found {
		name, _, _ := strings.Cut(strings.TrimPrefix(row.Key, store.PrefixVM), "/")
		b := all[name]
		b.add(row)
		all[name] = b
	}
	r.buckets = all
	return nil
}

func (b *bucket) add(row store.Row) {
	o, err := rows.DecodeOwner(row.Value, row.Version)
	if err != nil {
		b.bad = append(b.bad, fmt.Errorf("row %s: %w", row.Key, err))
		return
	}
	b.owners = append(b.owners, o)
}

func (r *Reader) collect() {
	r.owners, r.bad = make([]structs.Owner, 0, len(r.owners)), nil
	for _, b := range r.buckets {
		r.owners = append(r.owners, b.owners...)
		r.bad = append(r.bad, b.bad...)
	}
	slices.SortFunc(r.owners, func(a, b structs.Owner) int { return strings.Compare(a.VM, b.VM) })
}
