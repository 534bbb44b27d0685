package pools

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/platform/worker"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// An owner whose lease had ended started a job that was submitted after its
// successor had taken the pool, and the successor started it too.
func TestOwnerWithoutLeaseDefersNewJobs(t *testing.T) {
	job := engine.JobAdded{Submission: workload.Submission{ID: "j"}}
	rest, deferred := splitNewJobs([]engine.Event{engine.CancelRequested{Job: "a"}, job, engine.QueuesUpdated{}})
	require.Equal(t, []engine.Event{engine.CancelRequested{Job: "a"}, engine.QueuesUpdated{}}, rest)
	require.Equal(t, []engine.Event{job}, deferred)
}

// If the answer to an owner's claim arrived after the lease had ended, the owner
// deferred recovered jobs too and stopped their runs as unwanted.
func TestRecoveredJobsAreNotDeferred(t *testing.T) {
	job := engine.JobAdded{Submission: workload.Submission{ID: "j"}, Recovered: true}
	rest, deferred := splitNewJobs([]engine.Event{job, engine.CancelRequested{Job: "j"}})
	require.Len(t, rest, 2)
	require.Empty(t, deferred)
}

// A cancellation that reached the engine before its deferred job was ignored,
// and the job ran.
func TestCancellationIsDeferredWithItsJob(t *testing.T) {
	job, cancel := engine.JobAdded{Submission: workload.Submission{ID: "j"}}, engine.CancelRequested{Job: "j"}
	rest, deferred := splitNewJobs([]engine.Event{job, cancel})
	require.Empty(t, rest)
	require.Equal(t, []engine.Event{job, cancel}, deferred)
}

// An owner whose reads the store refused kept starting tasks of a job whose
// cancellation it could not read.
func TestJobsAreNotCurrentWithoutRecentRead(t *testing.T) {
	d := newDuty()
	d.Bounds.CancelWithin = 3 * time.Second
	p := d.addPool("p")
	now := time.Unix(1000, 0)
	d.handleDelta(follow.Delta{Table: store.TableWork, Sent: now})
	d.handleDelta(follow.Delta{Table: store.TableWork, Failed: true})
	require.True(t, d.jobsAreCurrent(now.Add(2500*time.Millisecond), p))
	require.False(t, d.jobsAreCurrent(now.Add(2700*time.Millisecond), p))
	// After missed changes, the jobs are current only once they have been read
	// again.
	d.handleDelta(follow.Delta{Table: store.TableWork, Reset: true, Sent: now.Add(3 * time.Second)})
	d.handleDelta(follow.Delta{Table: store.TableWork, Sent: now.Add(3 * time.Second)})
	require.False(t, d.jobsAreCurrent(now.Add(3*time.Second), p))
}

func (d *Duty) addPool(name string) *pool {
	p := &pool{Holder: holder.New(name, d.Self, 1, d.Log), queues: map[string]bool{}, configuration: &workload.Configuration{}}
	d.pools[name] = p
	d.names = append(d.names, name)
	return p
}

// fakeStore serves the rows of the work table and records the parts that are
// read.
type fakeStore struct {
	store.Table
	store.Feed
	rows      map[string][]store.Row // by part of the work table
	readParts []string
}

func (f *fakeStore) Parts(context.Context, string) ([]string, error) {
	return slices.Sorted(maps.Keys(f.rows)), nil
}

func (f *fakeStore) Snapshot(_ context.Context, _ string, parts ...string) (list []store.Row, _ uint64, _ error) {
	for _, part := range parts {
		f.readParts = append(f.readParts, part)
		list = append(list, f.rows[part]...)
	}
	return list, 7, nil
}

func (f *fakeStore) Scan(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }

func (f *fakeStore) Get(_ context.Context, key string) (store.Row, error) {
	for _, list := range f.rows {
		for _, row := range list {
			if row.Key == key {
				return row, nil
			}
		}
	}
	if key != store.KeyLoad("p") {
		return store.Row{}, store.ErrNotFound
	}
	value, err := rows.EncodeLoad(rows.Load{Engaged: []engine.EngagedWorker{{ID: "i-1", Born: 5}}})
	return store.Row{Key: key, Value: value}, err
}

// After a power failure, the new owner of a pool read the jobs of all pools. Over
// a link of 10 Mbit/s each attempt timed out, for 15 s in total.
func TestOwnerReadsOnlyTheQueuesOfItsPool(t *testing.T) {
	own, former, other := store.WorkQueue("h", "/a/"), store.WorkQueue("h", "/removed/"), store.WorkQueue("h", "/b/")
	f := &fakeStore{rows: map[string][]store.Row{own + "-0": nil, own + "-3": nil, former + "-1": nil, other + "-0": nil}}
	d := newDuty()
	d.Table, d.Feed = f, f
	p := d.addPool("p")
	p.queues[own] = true
	p.FormerControl.Queues = []string{former} // the queue was removed, but has open jobs
	d.startReadJobs(context.Background(), p)
	r := (<-d.results.C()).(jobsRead)
	require.NoError(t, r.err)
	require.ElementsMatch(t, []string{own + "-0", own + "-3", former + "-1"}, f.readParts)
	require.Equal(t, []engine.EngagedWorker{{ID: "i-1", Born: 5}}, r.load.Engaged)
}

// Cancellations were lost when the store had dropped the history of changes. The
// jobs must be read again, and changes that arrive meanwhile must not be lost.
func TestJobsAreReadAgainAfterMissedChanges(t *testing.T) {
	queue := workload.Queue{Name: "q", Host: "h", Prefix: "/a/", Pool: "p"}
	value, err := rows.EncodeWork(workload.Submission{
		ID: "00000000000000a1", Pool: "p", Queue: queue, Steps: []workload.Step{{Count: 1}},
	})
	require.NoError(t, err)
	name := store.WorkQueue("h", "/a/")
	job := store.Row{Key: store.KeyWork(name, "00000000000000a1"), Value: value, Version: 3}
	f := &fakeStore{rows: map[string][]store.Row{name + "-0": {job}}}
	d := newDuty()
	d.Table, d.Feed = f, f
	p := d.addPool("p")
	p.queues[name] = true
	p.State = holder.Held
	p.engine = engine.New(d.now(), engine.Config{Pool: "p", Token: 1}, nil)
	d.handleDelta(follow.Delta{Table: store.TableWork, Reset: true, Sent: d.now()})
	require.True(t, p.missedChanges)
	d.runPool(context.Background(), d.now(), p)
	require.True(t, p.readingJobs)
	cancel := store.Change{Row: store.Row{Key: store.KeyWorkCancel(name, "00000000000000a1"), Version: 9}}
	d.handleDelta(follow.Delta{Table: store.TableWork, Changes: []store.Change{cancel}, Sent: d.now()})
	d.handleResult(<-d.results.C())
	require.False(t, p.missedChanges)
	require.Len(t, p.events, 2)
	require.Equal(t, "00000000000000a1", p.events[0].(engine.JobAdded).Submission.ID)
	require.Equal(t, engine.CancelRequested{Job: "00000000000000a1"}, p.events[1])
}

// lostTable executes no transaction and returns an unknown result.
type lostTable struct{ store.Table }

func (lostTable) Commit(context.Context, []store.Op) ([]uint64, error) {
	return nil, store.ErrUnknown
}

// A write of the load row without an answer may have taken effect. The former row
// counted as stored nevertheless: it was not written again, and a worker was used
// that the store's row did not name, so that a successor did not wait for it.
func TestLoadRowIsWrittenAgainAfterUnknownWrite(t *testing.T) {
	d := newDuty()
	p := d.addPool("p")
	p.State = holder.Held
	p.engine = engine.New(d.now(), engine.Config{Pool: "p", Token: 1}, nil)
	writesLoadRow := func() bool {
		return slices.ContainsFunc(d.collectOps(d.now(), p, true), func(op store.Op) bool { return op.Key == store.KeyLoad("p") })
	}
	p.storedLoadRow = []byte("former row")
	require.True(t, writesLoadRow())
	former := p.pendingLoadRow
	p.storedLoadRow, p.pendingLoadRow = former, []byte("another row")
	d.handleLeaseWritten(leaseWritten{pool: "p", result: holder.Commit(context.Background(), lostTable{}, p.Append(d.now(), nil))})
	require.True(t, writesLoadRow())
}

// In an outage of the store that outlasted the overrun, each renewal collected
// another batch although the engine had not learned that the last one failed. The
// first write that succeeded acknowledged ends that no batch had stored.
func TestNoBatchIsCollectedWhileTheEngineIsNotStepped(t *testing.T) {
	d := newDuty()
	d.Table = lostTable{}
	p := d.addPool("p")
	p.State = holder.Held
	p.engine = engine.New(d.now(), engine.Config{Pool: "p", Token: 1}, nil)
	require.False(t, p.ValidWithin(d.now(), leaseOverrun))
	d.runPool(context.Background(), d.now(), p)
	require.True(t, p.Writing(), "the lease is renewed")
	require.Nil(t, p.pendingBatch)
}

func registrationRow(id, pool string) store.Change {
	return store.Change{Row: store.Row{Key: "servers//" + id, Value: []byte(`{"service":"` + pool +
		`","addr":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1},"born":5}`)}}
}

func registeredIDs(d *Duty) []string {
	var ids []string
	for _, w := range d.registry.workersOf("p") {
		ids = append(ids, w.ID)
	}
	return ids
}

func newDuty() *Duty {
	return New(Options{Self: "n", Decode: worker.Decode, Log: hclog.NewNullLogger()})
}

// Live workers were removed because their registrations had lapsed during an
// outage of the store.
func TestRegistrationsLapsedInOutageAreKept(t *testing.T) {
	d := newDuty()
	now := time.Unix(1000, 0)
	full := follow.Delta{Table: "servers", Reset: true, Changes: []store.Change{registrationRow("i-1", "p"), registrationRow("i-2", "p")}}
	require.True(t, d.updateRegistrations(now, full))
	require.Equal(t, []string{"i-1", "i-2"}, registeredIDs(d))

	d.registry.outageEndedAt = now
	partial := follow.Delta{Table: "servers", Reset: true, Changes: []store.Change{registrationRow("i-1", "p")}}
	d.updateRegistrations(now.Add(100*time.Millisecond), partial)
	require.Equal(t, []string{"i-1", "i-2"}, registeredIDs(d))
	d.updateRegistrations(now.Add(reregistrationGrace+time.Millisecond), follow.Delta{Table: "servers"})
	require.Equal(t, []string{"i-1"}, registeredIDs(d))
}

// A row that can't be decoded must not hide the others, and a heartbeat that
// changes nothing must not wake the engines.
func TestUndecodableAndUnchangedRegistrations(t *testing.T) {
	d := newDuty()
	now := time.Unix(1000, 0)
	bad := store.Change{Row: store.Row{Key: "servers//i-9", Value: []byte("\xff")}}
	require.True(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{bad, registrationRow("i-1", "p")}}))
	require.Equal(t, []string{"i-1"}, registeredIDs(d))
	require.False(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{registrationRow("i-1", "p")}}))
	removed := registrationRow("i-1", "p")
	removed.Removed = true
	require.True(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{removed}}))
	require.Empty(t, registeredIDs(d))
}

// After changes of the lease rows were missed, the work table and the
// registrations must be read again, because their changes may be missing too.
func TestMissedLeaseChangesRestartFollowers(t *testing.T) {
	d := newDuty()
	enabled := ring.New[bool]("wanted", 1, ring.KeepNewest)
	d.FollowersEnabled = map[string]*ring.Ring[bool]{store.TableWork: enabled}
	d.updateFollowers(true)
	<-enabled.C()
	d.handleView(&board.View{MissedChanges: 1})
	d.handleView(&board.View{MissedChanges: 1})
	require.Empty(t, enabled.C())
	d.handleView(&board.View{MissedChanges: 2})
	require.True(t, <-enabled.C())
}
