// Package fleetrows reads the ownership rows of the fleet incrementally. Rows are
// grouped in buckets. Each write of ownership rows also rewrites a marker row of
// each of their buckets and one of the whole fleet, called marks. The versions of
// the marks show which buckets have changed.
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

// maxBucketScans is the maximum number of changed buckets that are scanned one
// by one. With more of them, one scan of all rows takes fewer reads.
const maxBucketScans = 16

// Reader reads the ownership rows and caches them by bucket. It is part of a
// duty's state and must not be used by several goroutines at the same time.
type Reader struct {
	table            store.Table
	loaded           bool
	fleetMarkVersion uint64 // version of the fleet's mark before the last read
	buckets          map[string]bucket
	owners           []structs.Owner
	rowErrs          []error
}

type bucket struct {
	markVersion uint64
	owners      []structs.Owner
	rowErrs     []error
}

// NewReader returns a reader with an empty cache.
func NewReader(t store.Table) *Reader {
	return &Reader{table: t, buckets: map[string]bucket{}}
}

// Read returns the ownership rows, sorted by VM, as they were at some time after
// the call began. Without a change since the last call it only reads one small
// row. The returned slice is not modified later. Rows that cannot be decoded are
// left out and reported in rowErrs. After an error the next call reads again what
// this one missed.
func (r *Reader) Read(ctx context.Context) (owners []structs.Owner, rowErrs []error, changed bool, err error) {
	mark, err := r.rowVersion(ctx, store.KeyFleetMark)
	if err != nil {
		return nil, nil, false, err
	}
	if r.loaded && mark == r.fleetMarkVersion {
		return r.owners, r.rowErrs, false, nil
	}
	// The marks are read before the rows, so that a change in between is either
	// read now or detected by the next call through a new version of the mark.
	marks, err := r.bucketMarks(ctx)
	if err != nil {
		return nil, nil, false, err
	}
	if err := r.readChangedBuckets(ctx, marks); err != nil {
		return nil, nil, false, err
	}
	r.loaded, r.fleetMarkVersion = true, mark
	r.mergeBuckets()
	return r.owners, r.rowErrs, true, nil
}

func (r *Reader) rowVersion(ctx context.Context, key string) (uint64, error) {
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

func (r *Reader) readChangedBuckets(ctx context.Context, marks map[string]uint64) error {
	var stale []string
	for name, mark := range marks {
		if r.buckets[name].markVersion != mark {
			stale = append(stale, name)
		}
	}
	if !r.loaded || len(stale) > maxBucketScans {
		return r.readAll(ctx, marks)
	}
	for _, name := range stale {
		found, err := store.ScanAll(ctx, r.table, store.PrefixVM+name+"/")
		if err != nil {
			return err
		}
		b := bucket{markVersion: marks[name]}
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
		all[name] = bucket{markVersion: mark}
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
		b.rowErrs = append(b.rowErrs, fmt.Errorf("row %s: %w", row.Key, err))
		return
	}
	b.owners = append(b.owners, o)
}

func (r *Reader) mergeBuckets() {
	r.owners, r.rowErrs = make([]structs.Owner, 0, len(r.owners)), nil
	for _, b := range r.buckets {
		r.owners = append(r.owners, b.owners...)
		r.rowErrs = append(r.rowErrs, b.rowErrs...)
	}
	slices.SortFunc(r.owners, func(a, b structs.Owner) int { return strings.Compare(a.VM, b.VM) })
}
