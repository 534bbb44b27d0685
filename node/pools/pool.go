package pools

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/engine"
	"github.com/carobwharf/carobwharf/intake"
	"github.com/carobwharf/carobwharf/internal/guard"
	"github.com/carobwharf/carobwharf/internal/times"
	"github.com/carobwharf/carobwharf/node/holder"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/workload"
)

// pool is the state of a pool in this process. Its engine exists while the
// lease is held, once the pool's jobs have been read.
type pool struct {
	*holder.Holder
	configuration  *workload.Configuration
	engine         *engine.Scheduler
	events         []engine.Event // for the next step of the engine
	readingJobs    bool
	earlyChanges   []store.Change  // changes of the work table to apply after the read of the jobs that is in progress
	earlyBytes     int             // size of the rows in earlyChanges
	readJobsAt     time.Time       // earliest next attempt to read the jobs
	pendingBatch   *engine.Batch   // batch that is being stored
	storedLoadRow  []byte          // load row as stored last
	pendingLoadRow []byte          // load row that is being stored; nil: the write does not include it
	queues         map[string]bool // keys of all queues that have been configured for the pool
	jobsReadSent   time.Time       // when the latest complete read of the pool's jobs was sent
	unreadQueues   []string        // keys of queues that were configured after the pool's jobs had been read
	missedChanges  bool            // changes of the work table were missed; the jobs must be read again
	tombstones     intake.Tombstones
	removing       bool      // a write that removes tombstones is in progress
	removeAt       time.Time // earliest next write that removes tombstones
}

// addEvent queues an event for the engine. It drops the event if there is no
// engine, because a new engine is given the complete state.
func (p *pool) addEvent(e engine.Event) {
	if p.engine != nil {
		p.events = append(p.events, e)
	}
}

// reset drops the state of a lease term that has ended.
func (p *pool) reset() {
	p.engine, p.events, p.pendingBatch, p.storedLoadRow, p.pendingLoadRow = nil, nil, nil, nil, nil
	p.clearEarlyChanges()
	p.tombstones = intake.Tombstones{}
}

// Results of calls, posted by the goroutines of storePool and callPool.
type (
	leaseWritten struct {
		pool   string
		result holder.Result
	}
	jobsRead struct {
		pool         string
		sent         time.Time
		token        uint64
		unreadQueues []string // only these queues were read; empty: all of the pool
		workRows     []store.Row
		progressRows []store.Row
		load         rows.Load // load row of the former owner
		err          error
	}
	// jobsFound holds the rows of jobs that workers reported and that the owner had
	// not read.
	jobsFound struct {
		pool         string
		token        uint64
		ids          []string
		workRows     []store.Row
		progressRows []store.Row
		err          error
	}
	callAnswered struct {
		pool     string
		token    uint64
		event    engine.Event
		answered time.Time // when the call ended
	}
)

// startCommit starts a write of the pool's lease holder. Its result is posted as
// leaseWritten.
func (d *Duty) startCommit(ctx context.Context, p *pool, w holder.Write) {
	name := p.Name
	d.storePool.Go(func() {
		failed := holder.Failed(w, errCallPanicked)
		d.postResult(ctx, leaseWritten{pool: name, result: guard.Call(d.Log, "commit", failed, func() holder.Result { return holder.Commit(ctx, d.Table, w) })})
	})
}

// errCallPanicked is the error of a call that panicked. It may have had an effect.
var errCallPanicked = fmt.Errorf("%w: the call panicked", store.ErrUnknown)

func (d *Duty) postResult(ctx context.Context, result any) {
	if err := d.results.Put(ctx, result); err != nil {
		d.Log.Debug("call result discarded: duty has stopped", "error", err)
	}
}

func (d *Duty) handleResult(result any) {
	switch r := result.(type) {
	case leaseWritten:
		d.handleLeaseWritten(r)
	case jobsRead:
		d.handleJobsRead(r)
	case jobsFound:
		d.handleJobsFound(r)
	case tombstonesRemoved:
		d.handleTombstonesRemoved(r)
	case callAnswered:
		d.load.recordWait(time.Since(r.answered))
		if p := d.pools[r.pool]; p.engine != nil && p.Control.Token == r.token {
			p.addEvent(r.event)
		}
	}
}

func (d *Duty) handleLeaseWritten(result leaseWritten) {
	p := d.pools[result.pool]
	batch, loadRow := p.pendingBatch, p.pendingLoadRow
	p.pendingBatch, p.pendingLoadRow = nil, nil
	switch p.HandleResult(d.now(), result.result) {
	case holder.Acquired:
		p.reset()
		p.readJobsAt = time.Time{}
	case holder.Stored:
		if loadRow != nil {
			p.storedLoadRow = loadRow
		}
		if batch != nil {
			p.addEvent(engine.Stored{Batch: batch, OK: true})
		}
	case holder.NotStored:
		if loadRow != nil {
			p.storedLoadRow = nil // the store may have either row
		}
		if batch != nil {
			p.addEvent(engine.Stored{Batch: batch})
		}
	case holder.Released, holder.Lost, holder.ClaimFailed:
		p.reset()
	}
}

// startReadJobs starts to read the jobs of a pool that has been taken over, or
// of which changes were missed, or those of queues that have not been read. The
// result is posted as jobsRead.
func (d *Duty) startReadJobs(ctx context.Context, p *pool) {
	result := jobsRead{pool: p.Name, sent: d.now(), token: p.Control.Token}
	var queues map[string]bool
	if p.engine != nil && !p.missedChanges {
		result.unreadQueues, queues = p.unreadQueues, map[string]bool{}
	} else {
		queues = maps.Clone(p.queues)
		for _, q := range p.FormerControl.Queues {
			queues[q] = true
		}
		if p.engine != nil {
			// Jobs may have come through a route that this process has never seen.
			for _, q := range p.engine.OpenQueues() {
				queues[q] = true
			}
		}
	}
	p.clearEarlyChanges() // the new read includes them
	for _, q := range p.unreadQueues {
		queues[q] = true
	}
	p.readingJobs, p.missedChanges, p.unreadQueues = true, false, nil
	d.storePool.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, jobsReadTimeout)
		defer cancel()
		result.err = guard.Call(d.Log, "read jobs", errCallPanicked, func() error { return d.readJobs(callCtx, &result, queues) })
		d.postResult(ctx, result)
	})
}

// readJobs reads the rows that a new owner of a pool needs. It runs on a
// goroutine of storePool.
func (d *Duty) readJobs(ctx context.Context, result *jobsRead, queues map[string]bool) error {
	parts, err := d.Feed.Parts(ctx, store.TableWork)
	if err != nil {
		return err
	}
	parts = slices.DeleteFunc(parts, func(part string) bool { return !queues[store.QueueOfPart(part)] })
	if len(parts) == 0 && len(result.unreadQueues) > 0 {
		return nil // the queues have no jobs
	}
	if len(parts) > 0 {
		if result.workRows, _, err = d.Feed.Snapshot(ctx, store.TableWork, parts...); err != nil {
			return err
		}
	}
	if result.progressRows, err = store.ScanAll(ctx, d.Table, store.PrefixProgress(result.pool)); err != nil {
		return err
	}
	row, err := d.Table.Get(ctx, store.KeyLoad(result.pool))
	if errors.Is(err, store.ErrNotFound) {
		return nil // the pool has had no owner yet
	}
	if err != nil {
		return err
	}
	if result.load, err = rows.DecodeLoad(row.Value); err != nil {
		// Which workers the former owner used is not known. An id that no worker has
		// makes the engine wait until all leases of the former owner have expired.
		d.Log.Error("can't decode the load row of the former owner", "row", row.Key, "error", err)
		result.load = rows.Load{Engaged: []engine.EngagedWorker{{}}}
	}
	return nil
}

func (d *Duty) handleJobsRead(result jobsRead) {
	p := d.pools[result.pool]
	p.readingJobs = false
	if p.State != holder.Held || p.Control.Token != result.token {
		return
	}
	if result.err != nil {
		d.Log.Warn("jobs of the pool can't be read", "pool", p.Name, "error", result.err)
		p.readJobsAt = d.now().Add(jobsReadRetry)
		p.unreadQueues = append(p.unreadQueues, result.unreadQueues...)
		p.missedChanges = p.missedChanges || p.engine != nil && len(result.unreadQueues) == 0
		if p.engine != nil {
			d.applyEarlyChanges(p, nil) // the next read may take long
		}
		return
	}
	if len(result.unreadQueues) == 0 {
		p.jobsReadSent = times.Later(p.jobsReadSent, result.sent)
	}
	if p.engine != nil {
		d.Log.Info("read jobs of the pool again", "queues", result.unreadQueues, "pool", p.Name, "jobs", d.addJobEvents(p, result))
		return
	}
	p.engine = engine.New(d.now(), engine.Config{
		Pool: p.Name, Token: p.Control.Token, Lease: d.Bounds.MaxLease, FormerLease: d.formerLease(p),
		KillGrace: d.Bounds.KillGrace,
	}, result.load.Engaged)
	p.addEvent(engine.QueuesUpdated{Queues: p.configuration.Queues})
	jobs := d.addJobEvents(p, result)
	d.addWorkersEvents(p)
	p.addEvent(d.releaseEvent())
	d.Log.Info("pool is active", "pool", p.Name, "jobs", jobs, "former_workers", len(result.load.Engaged))
}

// formerLease returns how long after the takeover the leases of the former owner's
// runs may end. An earlier process of this VM, or an earlier term of this one, grants
// none after the takeover; another owner may not know of it yet. That also holds for
// the owner before the former one, unless the former term was longer than the overrun.
func (d *Duty) formerLease(p *pool) time.Duration {
	if p.FormerControl.Holder == d.Self && p.FormerTerm() >= leaseOverrun {
		return d.Bounds.MaxLease
	}
	return d.Bounds.MaxLease + leaseOverrun
}

// addJobEvents queues events for the jobs that were read and for the changes that
// arrived meanwhile. It returns the number of jobs that were read.
func (d *Duty) addJobEvents(p *pool, result jobsRead) int {
	progressByJob := d.decodeProgress(p, result.progressRows)
	jobs := 0
	for _, row := range result.workRows {
		jobs += d.addWorkEvent(p, store.Change{Row: row}, progressByJob)
	}
	d.applyEarlyChanges(p, progressByJob)
	return jobs
}

// decodeProgress returns the progress of jobs by their IDs; nil if it can't be
// decoded.
func (d *Duty) decodeProgress(p *pool, progressRows []store.Row) map[string]*workload.Progress {
	byJob := map[string]*workload.Progress{}
	for _, row := range progressRows {
		id := row.Key[len(store.PrefixProgress(p.Name)):]
		progress, err := rows.DecodeProgress(row.Value)
		if err != nil {
			d.Log.Error("not scheduling a job whose progress row can't be decoded", "row", row.Key, "error", err)
			byJob[id] = nil
			continue
		}
		byJob[id] = &progress
	}
	return byJob
}
