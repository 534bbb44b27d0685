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

// An owner that went on without its lease started a job that was submitted
// after its successor had taken the pool; the successor started it too.
func TestOwnerWithoutLeaseTakesNoNewJobs(t *testing.T) {
	job := engine.JobSeen{Submission: workload.Submission{ID: "j"}}
	rest, later := withoutNewJobs([]engine.Event{engine.CancelSeen{Job: "a"}, job, engine.QueuesSeen{}})
	require.Equal(t, []engine.Event{engine.CancelSeen{Job: "a"}, engine.QueuesSeen{}}, rest)
	require.Equal(t, []engine.Event{job}, later)
}

// An owner whose claim was answered late, so that its lease had ended, kept the
// recovered jobs back too and stopped their runs as unwanted.
func TestRecoveredJobsAreNotKeptBack(t *testing.T) {
	job := engine.JobSeen{Submission: workload.Submission{ID: "j"}, Recovered: true}
	rest, later := withoutNewJobs([]engine.Event{job, engine.CancelSeen{Job: "j"}})
	require.Len(t, rest, 2)
	require.Empty(t, later)
}

// A cancellation that overtook its job was forgotten, and the job ran.
func TestCancellationStaysBehindItsJob(t *testing.T) {
	job, cancel := engine.JobSeen{Submission: workload.Submission{ID: "j"}}, engine.CancelSeen{Job: "j"}
	rest, later := withoutNewJobs([]engine.Event{job, cancel})
	require.Empty(t, rest)
	require.Equal(t, []engine.Event{job, cancel}, later)
}

// An owner that the store turned away went on to start tasks of a job whose
// cancellation it could not read.
func TestOwnerThatCannotReadCancellationsStartsNothing(t *testing.T) {
	d := newDuty()
	d.Bounds.CancelWithin = 3 * time.Second
	p := d.addPool("p")
	now := time.Unix(1000, 0)
	d.takeDelta(follow.Delta{Table: store.TableWork, Sent: now})
	d.takeDelta(follow.Delta{Table: store.TableWork, Failing: true})
	require.True(t, d.knowsCancellations(now.Add(2500*time.Millisecond), p))
	require.False(t, d.knowsCancellations(now.Add(2700*time.Millisecond), p))
	// After changes were missed, only a reading of the pool's jobs helps.
	d.takeDelta(follow.Delta{Table: store.TableWork, Reset: true, Sent: now.Add(3 * time.Second)})
	d.takeDelta(follow.Delta{Table: store.TableWork, Sent: now.Add(3 * time.Second)})
	require.False(t, d.knowsCancellations(now.Add(3*time.Second), p))
}

func (d *Duty) addPool(name string) *pool {
	p := &pool{Holder: holder.New(name, d.Self, 1, d.Log), queues: map[string]bool{}, configuration: &workload.Configuration{}}
	d.pools[name] = p
	d.names = append(d.names, name)
	return p
}

// fakeStore has a table that counts the parts that are read.
type fakeStore struct {
	store.Table
	store.Feed
	rows map[string][]store.Row // by part of the work table
	read []string
}

func (f *fakeStore) Parts(context.Context, string) ([]string, error) {
	return slices.Sorted(maps.Keys(f.rows)), nil
}

func (f *fakeStore) Snapshot(_ context.Context, _ string, parts ...string) (list []store.Row, _ uint64, _ error) {
	for _, part := range parts {
		f.read = append(f.read, part)
		list = append(list, f.rows[part]...)
	}
	return list, 7, nil
}

func (f *fakeStore) Scan(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }

func (f *fakeStore) Get(_ context.Context, key string) (store.Row, error) {
	if key != store.KeyLoad("p") {
		return store.Row{}, store.ErrNotFound
	}
	value, err := rows.EncodeLoad(rows.Load{Engaged: []engine.Engaged{{ID: "i-1", Born: 5}}})
	return store.Row{Key: key, Value: value}, err
}

// After a loss of power a VM with a link of 10 Mbit/s took a pool over and tried
// for 15 s to read the jobs of all pools, each time until its time was up.
func TestOwnerReadsOnlyTheQueuesOfItsPool(t *testing.T) {
	own, former, other := store.WorkQueue("h", "/a/"), store.WorkQueue("h", "/removed/"), store.WorkQueue("h", "/b/")
	f := &fakeStore{rows: map[string][]store.Row{own + "-0": nil, own + "-3": nil, former + "-1": nil, other + "-0": nil}}
	d := newDuty()
	d.Table, d.Feed = f, f
	p := d.addPool("p")
	p.queues[own] = true
	p.Former.Queues = []string{former} // of jobs that are open, though the queue is gone
	d.load(context.Background(), p)
	r := (<-d.results.C()).(loaded)
	require.NoError(t, r.err)
	require.ElementsMatch(t, []string{own + "-0", own + "-3", former + "-1"}, f.read)
	require.Equal(t, []engine.Engaged{{ID: "i-1", Born: 5}}, r.load.Engaged)
}

// Changes that the store has forgotten included cancellations; jobs are read
// again, and changes that arrive meanwhile are not lost.
func TestMissedChangesAreReadAgain(t *testing.T) {
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
	p.machine = engine.New(d.now(), engine.Config{Pool: "p", Token: 1}, nil)
	d.takeDelta(follow.Delta{Table: store.TableWork, Reset: true, Sent: d.now()})
	require.True(t, p.missed)
	d.drive(context.Background(), d.now(), p)
	require.True(t, p.loading)
	cancel := store.Change{Row: store.Row{Key: store.KeyWorkCancel(name, "00000000000000a1"), Version: 9}}
	d.takeDelta(follow.Delta{Table: store.TableWork, Changes: []store.Change{cancel}, Sent: d.now()})
	d.takeResult(<-d.results.C())
	require.False(t, p.missed)
	require.Len(t, p.events, 2)
	require.Equal(t, "00000000000000a1", p.events[0].(engine.JobSeen).Submission.ID)
	require.Equal(t, engine.CancelSeen{Job: "00000000000000a1"}, p.events[1])
}

func registration(id, pool string) store.Change {
	return store.Change{Row: store.Row{Key: "servers//" + id, Value: []byte(`{"service":"` + pool +
		`","addr":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1},"born":5}`)}}
}

func registrations(d *Duty) []string {
	var ids []string
	for _, w := range d.registry.pool("p") {
		ids = append(ids, w.ID)
	}
	return ids
}

func newDuty() *Duty {
	return New(Options{Self: "n", Decode: worker.Decode, Log: hclog.NewNullLogger()})
}

// Workers whose registrations lapsed while the store was away were taken to be
// gone, though they lived.
func TestRegistrationsLapsedInAnOutageMayReturn(t *testing.T) {
	d := newDuty()
	now := time.Unix(1000, 0)
	whole := follow.Delta{Table: "servers", Reset: true, Changes: []store.Change{registration("i-1", "p"), registration("i-2", "p")}}
	require.True(t, d.takeRegistrations(now, whole))
	require.Equal(t, []string{"i-1", "i-2"}, registrations(d))

	d.registry.back = now
	gone := follow.Delta{Table: "servers", Reset: true, Changes: []store.Change{registration("i-1", "p")}}
	d.takeRegistrations(now.Add(100*time.Millisecond), gone)
	require.Equal(t, []string{"i-1", "i-2"}, registrations(d))
	d.takeRegistrations(now.Add(returnTime+time.Millisecond), follow.Delta{Table: "servers"})
	require.Equal(t, []string{"i-1"}, registrations(d))
}

// A row that can't be read must not hide the others, and one that only beats
// must not wake the engines.
func TestUnreadableAndUnchangedRegistrations(t *testing.T) {
	d := newDuty()
	now := time.Unix(1000, 0)
	bad := store.Change{Row: store.Row{Key: "servers//i-9", Value: []byte("\xff")}}
	require.True(t, d.takeRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{bad, registration("i-1", "p")}}))
	require.Equal(t, []string{"i-1"}, registrations(d))
	require.False(t, d.takeRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{registration("i-1", "p")}}))
	removed := registration("i-1", "p")
	removed.Removed = true
	require.True(t, d.takeRegistrations(now, follow.Delta{Table: "servers", Changes: []store.Change{removed}}))
	require.Empty(t, registrations(d))
}

// After changes of the lease rows were not told, the work table and the
// registrations are read again.
func TestUntoldChangesMakeFollowersStartAnew(t *testing.T) {
	d := newDuty()
	wanted := ring.New[bool]("wanted", 1, ring.KeepNewest)
	d.Wanted = map[string]*ring.Ring[bool]{store.TableWork: wanted}
	d.follow(true)
	<-wanted.C()
	d.see(&board.View{Missed: 1})
	d.see(&board.View{Missed: 1})
	require.Empty(t, wanted.C())
	d.see(&board.View{Missed: 2})
	require.True(t, <-wanted.C())
}
