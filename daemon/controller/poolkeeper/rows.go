package poolkeeper

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/node/fleetrows"
	"github.com/carobwharf/carobwharf/rollout"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// opList collects the operations of a transaction and the first encoding error.
type opList struct {
	ops []store.Op
	err error
}

func (l *opList) add(key string, version uint64, value []byte, err error) {
	if err != nil && l.err == nil {
		l.err = fmt.Errorf("row %s: %w", key, err)
	}
	kind := store.OpUpdate
	if version == 0 {
		kind = store.OpInsert
	}
	l.ops = append(l.ops, store.Op{Kind: kind, Key: key, Expect: version, Value: value})
}

// ops returns the conditional writes of the change's rows.
func (c Change) ops() ([]store.Op, error) {
	var l opList
	for _, o := range c.Owners {
		value, err := rows.EncodeOwner(o)
		l.add(store.KeyVM(o.VM), o.Version, value, err)
	}
	if r := c.Absence; r != nil {
		value, err := rows.EncodeAbsences(rows.Absences{Absent: r.Absences})
		l.add(store.KeyAbsence(r.Pool), r.Version, value, err)
	}
	if r := c.Lease; r != nil {
		value, err := rows.EncodeLease(rows.Lease(r.Record))
		l.add(store.KeyLease(r.Pool), r.Version, value, err)
	}
	if r := c.Plan; r != nil {
		value, err := json.Marshal(r.Progress)
		l.add(store.KeyPlan(r.Progress.Plan), r.Version, value, err)
	}
	return l.ops, l.err
}

// marks returns the operations that mark the ownership rows as changed for
// readers of the fleet; see store.MarkVMs.
func (c Change) marks() []store.Op {
	vms := make([]string, len(c.Owners))
	for i, o := range c.Owners {
		vms[i] = o.VM
	}
	return store.MarkVMs(vms...)
}

// readRows reads the rows that the machine needs. The ownership rows are read
// after the absence rows; see the package comment. Rows that cannot be decoded
// are left out, and their errors are returned in rowErrs.
func readRows(ctx context.Context, t store.Table, fleet *fleetrows.Reader) (out Rows, rowErrs []error, err error) {
	for _, part := range []struct {
		prefix string
		decode func(store.Row) error
	}{
		{store.PrefixLease, out.addLease},
		{store.PrefixMember, out.addMember},
		{store.PrefixPlan, out.addPlan},
		{store.PrefixPool, out.addAbsence},
	} {
		found, err := store.ScanAll(ctx, t, part.prefix)
		if err != nil {
			return Rows{}, rowErrs, err
		}
		for _, r := range found {
			if err := part.decode(r); err != nil {
				rowErrs = append(rowErrs, fmt.Errorf("row %s: %w", r.Key, err))
			}
		}
	}
	owners, skipped, changed, err := fleet.Read(ctx)
	if err != nil {
		return Rows{}, rowErrs, fmt.Errorf("read ownership rows: %w", err)
	}
	if changed {
		rowErrs = append(rowErrs, skipped...)
	}
	out.Owners = owners
	return out, rowErrs, nil
}

func (r *Rows) addLease(row store.Row) error {
	v, err := rows.DecodeLease(row.Value)
	if err != nil {
		return err
	}
	pool := strings.TrimPrefix(row.Key, store.PrefixLease)
	r.Leases = append(r.Leases, LeaseRow{Pool: pool, Version: row.Version, Record: lease.Record(v)})
	return nil
}

func (r *Rows) addMember(row store.Row) error {
	v, err := rows.DecodeMember(row.Value)
	if err != nil {
		return err
	}
	r.Members = append(r.Members, MemberRow{Version: row.Version, Member: v})
	return nil
}

func (r *Rows) addPlan(row store.Row) error {
	var v rollout.Progress
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return err
	}
	r.Plans = append(r.Plans, PlanRow{Version: row.Version, Progress: v})
	return nil
}

func (r *Rows) addAbsence(row store.Row) error {
	pool, ok := strings.CutSuffix(strings.TrimPrefix(row.Key, store.PrefixPool), "/absence")
	if !ok {
		return nil // a row of another kind under the same prefix
	}
	v, err := rows.DecodeAbsences(row.Value)
	if err != nil {
		return err
	}
	r.Absences = append(r.Absences, AbsenceRow{Pool: pool, Version: row.Version, Absences: v.Absent})
	return nil
}
