// Package memtable provides an in-memory transactional table for the test
// implementations of store.Platform, which add fault injection and locking.
package memtable

import (
	"bytes"
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/store"
)

// Table holds rows by key. All rows take their versions from one counter, so that
// a row that is deleted and inserted again never reuses a version. A Table is not
// safe for concurrent use.
type Table struct {
	rows    map[string]store.Row
	version uint64
}

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]store.Row{}} }

// Rows returns all rows by key. The caller must not change the map.
func (t *Table) Rows() map[string]store.Row { return t.rows }

// Get returns a row. It reports false if the row does not exist.
func (t *Table) Get(key string) (store.Row, bool) {
	row, ok := t.rows[key]
	return row, ok
}

// Scan returns at most limit rows whose keys have the prefix and follow after, in
// key order.
func (t *Table) Scan(prefix, after string, limit int) []store.Row {
	var out []store.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))]
}

// Commit applies all operations or none. It returns the new versions, 0 for
// deletes and checks, or a *store.ConflictError.
func (t *Table) Commit(ops []store.Op) ([]uint64, error) {
	var conflict store.ConflictError
	for _, op := range ops {
		if !t.preconditionHolds(op) {
			conflict.Keys = append(conflict.Keys, op.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return nil, &conflict
	}
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		switch op.Kind {
		case store.OpDelete:
			delete(t.rows, op.Key)
		case store.OpInsert, store.OpUpdate, store.OpPut:
			t.version++
			versions[i] = t.version
			t.rows[op.Key] = store.Row{Key: op.Key, Version: t.version, Value: bytes.Clone(op.Value)}
		}
	}
	return versions, nil
}

// preconditionHolds reports whether the current row satisfies the precondition of
// op.
func (t *Table) preconditionHolds(op store.Op) bool {
	version := t.rows[op.Key].Version // 0 if the row does not exist
	switch op.Kind {
	case store.OpInsert:
		return version == 0
	case store.OpUpdate, store.OpDelete:
		return version == op.Expect && version != 0
	case store.OpCheck:
		return version == op.Expect
	}
	return true
}
