package journal

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/intent"
	"github.com/carobwharf/carobwharf/internal/memstore"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

var options = Options{Batch: 64, Linger: 2 * time.Millisecond, Workers: 4, Inline: 8, MaxBacklog: 100, MaxBytes: 1000}

// rig runs a Machine against a store in simulated time.
type rig struct {
	t       *testing.T
	m       *Machine
	store   *memstore.Store
	now     time.Time
	vm      uint64 // version of the VM's row
	replies map[uint64]Reply
	ref     uint64
	held    []*Task // calls on their way to the platform, by a frozen process
	freeze  bool
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, m: NewMachine(options), store: memstore.New(), replies: map[uint64]Reply{}}
	r.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v, err := r.store.Commit(context.Background(), []store.Op{{Kind: store.OpInsert, Key: store.KeyVM("vm1")}})
	require.NoError(t, err)
	r.vm = v[0]
	return r
}

// peer returns another gateway at the same platform.
func (r *rig) peer() *rig {
	p := *r
	p.m, p.replies = NewMachine(options), map[uint64]Reply{}
	return &p
}

func claimOf(owner string) intent.Claim {
	return intent.Claim{Token: owner + ".1", Owner: owner, Process: "g1", BodyHash: "h"}
}

func (r *rig) add(q Request) uint64 {
	r.ref++
	q.Ref, q.Service = r.ref, "s"
	r.m.Add(r.now, q)
	return q.Ref
}

func (r *rig) addClaim(key, owner string) uint64 {
	return r.add(Request{
		Kind: Claim, Key: key, Claim: claimOf(owner), VM: "vm1", VMVersion: r.vm, Deadline: r.now.Add(10 * time.Second),
	})
}

// run goes on for a time, or until nothing is left to do.
func (r *rig) run(d time.Duration) {
	end := r.now.Add(d)
	for {
		tasks := r.m.Next(r.now)
		for _, t := range tasks {
			if r.freeze {
				r.held = append(r.held, t)
				continue
			}
			r.m.Completed(r.now, execute(context.Background(), r.store, t))
		}
		for _, reply := range r.m.Replies() {
			r.replies[reply.Ref] = reply
		}
		if len(tasks) > 0 {
			continue
		}
		next := r.m.NextWake(r.now)
		if next.IsZero() || next.After(end) {
			return
		}
		if next.After(r.now) {
			r.now = next
		}
	}
}

func (r *rig) thaw() {
	r.freeze = false
	for _, t := range r.held {
		r.m.Completed(r.now, execute(context.Background(), r.store, t))
	}
	r.held = nil
	r.run(time.Second)
}

func (r *rig) state(key string) intent.State {
	row, ok := r.store.Row(store.KeyIntent("s", key))
	if !ok {
		return "absent"
	}
	rec, err := decode(row)
	require.NoError(r.t, err)
	return rec.State
}

// once makes the first call with the name fail.
func once(name string, f memstore.Fault) func(memstore.Call) memstore.Fault {
	done := false
	return func(c memstore.Call) memstore.Fault {
		if done || c.Name != name {
			return memstore.None
		}
		done = true
		return f
	}
}

// Guards against a request that is refused, or run a second time under
// another record, because the answer to its insert was lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.LostAnswer, memstore.LostCall} {
		r := newRig(t)
		r.store.SetFault(once("commit", fault))
		a := r.addClaim("k", "a")
		r.run(time.Second)
		require.Equal(t, Granted, r.replies[a].Status, "fault %v", fault)
		require.Equal(t, 2, r.store.Commits(), "the VM's row and one write of the record")
		row, _ := r.store.Row(store.KeyIntent("s", "k"))
		require.Equal(t, row.Version, r.replies[a].Version)
	}
}

// Guards against one used key that fails the whole transaction, and against
// two grants for one key.
func TestConflictHitsOnlyItsOwnRow(t *testing.T) {
	r := newRig(t)
	r.addClaim("k3", "other")
	r.run(time.Second)
	var refs []uint64
	for i := range 5 {
		refs = append(refs, r.addClaim(fmt.Sprintf("k%d", i), fmt.Sprintf("o%d", i)))
	}
	twins := []uint64{r.addClaim("k5", "twin1"), r.addClaim("k5", "twin2")}
	r.run(time.Second)
	for i, ref := range refs {
		want := Granted
		if i == 3 {
			want = InProgress
		}
		require.Equal(t, want, r.replies[ref].Status, "k%d", i)
	}
	require.ElementsMatch(t, []Status{Granted, InProgress},
		[]Status{r.replies[twins[0]].Status, r.replies[twins[1]].Status})
}

// Guards against work for a VM whose row has changed since the gateway read
// it; claims for other VMs in the transaction must not suffer.
func TestStaleVM(t *testing.T) {
	r := newRig(t)
	v, err := r.store.Commit(context.Background(), []store.Op{
		{Kind: store.OpInsert, Key: store.KeyVM("vm2")}, {Kind: store.OpPut, Key: store.KeyVM("vm1")},
	})
	require.NoError(t, err)
	stale := r.addClaim("k1", "a")
	fresh := r.add(Request{
		Kind: Claim, Key: "k2", Claim: claimOf("b"), VM: "vm2", VMVersion: v[0], Deadline: r.now.Add(time.Second),
	})
	r.run(time.Second)
	require.Equal(t, StaleVM, r.replies[stale].Status)
	require.Equal(t, intent.State("absent"), r.state("k1"))
	require.Equal(t, Granted, r.replies[fresh].Status)
}

// Guards against claims that hold endpoint slots for the whole of an outage,
// and against a journal that does not notice its end.
func TestOutageRefusesClaimsAndEnds(t *testing.T) {
	r := newRig(t)
	calls := 0
	r.store.SetFault(func(memstore.Call) memstore.Fault { calls++; return memstore.Down })
	var refs []uint64
	for i := range 50 {
		refs = append(refs, r.addClaim(fmt.Sprintf("k%d", i), "a"))
		r.run(100 * time.Millisecond)
		r.now = r.now.Add(100 * time.Millisecond)
		require.LessOrEqual(t, len(refs)-len(r.replies), 1, "only the claim that tries the platform waits")
	}
	r.run(3 * time.Second)
	for _, ref := range refs {
		require.Equal(t, Unavailable, r.replies[ref].Status)
		require.False(t, r.replies[ref].MayExist)
	}
	require.Less(t, calls, 30, "each claim of an outage called the platform")
	r.store.SetFault(nil)
	again := r.addClaim("k", "b")
	r.run(5 * time.Second)
	require.Equal(t, Granted, r.replies[again].Status)
}

// Guards against a lost insert that is reported as never made: its record must
// be abandoned later, or the key is blocked.
func TestUnsureClaimIsReportedAndSurrendered(t *testing.T) {
	r := newRig(t)
	down := false
	r.store.SetFault(func(c memstore.Call) memstore.Fault {
		if c.Name == "commit" && !down {
			down = true
			return memstore.LostAnswer
		}
		if down {
			return memstore.Down
		}
		return memstore.None
	})
	a := r.addClaim("k", "a")
	r.run(time.Second)
	require.Equal(t, Unavailable, r.replies[a].Status)
	require.True(t, r.replies[a].MayExist)
	r.add(Request{Kind: Surrender, Key: "k", Claim: claimOf("a")})
	r.run(time.Second)
	require.Equal(t, intent.Started, r.state("k"))
	r.store.SetFault(nil)
	r.run(5 * time.Second)
	require.Equal(t, intent.Abandoned, r.state("k"))
	b := r.peer().addClaimAndRun("k", "b")
	require.Equal(t, Granted, b.Status, "an abandoned key is free")
}

func (r *rig) addClaimAndRun(key, owner string) Reply {
	ref := r.addClaim(key, owner)
	r.run(time.Second)
	return r.replies[ref]
}

// Guards against the late insert of a process that was paused: it must lose to
// the record, or the tombstone, that was written meanwhile.
func TestFrozenHolderLoses(t *testing.T) {
	for _, tombstone := range []bool{false, true} {
		r := newRig(t)
		r.freeze = true
		a := r.addClaim("k", "a")
		r.run(time.Second)
		require.Len(t, r.held, 1)
		if tombstone {
			other := r.peer()
			other.freeze = false
			other.add(Request{Kind: Surrender, Key: "k", Claim: claimOf("c")})
			other.run(time.Second)
			require.Equal(t, intent.Abandoned, r.state("k"))
		}
		other := r.peer()
		other.freeze = false
		require.Equal(t, Granted, other.addClaimAndRun("k", "b").Status)
		r.thaw()
		require.Equal(t, InProgress, r.replies[a].Status)
	}
}

// Guards against a claim that is still on its way when its owner gives up and
// that then takes over the owner's own tombstone, which blocks the key.
func TestClaimDoesNotTakeOverItsOwnTombstone(t *testing.T) {
	r := newRig(t)
	r.freeze = true
	a := r.addClaim("k", "a")
	r.run(time.Second)
	other := r.peer()
	other.freeze = false
	other.add(Request{Kind: Surrender, Key: "k", Claim: claimOf("a")})
	other.run(time.Second)
	r.thaw()
	require.Equal(t, InProgress, r.replies[a].Status)
	require.Equal(t, intent.Abandoned, r.state("k"))
}

// Guards against a surrender that abandons a record of another request, which
// may be running.
func TestSurrenderLeavesRecordsOfOthers(t *testing.T) {
	r := newRig(t)
	r.addClaimAndRun("k", "a")
	r.add(Request{Kind: Surrender, Key: "k", Claim: claimOf("b")})
	r.run(time.Second)
	require.Equal(t, intent.Started, r.state("k"))
}

// Guards against answers that are lost or differ when a key is used again, for
// inline answers and for those in the object store, with lost answers of the
// platform on the way.
func TestFinishedAnswerIsReplayed(t *testing.T) {
	for _, body := range []string{"short", strings.Repeat("long", 10)} {
		for _, fault := range []memstore.Fault{memstore.None, memstore.LostAnswer, memstore.LostCall, memstore.Down} {
			r := newRig(t)
			granted := r.addClaimAndRun("k", "a")
			r.store.SetFault(once("commit", fault))
			finish := r.add(Request{
				Kind: Finish, Key: "k", Claim: claimOf("a"), Version: granted.Version,
				Answer: structs.Answer{Status: 201, ContentType: "text/plain", Body: []byte(body)},
			})
			r.run(3 * time.Second)
			require.Equal(t, Done, r.replies[finish].Status)
			again := r.addClaimAndRun("k", "b")
			require.Equal(t, Replay, again.Status)
			require.Equal(t, structs.Answer{Status: 201, ContentType: "text/plain", Body: []byte(body)}, again.Answer)
		}
	}
}

// Guards against a reused key that gets the answer to another request.
func TestReusedKey(t *testing.T) {
	r := newRig(t)
	r.addClaimAndRun("k", "a")
	c := claimOf("b")
	c.BodyHash = "other"
	ref := r.add(Request{Kind: Claim, Key: "k", Claim: c, VM: "vm1", VMVersion: r.vm, Deadline: r.now.Add(time.Second)})
	r.run(time.Second)
	require.Equal(t, KeyReused, r.replies[ref].Status)
}

// Guards against memory that grows for as long as the platform is down, and
// against answers within the bound that are lost.
func TestOutageHoldsABoundedNumberOfAnswers(t *testing.T) {
	r := newRig(t)
	var versions []uint64
	for i := range 150 {
		versions = append(versions, r.addClaimAndRun(fmt.Sprintf("k%d", i), "a").Version)
	}
	r.store.SetFault(func(memstore.Call) memstore.Fault { return memstore.Down })
	for i, v := range versions {
		r.add(Request{Kind: Finish, Key: fmt.Sprintf("k%d", i), Claim: claimOf("a"), Version: v})
		r.run(time.Millisecond)
	}
	r.run(time.Minute)
	require.Equal(t, options.MaxBacklog, r.m.Pending())
	r.store.SetFault(nil)
	r.run(time.Minute)
	require.Zero(t, r.m.Pending())
	require.Equal(t, intent.Finished, r.state("k0"))
	require.Equal(t, intent.Finished, r.state("k99"))
	require.Equal(t, intent.Started, r.state("k149"))
}

// Guards against a rate of writes that the platform does not sustain.
func TestRowsShareTransactions(t *testing.T) {
	r := newRig(t)
	before := r.store.Commits()
	for i := range 256 {
		r.addClaim(fmt.Sprintf("k%d", i), "a")
	}
	r.run(time.Second)
	require.Equal(t, 256/options.Batch, r.store.Commits()-before)
}

// Guards against answers that are lost by a graceful stop of the duty.
func TestStopStoresWhatIsLeft(t *testing.T) {
	r := newRig(t)
	granted := r.addClaimAndRun("k", "a")
	replies := make(chan Reply, 1)
	j := New(Config{
		Options: options, Platform: r.store, Timeout: time.Second, Flush: 10 * time.Second, Ring: 8,
		Reply: func(r Reply) { replies <- r }, Log: hclog.NewNullLogger(),
	})
	r.store.SetFault(once("commit", memstore.Down))
	require.NoError(t, j.Requests().Put(context.Background(), Request{
		Kind: Finish, Service: "s", Key: "k", Claim: claimOf("a"), Version: granted.Version,
	}))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, j.Run(ctx))
	require.Equal(t, intent.Finished, r.state("k"))
}
