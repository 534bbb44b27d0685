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

// fakeTable is a store.Table in memory with switchable faults.
type fakeTable struct {
	rows        map[string]store.Row
	version     uint64
	loseAnswers bool // transactions take effect and return ErrUnknown
	unavailable bool
}

func newTable() *fakeTable { return &fakeTable{rows: map[string]store.Row{}} }

func (t *fakeTable) Get(_ context.Context, key string) (store.Row, error) {
	return t.rows[key], nil
}

func (t *fakeTable) Scan(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }

func (t *fakeTable) Commit(_ context.Context, ops []store.Op) ([]uint64, error) {
	if t.unavailable {
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
	if t.loseAnswers {
		return nil, store.ErrUnknown
	}
	return versions, nil
}

// view returns the view of a process that has seen the lease row unchanged for
// some time.
func (t *fakeTable) view(now time.Time, unchanged time.Duration) *board.View {
	v := &board.View{Leases: map[string]board.Lease{}, LeasesReadAt: now}
	if r, ok := t.rows[store.KeyControl("p")]; ok {
		c, err := rows.DecodeControl(r.Value)
		if err != nil {
			panic(err)
		}
		v.Leases["p"] = board.Lease{Control: c, Version: r.Version, Since: now.Add(-unchanged)}
	}
	return v
}

var start = time.Unix(1000, 0)

func claimLease(t *testing.T, h *Holder, tab *fakeTable, now time.Time, unchanged time.Duration) Event {
	v := tab.view(now, unchanged)
	h.ClaimDue(now, v, 0)
	later := now.Add(time.Second)
	v.LeasesReadAt = later
	require.True(t, h.ClaimDue(later, v, 0))
	return h.HandleResult(later, Commit(context.Background(), tab, h.Claim(later, v)))
}

// If two processes claim a lease at the same time, only one may hold it.
func TestOneOfTwoClaimsWins(t *testing.T) {
	tab := newTable()
	a, b := New("p", "a", 1, hclog.NewNullLogger()), New("p", "b", 1, hclog.NewNullLogger())
	v := tab.view(start, 0)
	wa, wb := a.Claim(start, v), b.Claim(start, v)
	require.Equal(t, Acquired, a.HandleResult(start, Commit(context.Background(), tab, wa)))
	require.Equal(t, ClaimFailed, b.HandleResult(start, Commit(context.Background(), tab, wb)))
	require.True(t, a.Valid(start))
	require.False(t, b.Valid(start))
}

// If the answer to a release was lost, the former holder counted as such for up to a
// second beside the next one, and both started the same new jobs.
func TestLeaseEndsWithItsRelease(t *testing.T) {
	tab := newTable()
	a, b := New("p", "a", 1, hclog.NewNullLogger()), New("p", "b", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, a, tab, start, 0))
	now := start.Add(time.Second)
	require.True(t, a.Valid(now))
	release := a.Renew(now, a.Control, true)
	tab.loseAnswers = true
	unknown := Commit(context.Background(), tab, release)
	tab.loseAnswers = false
	require.False(t, a.Valid(now))
	require.False(t, a.ValidWithin(now, time.Second))
	require.Equal(t, Acquired, claimLease(t, b, tab, now, 0))
	require.Equal(t, NotStored, a.HandleResult(now, unknown))
	require.False(t, a.Valid(now))
	require.Equal(t, Lost, a.HandleResult(now, Commit(context.Background(), tab, a.Renew(now, a.Control, true))))
}

// A lease must not be claimed before it has been unchanged for its duration. After
// that it is taken with a higher token, and writes of the former holder fail.
func TestExpiredLeaseIsTaken(t *testing.T) {
	tab := newTable()
	a, b := New("p", "a", 1, hclog.NewNullLogger()), New("p", "b", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, a, tab, start, 0))
	now := start.Add(3 * time.Second)
	require.False(t, b.ClaimDue(now, tab.view(now, leaseDuration/2), 0))
	require.Equal(t, Acquired, claimLease(t, b, tab, now, leaseDuration))
	require.Equal(t, a.Control.Token+1, b.Control.Token)
	late := Commit(context.Background(), tab, a.Append(now, nil))
	require.Equal(t, Lost, a.HandleResult(now, late))
}

// A write that took effect but was not answered must not lose the lease, and must
// not be reported as stored. The conflict of the next write shows the actual rows.
func TestWriteWithoutAnswerIsResolved(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, h, tab, start, 0))
	now := start.Add(1500 * time.Millisecond)
	for _, write := range []func() Write{
		func() Write { return h.Append(now, nil) },
		func() Write { return h.Renew(now, h.Control, false) },
	} {
		tab.loseAnswers = true
		require.Equal(t, NotStored, h.HandleResult(now, Commit(context.Background(), tab, write())))
		tab.loseAnswers = false
		require.Equal(t, NotStored, h.HandleResult(now, Commit(context.Background(), tab, write())), "the conflict shows the first write")
		require.Equal(t, Stored, h.HandleResult(now, Commit(context.Background(), tab, write())))
	}
}

// A transaction that is executed late must fail, or it would overwrite a later one.
func TestLateWriteFails(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, h, tab, start, 0))
	late := h.Append(start, []store.Op{{Kind: store.OpPut, Key: "progress/p/j", Value: []byte("old")}})
	next := h.Append(start, []store.Op{{Kind: store.OpPut, Key: "progress/p/j", Value: []byte("new")}})
	require.Equal(t, Stored, h.HandleResult(start, Commit(context.Background(), tab, next)))
	require.Error(t, Commit(context.Background(), tab, late).err)
	require.Equal(t, "new", string(tab.rows["progress/p/j"].Value))
}

// A renewal that was executed late, after a write of newer progress, replaced that
// progress by older, and the next owner ran tasks again whose ends had been
// acknowledged.
func TestLateRenewalDoesNotOverwriteNewerProgress(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, h, tab, start, 0))
	late := h.Renew(start, h.Control, false)
	late.ExtraOps = []store.Op{{Kind: store.OpPut, Key: "progress/p/j", Value: []byte("old")}}
	require.Equal(t, NotStored, h.HandleResult(start, Result{write: late, err: store.ErrUnknown}))
	next := h.Append(start, []store.Op{{Kind: store.OpPut, Key: "progress/p/j", Value: []byte("new")}})
	require.Equal(t, Stored, h.HandleResult(start, Commit(context.Background(), tab, next)))
	require.Error(t, Commit(context.Background(), tab, late).err)
	require.Equal(t, "new", string(tab.rows["progress/p/j"].Value))
}

// Guards against an owner that stops its work in an outage of the store, in which
// no other process could take over. It may continue for a limited time.
func TestValidWithinIsBounded(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, h, tab, start, 0))
	tab.unavailable = true
	now := start.Add(4 * time.Second)
	require.Equal(t, NotStored, h.HandleResult(now, Commit(context.Background(), tab, h.Renew(now, h.Control, false))))
	require.False(t, h.Valid(now))
	require.True(t, h.ValidWithin(now, 5*time.Second))
	require.False(t, h.ValidWithin(now.Add(4*time.Second), 5*time.Second))
}

// A restarted process must reclaim its own lease without delay.
func TestRestartedHolderClaimsAtOnce(t *testing.T) {
	tab := newTable()
	require.Equal(t, Acquired, claimLease(t, New("p", "a", 1, hclog.NewNullLogger()), tab, start, 0))
	again := New("p", "a", 1, hclog.NewNullLogger())
	require.True(t, again.ClaimDue(start, tab.view(start, 0), 0))
}

// A weak VM must leave an expired lease to stronger VMs for some time, since it has
// too little CPU time to run a busy pool.
func TestWeakVMDelaysItsClaim(t *testing.T) {
	tab := newTable()
	strong := New("p", "a", 0.8, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, strong, tab, start, 0))
	unchanged := leaseDuration + maxClaimJitter
	v := tab.view(start, unchanged)
	require.False(t, New("p", "weak", 0.2, hclog.NewNullLogger()).ClaimDue(start, v, 0))
	require.True(t, New("p", "equal", 0.8, hclog.NewNullLogger()).ClaimDue(start, v, 0))
	v = tab.view(start, unchanged+3*weakVMDelay)
	require.True(t, New("p", "weak", 0.2, hclog.NewNullLogger()).ClaimDue(start, v, 0))
}

// After a power loss of all VMs, a weak VM must not reclaim its former lease
// without delay, since it has too little CPU time to run the pool. It must not be
// the first to claim a new lease either.
func TestWeakVMDoesNotReclaimItsFormerLease(t *testing.T) {
	tab := newTable()
	weak, strong := New("p", "weak", 0.2, hclog.NewNullLogger()), New("p", "strong", 0.8, hclog.NewNullLogger())
	claimsNewLease := func(h *Holder) bool {
		v := tab.view(start, 0)
		h.ClaimDue(start, v, 0)
		return h.ClaimDue(start.Add(initialClaimDelay+maxClaimJitter+weakVMDelay), v, 0)
	}
	require.False(t, claimsNewLease(weak))
	require.True(t, claimsNewLease(strong))

	require.Equal(t, Acquired, claimLease(t, strong, tab, start, 0))
	row := tab.rows[store.KeyControl("p")]
	c, err := rows.DecodeControl(row.Value)
	require.NoError(t, err)
	c.Holder = "weak" // as its earlier process wrote it; the share stands for that of another lease's holder
	row.Value, err = rows.EncodeControl(c)
	require.NoError(t, err)
	tab.rows[row.Key] = row
	now := start.Add(10 * time.Second)
	require.False(t, New("p", "weak", 0.2, hclog.NewNullLogger()).ClaimDue(now, tab.view(now, leaseDuration+maxClaimJitter), 0))
	require.True(t, New("p", "strong", 0.8, hclog.NewNullLogger()).ClaimDue(now, tab.view(now, leaseDuration+maxClaimJitter), 0))
}

// Guards against an owner that loses its lease because the answers of two renewals in
// a row are lost.
func TestLostAnswersOfRenewalsLeaveTimeForAnother(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, h, tab, start, 0))
	first := h.RenewAt(0)
	lost := func(sent time.Time) {
		w := h.Renew(sent, h.Control, false)
		require.Equal(t, leaseDuration, w.Control.Record().Duration, "a missing answer does not make the store slow")
		require.Equal(t, NotStored, h.HandleResult(sent.Add(w.timeout), Result{write: w, err: store.ErrUnknown}))
	}
	lost(first)
	second := h.RenewAt(0)
	require.True(t, h.Valid(second.Add(100*time.Millisecond)), "the second write at %s is answered before the lease ends", second.Sub(start))
	lost(second)
	third := h.RenewAt(0)
	require.Less(t, third.Sub(first), leaseDuration-100*time.Millisecond, "others may claim the lease a lease time after the last renewal")
	w := h.Renew(third, h.Control, false)
	require.Equal(t, slowWriteTimeout, w.timeout)
	require.Equal(t, Stored, h.HandleResult(third, Commit(context.Background(), tab, w)))
}

// Guards against an owner that does not count a renewal that took effect without
// an answer.
func TestRenewalWithoutAnswerExtendsTheLease(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, h, tab, start, 0))
	sent := start.Add(1300 * time.Millisecond)
	w := h.Renew(sent, h.Control, false)
	tab.loseAnswers = true
	require.Equal(t, NotStored, h.HandleResult(sent.Add(w.timeout), Commit(context.Background(), tab, w)))
	tab.loseAnswers = false
	retry := h.RenewAt(0)
	require.Equal(t, NotStored, h.HandleResult(retry, Commit(context.Background(), tab, h.Renew(retry, h.Control, false))))
	require.True(t, h.Valid(sent.Add(leaseDuration*3/4)))
	require.False(t, h.Valid(sent.Add(leaseDuration)), "the lease counts from the write that took effect")
	require.False(t, h.RenewAt(0).After(retry), "the next renewal does not wait")
}

// Guards against a lease that counts from the repetition of a claim although the
// first claim took effect, from which other processes count.
func TestLeaseCountsFromTheClaimThatTookEffect(t *testing.T) {
	tab := newTable()
	require.Equal(t, Acquired, claimLease(t, New("p", "b", 1, hclog.NewNullLogger()), tab, start, 0))
	h := New("p", "a", 1, hclog.NewNullLogger())
	now := start.Add(10 * time.Second)
	v := tab.view(now, 2*leaseDuration)
	require.True(t, h.ClaimDue(now, v, 0))
	w := h.Claim(now, v)
	tab.loseAnswers = true
	require.Equal(t, ClaimFailed, h.HandleResult(now.Add(w.timeout), Commit(context.Background(), tab, w)))
	tab.loseAnswers = false
	again := now.Add(w.timeout + claimRetryDelay)
	require.True(t, h.ClaimDue(again, v, 0), "the view does not show the first claim yet")
	require.Equal(t, Acquired, h.HandleResult(again, Commit(context.Background(), tab, h.Claim(again, v))))
	require.True(t, h.Valid(again))
	require.False(t, h.Valid(now.Add(leaseDuration)), "others may claim the lease")
	require.False(t, h.RenewAt(0).After(again), "little of the lease is left")
}

// A renewal that took effect when it was repeated was counted from its first write
// after the next missing answer, so that the lease seemed to end.
func TestMissingAnswerDoesNotShortenTheLease(t *testing.T) {
	tab := newTable()
	h := New("p", "a", 1, hclog.NewNullLogger())
	require.Equal(t, Acquired, claimLease(t, h, tab, start, 0))
	first := start.Add(1300 * time.Millisecond)
	tab.unavailable = true
	require.Equal(t, NotStored, h.HandleResult(first, Commit(context.Background(), tab, h.Renew(first, h.Control, false))))
	tab.unavailable = false
	repeated := first.Add(renewInterval)
	require.Equal(t, Stored, h.HandleResult(repeated, Commit(context.Background(), tab, h.Renew(repeated, h.Control, false))))
	valid := repeated.Add(leaseDuration * 3 / 4)
	require.True(t, h.Valid(valid))
	tab.loseAnswers = true
	require.Equal(t, NotStored, h.HandleResult(repeated, Commit(context.Background(), tab, h.Append(repeated, nil))))
	tab.loseAnswers = false
	require.Equal(t, NotStored, h.HandleResult(repeated, Commit(context.Background(), tab, h.Append(repeated, nil))))
	require.True(t, h.Valid(valid))
}
