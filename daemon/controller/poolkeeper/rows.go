package poolkeeper

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/lease"
	"github.com/carobwharf/carobwharf/rollout"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// Values of rows: JSON with the field names as keys, without versions.
type (
	absenceValue struct{ Absent []structs.Absence }
	leaseValue   struct {
		Holder   string
		Token    uint64
		Duration time.Duration
	}
)

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("poolkeeper: encode %T: %v", v, err)) // plain structs always encode
	}
	return b
}

// ops returns the operations of the change's transaction.
func (c Change) ops() []store.Op {
	var out []store.Op
	add := func(key string, version uint64, v any) {
		kind := store.OpUpdate
		if version == 0 {
			kind = store.OpInsert
		}
		out = append(out, store.Op{Kind: kind, Key: key, Expect: version, Value: encode(v)})
	}
	for _, o := range c.Owners {
		add(store.KeyVM(o.VM), o.Version, o)
	}
	if r := c.Absence; r != nil {
		add(store.KeyAbsence(r.Pool), r.Version, absenceValue{r.Absences})
	}
	if r := c.Lease; r != nil {
		add(store.KeyLease(r.Pool), r.Version, leaseValue{r.Record.Holder, r.Record.Token, r.Record.Duration})
	}
	if r := c.Plan; r != nil {
		add(store.KeyPlan(r.Progress.Plan), r.Version, r.Progress)
	}
	return out
}

// readRows reads what the machine decides on. The ownership rows come after
// the absence rows; see the package comment.
func readRows(ctx context.Context, t store.Table) (Rows, []error, error) {
	var rows Rows
	var bad []error
	for _, part := range []struct {
		prefix string
		decode func(store.Row) error
	}{
		{store.PrefixLease, rows.addLease},
		{store.PrefixMember, rows.addMember},
		{store.PrefixPlan, rows.addPlan},
		{store.PrefixPool, rows.addAbsence},
		{store.PrefixVM, rows.addOwner},
	} {
		found, err := store.ScanAll(ctx, t, part.prefix)
		if err != nil {
			return Rows{}, bad, err
		}
		for _, r := range found {
			if err := part.decode(r); err != nil {
				bad = append(bad, fmt.Errorf("row %s: %w", r.Key, err))
			}
		}
	}
	return rows, bad, nil
}

func (r *Rows) addLease(row store.Row) error {
	var v leaseValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return err
	}
	r.Leases = append(r.Leases, LeaseRow{
		Pool: strings.TrimPrefix(row.Key, store.PrefixLease), Version: row.Version,
		Record: lease.Record{Holder: v.Holder, Token: v.Token, Duration: v.Duration},
	})
	return nil
}

func (r *Rows) addMember(row store.Row) error {
	var v structs.Member
	if err := json.Unmarshal(row.Value, &v); err != nil {
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
		return nil // another kind of row of the pool
	}
	var v absenceValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return err
	}
	r.Absences = append(r.Absences, AbsenceRow{Pool: pool, Version: row.Version, Absences: v.Absent})
	return nil
}

func (r *Rows) addOwner(row store.Row) error {
	var v structs.Owner
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return err
	}
	v.Version = row.Version
	r.Owners = append(r.Owners, v)
	return nil
}
