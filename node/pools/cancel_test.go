package pools

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/node/board"
	"github.com/carobwharf/carobwharf/node/follow"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// sharedID is the ID that the callers of two queues have chosen for their jobs.
const sharedID = "0000000000000001"

// Queues of two pools.
var (
	queueA = workload.Queue{Name: "a", Host: "h", Prefix: "/a/", Pool: "a"}
	queueB = workload.Queue{Name: "b", Host: "h", Prefix: "/b/", Pool: "b"}
)

func submissionRow(t *testing.T, q workload.Queue, version uint64) store.Row {
	value, err := rows.EncodeWork(workload.Submission{ID: sharedID, Pool: q.Pool, Queue: q, Steps: []workload.Step{{Count: 1}}})
	require.NoError(t, err)
	return store.Row{Key: store.KeyWork(workload.JobKey{Queue: q.Key(), ID: sharedID}), Version: version, Value: value}
}

// cancellationRow is the row of a cancellation. Its value is one that an earlier build
// may have written.
func cancellationRow(q workload.Queue, version uint64) store.Row {
	return store.Row{Key: store.KeyWorkCancel(workload.JobKey{Queue: q.Key(), ID: sharedID}), Version: version, Value: []byte(`{}`)}
}

func workDelta(list ...store.Row) follow.Delta {
	d := follow.Delta{Table: store.TableWork}
	for _, row := range list {
		d.Changes = append(d.Changes, store.Change{Row: row})
	}
	return d
}

// newDutyWithTwoPools returns a duty that has just claimed pools a and b. The store has
// the submission of a job with the shared ID in the queue of each.
func newDutyWithTwoPools(t *testing.T) (*Duty, *fakeStore) {
	f := &fakeStore{rows: map[string][]store.Row{
		queueA.Key() + "-0": {submissionRow(t, queueA, 3)},
		queueB.Key() + "-0": {submissionRow(t, queueB, 4)},
	}}
	d := newDuty()
	d.Table, d.Feed, d.workFollowed, d.view = f, f, true, &board.View{}
	for _, q := range []workload.Queue{queueA, queueB} {
		p := d.addPool(q.Pool)
		p.State, p.TakenVersion, p.Control.Token = holder.Held, 9, 2
		p.queues[q.Key()] = true
	}
	return d, f
}

// startReads starts to read the jobs of all pools for which a read is due.
func (d *Duty) startReads() {
	for _, name := range d.names {
		d.runPool(context.Background(), d.now(), d.pools[name])
	}
}

func (d *Duty) finishReads() {
	for _, name := range d.names {
		d.finishRead(d.pools[name])
	}
}

// openJobs passes the queued events to the engine of a pool and returns the number of its
// queues that have open jobs.
func (d *Duty) openJobs(pool string) int {
	p := d.pools[pool]
	p.engine.Step(d.now(), 0, p.events...)
	p.events = nil
	return len(p.engine.OpenQueues())
}

// cancelPaths are the ways by which the cancellation of the job of queue a reaches a duty
// that owns both pools.
var cancelPaths = map[string]func(t *testing.T, d *Duty, f *fakeStore){
	"change": func(t *testing.T, d *Duty, f *fakeStore) {
		d.startReads()
		d.finishReads()
		d.handleDelta(workDelta(cancellationRow(queueA, 12)))
	},
	"change before the read": func(t *testing.T, d *Duty, f *fakeStore) {
		d.handleDelta(workDelta(cancellationRow(queueA, 12)))
		f.addRow(cancellationRow(queueA, 12))
		d.startReads()
		d.finishReads()
	},
	"change during the read": func(t *testing.T, d *Duty, f *fakeStore) {
		d.startReads()
		d.handleDelta(workDelta(cancellationRow(queueA, 12)))
		d.finishReads()
	},
	"read": func(t *testing.T, d *Duty, f *fakeStore) {
		f.addRow(cancellationRow(queueA, 5))
		d.startReads()
		d.finishReads()
	},
	"read by a pool to which both queues have led": func(t *testing.T, d *Duty, f *fakeStore) {
		f.addRow(cancellationRow(queueA, 5))
		d.pools["b"].FormerControl.Queues = []string{queueA.Key()}
		d.startReads()
		d.finishReads()
	},
	"read after missed changes": func(t *testing.T, d *Duty, f *fakeStore) {
		d.pools["b"].queues[queueA.Key()] = true
		d.startReads()
		d.finishReads()
		f.addRow(cancellationRow(queueA, 12))
		d.handleDelta(follow.Delta{Table: store.TableWork, Reset: true})
		d.startReads()
		d.finishReads()
	},
	"search for a reported job": func(t *testing.T, d *Duty, f *fakeStore) {
		f.addRow(cancellationRow(queueA, 5))
		for _, name := range d.names {
			p := d.pools[name]
			p.engine = engine.New(d.now(), engine.Config{Pool: name, Token: 2}, nil)
			d.execute(context.Background(), p, engine.FindJobs{IDs: []string{sharedID}})
			d.handleResult(<-d.results.C())
		}
	},
}

// addRow adds a row of the work table.
func (f *fakeStore) addRow(row store.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	part := store.QueueOfPart(store.WorkPart(row.Key)) + "-0"
	f.rows[part] = append(f.rows[part], row)
}

// A cancellation stopped the jobs with the same ID in all pools of the process, although
// nobody had cancelled them: what reached an engine was the ID alone.
func TestCancellationStopsOnlyTheJobOfItsQueue(t *testing.T) {
	for name, deliver := range cancelPaths {
		t.Run(name, func(t *testing.T) {
			d, f := newDutyWithTwoPools(t)
			deliver(t, d, f)
			require.Zero(t, d.openJobs("a"), "the cancelled job is open")
			require.Equal(t, 1, d.openJobs("b"), "the job of the other queue is cancelled")
		})
	}
}

// A tombstone of an ID that its queue has never had must not stop the job with that ID in
// another queue, of this pool or of another.
func TestTombstoneStopsNoJobOfAnotherQueue(t *testing.T) {
	d, _ := newDutyWithTwoPools(t)
	third := workload.Queue{Name: "c", Host: "h", Prefix: "/c/", Pool: "a"}
	d.pools["a"].queues[third.Key()] = true
	d.startReads()
	d.finishReads()
	stone := tombstoneRow(t, third.Key(), sharedID, 12)
	d.handleDelta(workDelta(stone.Row))
	require.Equal(t, 1, d.openJobs("a"))
	require.Equal(t, 1, d.openJobs("b"))
	require.Equal(t, 1, d.pools["a"].tombstones.Len())
}

// The pool of a job is the one that is stored with it. Guards against a cancellation that
// is passed on by the route of its queue instead, which leads to another pool, or to
// none, when a restarted process takes the job's pool over.
func TestCancellationHoldsAfterItsRouteHasChanged(t *testing.T) {
	for name, queues := range map[string][]workload.Queue{
		"removed": {queueB},
		"moved":   {{Name: "a", Host: queueA.Host, Prefix: queueA.Prefix, Pool: "b"}, queueB},
	} {
		for path, deliver := range map[string]func(d *Duty, f *fakeStore){
			"before the read": func(d *Duty, f *fakeStore) { f.addRow(cancellationRow(queueA, 5)); d.startReads(); d.finishReads() },
			"during the read": func(d *Duty, f *fakeStore) {
				d.startReads()
				d.handleDelta(workDelta(cancellationRow(queueA, 12)))
				d.finishReads()
			},
			"after the read": func(d *Duty, f *fakeStore) {
				d.startReads()
				d.finishReads()
				d.handleDelta(workDelta(cancellationRow(queueA, 12)))
			},
		} {
			t.Run(name+" "+path, func(t *testing.T) {
				d, f := newDutyWithTwoPools(t)
				clear(d.pools["a"].queues)
				clear(d.pools["b"].queues)
				d.handleView(&board.View{Configuration: &workload.Configuration{
					Queues: queues, Pools: []workload.PoolOptions{{Name: "a"}, {Name: "b"}},
				}})
				d.pools["a"].FormerControl.Queues = []string{queueA.Key()}
				deliver(d, f)
				require.Zero(t, d.openJobs("a"), "the cancelled job is open")
				require.Equal(t, 1, d.openJobs("b"), "the job of the other queue is cancelled")
			})
		}
	}
}

// An owner whose lease has ended defers new jobs. The cancellation of a job that it
// schedules already must not wait with the new job that has the same ID.
func TestCancellationWaitsOnlyForTheJobOfItsQueue(t *testing.T) {
	d, _ := newDutyWithTwoPools(t)
	p := d.pools["a"]
	p.State = holder.Held
	p.engine = engine.New(d.now(), engine.Config{Pool: "a", Token: 1}, nil)
	other := queueB
	other.Pool = "a"
	p.Control.Token, p.TakenVersion = 1, 0
	d.handleDelta(workDelta(submissionRow(t, other, 12), cancellationRow(queueA, 13), cancellationRow(queueB, 14)))
	require.Len(t, p.events, 3)
	remaining, deferred := splitNewJobs(p.events)
	require.Equal(t, p.events[1:2], remaining)
	require.Equal(t, []engine.Event{p.events[0], p.events[2]}, deferred)
}
