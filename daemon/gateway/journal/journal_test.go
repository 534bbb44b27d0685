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

var options = Options{Batch: 64, Linger: 2 * time.Millisecond, Workers: 4, MaxInlineBytes: 8, MaxBacklog: 100, MaxBytes: 1000}

// harness runs a Machine against an in-memory store in simulated time.
type harness struct {
	t           *testing.T
	m           *Machine
	store       *memstore.Store
	now         time.Time
	vmVersion   uint64 // version of vm1's row
	replies     map[uint64]Reply
	lastRef     uint64
	pausedTasks []*Task // tasks that a paused process has not executed yet
	paused      bool
}

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, m: NewMachine(options), store: memstore.New(), replies: map[uint64]Reply{}}
	r.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v, err := r.store.Commit(context.Background(), []store.Op{{Kind: store.OpInsert, Key: store.KeyVM("vm1")}})
	require.NoError(t, err)
	r.vmVersion = v[0]
	return r
}

// otherGateway returns the harness of another gateway that uses the same store.
func (r *harness) otherGateway() *harness {
	p := *r
	p.m, p.replies = NewMachine(options), map[uint64]Reply{}
	return &p
}

func newClaim(owner string) intent.Claim {
	return intent.Claim{Token: owner + ".1", Owner: owner, Process: "g1", BodyHash: "h"}
}

func (r *harness) add(q Request) uint64 {
	r.lastRef++
	q.Ref, q.Service = r.lastRef, "s"
	r.m.Add(r.now, q)
	return q.Ref
}

func (r *harness) addClaim(key, owner string) uint64 {
	return r.add(Request{
		Kind: Claim, Key: key, Claim: newClaim(owner), VM: "vm1", VMVersion: r.vmVersion, Deadline: r.now.Add(10 * time.Second),
	})
}

// run executes tasks until d has passed or no task and no timer is left.
func (r *harness) run(d time.Duration) {
	end := r.now.Add(d)
	for {
		tasks := r.m.Next(r.now)
		for _, t := range tasks {
			if r.paused {
				r.pausedTasks = append(r.pausedTasks, t)
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

// resume executes the paused tasks.
func (r *harness) resume() {
	r.paused = false
	for _, t := range r.pausedTasks {
		r.m.Completed(r.now, execute(context.Background(), r.store, t))
	}
	r.pausedTasks = nil
	r.run(time.Second)
}

func (r *harness) state(key string) intent.State {
	row, ok := r.store.Row(store.KeyIntent("s", key))
	if !ok {
		return "absent"
	}
	rec, err := decode(row)
	require.NoError(r.t, err)
	return rec.State
}

// failFirst injects the fault into the first call with the given name.
func failFirst(name string, f memstore.Fault) func(memstore.Call) memstore.Fault {
	done := false
	return func(c memstore.Call) memstore.Fault {
		if done || c.Name != name {
			return memstore.None
		}
		done = true
		return f
	}
}

// Guards against a request that is refused, or executed again under another
// record, because the response to the insert of its record was lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.LostAnswer, memstore.LostCall} {
		r := newHarness(t)
		r.store.SetFault(failFirst("commit", fault))
		a := r.addClaim("k", "a")
		r.run(time.Second)
		require.Equal(t, Granted, r.replies[a].Status, "fault %v", fault)
		require.Equal(t, 2, r.store.Commits(), "want one write of the VM's row and one of the record")
		row, _ := r.store.Row(store.KeyIntent("s", "k"))
		require.Equal(t, row.Version, r.replies[a].Version)
	}
}

// Guards against a conflict of one key that fails all rows of the transaction,
// and against two claims granted for one key.
func TestConflictAffectsOnlyItsOwnRow(t *testing.T) {
	r := newHarness(t)
	r.addClaim("k3", "other")
	r.run(time.Second)
	var refs []uint64
	for i := range 5 {
		refs = append(refs, r.addClaim(fmt.Sprintf("k%d", i), fmt.Sprintf("o%d", i)))
	}
	duplicates := []uint64{r.addClaim("k5", "twin1"), r.addClaim("k5", "twin2")}
	r.run(time.Second)
	for i, ref := range refs {
		want := Granted
		if i == 3 {
			want = InProgress
		}
		require.Equal(t, want, r.replies[ref].Status, "k%d", i)
	}
	require.ElementsMatch(t, []Status{Granted, InProgress},
		[]Status{r.replies[duplicates[0]].Status, r.replies[duplicates[1]].Status})
}

// Guards against a claim granted for a VM whose row has changed since the
// gateway read it, and against its effect on claims for other VMs in the same
// transaction.
func TestStaleVM(t *testing.T) {
	r := newHarness(t)
	v, err := r.store.Commit(context.Background(), []store.Op{
		{Kind: store.OpInsert, Key: store.KeyVM("vm2")}, {Kind: store.OpPut, Key: store.KeyVM("vm1")},
	})
	require.NoError(t, err)
	stale := r.addClaim("k1", "a")
	fresh := r.add(Request{
		Kind: Claim, Key: "k2", Claim: newClaim("b"), VM: "vm2", VMVersion: v[0], Deadline: r.now.Add(time.Second),
	})
	r.run(time.Second)
	require.Equal(t, StaleVM, r.replies[stale].Status)
	require.Equal(t, intent.State("absent"), r.state("k1"))
	require.Equal(t, Granted, r.replies[fresh].Status)
}

// Guards against claims that occupy endpoint slots during an outage of the
// platform, and against a journal that does not notice the end of the outage.
func TestClaimsFailFastDuringOutage(t *testing.T) {
	r := newHarness(t)
	calls := 0
	r.store.SetFault(func(memstore.Call) memstore.Fault { calls++; return memstore.Down })
	var refs []uint64
	for i := range 50 {
		refs = append(refs, r.addClaim(fmt.Sprintf("k%d", i), "a"))
		r.run(100 * time.Millisecond)
		r.now = r.now.Add(100 * time.Millisecond)
		require.LessOrEqual(t, len(refs)-len(r.replies), 1, "at most the claim that probes the platform may wait")
	}
	r.run(3 * time.Second)
	for _, ref := range refs {
		require.Equal(t, Unavailable, r.replies[ref].Status)
		require.False(t, r.replies[ref].RecordMayExist)
	}
	require.Less(t, calls, 30, "claims must not call the platform while the circuit breaker is open")
	r.store.SetFault(nil)
	again := r.addClaim("k", "b")
	r.run(5 * time.Second)
	require.Equal(t, Granted, r.replies[again].Status)
}

// Guards against an insert with an unknown result that is reported as not made:
// unless its record is abandoned later, the key stays blocked.
func TestClaimWithUnknownResultIsAbandoned(t *testing.T) {
	r := newHarness(t)
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
	require.True(t, r.replies[a].RecordMayExist)
	r.add(Request{Kind: Abandon, Key: "k", Claim: newClaim("a")})
	r.run(time.Second)
	require.Equal(t, intent.Started, r.state("k"))
	r.store.SetFault(nil)
	r.run(5 * time.Second)
	require.Equal(t, intent.Abandoned, r.state("k"))
	b := r.otherGateway().addClaimAndRun("k", "b")
	require.Equal(t, Granted, b.Status, "the key of an abandoned record must be free")
}

func (r *harness) addClaimAndRun(key, owner string) Reply {
	ref := r.addClaim(key, owner)
	r.run(time.Second)
	return r.replies[ref]
}

// Guards against an insert by a process that was paused and that overwrites the
// record or tombstone written meanwhile.
func TestLateInsertOfPausedProcessFails(t *testing.T) {
	for _, tombstone := range []bool{false, true} {
		r := newHarness(t)
		r.paused = true
		a := r.addClaim("k", "a")
		r.run(time.Second)
		require.Len(t, r.pausedTasks, 1)
		if tombstone {
			other := r.otherGateway()
			other.paused = false
			other.add(Request{Kind: Abandon, Key: "k", Claim: newClaim("c")})
			other.run(time.Second)
			require.Equal(t, intent.Abandoned, r.state("k"))
		}
		other := r.otherGateway()
		other.paused = false
		require.Equal(t, Granted, other.addClaimAndRun("k", "b").Status)
		r.resume()
		require.Equal(t, InProgress, r.replies[a].Status)
	}
}

// Guards against a claim that reaches the platform after its owner has abandoned
// the key and takes over the owner's own tombstone, which blocks the key.
func TestClaimDoesNotTakeOverItsOwnTombstone(t *testing.T) {
	r := newHarness(t)
	r.paused = true
	a := r.addClaim("k", "a")
	r.run(time.Second)
	other := r.otherGateway()
	other.paused = false
	other.add(Request{Kind: Abandon, Key: "k", Claim: newClaim("a")})
	other.run(time.Second)
	r.resume()
	require.Equal(t, InProgress, r.replies[a].Status)
	require.Equal(t, intent.Abandoned, r.state("k"))
}

// Guards against abandoning the record of another request, which may be in
// progress.
func TestAbandonLeavesRecordsOfOtherOwners(t *testing.T) {
	r := newHarness(t)
	r.addClaimAndRun("k", "a")
	r.add(Request{Kind: Abandon, Key: "k", Claim: newClaim("b")})
	r.run(time.Second)
	require.Equal(t, intent.Started, r.state("k"))
}

// Guards against a stored answer that is lost or changed when it is replayed, for
// answers in the row and in the object store, with faults of the commit that
// stores it.
func TestFinishedAnswerIsReplayed(t *testing.T) {
	for _, body := range []string{"short", strings.Repeat("long", 10)} {
		for _, fault := range []memstore.Fault{memstore.None, memstore.LostAnswer, memstore.LostCall, memstore.Down} {
			r := newHarness(t)
			granted := r.addClaimAndRun("k", "a")
			r.store.SetFault(failFirst("commit", fault))
			finish := r.add(Request{
				Kind: Finish, Key: "k", Claim: newClaim("a"), Version: granted.Version,
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

// Guards against replaying the answer to another request that used the same key.
func TestReusedKey(t *testing.T) {
	r := newHarness(t)
	r.addClaimAndRun("k", "a")
	c := newClaim("b")
	c.BodyHash = "other"
	ref := r.add(Request{Kind: Claim, Key: "k", Claim: c, VM: "vm1", VMVersion: r.vmVersion, Deadline: r.now.Add(time.Second)})
	r.run(time.Second)
	require.Equal(t, KeyReused, r.replies[ref].Status)
}

// Guards against unbounded memory use during an outage of the platform, and
// against the loss of answers within the bound.
func TestOutageBacklogIsBounded(t *testing.T) {
	r := newHarness(t)
	var versions []uint64
	for i := range 150 {
		versions = append(versions, r.addClaimAndRun(fmt.Sprintf("k%d", i), "a").Version)
	}
	r.store.SetFault(func(memstore.Call) memstore.Fault { return memstore.Down })
	for i, v := range versions {
		r.add(Request{Kind: Finish, Key: fmt.Sprintf("k%d", i), Claim: newClaim("a"), Version: v})
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

// Guards against one transaction for each row, a rate that the platform does not
// sustain.
func TestRowsShareTransactions(t *testing.T) {
	r := newHarness(t)
	before := r.store.Commits()
	for i := range 256 {
		r.addClaim(fmt.Sprintf("k%d", i), "a")
	}
	r.run(time.Second)
	require.Equal(t, 256/options.Batch, r.store.Commits()-before)
}

// Guards against one transaction for each row while the platform is slow to
// respond: rows must wait for the transactions in progress and share the next.
func TestConcurrentTransactionsAreBounded(t *testing.T) {
	r := newHarness(t)
	r.paused = true
	for i := range 50 {
		r.addClaim(fmt.Sprintf("k%d", i), "a")
		r.run(5 * time.Millisecond)
		r.now = r.now.Add(5 * time.Millisecond)
	}
	require.Len(t, r.pausedTasks, maxConcurrentCommits)
	before := r.store.Commits()
	r.resume()
	require.Equal(t, maxConcurrentCommits+1, r.store.Commits()-before)
	require.Len(t, r.replies, 50)
}

// Guards against the loss of answers in a graceful stop.
func TestStopFlushesPendingAnswers(t *testing.T) {
	r := newHarness(t)
	granted := r.addClaimAndRun("k", "a")
	replies := make(chan Reply, 1)
	j := New(Config{
		Options: options, Platform: r.store, Timeout: time.Second, FlushTimeout: 10 * time.Second, RingDepth: 8,
		Reply: func(r Reply) { replies <- r }, Log: hclog.NewNullLogger(),
	})
	r.store.SetFault(failFirst("commit", memstore.Down))
	require.NoError(t, j.Requests().Put(context.Background(), Request{
		Kind: Finish, Service: "s", Key: "k", Claim: newClaim("a"), Version: granted.Version,
	}))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, j.Run(ctx))
	require.Equal(t, intent.Finished, r.state("k"))
}
