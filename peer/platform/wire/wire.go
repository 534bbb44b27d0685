// Package wire defines the HTTP API of the platform that the stand-in serves and
// peer/platform calls.
//
//	GET  /table/row?key=K                     200 Row, 404
//	GET  /table/scan?prefix=P&after=A&limit=N 200 Rows
//	POST /table/commit   Commit               200 Committed, 409 Problem with keys
//	PUT  /objects?name=N  bytes               200
//	GET  /objects?name=N                      200 bytes, 404
//	GET  /vms                                 200 list of structs.VM
//	GET  /vms?known=T                         200 VMList
//	POST /vms/reboot?id=V                     200, 404
//
// Every call may be answered with 429 or 503: the platform did not accept the
// call and nothing changed. 400 means that the call is malformed and nothing
// changed. The response repeats the header X-Request-Id of its request.
package wire

import (
	"fmt"

	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Paths.
const (
	PathRow    = "/table/row"
	PathScan   = "/table/scan"
	PathCommit = "/table/commit"
	PathObject = "/objects"
	PathVMs    = "/vms"
	PathReboot = "/vms/reboot"
)

// MaxScan is the maximum limit of a scan.
const MaxScan = 1000

// Row is a row of the table; the value is base64 in JSON.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Rows is the response to a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Op is one operation of a transaction. Operations apply in order, so a second
// insert of a key conflicts with the first.
type Op struct {
	Kind   string `json:"kind"` // insert, update, delete, check, put
	Key    string `json:"key"`
	Expect uint64 `json:"expect,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

// Commit is a transaction.
type Commit struct {
	Ops []Op `json:"ops"`
}

// Committed is the response to a commit that took effect.
type Committed struct {
	Versions []uint64 `json:"versions"` // one for each operation
}

// VMList is the VM list with a tag that changes with its content. If the list
// still has the tag given in the request, Changed is false and VMs is empty.
type VMList struct {
	Tag     string       `json:"tag"`
	Changed bool         `json:"changed"`
	VMs     []structs.VM `json:"vms,omitempty"`
}

// Problem is the body of a response with a status other than 200.
type Problem struct {
	Error string   `json:"error"`
	Keys  []string `json:"keys,omitempty"` // keys whose condition did not hold
}

var kindNames = [...]string{
	store.OpInsert: "insert",
	store.OpUpdate: "update",
	store.OpDelete: "delete",
	store.OpCheck:  "check",
	store.OpPut:    "put",
}

// EncodeOps returns the wire form of a transaction.
func EncodeOps(ops []store.Op) (Commit, error) {
	c := Commit{Ops: make([]Op, len(ops))}
	for i, op := range ops {
		if op.Kind < 0 || int(op.Kind) >= len(kindNames) {
			return Commit{}, fmt.Errorf("operation %d has unknown kind %d", i, op.Kind)
		}
		c.Ops[i] = Op{Kind: kindNames[op.Kind], Key: op.Key, Expect: op.Expect, Value: op.Value}
	}
	return c, CheckOps(ops)
}

// DecodeOps returns the operations of a transaction.
func DecodeOps(c Commit) ([]store.Op, error) {
	ops := make([]store.Op, len(c.Ops))
	for i, op := range c.Ops {
		kind, ok := parseKind(op.Kind)
		if !ok {
			return nil, fmt.Errorf("operation %d has unknown kind %q", i, op.Kind)
		}
		ops[i] = store.Op{Kind: kind, Key: op.Key, Expect: op.Expect, Value: op.Value}
	}
	return ops, CheckOps(ops)
}

// CheckOps returns an error for a transaction that no platform accepts: one with
// no operations, too many, or an empty key.
func CheckOps(ops []store.Op) error {
	if len(ops) == 0 || len(ops) > store.MaxOps {
		return fmt.Errorf("transaction of %d operations, want 1 to %d", len(ops), store.MaxOps)
	}
	for i, op := range ops {
		if op.Key == "" {
			return fmt.Errorf("operation %d has no key", i)
		}
	}
	return nil
}

func parseKind(name string) (store.OpKind, bool) {
	for k, n := range kindNames {
		if n == name {
			return store.OpKind(k), true
		}
	}
	return 0, false
}
