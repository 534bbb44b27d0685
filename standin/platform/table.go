package platform

import (
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/store"
)

// Versions of deleted rows are remembered one by one up to this many; then
// one floor for all keys takes their place, so that memory stays bounded.
const maxTombstones = 1 << 20

type cell struct {
	version uint64
	value   []byte
}

// table is the transactional table. The state duty owns it.
type table struct {
	cells      map[string]cell
	keys       keyIndex
	tombstones map[string]uint64 // last version of a deleted row
	floor      uint64            // no new row gets this version or a lower one
}

func newTable() *table {
	return &table{cells: make(map[string]cell), tombstones: make(map[string]uint64)}
}

func (t *table) get(key string) (store.Row, bool) {
	c, ok := t.cells[key]
	return store.Row{Key: key, Version: c.version, Value: c.value}, ok
}

func (t *table) scan(prefix, after string, limit int) []store.Row {
	var rows []store.Row
	t.keys.ascend(max(prefix, after), func(key string) bool {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			return false
		}
		if key > after || after == "" {
			rows = append(rows, store.Row{Key: key, Version: t.cells[key].version, Value: t.cells[key].value})
		}
		return true
	})
	return rows
}

// commit applies the operations in order, or none. conflicts names the keys
// whose condition did not hold.
func (t *table) commit(ops []store.Op) (versions []uint64, conflicts []string) {
	written := make(map[string]bool, len(ops))
	for _, op := range ops {
		if !t.holds(op, written) && !slices.Contains(conflicts, op.Key) {
			conflicts = append(conflicts, op.Key)
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	versions = make([]uint64, len(ops))
	for i, op := range ops {
		versions[i] = t.apply(op)
	}
	return versions, nil
}

// holds checks an operation against the table as it was before the
// transaction; written collects the keys that earlier operations change. A
// later condition on a changed key cannot hold, since its version is new.
func (t *table) holds(op store.Op, written map[string]bool) bool {
	c, exists := t.cells[op.Key]
	fresh := !written[op.Key]
	if op.Kind != store.OpCheck {
		written[op.Key] = true
	}
	switch op.Kind {
	case store.OpInsert:
		return fresh && !exists
	case store.OpUpdate, store.OpDelete:
		return fresh && exists && c.version == op.Expect
	case store.OpCheck:
		return fresh && c.version == op.Expect
	default:
		return true
	}
}

func (t *table) apply(op store.Op) uint64 {
	switch op.Kind {
	case store.OpCheck:
		return 0
	case store.OpDelete:
		t.remove(op.Key)
		return 0
	default:
		return t.write(op.Key, op.Value)
	}
}

func (t *table) write(key string, value []byte) uint64 {
	c, exists := t.cells[key]
	if !exists {
		t.keys.insert(key)
		c.version = max(t.floor, t.tombstones[key])
		delete(t.tombstones, key)
	}
	c.version++
	c.value = value
	t.cells[key] = c
	return c.version
}

func (t *table) remove(key string) {
	t.tombstones[key] = t.cells[key].version
	delete(t.cells, key)
	t.keys.remove(key)
	if len(t.tombstones) <= maxTombstones {
		return
	}
	for _, v := range t.tombstones {
		t.floor = max(t.floor, v)
	}
	clear(t.tombstones)
}
