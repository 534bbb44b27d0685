// Package store is the contract between carobwharf and the platform: a
// transactional table, an object store, a list of VMs and the workers. The
// packages under peer implement it for one platform each.
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
	// ErrUnavailable: the platform did not take the call; nothing changed.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrThrottled: the platform refused the call because of its rate limit;
	// nothing changed. It is an ErrUnavailable.
	ErrThrottled = fmt.Errorf("%w: rate limit", ErrUnavailable)
	// ErrUnknown: the call may have taken effect. The caller reads back.
	ErrUnknown = errors.New("result unknown")
	// ErrHistoryGone: the changes after the given version are not kept any
	// more. The reader takes a snapshot.
	ErrHistoryGone = errors.New("history is gone")
)

// ConflictError reports the keys whose condition did not hold. Nothing of the
// transaction took effect.
type ConflictError struct {
	Keys []string
	Rows []Row // the rows with conditions as they are now, if the platform tells them
}

// Error lists the keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition failed for %s", strings.Join(e.Keys, ", "))
}

// Row is one row of the table. Versions start at 1 and grow with each write
// of the row; a row that is deleted and inserted again does not reuse one.
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

// MaxOps is the greatest number of operations in one transaction.
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

// Change is a row that was written or removed.
type Change struct {
	Row
	Removed bool
}

// Feed is implemented by platforms whose table can be followed. The first
// part of a key, up to the first slash, names its table; the second names a
// part of the table in which a transaction is local.
type Feed interface {
	// Snapshot returns the rows of the parts of a table (of all parts if none
	// is given) and the version from which Changes goes on. Rows that change
	// meanwhile are also among the changes.
	Snapshot(ctx context.Context, table string, parts ...string) ([]Row, uint64, error)
	// Parts lists the parts of a table that have rows.
	Parts(ctx context.Context, table string) ([]string, error)
	// Position returns the version from which Changes goes on from now.
	Position(ctx context.Context, table string) (uint64, error)
	// Changes returns what has changed since a version, and the version to go
	// on from. It waits until there is a change, at most for wait. It returns
	// ErrHistoryGone if the changes are not known any more.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Objects is the object store. Objects are immutable: names contain a hash of
// the content.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMs is the platform's lagging list of VMs and its control of them.
type VMs interface {
	ListVMs(ctx context.Context) ([]structs.VM, error)
	// RebootVM starts a reboot; the VM leaves the list and returns to it.
	RebootVM(ctx context.Context, id string) error
}

// TaggedVMs is implemented by platforms that can say that the list is still the
// one that the reader has. A platform that can't is read in full each time.
type TaggedVMs interface {
	// ListVMsSince returns the list and its tag; changed is false, and the list
	// empty, if the list still has the tag known.
	ListVMsSince(ctx context.Context, known string) (vms []structs.VM, tag string, changed bool, err error)
}

// Platform is everything that the platform offers.
type Platform interface {
	Table
	Objects
	VMs
}

// Rows of a prefix are read in pages of this many.
const scanPage = 500

// ScanAll reads all rows with the prefix, page by page. Rows that change
// between two pages may be seen in either state.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, fmt.Errorf("scan %s: %w", prefix, err)
		}
		all = append(all, page...)
		if len(page) < scanPage {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}
