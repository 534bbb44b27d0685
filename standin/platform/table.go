package platform

import (
	"slices"
	"strings"

	"github.com/carobwharf/carobwharf/store"
)

// maxTombstones is the number of deleted rows whose last version is kept. Above
// it, one version floor for all keys replaces them, which bounds memory.
const maxTombstones = 1 << 20

type storedRow struct {
	version uint64
	value   []byte
}

// table is the transactional table. Only the state duty accesses it.
type table struct {
	rows         map[string]storedRow
	keys         keyIndex
	tombstones   map[string]uint64 // last version of a deleted row
	versionFloor uint64            // versions of new rows are higher than this
}

func newTable() *table {
	return &table{rows: make(map[string]storedRow), tombstones: make(map[string]uint64)}
}

func (t *table) get(key string) (store.Row, bool) {
	c, ok := t.rows[key]
	return store.Row{Key: key, Version: c.version, Value: c.value}, ok
}

func (t *table) scan(prefix, after string, limit int) []store.Row {
	var rows []store.Row
	t.keys.ascend(max(prefix, after), func(key string) bool {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			return false
		}
		if key > after || after == "" {
			rows = append(rows, store.Row{Key: key, Version: t.rows[key].version, Value: t.rows[key].value})
		}
		return true
	})
	return rows
}

// commit applies all operations in order, or none if a condition does not hold.
// conflicts are the keys of the conditions that do not hold.
func (t *table) commit(ops []store.Op) (versions []uint64, conflicts []string) {
	written := make(map[string]bool, len(ops))
	for _, op := range ops {
		if !t.conditionHolds(op, written) && !slices.Contains(conflicts, op.Key) {
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

// conditionHolds checks the condition of an operation against the table as it was
// before the transaction. It adds the keys that operations change to written. A
// later condition on a changed key cannot hold, because the version is new.
func (t *table) conditionHolds(op store.Op, written map[string]bool) bool {
	c, exists := t.rows[op.Key]
	unwritten := !written[op.Key]
	if op.Kind != store.OpCheck {
		written[op.Key] = true
	}
	switch op.Kind {
	case store.OpInsert:
		return unwritten && !exists
	case store.OpUpdate, store.OpDelete:
		return unwritten && exists && c.version == op.Expect
	case store.OpCheck:
		return unwritten && c.version == op.Expect
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
	c, exists := t.rows[key]
	if !exists {
		t.keys.insert(key)
		c.version = max(t.versionFloor, t.tombstones[key])
		delete(t.tombstones, key)
	}
	c.version++
	c.value = value
	t.rows[key] = c
	return c.version
}

func (t *table) remove(key string) {
	t.tombstones[key] = t.rows[key].version
	delete(t.rows, key)
	t.keys.remove(key)
	if len(t.tombstones) <= maxTombstones {
		return
	}
	for _, v := range t.tombstones {
		t.versionFloor = max(t.versionFloor, v)
	}
	clear(t.tombstones)
}
