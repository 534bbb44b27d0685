package pools

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/internal/steady"
	"github.com/carobwharf/carobwharf/metrics"
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
	rest, deferred := splitNewJobs([]engine.Event{engine.CancelRequested{Job: workload.JobKey{ID: "a"}}, job, engine.QueuesUpdated{}})
	require.Equal(t, []engine.Event{engine.CancelRequested{Job: workload.JobKey{ID: "a"}}, engine.QueuesUpdated{}}, rest)
	require.Equal(t, []engine.Event{job}, deferred)
}

// If the answer to an owner's claim arrived after the lease had ended, the owner
// deferred recovered jobs too and stopped their runs as unwanted.
func TestRecoveredJobsAreNotDeferred(t *testing.T) {
	job := engine.JobAdded{Submission: workload.Submission{ID: "j"}, Recovered: true}
	rest, deferred := splitNewJobs([]engine.Event{job, engine.CancelRequested{Job: job.Submission.Key()}})
	require.Len(t, rest, 2)
	require.Empty(t, deferred)
}

// A cancellation that reached the engine before its deferred job was ignored,
// and the job ran.
func TestCancellationIsDeferredWithItsJob(t *testing.T) {
	job := engine.JobAdded{Submission: workload.Submission{ID: "j"}}
	cancel := engine.CancelRequested{Job: job.Submission.Key()}
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
	mu        sync.Mutex             // pools read at the same time
	rows      map[string][]store.Row // by part of the work table
	readParts []string
	load      []byte // value of the load row; nil: a valid one
	readError error  // result of reads of the work table
}

func (f *fakeStore) Parts(context.Context, string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.rows)), nil
}

func (f *fakeStore) Snapshot(_ context.Context, _ string, parts ...string) (list []store.Row, _ uint64, _ error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, part := range parts {
		f.readParts = append(f.readParts, part)
		list = append(list, f.rows[part]...)
	}
	return list, 7, f.readError
}

func (f *fakeStore) Commit(context.Context, []store.Op) ([]uint64, error) {
	return nil, store.ErrUnknown
}

func (f *fakeStore) Scan(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }

func (f *fakeStore) Get(_ context.Context, key string) (store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
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
	if f.load != nil {
		return store.Row{Key: key, Value: f.load}, nil
	}
	value, err := rows.EncodeLoad(rows.Load{Engaged: []engine.EngagedWorker{{ID: "i-1", Born: 5}}})
	return store.Row{Key: key, Value: value}, err
}

// After a power failure, the new owner of a pool read the jobs of all pools. Over
// a link of 10 Mbit/s each attempt timed out, for 15 s in total.
func TestOwnerReadsOnlyTheQueuesOfItsPool(t *testing.T) {
	own, former, other := workload.QueueKey("h", "/a/"), workload.QueueKey("h", "/removed/"), workload.QueueKey("h", "/b/")
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
	name := workload.QueueKey("h", "/a/")
	job := store.Row{Key: store.KeyWork(workload.JobKey{Queue: name, ID: "00000000000000a1"}), Value: value, Version: 3}
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
	cancel := store.Change{Row: store.Row{Key: store.KeyWorkCancel(workload.JobKey{Queue: name, ID: "00000000000000a1"}), Version: 9}}
	d.handleDelta(follow.Delta{Table: store.TableWork, Changes: []store.Change{cancel}, Sent: d.now()})
	d.finishRead(p)
	require.False(t, p.missedChanges)
	require.Len(t, p.events, 2)
	require.Equal(t, "00000000000000a1", p.events[0].(engine.JobAdded).Submission.ID)
	require.Equal(t, engine.CancelRequested{Job: workload.JobKey{Queue: name, ID: "00000000000000a1"}}, p.events[1])
}

// finishRead handles results until the jobs of the pool are read. The result of a write
// of the lease may come first.
func (d *Duty) finishRead(p *pool) {
	for p.readingJobs {
		d.handleResult(<-d.results.C())
	}
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
	return New(Options{Self: "n", Decode: worker.Decode, Log: hclog.NewNullLogger(), Metrics: metrics.New()})
}

// A stored job beyond the limits of a submission, such as one that an earlier version
// accepted, ended each owner of its pool in turn for lack of memory.
func TestStoredJobBeyondLimitsIsNotScheduled(t *testing.T) {
	d := newDuty()
	p := d.addPool("p")
	p.engine = engine.New(d.now(), engine.Config{Pool: "p", Token: 1}, nil)
	for _, step := range []string{`{"n":1000000000,"size":{}}`, `{"n":-1,"size":{}}`, `{"n":1,"size":{},"after":[7]}`, `{"n":1,"size":{},"after":[-1]}`} {
		value := []byte(`{"id":"00000000000000a1","pool":"p","steps":[` + step + `]}`)
		require.Zero(t, d.addWorkEvent(p, store.Change{Row: store.Row{Key: "work/q-0/00000000000000a1", Value: value}}, nil), step)
	}
	require.Empty(t, p.events)
	value := []byte(`{"id":"00000000000000a1","pool":"p","steps":[{"n":1,"size":{}}]}`)
	require.Equal(t, 1, d.addWorkEvent(p, store.Change{Row: store.Row{Key: "work/q-0/00000000000000a1", Value: value}}, nil))
}

// A job whose progress row could not be decoded was scheduled as if nothing of it had
// run, so that its done tasks ran a second time.
func TestJobWithUndecodableProgressIsNotScheduled(t *testing.T) {
	d := newDuty()
	p := d.addPool("p")
	p.engine = engine.New(d.now(), engine.Config{Pool: "p", Token: 1}, nil)
	row := func(key, value string) store.Row { return store.Row{Key: key, Value: []byte(value)} }
	work := func(id string) store.Row {
		return row("work/q-0/"+id, `{"id":"`+id+`","pool":"p","steps":[{"n":1,"size":{}}]}`)
	}
	d.addJobEvents(p, jobsRead{
		workRows: []store.Row{work("00000000000000a1"), work("00000000000000a2"), work("00000000000000a3")},
		progressRows: []store.Row{
			row(store.KeyProgress("p", "00000000000000a1"), "\xff"), row(store.KeyProgress("p", "00000000000000a2"), `{"tasks":[{"i":-1}]}`),
		},
	})
	require.Len(t, p.events, 1)
	require.Equal(t, "00000000000000a3", p.events[0].(engine.JobAdded).Submission.ID)
}

// A new owner whose predecessor's load row could not be decoded read the jobs again and
// again, and the pool stood still.
func TestUndecodableLoadRowDelaysRecoveredJobsOnly(t *testing.T) {
	f := &fakeStore{rows: map[string][]store.Row{}, load: []byte("\xff")}
	d := newDuty()
	d.Table, d.Feed = f, f
	p := d.addPool("p")
	d.startReadJobs(context.Background(), p)
	r := (<-d.results.C()).(jobsRead)
	require.NoError(t, r.err)
	// A worker that never answers, so that the leases of the unknown ones expire first.
	require.Equal(t, []engine.EngagedWorker{{}}, r.load.Engaged)
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

// A valid registration that another writer replaced by an odd one kept its worker in
// use until the next full read of the table. The others must not be affected.
func TestOddRegistrationReplacesTheValidOne(t *testing.T) {
	d := newDuty()
	now := time.Unix(1000, 0)
	both := []store.Change{registrationRow("i-1", "p"), registrationRow("i-2", "p")}
	require.True(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: both}))
	odd := store.Change{Row: store.Row{Key: "servers//i-1", Value: []byte(`{"service":"p"}`)}}
	require.True(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{odd}}))
	require.Equal(t, []string{"i-2"}, registeredIDs(d))
	require.False(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{odd}}), "nothing has changed")
	// The grace period after an outage is for registrations that have lapsed.
	d.registry.outageEndedAt = now
	require.True(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: both}))
	require.True(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Reset: true, Changes: []store.Change{odd, both[1]}}))
	require.Equal(t, []string{"i-2"}, registeredIDs(d))
	require.True(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: both}), "the worker has registered again")
	require.Equal(t, []string{"i-1", "i-2"}, registeredIDs(d))
}

// A row whose key is not that of a registration made the slice of its key panic,
// which ends the process, or was removed as the worker with the same id.
func TestRowsWithOddKeysAreNotRegistrations(t *testing.T) {
	d := newDuty()
	now := time.Unix(1000, 0)
	valid := registrationRow("i-1", "p")
	require.True(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{valid}}))
	for _, key := range []string{"//", "", "servers", "servers//", "servers/x/i-1", "servers/x//i-1", "op//i-1"} {
		for _, removed := range []bool{false, true} {
			odd := store.Change{Row: store.Row{Key: key, Value: valid.Value}, Removed: removed}
			require.False(t, d.updateRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{odd}}), key)
			require.Equal(t, []string{"i-1"}, registeredIDs(d), key)
		}
	}
}

// Each heartbeat of a writer whose rows can't be decoded wrote a line to the log.
func TestOddRegistrationIsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	d := newDuty()
	d.Log = hclog.New(&hclog.LoggerOptions{Output: &log})
	now := time.Unix(1000, 0)
	odd := store.Change{Row: store.Row{Key: "servers//i-1", Value: []byte("\xff")}}
	update := func(reset bool, changes ...store.Change) {
		d.updateRegistrations(now, follow.Delta{Table: "servers", Reset: reset, Changes: changes})
	}
	lines := func() int { return strings.Count(log.String(), "\n") }
	for range 10 {
		update(false, odd)
		update(true, odd)
	}
	require.Equal(t, 1, lines())
	update(false, registrationRow("i-1", "p"))
	update(false, odd)
	require.Equal(t, 2, lines(), "it was valid in between")
	update(true)
	update(true, odd)
	require.Equal(t, 3, lines(), "it was gone in between")

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

// An owner that had held the pool only briefly before, or whose first claim had no
// answer, did not wait for the runs of the owner before that one, which may extend
// their leases for leaseOverrun.
func TestBriefFormerTermDoesNotEndTheWaitForItsPredecessor(t *testing.T) {
	d := newDuty()
	d.Self, d.Bounds.MaxLease = "a", 6*time.Second
	p := d.addPool("p")
	p.FormerControl.Holder, p.FormerControl.Renewal = "a", 0
	require.Equal(t, 6*time.Second+leaseOverrun, d.formerLease(p), "the first claim had no answer")
	p.FormerControl.Renewal = 15
	require.Equal(t, 6*time.Second+leaseOverrun, d.formerLease(p), "the term may have lasted for 14/3 s")
	p.FormerControl.Renewal = 20
	require.Equal(t, 6*time.Second, d.formerLease(p))
	p.FormerControl.Holder = "b"
	require.Equal(t, 6*time.Second+leaseOverrun, d.formerLease(p))
}

// An entry of another writer, or of a pool that does not exist, ended the wait for a
// worker that was still running tasks of the former owner.
func TestOnlyCompleteRegistrationsShowThatAMachineRestarted(t *testing.T) {
	r := newRegistry()
	add := func(id, pool string, born int64, complete bool) {
		r.workers[id] = workload.Worker{Incarnation: workload.Incarnation{ID: id, Born: born}, Machine: "m", Pool: pool, Complete: complete}
	}
	add("former", "p", 5, true)
	add("odd", "p", 9, false)
	add("other", "none", 9, true)
	c := &workload.Configuration{Pools: []workload.PoolOptions{{Name: "p"}, {Name: "q"}}}
	require.Equal(t, map[string]workload.Incarnation{"m": {ID: "former", Born: 5}}, r.newestOnMachines(c))
	add("later", "q", 6, true)
	require.Equal(t, map[string]workload.Incarnation{"m": {ID: "later", Born: 6}}, r.newestOnMachines(c))
}

// orderedWorker is a Worker that records starts and panics on holds.
type orderedWorker struct {
	Worker
	starts int
}

func (w *orderedWorker) Start(context.Context, engine.Start) (engine.Result, error) {
	w.starts++
	return engine.OK, nil
}

func (w *orderedWorker) Hold(context.Context, engine.Hold) (engine.HoldReport, engine.Result, error) {
	panic("odd answer")
}

// executeOrder executes an order for a worker and returns its answer.
func executeOrder(w Worker, a engine.Action) engine.Event {
	d := newDuty()
	d.Dial = func(string, string) Worker { return w }
	d.execute(context.Background(), d.addPool("p"), a)
	return (<-d.results.C()).(callAnswered).event
}

// A start that a process decided on before it was paused reached a worker that had
// restarted under its ID meanwhile. The new life has seen no newer token, and its clock,
// which the deadline of the start refers to, had begun anew.
func TestStartIsNotSentAfterAPause(t *testing.T) {
	w := &orderedWorker{}
	answer := executeOrder(w, engine.Start{SendBy: steady.Now().Add(-time.Millisecond)})
	require.Equal(t, engine.NotDelivered, answer.(engine.StartAnswered).Result)
	require.Zero(t, w.starts)
	answer = executeOrder(w, engine.Start{SendBy: steady.Now().Add(time.Minute)})
	require.Equal(t, engine.OK, answer.(engine.StartAnswered).Result)
	require.Equal(t, 1, w.starts)
}

// A hold that was decided on before a pause could acknowledge ends of the worker's next
// life, which nobody had seen.
func TestHoldIsNotSentAfterAPause(t *testing.T) {
	answer := executeOrder(&orderedWorker{}, engine.Hold{StoredEnds: 7, SendBy: steady.Now().Add(-time.Millisecond)})
	require.Equal(t, engine.NotDelivered, answer.(engine.HoldAnswered).Result)
}

// The answer to a call that panicked was never posted: the worker counted as asked for
// ever, so that it got no more work and the ends of its runs were lost.
func TestCallThatPanicsIsAnswered(t *testing.T) {
	answer := executeOrder(&orderedWorker{}, engine.Hold{SendBy: steady.Now().Add(time.Minute)})
	require.Equal(t, engine.Unknown, answer.(engine.HoldAnswered).Result)
}
