package holder

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// table is a table of rows with faults.
type table struct {
	rows    map[string]store.Row
	version uint64
	lose    bool // transactions take effect and are not answered
	refuse  bool
}

func newTable() *table { return &table{rows: map[string]store.Row{}} }

func (t *table) Get(_ context.Context, key string) (store.Row, error) {
	return t.rows[key], nil
}

func (t *table) Scan(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }

func (t *table) Commit(_ context.Context, ops []store.Op) ([]uint64, error) {
	if t.refuse {
		return nil, store.ErrUnavailable
	}
	conflict := &store.ConflictError{}
	for _, op := range ops {
		if op.Kind == store.OpPut {
			continue
		}
		conflict.Rows = append(conflict.Rows, t.rows[op.Key])
		if t.rows[op.Key].Version != op.Expect {
			conflict.Keys = append(conflict.Keys, op.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return nil, conflict
	}
	t.version++
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		if op.Kind != store.OpCheck {
			t.rows[op.Key] = store.Row{Key: op.Key, Version: t.version, Value: op.Value}
			versions[i] = t.version
		}
	}
	if t.lose {
		return nil, store.ErrUnknown
	}
	return versions, nil
}

// view returns what a process sees of the lease row after it has been silent.
func (t *table) view(now time.Time, silent time.Duration) *board.View {
	v := &board.View{Leases: map[string]board.Lease{}, LeasesRead: now}
	if r, ok := t.rows[store.KeyControl("p")]; ok {
		c, err := rows.DecodeControl(r.Value)
		if err != nil {
			panic(err)
		}
		v.Leases["p"] = board.Lease{Control: c, Version: r.Version, Since: now.Add(-silent)}
	}
	return v
}

var start = time.Unix(1000, 0)

func claim(t *testing.T, h *Holder, tab *table, now time.Time, silent time.Duration) Event {
	v := tab.view(now, silent)
	h.ClaimDue(now, v, 0)
	later := now.Add(time.Second)
	v.LeasesRead = later
	require.True(t, h.ClaimDue(later, v, 0))
	return h.Take(later, Commit(context.Background(), tab, h.Claim(later, v)))
}

// Two processes that claim one lease must not both hold it.
func TestOneOfTwoClaimsWins(t *testing.T) {
	tab := newTable()
	a, b := New("p", "a", 1, hclog.NewNullLogger()), New("p", "b", 1, hclog.NewNullLogger())
	v := tab.view(start, 0)
	wa, wb := a.Claim(start, v), b.Claim(start, v)
	require.Equal(t, Acquired, a.Take(start, Commit(context.Background(), tab, wa)))
	require.Equal(t, NotWon, b.Take(start, Commit(context.Background(), tab, wb)))
	require.True(t, a.Valid(start))
	require.False(t, b.Valid(start))
}

// A lease that is renewed is left alone; one that is silent for its duration
// is taken, with a higher token, and the former holder's writes fail.
func TestSilentLeaseIsTaken(t *testing.T) {
	tab := newTable()
	a, b := New("p", "a", 1, hclog.NewNullLogger()), New("p", "b", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claim(t, a, tab, start, 0))
	now := start.Add(3 * time.Second)
	require.False(t, b.ClaimDue(now, tab.view(now, leaseTime/2), 0))
	require.Equal(t, Acquired, claim(t, b, tab, now, leaseTime))
	require.Equal(t, a.Control.Token+1, b.Control.Token)
	late := Commit(context.Background(), tab, a.Append(now, nil))
	require.Equal(t, Lost, a.Take(now, late))
}

// A write that took effect without an answer must not cost the lease, and must
// not be taken for stored before that is known.
func TestWriteWithoutAnswerIsSettled(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claim(t, h, tab, start, 0))
	now := start.Add(1500 * time.Millisecond)
	for _, write := range []func() Write{
		func() Write { return h.Append(now, nil) },
		func() Write { return h.Renew(now, h.Control, false) },
	} {
		tab.lose = true
		require.Equal(t, NotStored, h.Take(now, Commit(context.Background(), tab, write())))
		tab.lose = false
		require.Equal(t, NotStored, h.Take(now, Commit(context.Background(), tab, write())), "the row shows the first write")
		require.Equal(t, Stored, h.Take(now, Commit(context.Background(), tab, write())))
	}
}

// A transaction that takes effect late must not overwrite a later one.
func TestLateWriteFails(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claim(t, h, tab, start, 0))
	late := h.Append(start, []store.Op{{Kind: store.OpPut, Key: "progress/p/j", Value: []byte("old")}})
	next := h.Append(start, []store.Op{{Kind: store.OpPut, Key: "progress/p/j", Value: []byte("new")}})
	require.Equal(t, Stored, h.Take(start, Commit(context.Background(), tab, next)))
	require.Error(t, Commit(context.Background(), tab, late).err)
	require.Equal(t, "new", string(tab.rows["progress/p/j"].Value))
}

// An outage of the store ended the orders of an owner that nobody could follow.
func TestHolderGoesOnForABoundedTime(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claim(t, h, tab, start, 0))
	tab.refuse = true
	now := start.Add(4 * time.Second)
	require.Equal(t, NotStored, h.Take(now, Commit(context.Background(), tab, h.Renew(now, h.Control, false))))
	require.False(t, h.Valid(now))
	require.True(t, h.ValidWithin(now, 5*time.Second))
	require.False(t, h.ValidWithin(now.Add(4*time.Second), 5*time.Second))
}

// A process that was restarted takes its own lease back at once.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	tab := newTable()
	require.Equal(t, Acquired, claim(t, New("p", "a", 1, hclog.NewNullLogger()), tab, start, 0))
	again := New("p", "a", 1, hclog.NewNullLogger())
	require.True(t, again.ClaimDue(start, tab.view(start, 0), 0))
}

// A weak VM that took a busy pool over could not carry its orders.
func TestWeakVMLeavesLeasesToStrongOnes(t *testing.T) {
	tab := newTable()
	strong := New("p", "a", 0.8, hclog.NewNullLogger())
	require.Equal(t, Acquired, claim(t, strong, tab, start, 0))
	silent := leaseTime + claimSpread
	v := tab.view(start, silent)
	require.False(t, New("p", "weak", 0.2, hclog.NewNullLogger()).ClaimDue(start, v, 0))
	require.True(t, New("p", "equal", 0.8, hclog.NewNullLogger()).ClaimDue(start, v, 0))
	v = tab.view(start, silent+3*weakness)
	require.True(t, New("p", "weak", 0.2, hclog.NewNullLogger()).ClaimDue(start, v, 0))
}

// After a loss of power of all VMs a weak one took the lease that it had back at
// once, and could not carry the pool. Nor may it be the first to claim one.
func TestWeakVMLeavesItsFormerLease(t *testing.T) {
	tab := newTable()
	weak, strong := New("p", "weak", 0.2, hclog.NewNullLogger()), New("p", "strong", 0.8, hclog.NewNullLogger())
	first := func(h *Holder) bool {
		v := tab.view(start, 0)
		h.ClaimDue(start, v, 0)
		return h.ClaimDue(start.Add(firstWait+claimSpread+weakness), v, 0)
	}
	require.False(t, first(weak))
	require.True(t, first(strong))

	require.Equal(t, Acquired, claim(t, strong, tab, start, 0))
	row := tab.rows[store.KeyControl("p")]
	c, err := rows.DecodeControl(row.Value)
	require.NoError(t, err)
	c.Holder = "weak" // as its earlier process wrote it; the share is that of another lease
	row.Value, err = rows.EncodeControl(c)
	require.NoError(t, err)
	tab.rows[row.Key] = row
	now := start.Add(10 * time.Second)
	require.False(t, New("p", "weak", 0.2, hclog.NewNullLogger()).ClaimDue(now, tab.view(now, leaseTime+claimSpread), 0))
	require.True(t, New("p", "strong", 0.8, hclog.NewNullLogger()).ClaimDue(now, tab.view(now, leaseTime+claimSpread), 0))
}
