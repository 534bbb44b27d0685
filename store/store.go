// Package store defines the interfaces through which carobwharf uses the
// platform: a transactional table, an object store, a list of VMs and the
// workers. Each platform has its own implementation.
package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// Errors that every implementation returns, wrapped with context.
var (
	// ErrNotFound: the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable: the platform did not accept the call; nothing changed.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrThrottled: the platform rejected the call because of a rate limit;
	// nothing changed. It wraps ErrUnavailable.
	ErrThrottled = fmt.Errorf("%w: rate limit", ErrUnavailable)
	// ErrUnknown: the call may have taken effect. The caller must read the
	// state back.
	ErrUnknown = errors.New("result unknown")
	// ErrHistoryGone: the changes after the given version are no longer
	// retained. The reader must take a new snapshot.
	ErrHistoryGone = errors.New("history is gone")
)

// ConflictError reports the keys whose conditions did not hold. No operation of
// the transaction took effect.
type ConflictError struct {
	Keys []string
	Rows []Row // current state of the rows with conditions, if the platform returns it
}

// Error lists the keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition failed for %s", strings.Join(e.Keys, ", "))
}

// Row returns the current state of a row with a condition. ok is false if the row does
// not exist or the platform does not return it.
func (e *ConflictError) Row(key string) (_ Row, ok bool) {
	for _, r := range e.Rows {
		if r.Key == key && r.Version > 0 {
			return r, true
		}
	}
	return Row{}, false
}

// Row is one row of the table. Versions start at 1 and increase with each write
// of the row. A row that is deleted and inserted again does not reuse a version.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// OpKind is the kind of an operation in a transaction.
type OpKind int

// Operation kinds.
const (
	OpInsert OpKind = iota // the row must not exist
	OpUpdate               // the row must have version Expect
	OpDelete               // the row must have version Expect
	OpCheck                // the row must have version Expect (0: must not exist); nothing is written
	OpPut                  // unconditional write
)

// Op is one operation of a transaction.
type Op struct {
	Kind   OpKind
	Key    string
	Expect uint64
	Value  []byte
}

// MaxOps is the maximum number of operations in one transaction.
const MaxOps = 256

// Table is the transactional table.
type Table interface {
	// Get returns the row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose keys start with prefix and sort
	// after the key after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all operations or none. It returns the new version for
	// each operation (0 for deletes and checks), a *ConflictError,
	// ErrUnavailable, or ErrUnknown.
	Commit(ctx context.Context, ops []Op) ([]uint64, error)
}

// Change is a row that was written or deleted.
type Change struct {
	Row
	Removed bool
}

// Feed is implemented by platforms that can report the changes of a table. The
// first element of a key, up to the first slash, names its table. The second
// element names a part of the table. A transaction whose rows are all in one part
// involves no other part, and the platform limits the rate of transactions for
// each part; see workPartsPerQueue.
type Feed interface {
	// Snapshot returns the rows of the given parts of a table, or of all parts
	// if none is given, and the version from which Changes continues. Rows that
	// change during the call are also among the later changes.
	Snapshot(ctx context.Context, table string, parts ...string) ([]Row, uint64, error)
	// Parts returns the parts of a table that have rows.
	Parts(ctx context.Context, table string) ([]string, error)
	// Position returns the current version. Changes with this version as after
	// reports the changes that follow this call.
	Position(ctx context.Context, table string) (uint64, error)
	// Changes returns the changes after a version, and the version from which
	// the next call continues. It waits up to wait for a change. It returns
	// ErrHistoryGone if the changes are no longer retained.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Objects is the object store. Objects are immutable: their names contain a hash
// of the content.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMs is the platform's VM API. The list of VMs lags behind their actual state.
type VMs interface {
	ListVMs(ctx context.Context) ([]structs.VM, error)
	// RebootVM starts a reboot. The VM disappears from the list and reappears
	// in it.
	RebootVM(ctx context.Context, id string) error
}

// TaggedVMs is implemented by platforms that can report that the list of VMs has
// not changed since the last read. On other platforms, each read returns the
// whole list.
type TaggedVMs interface {
	// ListVMsSince returns the list of VMs and its tag. If the tag is still the
	// given one, vms is empty and changed is false.
	ListVMsSince(ctx context.Context, known string) (vms []structs.VM, tag string, changed bool, err error)
}

// Platform combines the interfaces that every platform provides.
type Platform interface {
	Table
	Objects
	VMs
}

// scanPageSize is the number of rows that ScanAll reads at a time.
const scanPageSize = 500

// ScanAll reads all rows with the prefix, page by page. It is not a snapshot: a
// row that changes during the scan may be returned in its old or its new state.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, fmt.Errorf("scan %s: %w", prefix, err)
		}
		all = append(all, page...)
		if len(page) < scanPageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}
